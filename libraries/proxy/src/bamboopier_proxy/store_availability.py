"""Whether the store was away a moment ago, judged by all calls of this process.

Failure answered: entries of targets lapse while the store is away, though the targets
live. Taken for gone at the store's return, they would leave no target for two seconds.

An entry can lapse only while the store takes calls from nobody. So one call that fails
proves little: what counts is the time between two calls that the store took, when one
failed in between. Load pattern: some three calls a second.
"""

from __future__ import annotations

from bamboopier_decisions.forwarding.fleet import NEVER, STORE_RECOVERY_SECONDS

# Shorter gaps cannot make entries lapse: a target has three heartbeats before.
MIN_OUTAGE_SECONDS = 1.0
# Seconds after which a read or a list without an answer counts as one that fails. A
# slow store takes 0.3 s.
OVERDUE_SECONDS = 0.6


class StoreAvailability:
    """Remembers the store's last return."""

    __slots__ = (
        "_first_failed_at",
        "_resumed_at",
        "_recovered_at",
        "_last_accepted_at",
        "_pending",
    )

    def __init__(self) -> None:
        # The last time at which the store is known to have taken a call.
        self._last_accepted_at = NEVER
        # When the first call was made that failed and that no answered one followed.
        self._first_failed_at: float | None = None
        self._recovered_at = NEVER
        # When the reads and lists were made that have no answer yet.
        self._pending: list[float] = []
        # When this process last ran again after it had stood still.
        self._resumed_at = NEVER

    def record_pause(self, now: float, seconds: float) -> None:
        """Take in that this process paused for ``seconds`` until ``now``.

        Failure answered: a gateway is suspended, and the store serves all the while. As
        it runs again its calls under way have run out of time; counted, these seconds
        would be an outage, and targets that go after it would get requests for two
        seconds. They do not count, and neither do calls made before: what a store that
        is away goes on to refuse are the next ones, which follow at once.
        """
        self._resumed_at = now
        self._last_accepted_at = min(self._last_accepted_at + seconds, now)

    def record_sent(self, sent_at: float) -> None:
        """Take in that a read or a list is made."""
        self._pending.append(sent_at)

    def record_failure(self, sent_at: float) -> None:
        """Take in that a read or a list failed that was made at ``sent_at``."""
        self._remove_pending(sent_at)
        if sent_at < self._resumed_at:
            return
        if self._last_accepted_at == NEVER:
            self._last_accepted_at = sent_at
        if self._first_failed_at is None:
            self._first_failed_at = sent_at

    def record_response(self, sent_at: float, accepted_at: float) -> None:
        """Take in that a call made at ``sent_at`` was taken, at ``accepted_at`` at the latest.

        A watch is taken when it is made: a store that takes no new calls may still end
        those it holds, and that is no sign of its return.
        """
        failed = self._find_first_failure(accepted_at)
        self._remove_pending(sent_at)
        if failed is not None and sent_at >= failed:
            # Counted from the call before the failure: the outage may have begun right
            # after it, and one taken for shorter would drop entries that lapsed.
            if accepted_at - self._last_accepted_at >= MIN_OUTAGE_SECONDS:
                self._recovered_at = accepted_at
            self._first_failed_at = None
        self._last_accepted_at = max(self._last_accepted_at, sent_at)

    def find_recovery(self, now: float) -> float:
        """Return when the store was last back: ``now`` if it is not known to be yet."""
        return now if self._is_unavailable(now) else self._recovered_at

    def is_recovering(self, now: float) -> bool:
        """Say whether missing entries may come back."""
        return now - self.find_recovery(now) < STORE_RECOVERY_SECONDS

    def _is_unavailable(self, now: float) -> bool:
        # At the return a watch may tell of entries that lapsed before any other call
        # is answered. They keep a while, too.
        failed = self._find_first_failure(now)
        return failed is not None and now - self._last_accepted_at >= MIN_OUTAGE_SECONDS

    def _find_first_failure(self, now: float) -> float | None:
        """Return when the first call was made that failed or is overdue.

        Failure answered: a store that answers nobody for a second or two is back before
        a call of 1.5 s has failed, and entries that lapsed would be dropped at once.
        """
        latest = now - OVERDUE_SECONDS
        found = [a for a in self._pending if self._resumed_at <= a <= latest]
        if self._first_failed_at is not None:
            found.append(self._first_failed_at)
        return min(found, default=None)

    def _remove_pending(self, sent_at: float) -> None:
        if sent_at in self._pending:
            self._pending.remove(sent_at)
