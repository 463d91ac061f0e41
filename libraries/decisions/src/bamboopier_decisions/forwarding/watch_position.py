"""From which revision an object is watched, and what an empty answer proves of it.

Load pattern: an object of a megabyte that seldom changes, and many processes that each
must prove all the time that what they hold is current. Reading it does that, at a
megabyte each time; a watch that answers "nothing changed" costs a few hundred bytes.

A store that is about to drop its history may leave out the changes of the last second,
and its later answers go on from beyond them. So an answer proves nothing of the last
moment before it was made, and a revision is watched from only once it is older than
that: a change that was left out is told then, or the store says that its history is
gone.
"""

from __future__ import annotations

from collections import deque

# Seconds before an answer in which a change may have been left out of it.
OMISSION_SECONDS = 1.1


class WatchPosition:
    """The revisions that answers named, by when these had been made at the latest."""

    __slots__ = ("_unsettled", "revision")

    def __init__(self, revision: int) -> None:
        # All changes up to it are known: the next watch begins here.
        self.revision = revision
        self._unsettled: deque[tuple[float, int]] = deque()

    def record_unchanged(self, made: float, read: float, revision: int) -> float:
        """Take an empty answer, and return until when it proves that nothing changed.

        It was made at ``made`` at the earliest and at ``read`` at the latest.
        """
        while self._unsettled and made - self._unsettled[0][0] >= OMISSION_SECONDS:
            self.revision = max(self.revision, self._unsettled.popleft()[1])
        self._unsettled.append((read, revision))
        return made - OMISSION_SECONDS
