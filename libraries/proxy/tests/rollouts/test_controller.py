"""Gateways that evaluate a roll-out, one failure at a time."""

from __future__ import annotations

import random
import unittest
from typing import Any
from unittest import mock

import msgspec
from result import Err, Ok, Result

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.rollouts.evidence import AnswerCounts, AnswerKey
from bamboopier_decisions.rollouts.order import (
    Rollout,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bamboopier_decisions.rollouts.schedule import MIN_STEP_SECONDS, Allowance
from bamboopier_decisions.rollouts.traffic import RolloutTraffic
from bamboopier_objects.errors import (
    PlatformError,
    PlatformOutcomeUnknownError,
    VersionConflictError,
)
from bamboopier_proxy.hints import RolloutReport, decode, encode
from bamboopier_proxy.metrics import ProxyMetrics
from bamboopier_proxy.rollouts.answer_log import AnswerLog
from bamboopier_proxy.rollouts.controller import RolloutController
from bamboopier_proxy.rollouts.trial import TAKEOVER_SECONDS

from ..forwarder_builders import SERVICE, make_declared, make_entry

OLD, NEW = "v1", "v2"
SECONDS = 15.0
BAD = [(AnswerKey("orders", group), AnswerCounts(failed=9)) for group in (0, 1)]


class StubStore:
    """One stored roll-out, with conditional writes of its status."""

    def __init__(self) -> None:
        self.revision = 1
        self.status: RolloutStatus | None = None
        self.writes: list[RolloutStatus] = []
        # Writes are applied, and their responses lost.
        self.loses_responses = False

    async def write_status(
        self, key: str, status: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        if expected_version != self.revision:
            return Err(VersionConflictError(key, expected_version, self.revision))
        self.revision += 1
        self.status = msgspec.msgpack.decode(status, type=RolloutStatus)
        self.writes.append(self.status)
        if self.loses_responses:
            return Err(PlatformOutcomeUnknownError("no response"))
        return Ok(self.revision)


class Gateway:
    """One controller, with what it knows."""

    def __init__(self, name: str, names: list[str], store: StubStore) -> None:
        self.name = name
        self.store = store
        self.is_informed = True
        self.traffic = RolloutTraffic()
        fleet = Fleet()
        fleet.set_services(make_declared().services)
        for number, version in enumerate((OLD, NEW)):
            entry = msgspec.structs.replace(
                make_entry(), name=f"i-{number}", software_version=version
            )
            fleet.put(0.0, entry)
        metrics = ProxyMetrics()
        self.answers = AnswerLog(self.traffic, metrics)
        registry = mock.Mock(peers={n: n for n in names if n != name})
        registry.select_gateways.return_value = names
        registry.is_own.side_effect = lambda found: found == name
        schema = mock.Mock(rollouts_prefix="r/")
        schema.encode_rollout_status.side_effect = msgspec.msgpack.encode
        self.sent: list[RolloutReport] = []
        peers = mock.Mock(send=lambda hint, _: self.sent.append(hint))
        self.controller = RolloutController(
            name, 1, self.traffic, self.answers, fleet, store, schema, registry,
            peers, metrics, Allowance(0.1, 50), lambda: self.is_informed,
        )  # fmt: skip

    def learn(self, seconds: float = SECONDS, service: str = SERVICE) -> None:
        """Receive what is stored."""
        order = RolloutOrder(service, NEW, seconds)
        rollout = Rollout(order, self.store.status, self.store.revision)
        self.traffic.set_rollout(service, rollout)

    async def evaluate(self, now: float) -> None:
        with (
            mock.patch("bamboopier_proxy.rollouts.controller.read_clock", lambda: now),
            mock.patch("bamboopier_proxy.rollouts.controller.log"),
        ):
            for rollout in self.traffic.rollouts.values():
                await self.controller._handle(rollout)

    def report(
        self, evidence: list[tuple[AnswerKey, AnswerCounts]], sender: str
    ) -> None:
        revision = self.store.revision
        hint = RolloutReport(sender, 1, SERVICE, NEW, revision, 0, evidence)
        self.controller.receive(hint, mock.Mock())


class ControllerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = StubStore()
        names = ["a", "b", "c"]
        self.first, self.second, self.third = (
            Gateway(name, names, self.store) for name in names
        )

    async def begin(self) -> None:
        """Write the first status, and let all gateways receive it."""
        self.first.learn()
        await self.first.evaluate(0.0)
        for gateway in (self.first, self.second, self.third):
            gateway.learn()

    async def test_the_first_gateway_takes_an_order_up(self) -> None:
        await self.begin()
        self.assertEqual([s.state for s in self.store.writes], [RolloutState.RUNNING])
        self.assertEqual(self.store.writes[0].former, (OLD,))

    async def test_the_second_takes_a_step_that_is_overdue(self) -> None:
        """Guards against a roll-out that ends with the gateway that evaluates it."""
        await self.begin()
        await self.second.evaluate(1.0)
        self.assertEqual(len(self.store.writes), 1)
        await self.second.evaluate(1.0 + TAKEOVER_SECONDS)
        self.assertEqual(len(self.store.writes), 2)

    async def test_a_bad_version_is_taken_back_by_whoever_finds_it(self) -> None:
        await self.begin()
        self.third.report(BAD, "a")
        await self.third.evaluate(1.0)
        self.assertIs(self.store.writes[-1].state, RolloutState.ROLLED_BACK)

    async def test_two_that_decide_at_once_write_once(self) -> None:
        """Guards against a status that is replaced by an older decision."""
        await self.begin()
        self.third.report(BAD, "a")
        await self.third.evaluate(1.0)
        await self.first.evaluate(1.0)
        self.assertIs(self.store.writes[-1].state, RolloutState.ROLLED_BACK)
        self.assertEqual(len(self.store.writes), 2)

    async def test_after_a_lost_response_the_step_is_not_taken_twice(self) -> None:
        await self.begin()
        self.store.loses_responses = True
        await self.first.evaluate(1.0)
        await self.first.evaluate(1.3)
        self.assertEqual(len(self.store.writes), 2)
        self.first.learn()
        await self.first.evaluate(1.4)
        self.assertEqual(len(self.store.writes), 2)

    async def test_completion_awaits_the_reports_of_all_gateways(self) -> None:
        """Guards against requests that are cut at targets which stop at once."""
        self.store.status = RolloutStatus(RolloutState.RUNNING, NEW, (OLD,), 1.0)
        with mock.patch("bamboopier_proxy.rollouts.controller.time") as clock:
            clock.time.return_value = 0.0
            for gateway in (self.first, self.second):
                gateway.learn()
                await gateway.evaluate(5.0)
            late = 5.1 + MIN_STEP_SECONDS
            await self.first.evaluate(late)
            self.assertEqual(self.store.writes, [])
            for sender in ("b", "c"):
                self.first.report([], sender)
            await self.first.evaluate(late + 0.1)
        self.assertIs(self.store.writes[-1].state, RolloutState.COMPLETED)

    async def test_a_gateway_that_knows_no_services_yet_decides_nothing(self) -> None:
        """Guards against a good version that a starting gateway takes back."""
        await self.begin()
        self.first.is_informed = False
        self.first.controller._fleet.set_services({})
        await self.first.evaluate(1.0)
        self.assertEqual(len(self.store.writes), 1)

    async def test_an_order_without_duration_is_rejected_with_the_reason(self) -> None:
        self.first.learn(seconds=0.0)
        await self.first.evaluate(0.0)
        status = self.store.writes[-1]
        self.assertIs(status.state, RolloutState.ROLLED_BACK)
        self.assertIn("duration", status.reason)

    async def test_an_order_for_an_unknown_service_is_rejected(self) -> None:
        self.first.learn(service="nobody")
        await self.first.evaluate(0.0)
        self.assertIn("not configured", self.store.writes[-1].reason)

    async def test_a_report_fits_a_datagram_and_is_read_back(self) -> None:
        await self.begin()
        generator = random.Random(1)
        counts = [generator.randrange(1000) for _ in AnswerCounts().by_time]
        evidence: list[Any] = [
            (AnswerKey(f"route-{number}", half), AnswerCounts(100, counts))
            for number in range(6)
            for half in (None, 0, 1)
        ]
        report = RolloutReport("a", 1, SERVICE, NEW, 7, 0, evidence)
        encoded = encode(report)
        self.assertLess(len(encoded), 1400)
        self.assertEqual(decode(encoded), report)


if __name__ == "__main__":
    unittest.main()
