"""Limits how much of a target's headroom one gateway uses before hints arrive.

Load pattern: an engine has just loaded weights, or all others are full, and every
gateway sees the same headroom. If each gateway fills it alone, five gateways that each
send what takes an engine half a second to prefill leave it with two and a half seconds
of work. Load hints from other gateways arrive up to a quarter of a second late, so for
that time each gateway is limited to its share of the headroom, and sends at least one
request.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Seconds until the hints of other gateways include what they sent: between the mean and
# the maximum age of a hint. With a longer time, prompts of returning sessions are
# routed away from the engine that caches them too often.
HINT_DELAY_SECONDS = 0.2
# Callers are spread unevenly over gateways: each gateway may use this many even shares.
MAX_SKEW = 2.0


class GatewayHeadroom:
    """What this gateway has sent to one target within ``HINT_DELAY_SECONDS``."""

    __slots__ = (
        "_drawn_at",
        "_earned",
        "_earned_at",
        "_is_drawn",
        "_memory",
        "_prefill",
        "_sent",
    )

    def __init__(self) -> None:
        # Time, prefill tokens and memory tokens of each request.
        self._sent: deque[tuple[float, int, int]] = deque()
        self._prefill = 0
        self._memory = 0
        # When it was last drawn whether this gateway may send one, and the result.
        self._drawn_at = float("-inf")
        self._is_drawn = False
        # Part of the next request that was earned at a pace, and until when; what was
        # sent otherwise counts, too.
        self._earned = 0.0
        self._earned_at: float | None = None

    def record_sent(self, now: float, prefill: int, memory: int) -> None:
        """Record a request with its prefill and memory, both in tokens."""
        self._sent.append((now, prefill, memory))
        self._prefill += prefill
        self._memory += memory
        self._earned = max(-1.0, self._earned - 1.0)

    def allows_prefill(
        self, now: float, tokens: int, headroom: float, gateway_count: int
    ) -> bool:
        """Return whether a request with ``tokens`` more to prefill may be sent.

        ``headroom`` is the number of tokens that fit in addition to the known load.
        """
        self._expire(now)
        return _allows(self._prefill, tokens, headroom, gateway_count)

    def allows_memory(
        self, now: float, tokens: int, headroom: float, gateway_count: int
    ) -> bool:
        """Return whether a request that needs ``tokens`` of memory may be sent."""
        self._expire(now)
        return _allows(self._memory, tokens, headroom, gateway_count)

    def allows_request(
        self, now: float, slots: float, share: float, random: random.Random
    ) -> bool:
        """Return whether one more request may be sent to a target with free slots.

        Of ``slots``, those that are free or become so until hints arrive, this gateway
        may use a ``share``. If that is less than one, it is drawn for each delay of
        hints whether it may use one.
        """
        self._expire(now)
        allowed = (slots + len(self._sent)) * share
        if allowed >= 1 or self._sent:
            return len(self._sent) + 1 <= allowed
        if now - self._drawn_at >= HINT_DELAY_SECONDS:
            self._drawn_at, self._is_drawn = now, random.random() < allowed
        return self._is_drawn

    def allows_at_pace(self, now: float, rate: float, random: random.Random) -> bool:
        """Return whether one more request may be sent, at ``rate`` a second at most.

        Turns are not saved beyond one, and gateways begin at different moments: many
        that become busy together do not all send at once.
        """
        if self._earned_at is None:
            self._earned, self._earned_at = random.random(), now
        self._earned = min(1.0, self._earned + rate * (now - self._earned_at))
        self._earned_at = now
        return self._earned >= 1.0

    def _expire(self, now: float) -> None:
        while self._sent and now - self._sent[0][0] >= HINT_DELAY_SECONDS:
            _, prefill, memory = self._sent.popleft()
            self._prefill -= prefill
            self._memory -= memory


def _allows(sent: int, tokens: int, headroom: float, gateway_count: int) -> bool:
    if sent == 0 or gateway_count <= 1:
        return True
    before = headroom + sent
    return sent + tokens <= before * min(1.0, MAX_SKEW / gateway_count)
