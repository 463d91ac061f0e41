"""Builders of calls, and fakes of an agent's stream and of a delivery."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from bamboopier_gateway.call import Call
from bamboopier_protocol import agent_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

ATTEMPT = "attempt-1"
BODY = b"van sent to A46"


def make_call(**changes: Any) -> Call:
    """Return a non-idempotent call."""
    call = Call(
        request_id="request-1",
        workspace="fosse",
        service="dispatch",
        method="POST",
        path="/vans",
        headers=(),
        body=b"A46",
        deadline=time.monotonic() + 60,
        priority=0,
        idempotent=False,
        idempotency_key="",
    )
    return replace(call, **changes)


def make_event(sequence: int, attempt: str = ATTEMPT, **kind: Any) -> pb.ServeEvent:
    """Return one event of a response."""
    return pb.ServeEvent(attempt_id=attempt, sequence=sequence, **kind)


def make_response(body: bytes = BODY, attempt: str = ATTEMPT) -> list[pb.ServeEvent]:
    """Return a complete response in four events."""
    half = len(body) // 2
    finished = pb.Finished(body_bytes=len(body))
    return [
        make_event(0, attempt, head=pb.ResponseHead(status=201)),
        make_event(1, attempt, chunk=body[:half]),
        make_event(2, attempt, chunk=body[half:]),
        make_event(3, attempt, finished=finished),
    ]


class FakeStream:
    """A stream of given events that then raises an error, ends or stays silent."""

    def __init__(self, events: Iterable[pb.ServeEvent], end: Exception | None) -> None:
        self._events = list(events)
        self._end = end
        self.silent = False
        self.cancelled = False

    async def __aiter__(self) -> AsyncIterator[pb.ServeEvent]:
        for event in self._events:
            yield event
        if self.silent:
            await asyncio.Event().wait()
        if self._end is not None:
            raise self._end

    def cancel(self) -> None:
        self.cancelled = True


@dataclass
class FakeStub:
    """Answers every ``Serve`` with the stream that ``make_stream`` returns."""

    make_stream: Callable[[pb.ServeRequest], FakeStream]
    requests: list[pb.ServeRequest] = field(default_factory=list)

    def Serve(self, request: pb.ServeRequest) -> FakeStream:  # noqa: N802
        self.requests.append(request)
        return self.make_stream(request)


@dataclass
class FakeDelivery:
    """Records what the caller would have received."""

    heads: int = 0
    body: bytes = b""
    complete: bool = False

    @property
    def started(self) -> bool:
        return self.heads > 0

    @property
    def response(self) -> Any:
        return SimpleNamespace(prepared=self.started)

    async def start(self, head: pb.ResponseHead) -> None:
        self.heads += 1

    async def write(self, chunk: bytes) -> None:
        self.body += chunk

    async def finish(self) -> None:
        self.complete = True
