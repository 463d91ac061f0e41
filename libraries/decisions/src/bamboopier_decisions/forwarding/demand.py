"""What one request needs of a target, and what a search for one has found.

Load pattern: prompts of very different sizes and urgencies over engines whose memory is
the limit. Without shares by priority, long prompts of low priority would fill memory
and prefill, and short urgent ones would wait behind them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from .prompt import Prompt
    from .target_state import TargetState

# Share of an engine's memory above which a request is not sent, by its priority, 0 the
# most urgent. Otherwise long prompts of low priority would fill the memory, and short
# urgent ones would wait behind them: an engine that is full preempts running requests
# and recomputes them.
MAX_MEMORY_SHARES = (1.05, 0.98, 0.9)
# Share of its latency objective that a request's own prefill and what is pending before
# it may take, by priority. Engines prefill urgent prompts before the others that are
# pending; less urgent ones have to wait for all of it, and leave headroom.
PREFILL_BACKLOG_SHARES = (1.5, 1.1, 0.7)


class Demand:
    """What one request needs of a target."""

    __slots__ = (
        "exceeds_part",
        "excluded_versions",
        "fetched",
        "is_new",
        "latency_objective",
        "priority",
        "prompt",
        "service",
        "seconds_left",
        "software_version",
    )

    def __init__(
        self,
        service: str,
        priority: int,
        prompt: Prompt | None,
        latency_objective: float,
        fetched: int = 0,
        software_version: str | None = None,
        *,
        is_new: bool = False,
        excluded_versions: frozenset[str] = frozenset(),
        seconds_left: float | None = None,
        exceeds_part: bool = False,
    ) -> None:
        self.service = service
        self.priority = priority
        self.prompt = prompt
        # Seconds to the first byte within which the response has its full value.
        self.latency_objective = latency_objective
        # Leading tokens of the prompt that any target could fetch from a store.
        self.fetched = fetched
        # Probably no target has computed the shared parts of the prompt yet.
        self.is_new = is_new
        # That of the target that began the stream; None if the stream has not begun.
        self.software_version = software_version
        # Software versions whose targets the request is not sent to.
        self.excluded_versions = excluded_versions
        # What is left of its latency objective, below 0 once it is late.
        self.seconds_left = latency_objective if seconds_left is None else seconds_left
        # Its workspace asks for more than its part: it waits for a free slot.
        self.exceeds_part = exceeds_part

    @property
    def max_backlog_seconds(self) -> float:
        """Return the prefill, its own included, up to which the request is sent."""
        return self.latency_objective * PREFILL_BACKLOG_SHARES[self._priority_index]

    @property
    def max_memory_share(self) -> float:
        """Return the share of an engine's memory up to which the request is sent."""
        return MAX_MEMORY_SHARES[self._priority_index]

    @property
    def _priority_index(self) -> int:
        if self.software_version is not None:
            # A stream that has begun has few targets to choose from.
            return 0
        return min(max(self.priority, 0), len(PREFILL_BACKLOG_SHARES) - 1)


class WeightVersionRange(msgspec.Struct, frozen=True):
    """The newest version of a model and the oldest that may still serve; 0 for any."""

    newest: int = 0
    oldest: int = 0


class LimitedTargets(msgspec.Struct, frozen=True):
    """Targets that accept no request of this gateway until a time that is known.

    They have asked for rest, or its share of their rate limits is used up.
    """

    # Those that the request has not been sent to.
    count: int
    # There is no other target that the request has not been sent to.
    covers_all: bool
    # When the first of ``count`` accepts a request again; infinity without any.
    next_at: float
    # Requests a second that those in ``count`` accept together from this gateway.
    gateway_rate: float
    # When the first of all targets, tried or not, accepts requests of this gateway.
    free_at: float


class Placement:
    """The result of choosing a target."""

    __slots__ = ("best", "known", "limited", "open", "usable")

    def __init__(
        self,
        best: list[TargetState],
        known: int,
        open_: int,
        usable: int,
        limited: LimitedTargets,
    ) -> None:
        # Those with the least expected time to the first byte, the best one first: of
        # those with capacity, or of all usable ones if none has capacity.
        self.best = best
        # Numbers of targets: registered and open ones that could hold the request when
        # idle, those that may be tried, and those with capacity.
        self.known = known
        self.usable = usable
        self.open = open_
        # The targets that get no request now because of what they reported.
        self.limited = limited

    @property
    def state(self) -> TargetState | None:
        """Return the chosen target; None if all are full, or none is usable."""
        return self.best[0] if self.open else None
