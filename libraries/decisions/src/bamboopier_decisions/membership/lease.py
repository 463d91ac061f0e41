"""A lease on one platform object: who may act, with which fencing token, until when.

Load pattern: two processes assume that they are in charge of one target, or one resumes
after a pause and continues as if it still were. Without the lease the older one's order
comes last and puts an old weight version back.

Clocks are not compared between machines. A holder counts its lease from before it sent
the write; all others count from after they first saw that write, which is later, and
take over no sooner than a full lease after that. The write that takes over is
conditional on the observed version, so a renewal that was not yet seen makes it fail.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Annotated

import msgspec

# Clock rates may differ by this share between machines; a holder ends its lease that
# much earlier.
CLOCK_RATE_ERROR = 0.01
# A record with a longer lease is no record: whoever wrote it could keep all others out.
MAX_LEASE_SECONDS = 3600.0
Counted = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The content of the lease's object."""

    holder: str
    # Address on which the holder's process listens; only one process at a time can.
    place: str
    fence: Counted
    # Seconds from a write until others may take over.
    duration: Annotated[float, msgspec.Meta(ge=0, le=MAX_LEASE_SECONDS)]
    # Number of the holder's write; shows which of several has taken effect.
    serial: Counted
    released: bool = False


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A record as it was read, with the object's version; 0 when there is none."""

    version: int
    record: LeaseRecord | None


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A write of ``record``, if the object still has ``expected_version``."""

    record: LeaseRecord
    expected_version: int


class TakeoverPolicy(StrEnum):
    """When another holder's lease may be taken over."""

    AFTER_WAIT = "after-wait"
    # The target refuses the former holder's orders by their fencing token.
    AT_ONCE = "at-once"


class Lease:
    """One process's view of one lease. Times are seconds on its monotonic clock."""

    __slots__ = (
        "_holder",
        "_place",
        "_observed",
        "_observed_at",
        "_was_held",
        "_sent_at",
        "_serial",
        "duration",
        "takeover",
    )

    def __init__(
        self,
        holder: str,
        place: str,
        duration: float,
        takeover: TakeoverPolicy = TakeoverPolicy.AFTER_WAIT,
    ) -> None:
        self._holder = holder
        self._place = place
        self.duration = duration
        self.takeover = takeover
        self._observed = ObservedLease(0, None)
        # When this process first saw the observed version.
        self._observed_at = float("-inf")
        self._serial = 0
        # Whether this process has ever held the lease.
        self._was_held = False
        # When each of this process's writes was sent, by serial.
        self._sent_at: dict[int, float] = {}

    @property
    def fence(self) -> int:
        """Return the fencing token of the last observed record; 0 if none."""
        return self._observed.record.fence if self._observed.record is not None else 0

    def is_held(self, now: float) -> bool:
        """Return whether orders may be given at ``now``; call it right before each.

        For a holder that was paused the lease has expired, since the monotonic clock
        continued meanwhile.
        """
        record = self._observed.record
        if record is None or record.holder != self._holder or record.released:
            return False
        sent = self._sent_at.get(record.serial)
        return sent is not None and now < sent + record.duration * (
            1 - CLOCK_RATE_ERROR
        )

    def observe(self, now: float, observed: ObservedLease) -> None:
        """Apply the result of a read; ``now`` is after the read's response.

        A lower version than the one already observed comes from a lagging replica.
        """
        if observed.version > self._observed.version:
            self._observed = observed
            self._observed_at = now
            own = observed.record is not None and observed.record.holder == self._holder
            self._was_held |= own
            kept = observed.record.serial if own and observed.record is not None else 0
            self._sent_at = {s: at for s, at in self._sent_at.items() if s >= kept}

    def find_wait(self, now: float) -> float:
        """Return the seconds until the lease may be acquired or renewed; 0 is now."""
        record = self._observed.record
        if record is None or record.released or record.holder == self._holder:
            return 0.0
        if record.place == self._place:
            # Only one process can listen there: the former holder has ended.
            return 0.0
        if self.takeover is TakeoverPolicy.AT_ONCE and not self._was_held:
            # The newest process wins; the one that it replaced waits, or the two would
            # take the lease over from each other for ever.
            return 0.0
        return max(0.0, self._observed_at + record.duration - now)

    def acquire(self, now: float) -> LeaseWrite:
        """Return the write that acquires or renews the lease; send it after ``now``.

        The fencing token grows whenever others could have held the lease in between.
        """
        fence = self.fence if self.is_held(now) else self.fence + 1
        record = LeaseRecord(
            self._holder, self._place, fence, self.duration, self._issue_serial(now)
        )
        return LeaseWrite(record, self._observed.version)

    def release(self, now: float) -> LeaseWrite | None:
        """Return the write that releases the lease, or None when it is not held."""
        if not self.is_held(now) or self._observed.record is None:
            return None
        record = replace(
            self._observed.record, released=True, serial=self._issue_serial(now)
        )
        return LeaseWrite(record, self._observed.version)

    def _issue_serial(self, now: float) -> int:
        self._serial += 1
        self._sent_at[self._serial] = now
        return self._serial
