"""The calls by which an agent knows and orders the target beside it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result


class OrderError(StrEnum):
    """Why an order is not, or not certainly, carried out."""

    # Another order is in progress, or others were accepted meanwhile.
    CONFLICT = "conflict"
    # A newer holder has given orders.
    FENCED = "fenced"
    # Another target answers at this address.
    MISDIRECTED = "misdirected"
    INVALID = "invalid"
    # It was certainly not accepted.
    UNREACHABLE = "unreachable"
    # It may have been accepted, or may be carried out later.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of itself."""

    # Empty where the target does not tell its name.
    name: str
    # Milliseconds since 1970 of its start.
    started_ms: int
    versions: dict[str, int]
    # An order is being carried out.
    busy: bool
    # Orders accepted since its start.
    accepted: int
    running: int
    waiting: int
    # Ids of the requests that run.
    runs: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class WeightOrder:
    """Loads one version of a model's weights."""

    model: str
    version: int
    holder: str
    fence: int
    # The order holds only if the target has accepted so many before it.
    expected: int
    # Only the target of this name may take it; empty for any.
    target: str


class TargetOrders(Protocol):
    """The target beside an agent."""

    async def read_report(self) -> Result[TargetReport, str]:
        """Return what the target says of itself now."""
        ...

    async def order_weights(self, order: WeightOrder) -> Result[None, OrderError]:
        """Order a version; Ok means that it is being loaded or is loaded."""
        ...
