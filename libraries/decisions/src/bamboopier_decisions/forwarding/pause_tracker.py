"""Tracks pauses of this process, and how long its input may have been waiting.

Guards against stale input: a process is suspended for seconds and treats what it reads
afterwards as current. Load pattern: a tick five times a second, and a query for each
input whose age matters, a few a minute.

All times are seconds on a clock that also counts while the machine is suspended.
"""

from __future__ import annotations

import msgspec

# Seconds between two ticks.
TICK_SECONDS = 0.2
# Seconds between two ticks from which the process counts as paused. A busy event loop
# delays a tick by a tenth; an input that waits for less than this is within the margin
# that each limit has.
PAUSE_SECONDS = 0.6
# Seconds after a pause in which the backlog of work is processed.
CATCH_UP_SECONDS = 1.0


class Pause(msgspec.Struct, frozen=True):
    """One time for which the process was paused."""

    started_at: float
    ended_at: float

    @property
    def caught_up_at(self) -> float:
        """Return when all input that had been waiting has been read.

        A peer whose segments were not acknowledged retransmits them at doubled
        intervals: the last one arrives no later after the pause than the pause was
        long.
        """
        return self.ended_at + (self.ended_at - self.started_at) + CATCH_UP_SECONDS


class PauseTracker:
    """The last two pauses of one process, and how long it has been running."""

    __slots__ = ("_previous", "_last", "_paused_seconds", "_ticked_at")

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._last: Pause | None = None
        self._previous: Pause | None = None
        # Total of all pauses.
        self._paused_seconds = 0.0

    def record_tick(self, now: float) -> float:
        """Record that the process is running; return the seconds it paused, or 0."""
        started_at, self._ticked_at = self._ticked_at, now
        gap = now - started_at
        if gap < PAUSE_SECONDS:
            return 0.0
        self._previous, self._last = self._last, Pause(started_at, now)
        self._paused_seconds += gap
        return gap

    def read_running_clock(self, now: float) -> float:
        """Return seconds on a clock that stops while the process is paused.

        A duration measured with it is never longer than the elapsed time without
        pauses. It can be too short by up to ``PAUSE_SECONDS``: the clock runs on until
        a pause is detected, and is then set back.
        """
        gap = now - self._ticked_at
        # The process may be running again before the tick that is due.
        pending = gap if gap >= PAUSE_SECONDS else 0.0
        return now - self._paused_seconds - pending

    def find_unread_since(self, now: float) -> float:
        """Return since when bytes that are read now may have been waiting unread.

        Unlike ``find_earliest_arrival`` it leaves out what is retransmitted after a
        pause: only what lay in this process's sockets counts.
        """
        if now - self._ticked_at >= PAUSE_SECONDS:
            # The process is running again before the tick that is due.
            return self._ticked_at
        last = self._last
        if last is None or now >= last.ended_at + CATCH_UP_SECONDS:
            return now
        return last.started_at

    def find_earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which something read now may have arrived.

        That is ``now`` unless the process paused recently.
        """
        last, previous = self._last, self._previous
        if now - self._ticked_at >= PAUSE_SECONDS:
            # The process is running again before the tick that is due.
            last, previous = Pause(self._ticked_at, now), self._last
        if last is None or now >= last.caught_up_at:
            return now
        if previous is not None and last.started_at < previous.caught_up_at:
            # Input that waited in the previous pause may have been unread when this one
            # started. Earlier pauses are ignored: a slow process would otherwise treat
            # all input as older and older.
            return previous.started_at
        return last.started_at
