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
LEAST_AWAY_SECONDS = 1.0
# Seconds after which a read or a list without an answer counts as one that fails. A
# slow store takes 0.3 s.
OVERDUE_SECONDS = 0.6


class StoreHealth:
    """Remembers the store's last return."""

    __slots__ = ("_failed", "_resumed", "_returned", "_served", "_under_way")

    def __init__(self) -> None:
        # The last time at which the store is known to have taken a call.
        self._served = NEVER
        # When the first call was made that failed and that no answered one followed.
        self._failed: float | None = None
        self._returned = NEVER
        # When the reads and lists were made that have no answer yet.
        self._under_way: list[float] = []
        # When this process last ran again after it had stood still.
        self._resumed = NEVER

    def note_pause(self, now: float, seconds: float) -> None:
        """Take in that this process paused for ``seconds`` until ``now``.

        Failure answered: a gateway is suspended, and the store serves all the while. As
        it runs again its calls under way have run out of time; counted, these seconds
        would be an outage, and targets that go after it would get requests for two
        seconds. They do not count, and neither do calls made before: what a store that
        is away goes on to refuse are the next ones, which follow at once.
        """
        self._resumed = now
        self._served = min(self._served + seconds, now)

    def note_asked(self, asked: float) -> None:
        """Take in that a read or a list is made."""
        self._under_way.append(asked)

    def note_failure(self, asked: float) -> None:
        """Take in that a read or a list failed that was made at ``asked``."""
        self._end(asked)
        if asked < self._resumed:
            return
        if self._served == NEVER:
            self._served = asked
        if self._failed is None:
            self._failed = asked

    def note_answer(self, asked: float, taken: float) -> None:
        """Take in that a call made at ``asked`` was taken, at ``taken`` at the latest.

        A watch is taken when it is made: a store that takes no new calls may still end
        those it holds, and that is no sign of its return.
        """
        failed = self._find_failed(taken)
        self._end(asked)
        if failed is not None and asked >= failed:
            # Counted from the call before the failure: the outage may have begun right
            # after it, and one taken for shorter would drop entries that lapsed.
            if taken - self._served >= LEAST_AWAY_SECONDS:
                self._returned = taken
            self._failed = None
        self._served = max(self._served, asked)

    def find_return(self, now: float) -> float:
        """Return when the store was last back: ``now`` if it is not known to be yet."""
        return now if self._is_away(now) else self._returned

    def is_returning(self, now: float) -> bool:
        """Say whether missing entries may come back."""
        return now - self.find_return(now) < STORE_RECOVERY_SECONDS

    def _is_away(self, now: float) -> bool:
        # At the return a watch may tell of entries that lapsed before any other call
        # is answered. They keep a while, too.
        failed = self._find_failed(now)
        return failed is not None and now - self._served >= LEAST_AWAY_SECONDS

    def _find_failed(self, now: float) -> float | None:
        """Return when the first call was made that failed or is overdue.

        Failure answered: a store that answers nobody for a second or two is back before
        a call of 1.5 s has failed, and entries that lapsed would be dropped at once.
        """
        latest = now - OVERDUE_SECONDS
        found = [a for a in self._under_way if self._resumed <= a <= latest]
        if self._failed is not None:
            found.append(self._failed)
        return min(found, default=None)

    def _end(self, asked: float) -> None:
        if asked in self._under_way:
            self._under_way.remove(asked)
