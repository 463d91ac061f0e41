"""When a gateway reports on a roll-out, and what it tells."""

from __future__ import annotations

import unittest

from bamboopier_decisions.rollouts.evidence import AnswerCounts, AnswerKey
from bamboopier_decisions.rollouts.order import RolloutState
from bamboopier_decisions.rollouts.report_schedule import (
    FULL_EVERY,
    MAX_SECONDS,
    MIN_SECONDS,
    UNCHANGED_SECONDS,
    ReportSchedule,
)

from .builders import Behaviour, Replay

NOW = 10.0
OLD, NEW = AnswerKey("orders", None), AnswerKey("orders", 1)
TO = ("a", "b", "c")
# What a node may spend on control traffic a second, and the size of a datagram's
# headers and names, and of one key with its counts, in bytes.
MAX_BYTES, REPORT_BYTES, KEY_BYTES = 22_000, 88, 48


class ReportScheduleTests(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = ReportSchedule(0.0)
        self.evidence = {OLD: AnswerCounts(untimed=5), NEW: AnswerCounts(untimed=1)}

    def is_due(self, now: float, gateways: int = 340, *, drained: bool = False) -> bool:
        return self.schedule.is_due(now, gateways, self.evidence, is_drained=drained)

    def send(self, now: float = NOW, to: tuple[str, ...] = TO) -> set[AnswerKey]:
        return set(self.schedule.select(now, to, self.evidence))

    def test_few_gateways_report_at_each_evaluation(self) -> None:
        for tick in range(4):
            now = NOW + tick * MIN_SECONDS
            self.evidence[OLD].untimed += 1
            self.assertTrue(self.is_due(now, 4))
            self.send(now)

    def test_many_gateways_report_rarely(self) -> None:
        """Guards against a megabyte a second at each of three gateways."""
        self.assertTrue(self.is_due(NOW))
        self.send()
        self.evidence[OLD].untimed += 1
        self.assertFalse(self.is_due(NOW + 1.0))
        self.assertTrue(self.is_due(NOW + MAX_SECONDS))

    def test_unchanged_counts_are_told_rarely(self) -> None:
        self.is_due(NOW, 4)
        self.send()
        self.assertFalse(self.is_due(NOW + UNCHANGED_SECONDS / 2, 4))
        self.assertTrue(self.is_due(NOW + UNCHANGED_SECONDS, 4))

    def test_a_failure_of_the_version_is_told_at_once(self) -> None:
        self.is_due(NOW)
        self.send()
        self.evidence[OLD].failed += 1
        self.assertFalse(self.is_due(NOW + MIN_SECONDS))
        self.evidence[NEW].failed += 1
        self.assertTrue(self.is_due(NOW + MIN_SECONDS))
        self.assertEqual(self.send(), {OLD, NEW})

    def test_a_failure_is_told_twice(self) -> None:
        """Guards against a lost datagram that hides a bad version for a second."""
        self.send()
        self.evidence[NEW].failed += 1
        self.assertEqual(self.send(), {NEW})
        self.assertTrue(self.is_due(NOW + MIN_SECONDS))
        self.assertEqual(self.send(), {NEW})
        self.assertFalse(self.is_due(NOW + 2 * MIN_SECONDS))

    def test_the_last_request_of_the_former_version_is_told_at_once(self) -> None:
        self.is_due(NOW)
        self.send()
        for tick in (1, 2):
            self.assertTrue(self.is_due(NOW + tick * MIN_SECONDS, drained=True))
            self.send()
        self.assertFalse(self.is_due(NOW + 3 * MIN_SECONDS, drained=True))

    def test_only_changed_counts_are_told(self) -> None:
        self.assertEqual(self.send(), {OLD, NEW})
        self.evidence[NEW].untimed += 1
        self.assertEqual(self.send(), {NEW})
        self.assertEqual(self.send(), set())

    def test_a_lost_report_is_made_up_for(self) -> None:
        told = [self.send() for _ in range(FULL_EVERY + 1)]
        self.assertEqual(told[FULL_EVERY], {OLD, NEW})

    def test_another_evaluating_gateway_is_told_everything(self) -> None:
        self.send()
        self.assertEqual(self.send(to=("a", "b", "d")), {OLD, NEW})


class ManyGatewaysTests(unittest.TestCase):
    def test_the_evaluating_gateways_carry_little(self) -> None:
        for gateways in (29, 68, 340):
            with self.subTest(gateways=gateways):
                replay = Replay(Behaviour(), gateways)
                replay.run()
                self.assertIs(replay.state, RolloutState.COMPLETED)
                sent = replay.reports * REPORT_BYTES
                sent += replay.reported_keys * KEY_BYTES
                self.assertLess(sent / replay.finished_at, MAX_BYTES)

    def test_a_bad_version_is_found_by_rare_reports(self) -> None:
        for seed in range(3):
            replay = Replay(
                Behaviour(failing=lambda r: 0.25 * (r.version == "v2")), 340, seed
            )
            replay.run()
            self.assertIs(replay.state, RolloutState.ROLLED_BACK)
            self.assertLessEqual(replay.exposed, replay.allowed)


if __name__ == "__main__":
    unittest.main()
