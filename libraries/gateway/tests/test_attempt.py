"""Tests of attempts with late, misdirected, repeated, truncated or reordered events.

An agent, or the network, delivers events of another response, an event twice, events
in another order, or stops half way. The caller must receive a complete response or
detect that it is incomplete; "not run" may be reported only when the agent reported it
before anything else, or when no connection carried the request.
"""

from __future__ import annotations

import asyncio
import time
import unittest

import grpc

from bamboopier_decisions.routing.messages import ExecutionStatus
from bamboopier_gateway.attempt import Attempt
from bamboopier_protocol import agent_pb2 as pb

from .builders import (
    ATTEMPT,
    BODY,
    FakeDelivery,
    FakeStream,
    FakeStub,
    make_call,
    make_event,
    make_response,
)

RESPONSE = make_response()
OTHER_RESPONSE = make_response(b"stock of aged Gouda", "attempt-2")
NOT_RUN = pb.NotRun(cause=pb.QUEUE_FULL)
# Reached only by a test that would otherwise hang.
HANG_SECONDS = 10.0
CONNECTION_LOST_ERROR = grpc.aio.AioRpcError(
    grpc.StatusCode.UNAVAILABLE, grpc.aio.Metadata(), grpc.aio.Metadata(), "cut"
)
NO_CONNECTION = "failed to connect to all addresses; last error: refused"
NEVER_SENT_ERROR = grpc.aio.AioRpcError(
    grpc.StatusCode.UNAVAILABLE, grpc.aio.Metadata(), grpc.aio.Metadata(), NO_CONNECTION
)
# gRPC's status for an exception in the agent's own code.
AGENT_ERROR = grpc.aio.AioRpcError(
    grpc.StatusCode.UNKNOWN, grpc.aio.Metadata(), grpc.aio.Metadata(), NO_CONNECTION
)
# Name, events, end of the stream, expected status, whether the response is complete.
STREAMS = (
    ("complete", RESPONSE, None, ExecutionStatus.EXECUTED, True),
    (
        "refused",
        [make_event(0, not_run=NOT_RUN)],
        None,
        ExecutionStatus.NOT_EXECUTED,
        False,
    ),
    (
        "unknown",
        [make_event(0, unknown=pb.Unknown())],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    ("nothing at all", [], None, ExecutionStatus.UNKNOWN, False),
    (
        "connection lost at once",
        [],
        CONNECTION_LOST_ERROR,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "connection lost half way",
        RESPONSE[:2],
        CONNECTION_LOST_ERROR,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "connection lost before the end",
        RESPONSE[:3],
        CONNECTION_LOST_ERROR,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    ("never sent", [], NEVER_SENT_ERROR, ExecutionStatus.NOT_EXECUTED, False),
    (
        "never sent, but a response started",
        RESPONSE[:1],
        NEVER_SENT_ERROR,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "the agent failed with the same message",
        [],
        AGENT_ERROR,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    ("ended early", RESPONSE[:3], None, ExecutionStatus.UNKNOWN, False),
    (
        "a chunk lost",
        [RESPONSE[0], RESPONSE[2], RESPONSE[3]],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "a chunk twice",
        [RESPONSE[0], RESPONSE[1], RESPONSE[1], RESPONSE[2], RESPONSE[3]],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "chunks swapped",
        [RESPONSE[0], RESPONSE[2], RESPONSE[1], RESPONSE[3]],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "chunk of another response",
        [RESPONSE[0], OTHER_RESPONSE[1], RESPONSE[2], RESPONSE[3]],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "events of another response",
        OTHER_RESPONSE,
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "end of another response",
        [*RESPONSE[:3], OTHER_RESPONSE[3]],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "refusal of another attempt",
        [make_event(0, "x", not_run=NOT_RUN)],
        None,
        ExecutionStatus.UNKNOWN,
        0,
    ),
    (
        "late refusal",
        [RESPONSE[0], make_event(1, not_run=NOT_RUN)],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    ("no head", [make_event(0, chunk=BODY)], None, ExecutionStatus.UNKNOWN, False),
    (
        "end only",
        [make_event(0, finished=pb.Finished())],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
    (
        "two heads",
        [RESPONSE[0], make_event(1, head=pb.ResponseHead())],
        None,
        ExecutionStatus.UNKNOWN,
        0,
    ),
    ("empty event", [make_event(0)], None, ExecutionStatus.UNKNOWN, False),
    (
        "a chunk missing before the end",
        [*RESPONSE[:2], make_event(2, finished=pb.Finished(body_bytes=len(BODY)))],
        None,
        ExecutionStatus.UNKNOWN,
        False,
    ),
)


def make_stub(stream: FakeStream) -> FakeStub:
    return FakeStub(lambda _: stream)


class AttemptTests(unittest.IsolatedAsyncioTestCase):
    async def test_every_stream(self) -> None:
        for name, events, end, ran, complete in STREAMS:
            with self.subTest(name):
                stream = FakeStream(events, end)
                delivery = FakeDelivery()
                attempt = Attempt(make_call(), make_stub(stream), 1, attempt_id=ATTEMPT)
                result = await attempt.run(delivery)
                self.assertEqual((result.ran, delivery.complete), (ran, bool(complete)))
                self.assertTrue(BODY.startswith(delivery.body))
                self.assertLessEqual(delivery.heads, 1)
                self.assertTrue(stream.cancelled)
                if complete:
                    self.assertEqual(delivery.body, BODY)

    async def test_the_last_bytes_are_sent_after_the_end_event(self) -> None:
        # The target sent a length, all bytes arrive, and the agent is lost before it
        # confirms that the response is complete. A caller that counts bytes must not
        # have received all of them.
        length = pb.Header(name="Content-Length", value=str(len(BODY)))
        head = make_event(0, head=pb.ResponseHead(status=200, headers=[length]))
        for end, complete in ((CONNECTION_LOST_ERROR, False), (None, True)):
            events = [head, *RESPONSE[1:3], *(RESPONSE[3:] if complete else [])]
            delivery = FakeDelivery()
            stub = make_stub(FakeStream(events, end))
            attempt = Attempt(make_call(), stub, 1, attempt_id=ATTEMPT)
            await attempt.run(delivery)
            self.assertEqual(delivery.body == BODY, complete)

    async def test_a_caller_that_disconnects_after_its_last_byte_is_served(
        self,
    ) -> None:
        # The caller has the complete response and closes; the server cancels the task
        # during the final write. The result still states that the request ran.
        class DisconnectedDelivery(FakeDelivery):
            async def finish(self) -> None:
                task = asyncio.current_task()
                assert task is not None
                task.cancel()
                await asyncio.sleep(0)

        stub = make_stub(FakeStream(RESPONSE, None))
        attempt = Attempt(make_call(), stub, 1, attempt_id=ATTEMPT)
        result = await attempt.run(DisconnectedDelivery())
        self.assertEqual(result.ran, ExecutionStatus.EXECUTED)
        self.assertIsNotNone(result.finished)

    async def test_a_silent_agent_delays_no_caller_past_the_deadline(self) -> None:
        # A suspended agent keeps its connection open and sends nothing.
        stream = FakeStream([], None)
        stream.silent = True
        call = make_call(deadline=time.monotonic() - 1)
        attempt = Attempt(call, make_stub(stream), 1, attempt_id=ATTEMPT)
        async with asyncio.timeout(HANG_SECONDS):
            result = await attempt.run(FakeDelivery())
        self.assertEqual(
            (result.ran, result.cause), (ExecutionStatus.UNKNOWN, pb.DEADLINE)
        )
        self.assertTrue(stream.cancelled)

    async def test_responses_mixed_between_two_calls_reach_neither(self) -> None:
        streams = {
            "attempt-1": FakeStream(
                [*RESPONSE[:1], OTHER_RESPONSE[1], *RESPONSE[2:]], None
            ),
            "attempt-2": FakeStream(
                [*OTHER_RESPONSE[:1], RESPONSE[1], *OTHER_RESPONSE[2:]], None
            ),
        }
        stub = FakeStub(lambda request: streams[request.attempt_id])
        for attempt_id in streams:
            delivery = FakeDelivery()
            attempt = Attempt(make_call(), stub, 1, attempt_id=attempt_id)
            result = await attempt.run(delivery)
            self.assertEqual(
                (result.ran, delivery.body), (ExecutionStatus.UNKNOWN, b"")
            )
