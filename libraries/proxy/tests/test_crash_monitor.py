"""Which broken responses show that their target ended."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any, cast
from unittest import mock

from structlog.testing import capture_logs

from bamboopier_proxy.crash_monitor import UNFINISHED_SECONDS, CrashMonitor
from bamboopier_proxy.target_pool import ConnectError, TargetRefusedError

from .forwarder_builders import Clock, make_call, make_entry

if TYPE_CHECKING:
    from bamboopier_proxy.messages import Call

RUN_SECONDS = 0.1
PART = b"part"


class CrashMonitorTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        patch = mock.patch("bamboopier_proxy.crash_monitor.read_clock", self.clock.read)
        patch.start()
        self.addCleanup(patch.stop)
        for name, value in (("SETTLE_SECONDS", 0.0), ("LATE_CHECK_SECONDS", (0, 0))):
            path = f"bamboopier_proxy.crash_monitor.{name}"
            self.enterContext(mock.patch(path, value))
        self.pool = mock.Mock()
        self.pool.check = mock.AsyncMock(side_effect=TargetRefusedError)
        self.records = mock.Mock()
        self.records.record_crashes.side_effect = lambda c: self.crashes.extend(c)
        self.crashes: list[Any] = []
        # Whether responses had gone on for long.
        self.survived = False
        # Attempts of other requests at the target.
        self.others = 0
        self.part_records = mock.Mock()
        self.monitor = CrashMonitor(self.pool, self.records, self.part_records)
        await self.enterAsyncContext(self.monitor)

    def end_attempt(
        self, fingerprint: bytes, *, broken: bool, prompt: bool = False
    ) -> Call:
        """End an attempt at the only target without a complete response."""
        call = make_call(self.clock.now, keyed=False, prompt=prompt)
        call.fingerprint = fingerprint
        call.parts = (PART,) if prompt else ()
        self.monitor.record_unfinished(call, self.make_in_flight(), broken=broken)
        return call

    def make_in_flight(self) -> Any:
        """Return a request that was sent to the only target."""
        in_flight = mock.Mock(sent_at=self.clock.now - RUN_SECONDS)
        in_flight.survived = self.survived
        in_flight.state.entry = make_entry()
        in_flight.state.stall_detector.in_flight = self.others
        return in_flight

    async def finish_checks(self) -> list[bytes]:
        """Return the requests that are held to have crashed the target."""
        tasks = [check.task for check in self.monitor._checks.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        return [crash.fingerprint for crash in self.crashes]

    async def test_a_target_that_refuses_connections_ended_with_all_it_had(
        self,
    ) -> None:
        # Guards against a crash that is not recorded: a response had begun, or the
        # caller left right before.
        self.end_attempt(b"left", broken=False)
        self.end_attempt(b"broken", broken=True)
        self.end_attempt(b"beside", broken=True)
        self.assertEqual(await self.finish_checks(), [b"left", b"broken", b"beside"])
        crash = self.crashes[0]
        self.assertEqual(crash.target, make_entry().name)
        self.assertAlmostEqual(crash.ended_at - crash.sent_at, RUN_SECONDS)
        self.pool.check.assert_awaited_once()

    async def test_a_target_that_ends_after_the_first_late_check_is_found(self) -> None:
        # Guards against a request that ends targets some tenths of a second after its
        # callers have left.
        self.pool.check = mock.AsyncMock(side_effect=[None, TargetRefusedError])
        self.end_attempt(b"left", broken=False)
        self.assertEqual(await self.finish_checks(), [b"left"])
        self.assertEqual(self.pool.check.await_count, 2)

    async def test_a_request_counts_whose_caller_left_before_its_target_ended(
        self,
    ) -> None:
        # Guards against a request that ends one target after the other, since each of
        # its callers leaves in the moment before.
        self.end_attempt(b"left", broken=False)
        self.end_attempt(b"left too", broken=False)
        self.assertEqual(await self.finish_checks(), [b"left", b"left too"])
        self.pool.check.assert_awaited_once()

    async def test_callers_that_leave_a_busy_target_cost_no_connections(self) -> None:
        # Guards against connections to targets that are too busy to answer in time,
        # one for each check: if such a target ends, its other attempts break.
        self.others = 3
        self.end_attempt(b"left", broken=False)
        self.assertEqual(await self.finish_checks(), [])
        self.pool.check.assert_not_called()
        self.end_attempt(b"broken", broken=True)
        self.assertEqual(await self.finish_checks(), [b"left", b"broken"])

    async def test_a_target_that_lives_on_has_crashed_with_nothing(self) -> None:
        # Guards against a request that is refused since its target broke off responses.
        for outcome in (None, ConnectError):
            with self.subTest(outcome=outcome):
                self.pool.check = mock.AsyncMock(side_effect=outcome)
                self.end_attempt(b"broken", broken=True)
                self.assertEqual(await self.finish_checks(), [])
                self.pool.check.assert_awaited_once()

    async def test_attempts_that_ended_long_before_do_not_count(self) -> None:
        # Guards against a request that counts for a target that ended seconds later.
        self.end_attempt(b"long before", broken=False)
        self.clock.now += UNFINISHED_SECONDS
        self.end_attempt(b"broken", broken=True)
        self.assertEqual(await self.finish_checks(), [b"broken"])

    async def test_attempts_at_a_busy_target_are_forgotten(self) -> None:
        # Guards against memory that grows while callers leave one target all the time.
        self.pool.check = mock.AsyncMock()
        for _ in range(50):
            self.end_attempt(b"left", broken=False)
            self.clock.now += UNFINISHED_SECONDS / 5
        (attempts,) = self.monitor._unfinished.values()
        self.assertLessEqual(len(attempts), 6)

    async def test_the_end_of_a_target_names_the_parts_of_what_it_had(self) -> None:
        # Guards against ends that nobody can trace to a part that all requests share.
        with capture_logs() as logs:
            for _ in range(2):
                self.end_attempt(b"broken", broken=True, prompt=True)
            await self.finish_checks()
        (line,) = [entry for entry in logs if entry["event"] == "target ended"]
        self.assertEqual(line["requests_by_part"], {"aa": 2})

    async def test_a_response_that_went_on_for_long_clears_its_parts(self) -> None:
        # Guards against parts of long streams that are held to end targets, which had
        # written on them for seconds.
        for survived in (True, False):
            with self.subTest(survived=survived):
                self.part_records.reset_mock()
                self.survived = survived
                self.end_attempt(b"long", broken=True, prompt=True)
                self.survived = False
                self.end_attempt(b"short", broken=True, prompt=True)
                await self.finish_checks()
                (crashes,) = self.part_records.record_crashes.call_args.args
                self.assertEqual(len(list(crashes)), 0 if survived else 2)
                (cleared, _) = self.part_records.record_completed.call_args.args
                self.assertEqual(set(cleared), {PART} if survived else set())

    async def test_an_attempt_that_was_not_sent_is_no_evidence(self) -> None:
        # Guards against requests of callers that left while the gateway connected.
        call = make_call(self.clock.now, keyed=False, prompt=False)
        in_flight = cast("Any", mock.Mock(sent_at=None))
        self.monitor.record_unfinished(call, in_flight, broken=True)
        self.assertEqual(await self.finish_checks(), [])
        self.pool.check.assert_not_called()


if __name__ == "__main__":
    unittest.main()
