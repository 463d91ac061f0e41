"""What gateways tell each other of the requests that targets take.

A gateway tells what answers said to it, not what others told: news that came back would
look newer each time, and a limit would outlive its end.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.rate_limit import NEVER, LimitUpdate

from .hints import TargetLimitHint
from .limit_notes import take_limit_news

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.target_state import TargetState

# Seconds for which something is told again: datagrams are lost, each reaches some of
# the others, and one that starts knows nothing.
TELL_SECONDS = 10.0
# Targets in one hint, drawn anew each time where there are more.
MAX_TARGETS = 8


class LimitHints:
    """Makes and takes the part of hints that is about limits."""

    def __init__(self, fleet: Fleet, random: random.Random) -> None:
        self._fleet = fleet
        self._random = random

    def list_hints(self, now: float) -> list[TargetLimitHint]:
        """Return what this gateway was told lately."""
        states = (self._fleet.find(name) for name in self._fleet.names)
        told = [
            state
            for state in states
            if state is not None and now - state.rate_limit.last_response_at < TELL_SECONDS
        ]
        if len(told) > MAX_TARGETS:
            told = self._random.sample(told, MAX_TARGETS)
        return [_make_hint(now, state) for state in told]

    def take(self, now: float, sender: str, hints: Iterable[TargetLimitHint]) -> None:
        """Take what another gateway was told."""
        for hint in hints:
            state = self._fleet.find(hint.target)
            if state is not None and state.entry.started_ms == hint.born:
                take_limit_news(state, _make_news(now, hint), sender)


def _make_hint(now: float, state: TargetState) -> TargetLimitHint:
    news = state.rate_limit.make_update()
    return TargetLimitHint(
        state.entry.name,
        state.entry.started_ms,
        news.per_second,
        _write_age(now, news.reported_at),
        _write_age(now, news.ended_at),
        _write_age(now, news.reported_since) or 0,
    )


def _make_news(now: float, hint: TargetLimitHint) -> LimitUpdate:
    return LimitUpdate(
        hint.per_second,
        _read_age(now, hint.named_age),
        _read_age(now, hint.ended_age),
        now - hint.since_age / 1000,
    )


def _write_age(now: float, at: float) -> int | None:
    # Rounded up: news must not look newer than they are.
    return math.ceil((now - at) * 1000) if at > NEVER else None


def _read_age(now: float, age: int | None) -> float:
    return now - age / 1000 if age is not None else NEVER
