"""Decides when a process asks the store itself whether it knows all changes.

Load pattern: hundreds of gateways follow the same few lists in the store, and each must
know at any time how old its copy may be. If each asked the store once a second, the
calls would grow with the number of gateways, and a store that is slow would be asked
more than it can answer. One response confirms a list for all: a gateway first asks a
few peers how old their confirmations are, and asks the store only if none of them has a
recent one. A gateway that hears from no peer therefore confirms everything itself.

The limits are random, so that of many gateways with equally old confirmations one asks
first, and the others learn of its response.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Shares of the maximum age between which the limit is drawn after each check.
MIN_LIMIT_SHARE = 0.6
# Share of the maximum age from which peers are asked.
ASK_SHARE = 0.26
# Seconds from a peer's report of a change until this process checks: for as long it may
# pause between two watches, and the response may be in transfer.
RESPONSE_GRACE_SECONDS = 0.9


class ConfirmationSchedule:
    """The limits for one list. All times are on the caller's clock."""

    __slots__ = ("_limit", "_max_age", "_newer_revision", "_newer_since", "_random")

    def __init__(self, max_age: float, random: random.Random) -> None:
        # Maximum seconds since the last confirmation until the store is asked.
        self._max_age = max_age
        self._random = random
        self._limit = self._draw_limit()
        # The highest revision that a peer reported, and since when it is known here.
        self._newer_revision = 0
        self._newer_since = float("-inf")

    def record_newer(self, now: float, revision: int) -> None:
        """Record that a peer received a change at ``revision``."""
        if revision > self._newer_revision:
            self._newer_revision, self._newer_since = revision, now

    def record_check(self) -> None:
        """Record that the store is asked now."""
        self._limit = self._draw_limit()

    def is_query_due(self, now: float, known_until: float) -> bool:
        """Return whether peers are to be asked how old their confirmations are."""
        return now - known_until > self._max_age * ASK_SHARE

    def is_check_due(
        self,
        now: float,
        known_until: float,
        revision: int,
        grace: float = RESPONSE_GRACE_SECONDS,
    ) -> bool:
        """Return whether the store is to be asked.

        All changes until ``known_until`` and up to ``revision`` are known. A change
        that a peer reported is expected within ``grace`` seconds by the watch.
        """
        if self._newer_revision > revision:
            return now - self._newer_since >= grace
        return now - known_until > self._limit

    def _draw_limit(self) -> float:
        return self._max_age * self._random.uniform(MIN_LIMIT_SHARE, 1.0)
