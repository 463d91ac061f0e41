"""One attempt at an agent: left, repeated, frozen, or before a target that is gone.

What the gateway is told must be true of the target's own record, and a key under which
nothing ran must be free again when "not run" is said.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from bamboopier_agent import service as service_module
from bamboopier_protocol import agent_pb2 as pb

from .builders import FakeObjects
from .service_builders import PIECES, FakeTarget, make_request, make_service, serve

# Only reached by a test that would hang.
HANG_SECONDS = 10.0


class ServeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.objects = FakeObjects()
        self.target = FakeTarget()
        self.service = make_service(self.objects, self.target, "agent-1")
        self.other = make_service(self.objects, self.target, "agent-2")

    async def serve(self, attempt: str, **changes: object) -> pb.ServeEvent:
        """Return the last event of an attempt."""
        events = await serve(self.service, make_request(attempt, **changes))
        return events[-1]

    async def start(self, **changes: object) -> asyncio.Task[list[pb.ServeEvent]]:
        request = make_request("left", **changes)
        return asyncio.create_task(serve(self.service, request))

    async def leave(self, task: asyncio.Task[list[pb.ServeEvent]]) -> None:
        task.cancel()
        await asyncio.wait({task})

    async def recall(self) -> pb.RecallReply:
        request = pb.RecallRequest(
            workspace="fosse", idempotency_key="key", fingerprint=b"A46"
        )
        return await self.service.Recall(request, None)

    async def test_an_attempt_that_arrives_twice_runs_once(self) -> None:
        # A message layer repeats the call after a lost connection. The first copy may
        # have run, so the second is told "unknown" and not "not run".
        for key in ("", "key"):
            with self.subTest(key=key):
                self.setUp()
                await self.serve("same", key=key)
                second = await self.serve("same", key=key)
                self.assertTrue(second.HasField("unknown"))
                self.assertEqual(self.target.runs, 1)

    async def test_a_run_goes_on_when_its_gateway_leaves(self) -> None:
        self.target.may_answer.clear()
        task = await self.start()
        await self.target.running.wait()
        await self.leave(task)
        self.assertEqual((await self.recall()).state, pb.RecallReply.RUNNING)
        self.target.may_answer.set()
        async with asyncio.timeout(HANG_SECONDS):
            await self.service._gate.wait_until_idle()
        reply = await self.recall()
        self.assertEqual((reply.state, reply.body), (reply.KEPT, b"".join(PIECES)))
        self.assertEqual((self.target.runs, self.target.cancelled), (1, 0))

    async def test_an_idempotent_run_is_cut_when_its_gateway_leaves(self) -> None:
        self.target.may_answer.clear()
        task = await self.start(idempotent=True)
        await self.target.running.wait()
        await self.leave(task)
        await asyncio.sleep(0)
        self.assertEqual(self.target.cancelled, 1)

    async def test_a_gateway_that_leaves_before_the_run_frees_the_key(self) -> None:
        self.objects.may_write.clear()
        task = await self.start()
        await self.objects.writing.wait()
        await self.leave(task)
        self.objects.may_write.set()
        await self.service._claims.settle()
        self.assertEqual(self.target.runs, 0)
        events = await serve(self.other, make_request("next"))
        self.assertTrue(events[-1].HasField("finished"))

    async def test_an_unreachable_target_frees_the_key_before_it_is_said(self) -> None:
        self.target.reachable = False
        last = await self.serve("first")
        self.assertEqual(last.not_run.cause, pb.TARGET_DOWN)
        self.target.reachable = True
        events = await serve(self.other, make_request("second"))
        self.assertTrue(events[-1].HasField("finished"))
        self.assertEqual(self.target.runs, 1)

    async def test_a_key_that_cannot_be_freed_yet_is_said_not_to_have_run(self) -> None:
        self.target.reachable = False
        self.objects.may_write.clear()
        task = asyncio.create_task(self.serve("first"))
        await self.objects.writing.wait()
        self.objects.may_write.set()
        with mock.patch("bamboopier_agent.claims.RELEASE_SECONDS", 0.01):
            self.objects.after_write = lambda: setattr(self.objects, "down", True)
            last = await task
        self.assertEqual(last.not_run.cause, pb.TARGET_DOWN)
        self.assertEqual((await self.recall()).state, pb.RecallReply.NEVER_RAN)

    async def test_a_process_thawed_after_the_deadline_does_not_run(self) -> None:
        # The platform's answer is held until the deadline has passed, as it is for a
        # process that was stopped in between; the caller has its final answer by then.
        self.objects.may_write.clear()
        task = await self.start(timeout_ms=20)
        await self.objects.writing.wait()
        await asyncio.sleep(0.03)
        self.objects.may_write.set()
        events = await task
        self.assertEqual(events[-1].not_run.cause, pb.DEADLINE)
        self.assertEqual(self.target.runs, 0)
        events = await serve(self.other, make_request("next"))
        self.assertTrue(events[-1].HasField("finished"))

    async def test_a_hung_target_does_not_hold_its_place_for_ever(self) -> None:
        self.target.may_answer.clear()
        no_overtime = mock.patch.object(service_module, "OVERTIME_SECONDS", 0)
        async with asyncio.timeout(HANG_SECONDS):
            with no_overtime:
                last = await self.serve("hung", timeout_ms=20)
        self.assertTrue(last.HasField("unknown"))
        self.assertEqual(self.service._gate.admission.running, 0)
