"""Exchanges the rate limits of targets between gateways.

A gateway sends only limits that responses reported to it, not those it received from
other gateways: an update that circulated would look newer each time, and a limit would
persist after its end.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.rate_limit import NEVER, LimitUpdate

from .hints import TargetLimitHint
from .limit_updates import apply_limit_update

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.target_state import TargetState

# Time for which a limit is repeated: datagrams may be lost, each reaches only some of
# the gateways, and a gateway that starts has no limits.
REPEAT_SECONDS = 10.0
# Maximum number of targets in one hint; a random sample each time if there are more.
MAX_TARGETS = 8


class LimitHints:
    """Creates and applies the rate limits in hints."""

    def __init__(self, fleet: Fleet, random: random.Random) -> None:
        self._fleet = fleet
        self._random = random

    def list_hints(self, now: float) -> list[TargetLimitHint]:
        """Return the limits recently reported to this gateway."""
        states = (self._fleet.find(name) for name in self._fleet.names)
        reported = [
            state
            for state in states
            if state is not None
            and now - state.rate_limit.last_response_at < REPEAT_SECONDS
        ]
        if len(reported) > MAX_TARGETS:
            reported = self._random.sample(reported, MAX_TARGETS)
        return [_make_hint(now, state) for state in reported]

    def apply(self, now: float, sender: str, hints: Iterable[TargetLimitHint]) -> None:
        """Apply limits that were reported to another gateway."""
        for hint in hints:
            state = self._fleet.find(hint.target)
            if state is not None and state.entry.started_ms == hint.started_ms:
                apply_limit_update(state, _make_update(now, hint), sender)


def _make_hint(now: float, state: TargetState) -> TargetLimitHint:
    update = state.rate_limit.make_update()
    return TargetLimitHint(
        state.entry.name,
        state.entry.started_ms,
        update.per_second,
        _encode_age(now, update.reported_at),
        _encode_age(now, update.ended_at),
        _encode_age(now, update.reported_since) or 0,
    )


def _make_update(now: float, hint: TargetLimitHint) -> LimitUpdate:
    return LimitUpdate(
        hint.per_second,
        _decode_age(now, hint.reported_age),
        _decode_age(now, hint.ended_age),
        now - hint.reported_since_age / 1000,
    )


def _encode_age(now: float, at: float) -> int | None:
    # Rounded up: an update must not look newer than it is.
    return math.ceil((now - at) * 1000) if at > NEVER else None


def _decode_age(now: float, age: int | None) -> float:
    return now - age / 1000 if age is not None else NEVER
