"""Limits the bytes on a target's link to its store VMs: fetches first, exports a share.

Load pattern: a burst of finished prompts whose exports fill the link just as returning
prompts need it. Without the priority each fetch would queue behind megabytes that no
caller waits for; without the budget the other users of the link would be starved.
"""

from __future__ import annotations

# Seconds of budget that may be sent at once after idle time; covers a large block.
BURST_SECONDS = 0.25
# Exports get half: a block that is worth exporting is written once and read at least as
# often, so reads need no less bandwidth than writes.
EXPORT_SHARE = 0.5


class _TokenBucket:
    """A token bucket in bytes; a negative level delays the transfers that follow."""

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
    """Decides when bytes may be sent.

    In ``t`` seconds at most ``rate * t`` bytes start, plus the burst or, where that is
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
        """Return the bytes that may be sent at once; negative while others wait."""
        self._all.refill(now)
        return self._all.tokens

    def reserve_fetch(self, now: float, size: int) -> float:
        """Reserve ``size`` bytes; return the seconds to wait before sending them."""
        self._all.refill(now)
        wait = max(0.0, (size - self._all.tokens) / self._all.rate)
        self._all.tokens -= size
        return wait

    def adjust_fetch(self, reserved: int, used: int) -> None:
        """Correct a reservation by the bytes that were really transferred."""
        self._all.tokens = min(self._all.burst, self._all.tokens + reserved - used)

    def try_export(self, now: float, size: int) -> float:
        """Reserve ``size`` bytes if they may be sent now; return the seconds to wait.

        Nothing is reserved for an export that has to wait, so that a fetch that arrives
        meanwhile goes first.
        """
        self._all.refill(now)
        self._exports.refill(now)
        wait = max(_compute_wait(self._all, size), _compute_wait(self._exports, size))
        if wait <= 0:
            self._all.tokens -= size
            self._exports.tokens -= size
        return wait


def _compute_wait(bucket: _TokenBucket, size: int) -> float:
    # A block larger than the burst is sent when the bucket is full, whose level is then
    # negative; waiting for more than the bucket can hold would never end.
    needed = min(float(size), bucket.burst)
    return max(0.0, (needed - bucket.tokens) / bucket.rate)
