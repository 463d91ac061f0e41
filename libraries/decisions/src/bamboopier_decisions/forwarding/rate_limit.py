"""How many requests a second one target gets from this gateway, by its own word.

Load pattern: a target in need says in its answers what it takes from all gateways
together. Each answer reaches one gateway, and each has callers enough to send all of
that. So gateways tell each other what they were told, and each keeps to an equal part.

Few gateways each save up a second of their part, so that callers who come together are
served. With more gateways than the target takes requests, saved parts would add up to a
burst. Then gateways take turns, in the order of their names, and send one request in a
turn; the turns of all are as long as the target needs between two requests.

An answer that names no limit ends it, if its request was sent after the limit had last
been named: answers overtake each other. Nothing else ends it; a gateway that is cut off
keeps to what it knows.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

NEVER = float("-inf")
# Requests a second that are tried at a target which takes none: only an answer can say
# that it takes some again.
LEAST_PER_SECOND = 0.25
# Gateways beyond what a target takes in a second up to which each saves up its part.
SAVING_GATEWAYS = 3.0
# Requests that one gateway saves up, and the seconds in which its part makes more.
LEAST_SAVED = 1.0
SAVED_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class LimitUpdate:
    """What gateways tell each other of one target's limit.

    Times are on the clock of the gateway that reads it.
    """

    per_second: float
    # When the target last named it, as an answer came.
    reported_at: float
    # When a request was last sent whose answer named none.
    ended_at: float
    # Since when it has been named without an end.
    since: float


class RateLimit:
    """What one target takes a second, and what this gateway sent it of that."""

    __slots__ = (
        "_ended_at",
        "_filled_at",
        "_gateways",
        "_reported_at",
        "_own_ended_at",
        "_own_reported_at",
        "_phase",
        "_saved",
        "_sent_turn",
        "_since",
        "per_second",
    )

    def __init__(self, phase: float = 0.0) -> None:
        # Where the first gateway's turns lie, from 0 to 1; differs by target.
        self._phase = phase
        self.per_second = math.inf
        self._reported_at = self._ended_at = NEVER
        # The same by answers to this gateway alone: only these are told to others, so
        # that nobody's word comes back to it as news.
        self._own_reported_at = self._own_ended_at = NEVER
        self._since = NEVER
        self._saved = 0.0
        self._filled_at = NEVER
        self._gateways = 1
        # The turn in which a request was sent.
        self._sent_turn: int | None = None

    @property
    def in_force(self) -> bool:
        """Say whether the target names a limit, as far as is known."""
        return self._reported_at > self._ended_at

    @property
    def last_response_at(self) -> float:
        """Return when this gateway itself last learnt something from an answer."""
        return max(self._own_reported_at, self._own_ended_at)

    def record_limit(self, now: float, per_second: float) -> bool:
        """Take in an answer that names a limit; say whether that is new."""
        self._own_reported_at = now
        return self._take_named(now, now, per_second, now)

    def record_no_limit(self, sent_at: float) -> bool:
        """Take in an answer without a limit to a request sent at ``sent_at``.

        Returns whether that ends a limit.
        """
        if self._reported_at == NEVER:
            return False
        self._own_ended_at = max(self._own_ended_at, sent_at)
        return self._take_ended(sent_at)

    def apply_update(self, now: float, news: LimitUpdate) -> bool:
        """Take what another gateway was told; say whether it changes anything."""
        ended = self._take_ended(news.ended_at)
        if news.reported_at <= max(news.ended_at, self._reported_at):
            return ended
        return self._take_named(now, news.reported_at, news.per_second, news.since)

    def make_update(self) -> LimitUpdate:
        """Return what this gateway was told itself."""
        return LimitUpdate(
            self.per_second, self._own_reported_at, self._own_ended_at, self._since
        )

    def may_send(self, now: float, gateways: int, gateway_index: int | None) -> bool:
        """Say whether this gateway's part allows one more request.

        It is the one at ``gateway_index``, from 0, in the order of the gateways' names; while
        that is not known it has no turn.
        """
        return self.find_next(now, gateways, gateway_index) <= now

    def find_next(self, now: float, gateways: int, gateway_index: int | None) -> float:
        """Return when this gateway may send the next request; infinity for never."""
        if not self.in_force:
            return now
        self._gateways = max(1, gateways)
        if self._takes_turns:
            return self._find_turn(now, gateway_index)
        self._fill(now)
        missing = max(0.0, 1.0 - self._saved)
        return now + missing / self.gateway_rate

    def record_sent(self, now: float) -> None:
        """Count a request."""
        if not self.in_force:
            return
        if self._takes_turns:
            self._sent_turn = self._count_turns(now)
        else:
            self._fill(now)
            self._saved -= 1.0

    @property
    def gateway_rate(self) -> float:
        """Return the requests a second that are this gateway's."""
        return self._rate / self._gateways

    @property
    def _rate(self) -> float:
        return max(LEAST_PER_SECOND, self.per_second)

    @property
    def _takes_turns(self) -> bool:
        return self._gateways > self._rate + SAVING_GATEWAYS

    def _take_named(
        self, now: float, reported_at: float, per_second: float, since: float
    ) -> bool:
        is_new = not self.in_force or per_second != self.per_second
        if not self.in_force:
            self._since = since
            # What callers sent before it was known has used up the first part.
            self._saved, self._filled_at = 0.0, now
            self._sent_turn = None
        else:
            self._since = min(self._since, since)
        self._reported_at = max(self._reported_at, reported_at)
        self.per_second = per_second
        return is_new and self.in_force

    def _take_ended(self, ended_at: float) -> bool:
        was_in_force = self.in_force
        self._ended_at = max(self._ended_at, ended_at)
        return was_in_force and not self.in_force

    def _fill(self, now: float) -> None:
        most = max(LEAST_SAVED, self.gateway_rate * SAVED_SECONDS)
        filled = self._saved + (now - self._filled_at) * self.gateway_rate
        self._saved = min(most, filled)
        self._filled_at = now

    def _count_turns(self, now: float) -> int:
        return math.floor((now - self._since) * self._rate)

    def _find_turn(self, now: float, gateway_index: int | None) -> float:
        if gateway_index is None:
            return math.inf
        turn = self._count_turns(now)
        own = (gateway_index + int(self._phase * self._gateways)) % self._gateways
        ahead = (own - turn) % self._gateways
        if ahead == 0 and turn == self._sent_turn:
            ahead = self._gateways
        if ahead == 0:
            return now
        return self._since + (turn + ahead) / self._rate
