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

    started_at: float
    ended_at: float

    @property
    def caught_up_at(self) -> float:
        """Return when all that had waited has been read.

        A peer whose segments were not acknowledged repeats them at doubled intervals:
        the last comes no later after the pause than the pause was long.
        """
        return self.ended_at + (self.ended_at - self.started_at) + CATCH_UP_SECONDS


class PauseTracker:
    """The last two times at which one process paused, and how long it ran."""

    __slots__ = ("_previous", "_last", "_paused_seconds", "_ticked_at")

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._last: Pause | None = None
        self._previous: Pause | None = None
        # Seconds of all pauses.
        self._paused_seconds = 0.0

    def record_tick(self, now: float) -> float:
        """Take in that the process runs; return the seconds it stood still, or 0."""
        started_at, self._ticked_at = self._ticked_at, now
        gap = now - started_at
        if gap < PAUSE_SECONDS:
            return 0.0
        self._previous, self._last = self._last, Pause(started_at, now)
        self._paused_seconds += gap
        return gap

    def read_running_clock(self, now: float) -> float:
        """Return seconds on a clock that stands still while the process does.

        What is measured by it is never longer than the time that passed, pauses left
        out. It can be too short by up to ``PAUSE_SECONDS``: the clock runs on until a
        pause shows, and then goes back.
        """
        gap = now - self._ticked_at
        # It may run again, and this is read before the tick that is due.
        pending = gap if gap >= PAUSE_SECONDS else 0.0
        return now - self._paused_seconds - pending

    def find_earliest_arrival(self, now: float) -> float:
        """Return since when something that is read now may have waited.

        That is ``now`` unless the process paused a moment ago.
        """
        last, previous = self._last, self._previous
        if now - self._ticked_at >= PAUSE_SECONDS:
            # It runs again, and this is read before the tick that is due.
            last, previous = Pause(self._ticked_at, now), self._last
        if last is None or now >= last.caught_up_at:
            return now
        if previous is not None and last.started_at < previous.caught_up_at:
            # What waited in the pause before may have been unread when this one began.
            # No further back: a slow process would take all news for ever older ones.
            return previous.started_at
        return last.started_at
