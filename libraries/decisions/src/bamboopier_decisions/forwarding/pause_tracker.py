"""When this process paused, and since when what it reads may have been waiting.

Failure answered: a process is suspended for seconds, and takes what it reads after that
for news of this moment. Load pattern: a tick five times a second, and a question for
each thing whose age matters, a few a minute.

All times are seconds on a clock that also counts while the machine is suspended.
"""

from __future__ import annotations

from dataclasses import dataclass

# Seconds between two ticks.
TICK_SECONDS = 0.2
# Seconds between two ticks from which the process is taken to have stood still. A busy
# event loop makes a tick late by a tenth; what waits for less than this is within the
# margin that each limit has.
PAUSE_SECONDS = 0.6
# Seconds after a pause in which the work that piled up is done.
CATCH_UP_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Pause:
    """One time for which the process paused."""

    began: float
    ended: float

    @property
    def caught_up_at(self) -> float:
        """Return when all that had waited has been read.

        A peer whose segments were not acknowledged repeats them at doubled intervals:
        the last comes no later after the pause than the pause was long.
        """
        return self.ended + (self.ended - self.began) + CATCH_UP_SECONDS


class PauseTracker:
    """The last two times at which one process paused, and how long it ran."""

    __slots__ = ("_before", "_last", "_paused", "_ticked")

    def __init__(self, now: float) -> None:
        self._ticked = now
        self._last: Pause | None = None
        self._before: Pause | None = None
        # Seconds of all pauses.
        self._paused = 0.0

    def record_tick(self, now: float) -> float:
        """Take in that the process runs; return the seconds it stood still, or 0."""
        began, self._ticked = self._ticked, now
        gap = now - began
        if gap < PAUSE_SECONDS:
            return 0.0
        self._before, self._last = self._last, Pause(began, now)
        self._paused += gap
        return gap

    def read_running_clock(self, now: float) -> float:
        """Return seconds on a clock that stands still while the process does.

        What is measured by it is never longer than the time that passed, pauses left
        out. It can be too short by up to ``PAUSE_SECONDS``: the clock runs on until a
        pause shows, and then goes back.
        """
        gap = now - self._ticked
        # It may run again, and this is read before the tick that is due.
        pending = gap if gap >= PAUSE_SECONDS else 0.0
        return now - self._paused - pending

    def find_earliest_arrival(self, now: float) -> float:
        """Return since when something that is read now may have waited.

        That is ``now`` unless the process paused a moment ago.
        """
        last, before = self._last, self._before
        if now - self._ticked >= PAUSE_SECONDS:
            # It runs again, and this is read before the tick that is due.
            last, before = Pause(self._ticked, now), self._last
        if last is None or now >= last.caught_up_at:
            return now
        if before is not None and last.began < before.caught_up_at:
            # What waited in the pause before may have been unread when this one began.
            # No further back: a slow process would take all news for ever older ones.
            return before.began
        return last.began
