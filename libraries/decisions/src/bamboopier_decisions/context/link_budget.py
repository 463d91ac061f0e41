"""The budget of a target's link to its store VMs: fetches first, exports a share.

Load pattern: a burst of finished prompts whose exports fill the link just as returning
prompts need it. Without the order each fetch would queue behind megabytes that nobody
waits for; without the budget the link's other users would be starved.
"""

from __future__ import annotations

# Seconds of budget that may be sent at once after a pause; covers a large block.
BURST_SECONDS = 0.25
# Exports get half: a block is written once and read at least as often when it is worth
# keeping, so reads need no less than writes.
EXPORT_SHARE = 0.5


class _TokenBucket:
    """A token bucket in bytes; it may go into debt, which is a queue in time."""

    __slots__ = ("burst", "rate", "tokens", "updated")

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated = now

    def refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated = max(now, self.updated)


class LinkBudget:
    """Says when bytes may go.

    In ``t`` seconds at most ``rate * t`` bytes start beyond the burst or, where that is
    smaller, one block.
    """

    def __init__(
        self, now: float, bytes_per_second: float, burst: float | None = None
    ) -> None:
        self.rate = bytes_per_second
        size = burst if burst is not None else bytes_per_second * BURST_SECONDS
        self._all = _TokenBucket(now, bytes_per_second, size)
        self._exports = _TokenBucket(now, bytes_per_second * EXPORT_SHARE, size)

    def get_available_bytes(self, now: float) -> float:
        """Return the bytes that may go at once; negative while others wait."""
        self._all.refill(now)
        return self._all.tokens

    def reserve_fetch(self, now: float, size: int) -> float:
        """Reserve ``size`` bytes; return the seconds to wait before they may go."""
        self._all.refill(now)
        wait = max(0.0, (size - self._all.tokens) / self._all.rate)
        self._all.tokens -= size
        return wait

    def adjust_fetch(self, reserved: int, used: int) -> None:
        """Correct a reservation by what really went over the link."""
        self._all.tokens = min(self._all.burst, self._all.tokens + reserved - used)

    def try_export(self, now: float, size: int) -> float:
        """Take ``size`` bytes if they may go now; else return the seconds to wait.

        Nothing is reserved for an export that has to wait, so that a fetch which comes
        meanwhile goes first.
        """
        self._all.refill(now)
        self._exports.refill(now)
        wait = max(_wait_for(self._all, size), _wait_for(self._exports, size))
        if wait <= 0:
            self._all.tokens -= size
            self._exports.tokens -= size
        return wait


def _wait_for(bucket: _TokenBucket, size: int) -> float:
    # A block larger than the burst goes when the bucket is full and leaves a debt;
    # waiting for more than the bucket can hold would never end.
    needed = min(float(size), bucket.burst)
    return max(0.0, (needed - bucket.tokens) / bucket.rate)
