"""Detects recent outages of the store from the outcome of all calls of this process.

Load pattern: a call in some seconds from each of many gateways, which tell each other
when the store last accepted one. Guards against entries of targets that expire
during a store outage although the targets are alive. If they were removed when the
store recovers, there would be no target for two seconds.

An entry can expire only while the store accepts calls from no process. So a single
failed call proves little: an outage is the time between two calls that the store
accepted, if a call in between failed. A call without a response fails only at its
timeout, often after the second of the two.
"""

from __future__ import annotations

import msgspec

from bamboopier_decisions.forwarding.fleet import NEVER, STORE_RECOVERY_SECONDS

# Entries cannot expire in a shorter gap: a target sends three heartbeats before that.
MIN_OUTAGE_SECONDS = 1.0
# Time after which every read or list has been answered or has failed.
MAX_CALL_SECONDS = 2.0
# Time after which a read or list without a response counts as failed. A slow store
# takes 0.3 s.
OVERDUE_SECONDS = 0.6


class _Gap(msgspec.Struct, frozen=True):
    """Time between two calls that the store accepted, long enough for an outage."""

    started_at: float
    ended_at: float

    @property
    def seconds(self) -> float:
        """Return the length of the gap."""
        return self.ended_at - self.started_at

    def contains(self, sent_at: float) -> bool:
        """Return whether a call was sent in the gap."""
        return self.started_at <= sent_at <= self.ended_at

    def divide(self, sent_at: float, accepted_at: float) -> tuple[_Gap, ...]:
        """Return what is left beside a call that the store accepted in the gap."""
        if not self.started_at < sent_at <= accepted_at < self.ended_at:
            return (self,)
        return _Gap(self.started_at, accepted_at), _Gap(sent_at, self.ended_at)


class StoreAvailability:
    """Tracks the last recovery of the store."""

    __slots__ = (
        "_first_failed_at",
        "_gaps",
        "_pending",
        "_recovered_at",
        "_resumed_at",
        "last_accepted_at",
    )

    def __init__(self) -> None:
        # The last time at which the store is known to have accepted a call, of this
        # process or of another.
        self.last_accepted_at = NEVER
        # When the first failed call was sent that no successful call has followed.
        self._first_failed_at: float | None = None
        self._recovered_at = NEVER
        # Gaps that were no outage when they ended, but are if a call sent in one fails.
        self._gaps: list[_Gap] = []
        # When the reads and lists were sent that have no response yet.
        self._pending: list[float] = []
        # When this process last resumed after a pause.
        self._resumed_at = NEVER

    def record_pause(self, now: float, seconds: float) -> None:
        """Record that this process was paused for ``seconds`` until ``now``.

        Guards against a gateway that is suspended while the store is available. When it
        resumes, its calls in flight have timed out; if the pause counted, it would look
        like an outage, and targets removed later would get requests for two seconds.
        Neither the pause nor calls sent before it count: a store that is unavailable
        also refuses the next calls, which follow at once.
        """
        self._resumed_at = now
        self.last_accepted_at = min(self.last_accepted_at + seconds, now)

    def record_sent(self, sent_at: float) -> None:
        """Record that a read or a list is sent."""
        self._pending.append(sent_at)

    def record_failure(self, sent_at: float) -> None:
        """Record that a read or a list sent at ``sent_at`` failed."""
        self._remove_pending(sent_at)
        if sent_at < self._resumed_at:
            return
        self._recovered_at = max(self._recovered_at, self._find_gap_end(sent_at))
        if sent_at < self.last_accepted_at:
            # A later call was accepted.
            return
        if self.last_accepted_at == NEVER:
            self.last_accepted_at = sent_at
        if self._first_failed_at is None:
            self._first_failed_at = sent_at

    def record_response(self, sent_at: float, accepted_at: float) -> None:
        """Record that the store accepted a call sent at ``sent_at``.

        ``accepted_at`` is the latest time at which it did. A watch is accepted when it
        is sent: a store that accepts no new calls may still end open watches, which is
        no sign of its recovery.
        """
        first_failed_at = self._find_first_failure(accepted_at)
        self._remove_pending(sent_at)
        self._record_gap(sent_at, accepted_at)
        if first_failed_at is not None and sent_at >= first_failed_at:
            # Counted from the call before the failure: the outage may have started
            # right after it, and entries that expired in it would be removed if it was
            # assumed to be shorter.
            if accepted_at - self.last_accepted_at >= MIN_OUTAGE_SECONDS:
                self._recovered_at = accepted_at
            self._first_failed_at = None
        self.last_accepted_at = max(self.last_accepted_at, sent_at)

    def find_recovery(self, now: float) -> float:
        """Return when the store last recovered; ``now`` if it is still unavailable."""
        if self._is_unavailable(now):
            return now
        ends = map(self._find_gap_end, self._list_overdue(now))
        return max([self._recovered_at, *ends])

    def is_recovering(self, now: float) -> bool:
        """Return whether missing entries may reappear."""
        return now - self.find_recovery(now) < STORE_RECOVERY_SECONDS

    def _record_gap(self, sent_at: float, accepted_at: float) -> None:
        """Record the gap before an accepted call, if it is long enough.

        Another process may report later that the store accepted a call in an earlier
        gap, which divides it.
        """
        gaps = [g for g in self._gaps if accepted_at - g.ended_at < MAX_CALL_SECONDS]
        if accepted_at > self.last_accepted_at > NEVER:
            gaps.append(_Gap(self.last_accepted_at, accepted_at))
        parts = [part for gap in gaps for part in gap.divide(sent_at, accepted_at)]
        self._gaps = [p for p in parts if p.seconds >= MIN_OUTAGE_SECONDS]

    def _is_unavailable(self, now: float) -> bool:
        # At the recovery a watch may report expired entries before any other call is
        # answered. These entries are also retained for a while.
        first_failed_at = self._find_first_failure(now)
        return (
            first_failed_at is not None
            and now - self.last_accepted_at >= MIN_OUTAGE_SECONDS
        )

    def _find_first_failure(self, now: float) -> float | None:
        """Return when the first call was sent that failed or is overdue.

        Guards against a store that is unavailable for a second or two and recovers
        before a call with a timeout of 1.5 s has failed: entries that expired would be
        removed at once.
        """
        found = [a for a in self._list_overdue(now) if a >= self.last_accepted_at]
        if self._first_failed_at is not None:
            found.append(self._first_failed_at)
        return min(found, default=None)

    def _list_overdue(self, now: float) -> list[float]:
        """Return when the calls were sent that should have been answered by now."""
        latest = now - OVERDUE_SECONDS
        return [a for a in self._pending if self._resumed_at <= a <= latest]

    def _find_gap_end(self, sent_at: float) -> float:
        """Return the end of the gap in which a call was sent, if there is one."""
        ends = [g.ended_at for g in self._gaps if g.contains(sent_at)]
        return max(ends, default=NEVER)

    def _remove_pending(self, sent_at: float) -> None:
        if sent_at in self._pending:
            self._pending.remove(sent_at)
