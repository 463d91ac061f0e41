"""Finds out which targets ended, and which requests they had.

A broken response alone shows no crash: a target may reset one connection and live on.
One that ended refuses new connections. That others are still open shows nothing: their
ends may arrive later, or be lost.

Load pattern: a target ends with dozens of requests at once, which costs one connection
attempt. At one that only breaks off responses, it replaces the broken connection. Where
many callers leave a busy target, it costs nothing: if the target ends, other attempts
break.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from typing import TYPE_CHECKING, Protocol

import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.quarantine.part_crashes import PartCrash
from bamboopier_decisions.quarantine.quarantine import Crash

from .target_pool import ConnectError, TargetRefusedError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import TracebackType
    from typing import Self

    from bamboopier_decisions.forwarding.fleet import InFlightRequest
    from bamboopier_decisions.forwarding.specs import TargetEntry
    from bamboopier_decisions.forwarding.target_state import TargetState

    from .messages import Call
    from .part_evidence import PartRefusal
    from .target_pool import TargetPool

# Time in which the other attempts at a target that ended break, too, and in which it
# stops listening.
SETTLE_SECONDS = 0.02
# Times after an attempt whose connection was closed here, at which its target is
# checked: soon, since others wait for the evidence, and again, as a request may still
# end it.
LATE_CHECK_SECONDS = (0.1, 0.4)
# Time for which an attempt that ended without a complete response counts for a target
# that ends next: a caller may leave shortly before its request crashes the target.
UNFINISHED_SECONDS = 1.0
# Maximum number of request ids, and of parts of prompts, in a log line.
MAX_LOGGED_IDS = 8
MAX_LOGGED_PARTS = 8

log = structlog.get_logger()

TargetKey = tuple[str, int]


class CrashRecords(Protocol):
    """What is known of crashes, here and at other gateways."""

    def record_crashes(self, crashes: Iterable[Crash]) -> None:
        """Record and announce crashes that were seen here."""
        ...

    def record_completed(self, fingerprint: bytes) -> None:
        """Record that a target completed a request."""
        ...

    def find_wait(self, fingerprint: bytes) -> float:
        """Return the seconds for which a request is refused; 0 if it is not."""
        ...


class PartRecords(Protocol):
    """What is known of the parts of prompts that crash targets, here and elsewhere."""

    def record_crashes(self, crashes: Iterable[PartCrash]) -> None:
        """Record and announce crashes that were seen here."""
        ...

    def record_completed(self, parts: Iterable[bytes], completed_at: float) -> None:
        """Record that a target completed a request with these parts."""
        ...

    def find_refusal(self, call: Call) -> PartRefusal | None:
        """Return why a request is refused for a part; None if it is not."""
        ...


class _UnfinishedAttempt:
    """An attempt without a complete response."""

    __slots__ = (
        "ended_at",
        "fingerprint",
        "part_names",
        "parts",
        "request_id",
        "sent_at",
        "survived",
    )

    def __init__(
        self, call: Call, sent_at: float, ended_at: float, *, survived: bool
    ) -> None:
        self.survived = survived
        self.fingerprint = call.fingerprint
        self.parts = call.parts
        parts = call.prompt.shared_parts if call.prompt is not None else ()
        self.part_names = frozenset(part.name for part in parts)
        self.request_id = call.request_id
        self.sent_at = sent_at
        self.ended_at = ended_at


class _Check:
    """A check of a target that is due."""

    __slots__ = ("is_late", "task")

    def __init__(self, task: asyncio.Task[bool], *, is_late: bool) -> None:
        self.task = task
        self.is_late = is_late


class CrashMonitor:
    """Checks targets after broken responses, while its context is open."""

    def __init__(
        self, pool: TargetPool, records: CrashRecords, part_records: PartRecords
    ) -> None:
        self._pool = pool
        self._records = records
        self._part_records = part_records
        # Those of the last ``UNFINISHED_SECONDS``, the oldest first.
        self._unfinished: dict[TargetKey, deque[_UnfinishedAttempt]] = {}
        self._checks: dict[TargetKey, _Check] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        tasks = [check.task for check in self._checks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def find_wait(self, fingerprint: bytes) -> float:
        """Return the seconds for which a request is refused; 0 if it is not."""
        return self._records.find_wait(fingerprint)

    def find_part_refusal(self, call: Call) -> PartRefusal | None:
        """Return why a request is refused for a part; None if it is not."""
        return self._part_records.find_refusal(call)

    def record_completed(self, call: Call, *, succeeded: bool) -> None:
        """Record that a target completed the request.

        A response that reports an error shows nothing about the parts of its prompt:
        the target may not have begun to write on them.
        """
        self._records.record_completed(call.fingerprint)
        if succeeded:
            self._part_records.record_completed(call.parts, read_clock())

    def record_survived(self, call: Call, now: float) -> None:
        """Record that a target has written a response for a long time by now."""
        self._part_records.record_completed(call.parts, now)

    def record_unfinished(
        self, call: Call, in_flight: InFlightRequest, *, broken: bool
    ) -> None:
        """Record an attempt that ended without a complete response.

        The target is checked: at once if the connection failed (``broken``), later if
        it was closed here, since the caller had left or the target was silent.
        """
        if in_flight.sent_at is None:
            return
        now = read_clock()
        self._remove_outdated(now)
        attempt = _UnfinishedAttempt(
            call, in_flight.sent_at, now, survived=in_flight.survived
        )
        key = _make_key(in_flight.state.entry)
        self._unfinished.setdefault(key, deque()).append(attempt)
        self._schedule_check(in_flight.state, is_late=not broken)

    def _schedule_check(self, state: TargetState, *, is_late: bool) -> None:
        key = _make_key(state.entry)
        scheduled = self._checks.get(key)
        if scheduled is not None:
            if is_late or not scheduled.is_late:
                return
            scheduled.task.cancel()
        run = self._check_late(key, state) if is_late else self._check(key, state)
        task = asyncio.create_task(run)
        check = _Check(task, is_late=is_late)
        self._checks[key] = check
        task.add_done_callback(lambda _: self._forget(key, check))

    def _forget(self, key: TargetKey, check: _Check) -> None:
        if self._checks.get(key) is check:
            del self._checks[key]

    async def _check_late(self, key: TargetKey, state: TargetState) -> bool:
        """Check a target at which no other attempt would break if it ended.

        Return whether it ended.
        """
        started_at = read_clock()
        for seconds in LATE_CHECK_SECONDS:
            await asyncio.sleep(max(0.0, started_at + seconds - read_clock()))
            if state.stall_detector.in_flight == 0 and await self._check(key, state):
                return True
        return False

    async def _check(self, key: TargetKey, state: TargetState) -> bool:
        """Return whether a target ended; its unfinished attempts are then crashes."""
        await asyncio.sleep(SETTLE_SECONDS)
        entry = state.entry
        if not await self._has_ended(entry):
            return False
        now = read_clock()
        self._remove_outdated(now)
        recent = list(self._unfinished.pop(key, ()))
        log.info(
            "target ended",
            target=entry.name,
            unfinished=len(recent),
            request_ids=[a.request_id for a in recent[:MAX_LOGGED_IDS]],
            requests_by_part=_count_requests_by_part(recent),
        )
        self._records.record_crashes(
            Crash(a.fingerprint, entry.name, a.sent_at, a.ended_at) for a in recent
        )
        survived = {part for a in recent if a.survived for part in a.parts}
        self._part_records.record_completed(survived, now)
        self._part_records.record_crashes(
            PartCrash(part, a.fingerprint, entry.name, a.sent_at, a.ended_at)
            for a in recent
            for part in a.parts
            if part not in survived
        )
        return True

    async def _has_ended(self, entry: TargetEntry) -> bool:
        """Return whether nothing listens at the target's address."""
        try:
            await self._pool.check(entry)
        except TargetRefusedError:
            return True
        except ConnectError as error:
            log.info("target not checked", target=entry.name, reason=str(error))
        return False

    def _remove_outdated(self, now: float) -> None:
        for key, attempts in list(self._unfinished.items()):
            while attempts and now - attempts[0].ended_at >= UNFINISHED_SECONDS:
                attempts.popleft()
            if not attempts:
                del self._unfinished[key]


def _make_key(entry: TargetEntry) -> TargetKey:
    return entry.name, entry.started_ms


def _count_requests_by_part(attempts: list[_UnfinishedAttempt]) -> dict[str, int]:
    """Return the number of attempts by shared part, for those that most have."""
    counts = Counter(name for a in attempts for name in a.part_names)
    return dict(counts.most_common(MAX_LOGGED_PARTS))
