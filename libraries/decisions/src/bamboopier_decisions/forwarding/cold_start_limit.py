"""How many requests a second a cold target gets from this gateway.

Load pattern: a data centre's engines come back together, and every gateway sends them
their whole share at once. A cold engine bears a few requests a second and crashes well
above that, so each gateway keeps to its part of that rate.

With more gateways than a target bears requests, a part is less than one a second. One
each would be too many, and so would one each after a moment without callers: a gateway
sends in a short slot of its own that comes back after some seconds, and not after it.
The slots of all gateways lie evenly, in the order of their names.
"""

from __future__ import annotations

import hashlib
from collections import deque

WINDOW_SECONDS = 1.0
# Requests sent within a second may arrive within less, as links differ: a gateway
# counts a little more than a second.
WINDOW_MARGIN = 0.1
# Seconds for which a slot is open: some callers come in it, and few slots touch the
# same second beside those that begin in it.
TIME_SLOT_SECONDS = 0.1
# Share of a target's rate that slots give out: gateways hear of its start some time
# apart, and do not always agree on how many they are.
TIME_SLOT_SHARE = 0.8


def hash_phase(target: str) -> float:
    """Return where the first gateway's slots at a target lie, from 0 to 1.

    It differs by target, so that a gateway does not come last at all of them.
    """
    digest = hashlib.blake2b(target.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


class ColdStartLimit:
    """Counts what was sent to one target while it is cold."""

    __slots__ = ("_phase", "_sent", "_started_at", "_ends_at")

    def __init__(self, phase: float = 0.0) -> None:
        self._phase = phase
        self._started_at = float("-inf")
        self._ends_at = float("-inf")
        self._sent: deque[float] = deque()

    def start(self, now: float, seconds: float) -> None:
        """Take in that the target is cold for ``seconds`` more."""
        if not self.is_cold(now):
            self._started_at = now
        self._ends_at = max(self._ends_at, now + seconds)

    def is_cold(self, now: float) -> bool:
        """Say whether the target is cold."""
        return now < self._ends_at

    def may_send(
        self,
        now: float,
        per_second: float,
        gateway_count: int,
        gateway_index: int | None = 0,
    ) -> bool:
        """Say whether this gateway's part of ``per_second`` allows one more.

        It is the one at ``gateway_index``, from 0, in the order of the gateways' names. While
        that is not known it has no slot.
        """
        if not self.is_cold(now):
            return True
        start = now - WINDOW_SECONDS - WINDOW_MARGIN
        while self._sent and self._sent[0] < start:
            self._sent.popleft()
        gateway_rate = per_second / max(1, gateway_count)
        if gateway_rate >= 1:
            return len(self._sent) < int(gateway_rate)
        if gateway_index is None:
            return False
        phase = self._phase + gateway_index / gateway_count
        return not self._sent and self._is_in_time_slot(
            now, gateway_rate * TIME_SLOT_SHARE, phase
        )

    def record_sent(self, now: float) -> None:
        """Count a request."""
        if self.is_cold(now):
            self._sent.append(now)

    def _is_in_time_slot(self, now: float, per_second: float, phase: float) -> bool:
        time_slots = (now - self._started_at) * per_second - phase
        return time_slots % 1.0 < TIME_SLOT_SECONDS * per_second
