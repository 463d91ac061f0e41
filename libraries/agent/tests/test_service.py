"""Attempts that are disconnected, repeated or suspended, or whose target is down.

The outcome reported to the gateway must agree with the runs that the target counted,
and a key under which nothing ran must be released when "not run" is reported.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from fault_matrix import CallFault

from bamboopier_agent import attempt_runner, claims
from bamboopier_protocol import agent_pb2 as pb

from .builders import FakeObjects
from .service_builders import (
    CHUNKS,
    FakeTarget,
    make_recall,
    make_request,
    make_service,
    serve,
)

# Only reached by a test that hangs.
HANG_SECONDS = 10.0
# Iterations of the event loop; more than an attempt takes.
MAX_STEPS = 60


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

    async def disconnect(self, task: asyncio.Task[list[pb.ServeEvent]]) -> None:
        task.cancel()
        await asyncio.wait({task})

    async def recall(self, claim_id: str = "") -> pb.RecallReply:
        return await self.service.Recall(make_recall(claim_id), None)

    async def test_an_attempt_that_arrives_twice_runs_once(self) -> None:
        # A message layer resends the call after a lost connection. The first copy may
        # have run, so the second receives "unknown" and not "not run".
        for key in ("", "key"):
            with self.subTest(key=key):
                self.setUp()
                await self.serve("same", key=key)
                second = await self.serve("same", key=key)
                self.assertTrue(second.HasField("unknown"))
                self.assertEqual(self.target.runs, 1)

    async def test_a_run_continues_after_its_gateway_disconnects(self) -> None:
        self.target.may_respond.clear()
        task = await self.start()
        await self.target.running.wait()
        await self.disconnect(task)
        self.assertEqual((await self.recall()).state, pb.RecallReply.RUNNING)
        self.target.may_respond.set()
        async with asyncio.timeout(HANG_SECONDS):
            await self.service._gate.wait_until_idle()
        reply = await self.recall()
        self.assertEqual((reply.state, reply.body), (reply.KEPT, b"".join(CHUNKS)))
        self.assertEqual((self.target.runs, self.target.cancelled), (1, 0))

    async def test_an_idempotent_run_is_cancelled_with_its_gateway(self) -> None:
        self.target.may_respond.clear()
        task = await self.start(idempotent=True)
        await self.target.running.wait()
        await self.disconnect(task)
        await asyncio.sleep(0)
        self.assertEqual(self.target.cancelled, 1)

    async def test_a_disconnect_before_the_run_frees_the_key(self) -> None:
        self.objects.may_write.clear()
        task = await self.start()
        await self.objects.writing.wait()
        await self.disconnect(task)
        self.objects.may_write.set()
        await self.service._claims.wait_until_released()
        self.assertEqual(self.target.runs, 0)
        events = await serve(self.other, make_request("next"))
        self.assertTrue(events[-1].HasField("finished"))

    async def test_an_unreachable_target_frees_the_key_before_not_run(self) -> None:
        self.target.reachable = False
        last = await self.serve("first")
        self.assertEqual(last.not_run.cause, pb.TARGET_DOWN)
        self.target.reachable = True
        events = await serve(self.other, make_request("second"))
        self.assertTrue(events[-1].HasField("finished"))
        self.assertEqual(self.target.runs, 1)

    async def test_a_key_that_cannot_be_freed_yet_is_reported_never_run(self) -> None:
        self.target.reachable = False
        self.objects.may_write.clear()
        task = asyncio.create_task(self.serve("first"))
        await self.objects.writing.wait()
        self.objects.may_write.set()
        with mock.patch("bamboopier_agent.claims.RELEASE_TIMEOUT_SECONDS", 0.01):
            self.objects.after_write = lambda: setattr(self.objects, "down", True)
            last = await task
        self.assertEqual(last.not_run.cause, pb.TARGET_DOWN)
        self.assertEqual((await self.recall()).state, pb.RecallReply.NEVER_RAN)

    async def test_a_process_resumed_after_the_deadline_does_not_run(self) -> None:
        # The platform's response is delayed until the deadline has passed, as for a
        # process that was suspended. The caller has its final response by then.
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

    async def test_a_hung_target_does_not_hold_its_slot_forever(self) -> None:
        self.target.may_respond.clear()
        no_grace = mock.patch.object(attempt_runner, "DEADLINE_GRACE_SECONDS", 0)
        async with asyncio.timeout(HANG_SECONDS):
            with no_grace:
                last = await self.serve("hung", timeout_ms=20)
        self.assertTrue(last.HasField("unknown"))
        self.assertEqual(self.service._gate.admission.running, 0)

    async def test_a_claim_with_its_write_in_flight_is_running(self) -> None:
        # A gateway sends a request, and the platform stores its claim. Before the
        # platform's response arrives at the agent, the caller repeats the request at
        # another agent, which reads the claim. The claim's holder may still run the
        # request or abandon it: after "outcome unknown", as for a lost run, the caller
        # would never repeat it.
        for disconnects in (False, True):
            with self.subTest(disconnects=disconnects):
                self.setUp()
                self.objects.may_respond.clear()
                task = await self.start()
                await self.objects.written.wait()
                second = (await serve(self.other, make_request("second")))[-1].not_run
                self.assertEqual(second.cause, pb.KEY_CLAIMED)
                reply = await self.recall(second.claim_id)
                self.assertEqual(reply.state, pb.RecallReply.RUNNING)
                if disconnects:
                    await self.disconnect(task)
                self.objects.may_respond.set()
                await asyncio.wait({task})
                wanted = (
                    pb.RecallReply.NEVER_RAN if disconnects else pb.RecallReply.KEPT
                )
                reply = await self.recall(second.claim_id)
                self.assertEqual(reply.state, wanted)

    async def test_a_claim_of_an_earlier_process_stays_unknown(self) -> None:
        # The agent that held the claim has ended, so it stays unknown whether the
        # request ran, however often the caller repeats it.
        self.objects.may_respond.clear()
        task = await self.start()
        await self.objects.written.wait()
        (claim_id,) = self.objects.list_claim_ids()
        self.service = make_service(self.objects, self.target, "agent-1")
        reply = await self.recall(claim_id)
        self.assertEqual(reply.state, pb.RecallReply.NOT_KEPT)
        await self.disconnect(task)


class RecallTests(unittest.IsolatedAsyncioTestCase):
    """A claim is recalled at every step of its holder's work.

    Another agent may have read the claim at any time after it was stored, also long
    before the recall arrives. The holder has recorded the run, or that there will be
    none, or waits for the outcome; it never reports that it has lost the response.
    """

    def setUp(self) -> None:
        self.objects = FakeObjects()
        self.target = FakeTarget()
        self.service = make_service(self.objects, self.target, "agent-1")
        self.claim_ids: set[str] = set()
        self.states: set[int] = set()

    async def test_the_holder_reports_its_claim_at_every_step(self) -> None:
        for reachable in (True, False):
            for fault in CallFault:
                with self.subTest(reachable=reachable, fault=fault):
                    self.setUp()
                    self.target.reachable = reachable
                    self.objects.write_faults.append(fault)
                    await self.follow()

    async def test_the_holder_reports_its_claim_at_every_disconnect(self) -> None:
        for steps in range(MAX_STEPS):
            with self.subTest(steps=steps):
                self.setUp()
                ended = await self.follow(disconnect_after=steps)
        # The last one ended before its disconnect, so no step was left out.
        self.assertTrue(ended)

    async def test_the_holder_reports_a_claim_that_timed_out(self) -> None:
        # The platform responds only after the agent has reported "not run".
        self.objects.may_respond.clear()
        with mock.patch.object(claims, "CLAIM_TIMEOUT_SECONDS", 0.01):
            await self.follow()
        self.assertIn(pb.RecallReply.NEVER_RAN, self.states)

    async def follow(self, disconnect_after: int | None = None) -> bool:
        """Recall each stored claim at every step; return whether the attempt ended."""
        task = asyncio.create_task(serve(self.service, make_request("first")))
        steps = 0
        async with asyncio.timeout(HANG_SECONDS):
            while not task.done() and steps != disconnect_after:
                await self.step()
                steps += 1
            ended = task.done()
            task.cancel()
            self.objects.may_respond.set()
            settled = asyncio.create_task(self.wait_until_released())
            while not settled.done():
                await self.step()
        self.assertNotIn(pb.RecallReply.NOT_KEPT, self.states)
        return ended

    async def wait_until_released(self) -> None:
        await self.service._gate.wait_until_idle()
        await self.service._claims.wait_until_released()

    async def step(self) -> None:
        """Run each task for one step, then recall all claims."""
        await asyncio.sleep(0)
        self.claim_ids |= self.objects.list_claim_ids()
        for claim_id in self.claim_ids:
            request = make_recall(claim_id)
            self.states.add((await self.service.Recall(request, None)).state)
