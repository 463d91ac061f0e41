"""Builds the ``ServeEvent`` messages of one response in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_daemon.headers import make_text
from bamboopier_protocol import agent_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class EventBuilder:
    """Numbers the events of one attempt, so that the reader can detect a missing one.

    ``report`` returns the load that is attached to the first and the last event.
    """

    __slots__ = ("_attempt_id", "_report", "_sequence", "body_bytes")

    def __init__(self, attempt_id: str, report: Callable[[], pb.LoadReport]) -> None:
        self._attempt_id = attempt_id
        self._report = report
        self._sequence = 0
        self.body_bytes = 0

    def make_head(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        weight_version: str,
        *,
        replayed: bool = False,
    ) -> pb.ServeEvent:
        """Return the first event of a response."""
        head = pb.ResponseHead(
            status=status,
            headers=[pb.Header(name=n, value=make_text(v)) for n, v in headers],
            weight_version=weight_version,
            replayed=replayed,
        )
        return self._number(pb.ServeEvent(head=head, load=self._report()))

    def make_chunk(self, chunk: bytes) -> pb.ServeEvent:
        """Return the event for a chunk of the body."""
        self.body_bytes += len(chunk)
        return self._number(pb.ServeEvent(chunk=chunk))

    def make_finished(self, finished: pb.Finished) -> pb.ServeEvent:
        """Return the last event of a complete response."""
        finished.body_bytes = self.body_bytes
        return self._number(pb.ServeEvent(finished=finished, load=self._report()))

    def make_not_run(
        self,
        cause: pb.Cause,
        retry_after: float = 0.0,
        detail: str = "",
        claimed_by: str = "",
        claim_id: str = "",
    ) -> pb.ServeEvent:
        """Return the event for an attempt that did not run.

        ``retry_after`` is in seconds.
        """
        not_run = pb.NotRun(
            cause=cause,
            retry_after_ms=int(retry_after * 1000),
            detail=detail,
            claimed_by=claimed_by,
            claim_id=claim_id,
        )
        return self._number(pb.ServeEvent(not_run=not_run, load=self._report()))

    def make_unknown(self, cause: pb.Cause, detail: str) -> pb.ServeEvent:
        """Return the event for an attempt that may have run."""
        unknown = pb.Unknown(cause=cause, detail=detail)
        return self._number(pb.ServeEvent(unknown=unknown, load=self._report()))

    def _number(self, event: pb.ServeEvent) -> pb.ServeEvent:
        event.attempt_id = self._attempt_id
        event.sequence = self._sequence
        self._sequence += 1
        return event
