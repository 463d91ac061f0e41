"""Limits the requests a second that this gateway sends to a cold target.

Load pattern: the engines of a data centre restart together, and every gateway sends
them its whole share at once. A cold engine handles a few requests a second and crashes
well above that rate, so each gateway is limited to its share of the rate.

With more gateways than the target handles requests a second, the share is below one a
second. One request from each gateway within a second would be too many, also after an
idle period. Each gateway therefore sends only within a short time slot of its own that
recurs every few seconds. The time slots of all gateways are evenly spaced, in the order
of the gateways' names.

Callers are not spread evenly: after a restart of everything, the first gateway that the
load balancer finds ready gets all of them. A gateway whose callers wait for its share
therefore borrows from gateways that have some of theirs left. What is lent counts at
the lender until the borrower can no longer use it, so the sum stays the same whatever
datagrams are lost.
"""

from __future__ import annotations

from collections import deque

WINDOW_SECONDS = 1.0
# Requests sent within a second may arrive within less, as latencies differ: a gateway
# counts over a little more than a second.
WINDOW_MARGIN = 0.1
# Seconds for which a time slot is open: long enough for some callers to arrive in it,
# and short enough that few slots overlap a second in which they do not start.
TIME_SLOT_SECONDS = 0.1
# Share of a target's rate that is assigned to time slots: gateways detect its start at
# different times, and their counts of gateways may differ for a while.
TIME_SLOT_SHARE = 0.8
# Seconds from its request within which a borrower uses what it was lent: the request
# and the grant cross regions, and the request to the target is sent.
LOAN_SECONDS = 0.15


class ColdStartLimit:
    """Limits the requests that are sent to one target while it is cold."""

    __slots__ = ("_borrowed", "_ends_at", "_lent", "_phase", "_sent", "_started_at")

    def __init__(self, phase: float = 0.0) -> None:
        self._phase = phase
        self._started_at = float("-inf")
        self._ends_at = float("-inf")
        # When requests were sent on this gateway's own share, and the latest times at
        # which borrowers send on it.
        self._sent: deque[float] = deque()
        self._lent: deque[float] = deque()
        # Until when each borrowed request may be sent.
        self._borrowed: deque[float] = deque()

    def start(self, now: float, seconds: float) -> None:
        """Record that the target is cold for ``seconds`` more."""
        if not self.is_cold(now):
            self._started_at = now
        self._ends_at = max(self._ends_at, now + seconds)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold."""
        return now < self._ends_at

    def may_send(
        self,
        now: float,
        per_second: float,
        gateway_count: int,
        gateway_index: int | None = 0,
    ) -> bool:
        """Return whether this gateway's share of ``per_second`` allows a request.

        ``gateway_index`` is this gateway's index, from 0, in the order of the gateways'
        names. While it is None the gateway has no time slot.
        """
        if not self.is_cold(now):
            return True
        self._expire(now)
        if self._borrowed:
            return True
        gateway_rate = per_second / max(1, gateway_count)
        if gateway_rate >= 1:
            return self.count_spare(now, per_second, gateway_count) > 0
        if gateway_index is None:
            return False
        phase = self._phase + gateway_index / gateway_count
        return not self._sent and self._is_in_time_slot(
            now, gateway_rate * TIME_SLOT_SHARE, phase
        )

    def record_sent(self, now: float) -> None:
        """Record a request."""
        if not self.is_cold(now):
            return
        self._expire(now)
        if self._borrowed:
            self._borrowed.popleft()
        else:
            self._sent.append(now)

    def count_spare(self, now: float, per_second: float, gateway_count: int) -> int:
        """Return how many requests this gateway's share allows at once.

        0 with time slots: what is lent would be sent outside of them.
        """
        self._expire(now)
        gateway_rate = per_second / max(1, gateway_count)
        return max(0, int(gateway_rate) - len(self._sent) - len(self._lent))

    def lend(
        self, now: float, per_second: float, gateway_count: int, wanted: int
    ) -> int:
        """Lend up to ``wanted`` requests; return their number.

        Half of what is left stays: this gateway's own callers may come at any moment.
        """
        if not self.is_cold(now):
            return 0
        count = min(wanted, self.count_spare(now, per_second, gateway_count) // 2)
        self._lent.extend([now + LOAN_SECONDS] * count)
        return count

    def borrow(self, now: float, requested_at: float, count: int) -> bool:
        """Record a grant of ``count`` requests; return whether they can be used.

        The time to use them counts from the request for them, which the lender got
        later: it counts them at least as long as they are used.
        """
        until = requested_at + LOAN_SECONDS
        if now >= until or not self.is_cold(now):
            return False
        self._borrowed.extend([until] * count)
        return True

    def _expire(self, now: float) -> None:
        start = now - WINDOW_SECONDS - WINDOW_MARGIN
        for times in (self._sent, self._lent):
            while times and times[0] < start:
                times.popleft()
        while self._borrowed and self._borrowed[0] <= now:
            self._borrowed.popleft()

    def _is_in_time_slot(self, now: float, per_second: float, phase: float) -> bool:
        time_slots = (now - self._started_at) * per_second - phase
        return time_slots % 1.0 < TIME_SLOT_SECONDS * per_second
