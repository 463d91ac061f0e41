"""Limits the requests a second to one target by the rate limit it reports.

Load pattern: a rate-limited target reports in its responses the rate that it accepts
from all gateways together. Each response reaches one gateway, and each gateway has
enough callers to use all of that rate. Gateways therefore forward the reported limit to
each other, and each is limited to its share: that of its requests among those of all.

With few gateways each has a token bucket that holds one second of its share, so that
callers who arrive together are served. With more gateways than the target accepts
requests, full buckets would add up to a burst. In that case gateways use time slots, in
the order of their names, and send one request in a time slot; each time slot is as long
as the target needs between two requests. A gateway that gets most of the callers has a
token bucket all the same: the time slots of those without callers are idle.

A response that reports no limit ends the limit, if its request was sent after the limit
had last been reported: responses overtake each other. Nothing else ends it; a gateway
that is cut off keeps the last limit it received.
"""

from __future__ import annotations

import math

import msgspec

NEVER = float("-inf")
# Requests a second that are sent to a target that accepts none: only a response can
# report that it accepts some again.
MIN_PER_SECOND = 0.25
# Number of gateways, in addition to the requests a target accepts in a second, up to
# which each has a token bucket.
BUCKET_GATEWAYS = 3.0
# Minimum capacity of the bucket in requests, and the seconds of this gateway's share
# that make up a larger capacity.
MIN_BUCKET_SIZE = 1.0
BUCKET_SECONDS = 1.0


class LimitUpdate(msgspec.Struct, frozen=True):
    """What gateways report to each other of one target's limit.

    Times are on the clock of the gateway that reads it.
    """

    per_second: float
    # When the target last reported the limit, by the arrival of the response.
    reported_at: float
    # When a request was last sent whose response reported no limit.
    ended_at: float
    # Since when the limit has been reported without an end.
    reported_since: float


class RateLimit:
    """The rate limit of one target, and this gateway's use of its share."""

    __slots__ = (
        "_ended_at",
        "_refilled_at",
        "_gateway_count",
        "_share",
        "_reported_at",
        "_own_ended_at",
        "_own_reported_at",
        "_phase",
        "_credits",
        "_used_time_slot",
        "_reported_since",
        "per_second",
    )

    def __init__(self, phase: float = 0.0) -> None:
        # Offset of the first gateway's time slots, from 0 to 1; differs by target.
        self._phase = phase
        self.per_second = math.inf
        self._reported_at = self._ended_at = NEVER
        # The same by responses to this gateway alone: only these are forwarded to other
        # gateways, so that no report returns to its origin as an update.
        self._own_reported_at = self._own_ended_at = NEVER
        self._reported_since = NEVER
        self._credits = 0.0
        self._refilled_at = NEVER
        self._gateway_count = 1
        self._share = 1.0
        # The time slot in which a request was sent.
        self._used_time_slot: int | None = None

    @property
    def in_force(self) -> bool:
        """Return whether the target reports a limit, as far as is known."""
        return self._reported_at > self._ended_at

    @property
    def last_response_at(self) -> float:
        """Return when a response to this gateway last reported or ended the limit."""
        return max(self._own_reported_at, self._own_ended_at)

    def record_limit(self, now: float, per_second: float) -> bool:
        """Record a response that reports a limit; return whether that is new."""
        self._own_reported_at = now
        return self._apply_reported(now, now, per_second, now)

    def record_no_limit(self, sent_at: float) -> bool:
        """Record a response without a limit to a request sent at ``sent_at``.

        Return whether that ends a limit.
        """
        if self._reported_at == NEVER:
            return False
        self._own_ended_at = max(self._own_ended_at, sent_at)
        return self._apply_ended(sent_at)

    def apply_update(self, now: float, update: LimitUpdate) -> bool:
        """Apply an update of another gateway; return whether it changes anything."""
        ended = self._apply_ended(update.ended_at)
        if update.reported_at <= max(update.ended_at, self._reported_at):
            return ended
        return self._apply_reported(
            now, update.reported_at, update.per_second, update.reported_since
        )

    def make_update(self) -> LimitUpdate:
        """Return what was reported to this gateway itself."""
        return LimitUpdate(
            self.per_second,
            self._own_reported_at,
            self._own_ended_at,
            self._reported_since,
        )

    def may_send(
        self,
        now: float,
        gateway_count: int,
        gateway_index: int | None,
        share: float | None = None,
    ) -> bool:
        """Return whether this gateway's share allows one more request.

        ``gateway_index`` is this gateway's index, from 0, in the order of the gateways'
        names; while it is None the gateway has no time slot. ``share`` is from 0 to 1;
        equal shares if it is None.
        """
        return self.find_next(now, gateway_count, gateway_index, share) <= now

    def find_next(
        self,
        now: float,
        gateway_count: int,
        gateway_index: int | None,
        share: float | None = None,
    ) -> float:
        """Return when this gateway may send the next request; infinity for never."""
        if not self.in_force:
            return now
        self._gateway_count = max(1, gateway_count)
        equal = 1.0 / self._gateway_count
        self._share = equal if share is None else share
        if self._uses_time_slots:
            self._share = equal
        if self._uses_time_slots:
            return self._find_time_slot(now, gateway_index)
        self._refill(now)
        missing = max(0.0, 1.0 - self._credits)
        return now + missing / self.gateway_rate

    def record_sent(self, now: float) -> None:
        """Record a request."""
        if not self.in_force:
            return
        if self._uses_time_slots:
            self._used_time_slot = self._count_time_slots(now)
        else:
            self._refill(now)
            self._credits -= 1.0

    @property
    def gateway_rate(self) -> float:
        """Return this gateway's share in requests a second."""
        return self._rate * self._share

    @property
    def _rate(self) -> float:
        return max(MIN_PER_SECOND, self.per_second)

    @property
    def _uses_time_slots(self) -> bool:
        is_many = self._gateway_count > self._rate + BUCKET_GATEWAYS
        return is_many and self.gateway_rate * BUCKET_SECONDS < MIN_BUCKET_SIZE

    def _apply_reported(
        self, now: float, reported_at: float, per_second: float, reported_since: float
    ) -> bool:
        is_new = not self.in_force or per_second != self.per_second
        if not self.in_force:
            self._reported_since = reported_since
            # Requests sent before the limit was known have used up the first share.
            self._credits, self._refilled_at = 0.0, now
            self._used_time_slot = None
        else:
            self._reported_since = min(self._reported_since, reported_since)
        self._reported_at = max(self._reported_at, reported_at)
        self.per_second = per_second
        return is_new and self.in_force

    def _apply_ended(self, ended_at: float) -> bool:
        was_in_force = self.in_force
        self._ended_at = max(self._ended_at, ended_at)
        return was_in_force and not self.in_force

    def _refill(self, now: float) -> None:
        bucket_size = max(MIN_BUCKET_SIZE, self.gateway_rate * BUCKET_SECONDS)
        refilled = self._credits + (now - self._refilled_at) * self.gateway_rate
        self._credits = min(bucket_size, refilled)
        self._refilled_at = now

    def _count_time_slots(self, now: float) -> int:
        return math.floor((now - self._reported_since) * self._rate)

    def _find_time_slot(self, now: float, gateway_index: int | None) -> float:
        if gateway_index is None:
            return math.inf
        time_slot = self._count_time_slots(now)
        own = (
            gateway_index + int(self._phase * self._gateway_count)
        ) % self._gateway_count
        ahead = (own - time_slot) % self._gateway_count
        if ahead == 0 and time_slot == self._used_time_slot:
            ahead = self._gateway_count
        if ahead == 0:
            return now
        return self._reported_since + (time_slot + ahead) / self._rate
