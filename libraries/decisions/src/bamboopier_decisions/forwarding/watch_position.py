"""Tracks the revision to watch an object from, and what an empty response confirms.

Load pattern: an object of a megabyte that seldom changes, and many processes that each
must confirm all the time that their copy is current. A read confirms it, at a megabyte
each time; a watch with the response "nothing changed" costs a few hundred bytes.

A store that is about to drop its history may omit the changes of the last second, and
its later responses continue after them. A response therefore confirms nothing about the
last moment before it was made, and a revision is watched from only once it is older
than that: an omitted change is then reported, or the store reports that its history is
gone.
"""

from __future__ import annotations

from collections import deque

# Seconds before a response in which a change may have been omitted from it.
OMISSION_SECONDS = 1.1


class WatchPosition:
    """The revisions in responses, by when these had been made at the latest."""

    __slots__ = ("_unsettled", "revision")

    def __init__(self, revision: int) -> None:
        # All changes up to it are known: the next watch starts here.
        self.revision = revision
        self._unsettled: deque[tuple[float, int]] = deque()

    def record_unchanged(self, made: float, read: float, revision: int) -> float:
        """Record an empty response; return until when it confirms that nothing changed.

        It was made at ``made`` at the earliest and at ``read`` at the latest.
        """
        while self._unsettled and made - self._unsettled[0][0] >= OMISSION_SECONDS:
            self.revision = max(self.revision, self._unsettled.popleft()[1])
        self._unsettled.append((read, revision))
        return made - OMISSION_SECONDS
