"""Orders of the simulated callers and the results that they received."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Behaviour(StrEnum):
    """Retry behaviour of a refused caller: after Retry-After, or at once."""

    OBEDIENT = "obedient"
    EAGER = "eager"


@dataclass(slots=True)
class Order:
    """A caller's request, sent once or more until its deadline.

    Times are in simulated seconds.
    """

    order_id: int
    workspace: str
    arrival: float
    prompt_tokens: int
    output_tokens: int
    deadline: float
    max_tokens: int = 256
    priority: int = 0
    # Identifies the shared leading tokens, which an engine may have cached; empty if
    # there are none.
    prefix: str = ""
    shared_tokens: int = 0
    behaviour: Behaviour = Behaviour.OBEDIENT
    idempotent: bool = True
    # Progress and results; ``submissions`` counts how often the caller sent the order.
    submissions: int = 0
    sent_at: float = 0.0
    first_token: float = 0.0
    finished: float = 0.0
    # Seconds from each submission to its refusal.
    refusals: list[float] = field(default_factory=list)
    # Refusals without a retry time.
    refusals_without_retry_after: int = 0
    targets: list[str] = field(default_factory=list)

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f"{self.order_id}.{self.submissions}.{len(self.targets)}"

    @property
    def in_time(self) -> bool:
        """Return whether the complete response arrived by the deadline."""
        return 0.0 < self.finished <= self.deadline
