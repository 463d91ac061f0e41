"""When this process stood still, and since when what it reads may have been waiting.

Failure answered: a process is suspended for seconds, and takes what it reads after that
for news of this moment. Load pattern: a tick five times a second, and a question for
each thing whose age matters, a few a minute.

All times are seconds on a clock that also counts while the machine is suspended.
"""

from __future__ import annotations

# Seconds between two ticks.
TICK_SECONDS = 0.2
# Seconds between two ticks from which the process is taken to have stood still. A busy
# event loop makes a tick late by a tenth; what waits for less than this is within the
# margin that each limit has.
PAUSE_SECONDS = 0.6
# Seconds after a pause in which the work that piled up is done.
CATCH_UP_SECONDS = 1.0


class Pauses:
    """The last time at which one process stood still."""

    __slots__ = ("_began", "_caught_up", "_ticked")

    def __init__(self, now: float) -> None:
        self._ticked = now
        self._began = now
        # When all that waited during the last pause has been read.
        self._caught_up = float("-inf")

    def note_tick(self, now: float) -> float:
        """Take in that the process runs; return the seconds it stood still, or 0."""
        gap = now - self._ticked
        if gap < PAUSE_SECONDS:
            self._ticked = now
            return 0.0
        self._began = self._find_start()
        # A peer whose segments were not acknowledged repeats them at doubled intervals:
        # the last comes no later after the pause than the pause was long.
        self._caught_up = now + (now - self._began) + CATCH_UP_SECONDS
        self._ticked = now
        return gap

    def find_unread_since(self, now: float) -> float:
        """Return since when something that is read now may have waited.

        That is ``now`` unless the process stood still a moment ago.
        """
        if now - self._ticked >= PAUSE_SECONDS:
            # It runs again, and this is read before the tick that is due.
            return self._find_start()
        return self._began if now < self._caught_up else now

    def _find_start(self) -> float:
        """Return when a pause began that follows the last tick.

        One that begins before the work of the pause before is done goes on with that.
        """
        return self._began if self._ticked < self._caught_up else self._ticked
