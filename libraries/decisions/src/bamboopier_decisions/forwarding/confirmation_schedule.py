"""Decides when a process asks the store itself whether it knows all changes.

Load pattern: hundreds of gateways follow the same few lists in the store, and each must
know at any time how old its copy may be. If each asked the store once a second, the
calls would grow with the number of gateways, and a store that is slow would be asked
more than it can answer. One response confirms a list for all: a gateway first asks a
few peers how old their confirmations are, and asks the store only if none of them has a
recent one. A gateway that hears from no peer therefore confirms everything itself.

The gateways agree on an order for each list. The first asks so early that its response
reaches the others before they would ask; the next in order ask a little later each, in
case that the ones before them can't.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Share of the maximum age from which the last gateways in order ask: they draw a limit
# between this and all of it after each check.
LAST_LIMIT_SHARE = 0.95
# Minimum share of the maximum age after which the first in order asks.
MIN_LIMIT_SHARE = 0.35
# Seconds for which the first in order asks earlier, for each doubling of the number of
# gateways: every round of questions among them brings a response to some times as many.
SPREAD_SECONDS = 0.12
# Seconds from one gateway's limit to that of the next in order: nearly a round.
ORDER_SECONDS = 0.2
# Share of the maximum age from which peers are asked.
ASK_SHARE = 0.26
# Seconds from a peer's report of a change until this process checks: for as long it may
# pause between two watches, and the response may be in transfer.
RESPONSE_GRACE_SECONDS = 0.9


class ConfirmationSchedule:
    """The limits for one list. All times are on the caller's clock."""

    __slots__ = (
        "_count",
        "_last_limit",
        "_max_age",
        "_newer_revision",
        "_newer_since",
        "_random",
        "_rank",
    )

    def __init__(self, max_age: float, random: random.Random) -> None:
        # Maximum seconds since the last confirmation until the store is asked.
        self._max_age = max_age
        self._random = random
        self._last_limit = self._draw_last_limit()
        # Place of this gateway in the order of all, from 0, and their number.
        self._rank, self._count = 0, 1
        # The highest revision that a peer reported, and since when one is missing.
        self._newer_revision = 0
        self._newer_since = float("-inf")

    def set_order(self, rank: int, count: int) -> None:
        """Set the place of this gateway in the order of all ``count``, from 0."""
        self._rank, self._count = rank, count

    def record_newer(self, now: float, revision: int, known_revision: int) -> bool:
        """Record that a peer received a change at ``revision``.

        Return whether that was not known. Changes up to ``known_revision`` are known
        here. While an earlier one is missing, its time counts: changes that follow one
        another would else put off the check for ever.
        """
        if revision <= self._newer_revision:
            return False
        if self._newer_revision <= known_revision:
            self._newer_since = now
        self._newer_revision = revision
        return True

    def expects_change(self, revision: int) -> bool:
        """Return whether a peer reported a change that is later than ``revision``."""
        return self._newer_revision > revision

    def record_check(self) -> None:
        """Record that the store is asked now."""
        self._last_limit = self._draw_last_limit()

    def is_query_due(self, now: float, known_until: float) -> bool:
        """Return whether peers are to be asked how old their confirmations are."""
        return now - known_until > self._max_age * ASK_SHARE

    def is_check_due(
        self,
        now: float,
        known_until: float,
        revision: int,
        transfer_seconds: float | None = None,
    ) -> bool:
        """Return whether the store is to be asked.

        All changes until ``known_until`` and up to ``revision`` are known. A change
        that a peer reported is expected by the watch soon, unless nothing has been
        confirmed for the maximum age: then the watch may be silent, and no peer
        confirms anything either. A large object that is given ``transfer_seconds`` is
        not asked for sooner, since it would be transferred twice.
        """
        if not self.expects_change(revision):
            return now - known_until > self._find_limit()
        if transfer_seconds is not None:
            return now - self._newer_since >= transfer_seconds
        is_late = now - self._newer_since >= RESPONSE_GRACE_SECONDS
        return is_late or now - known_until >= self._max_age

    def _find_limit(self) -> float:
        early = SPREAD_SECONDS * math.log2(max(2, self._count))
        first = max(self._max_age * MIN_LIMIT_SHARE, self._max_age - early)
        return min(first + ORDER_SECONDS * self._rank, self._last_limit)

    def _draw_last_limit(self) -> float:
        return self._max_age * self._random.uniform(LAST_LIMIT_SHARE, 1.0)
