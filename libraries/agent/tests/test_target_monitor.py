"""What shows that a target ended, after a response of it broke off."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from result import Err, Ok

from bamboopier_agent.errors import BrokenResponseError, TargetUnreachableError
from bamboopier_agent.target import TargetState
from bamboopier_agent.target_monitor import TargetMonitor
from bamboopier_protocol import agent_pb2 as pb

from .builders import FakeObjects
from .service_builders import FakeTarget, make_request, make_service, serve

BEFORE = "start-1"


class TargetMonitorTests(unittest.IsolatedAsyncioTestCase):
    async def check(self, answer: Any) -> bool:
        """Return whether a target that answers this now is held to have ended."""
        target = mock.Mock()
        target.read_state = mock.AsyncMock(return_value=Ok(TargetState(BEFORE)))
        context, gate = mock.Mock(), mock.Mock()
        monitor = TargetMonitor(target, gate, context)
        await monitor.refresh()
        target.read_state = mock.AsyncMock(side_effect=answer)
        return await monitor.has_ended(BEFORE)

    async def test_a_target_that_ended_is_told_from_one_that_lives_on(self) -> None:
        # Guards against a request that is refused since its targets broke connections,
        # and against one that is sent on since its targets restarted at once.
        cases: tuple[tuple[Any, bool], ...] = (
            (Ok(TargetState(BEFORE)), False),
            (Ok(TargetState("start-2")), True),
            (Err(TargetUnreachableError("nothing listens")), True),
            (Err(BrokenResponseError("no response")), False),
        )
        for answer, ended in cases:
            with self.subTest(answer=answer):
                self.assertEqual(await self.check([answer]), ended)

    async def test_a_silent_target_has_not_ended(self) -> None:
        # Guards against a caller that waits for its outcome while the target hangs.
        async def hang() -> None:
            await asyncio.sleep(30)

        with mock.patch("bamboopier_agent.target_monitor.CHECK_TIMEOUT_SECONDS", 0.01):
            self.assertFalse(await self.check(hang))


class BrokenResponseTests(unittest.IsolatedAsyncioTestCase):
    async def test_the_gateway_is_told_whether_the_target_ended(self) -> None:
        # Guards against a crash and a broken connection that look the same elsewhere.
        for ends, cause in ((True, pb.TARGET_CRASHED), (False, pb.RESPONSE_BROKEN)):
            with self.subTest(ends=ends):
                target = FakeTarget()
                target.breaks_off, target.ends = True, ends
                service = make_service(FakeObjects(), target, "agent-1")
                events = await serve(service, make_request("attempt-1"))
                self.assertEqual(events[-1].unknown.cause, cause)

    async def test_a_response_without_framing_ends_with_a_target_that_lives_on(
        self,
    ) -> None:
        # Guards against a truncated response that looks complete: its target closed
        # the connection by ending.
        for ends in (True, False):
            with self.subTest(ends=ends):
                target = FakeTarget()
                target.unframed, target.ends = True, ends
                service = make_service(FakeObjects(), target, "agent-1")
                events = await serve(service, make_request("attempt-1"))
                if ends:
                    self.assertEqual(events[-1].unknown.cause, pb.TARGET_CRASHED)
                else:
                    self.assertTrue(events[-1].HasField("finished"))


if __name__ == "__main__":
    unittest.main()
