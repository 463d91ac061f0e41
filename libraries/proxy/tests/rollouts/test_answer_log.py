"""Which answers count for and against a version on trial."""

from __future__ import annotations

import unittest
from unittest import mock

from bamboopier_decisions.rollouts.order import Rollout, RolloutOrder
from bamboopier_decisions.rollouts.traffic import RolloutTraffic
from bamboopier_proxy.attempt_result import AttemptResult, Cause
from bamboopier_proxy.metrics import ProxyMetrics
from bamboopier_proxy.refusals import ExecutionStatus
from bamboopier_proxy.rollouts.answer_log import AnswerLog

SERVICE, OLD, NEW = "vans", "v1", "v2"


class AnswerLogTests(unittest.TestCase):
    def setUp(self) -> None:
        traffic = RolloutTraffic()
        order = RolloutOrder(SERVICE, NEW, 15.0)
        traffic.set_rollout(SERVICE, Rollout(order, None, 1))
        self.log = AnswerLog(traffic, ProxyMetrics())

    def send(self, *attempts: tuple[str, bool]) -> None:
        """Record a call whose attempts went to versions, and whether they failed."""
        call = mock.Mock(service=SERVICE, failed_answers=[])
        call.route.name = "status"
        for number, (version, fails) in enumerate(attempts):
            in_flight = mock.Mock(sent_at=1.0)
            in_flight.state.entry.name = f"{version}-{number}"
            in_flight.state.entry.software_version = version
            in_flight.state.cold_start.is_cold.return_value = False
            result = AttemptResult(ExecutionStatus.EXECUTED, first_byte=0.1)
            result.failure = mock.Mock() if fails else None
            result.cause = Cause.NONE
            self.log.record(call, in_flight, result)
        self.log.settle(call)

    def count(self, version: str) -> tuple[int, int]:
        """Return a version's failed and its other answers."""
        found = [
            counts
            for key, counts in self.log.find(SERVICE, NEW).items()
            if (key.group is not None) == (version == NEW)
        ]
        failed = sum(counts.failed for counts in found)
        return failed, sum(counts.answers for counts in found) - failed

    def test_what_fails_at_every_target_counts_against_no_version(self) -> None:
        """Guards against a version that is blamed for requests which always fail."""
        self.send((NEW, True), (OLD, True))
        self.send((OLD, True), (OLD, True))
        self.assertEqual((self.count(NEW), self.count(OLD)), ((0, 0), (0, 0)))

    def test_what_another_version_answers_counts_against_the_one_that_failed(
        self,
    ) -> None:
        self.send((NEW, True), (OLD, False))
        self.assertEqual((self.count(NEW), self.count(OLD)), ((1, 0), (0, 1)))

    def test_the_failure_of_a_call_with_one_attempt_counts(self) -> None:
        """Guards against a bad version of a route whose requests run once."""
        self.send((NEW, True))
        self.assertEqual(self.count(NEW), (1, 0))


if __name__ == "__main__":
    unittest.main()
