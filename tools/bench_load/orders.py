"""What callers ask for and what they received."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Behaviour(StrEnum):
    """What a caller does when it is refused."""

    OBEDIENT = "obedient"
    EAGER = "eager"


@dataclass(slots=True)
class Order:
    """One caller's wish, asked once or more until its deadline."""

    order_id: int
    workspace: str
    arrival: float
    prompt_tokens: int
    output_tokens: int
    deadline: float
    max_tokens: int = 256
    priority: int = 0
    # Names the leading tokens that an engine may have cached; empty when none.
    prefix: str = ""
    shared_tokens: int = 0
    behaviour: Behaviour = Behaviour.OBEDIENT
    idempotent: bool = True
    # What the caller received.
    submissions: int = 0
    sent_at: float = 0.0
    first_token: float = 0.0
    finished: float = 0.0
    # Seconds from each ask to its refusal.
    refusals: list[float] = field(default_factory=list)
    # Refusals that said nothing of when to come back.
    refusals_without_retry_after: int = 0
    targets: list[str] = field(default_factory=list)

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f"{self.order_id}.{self.submissions}.{len(self.targets)}"

    @property
    def in_time(self) -> bool:
        """Say whether the whole answer came by the deadline."""
        return 0.0 < self.finished <= self.deadline
