"""Detects recent outages of the store from the outcome of all calls of this process.

Load pattern: a call in some seconds from each of many gateways, which tell each other
when the store last accepted one. Guards against entries of targets that expire
during a store outage although the targets are alive. If they were removed when the
store recovers, there would be no target for two seconds.

An entry can expire only while the store accepts calls from no process. So a single
failed call proves little: an outage is the time between two calls that the store
accepted, if a call in between failed.
"""

from __future__ import annotations

from bamboopier_decisions.forwarding.fleet import NEVER, STORE_RECOVERY_SECONDS

# Entries cannot expire in a shorter gap: a target sends three heartbeats before that.
MIN_OUTAGE_SECONDS = 1.0
# Time after which a read or list without a response counts as failed. A slow store
# takes 0.3 s.
OVERDUE_SECONDS = 0.6


class StoreAvailability:
    """Tracks the last recovery of the store."""

    __slots__ = (
        "_first_failed_at",
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
        return now if self._is_unavailable(now) else self._recovered_at

    def is_recovering(self, now: float) -> bool:
        """Return whether missing entries may reappear."""
        return now - self.find_recovery(now) < STORE_RECOVERY_SECONDS

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
        latest = now - OVERDUE_SECONDS
        found = [a for a in self._pending if self._resumed_at <= a <= latest]
        if self._first_failed_at is not None:
            found.append(self._first_failed_at)
        return min(found, default=None)

    def _remove_pending(self, sent_at: float) -> None:
        if sent_at in self._pending:
            self._pending.remove(sent_at)
