"""Interface for an agent's calls to the target on its machine: report and order."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from result import Result


class OrderError(StrEnum):
    """Why an order is not, or not certainly, executed."""

    # Another order is in progress, or others have been accepted since the report.
    CONFLICT = "conflict"
    # A holder with a newer fencing token has sent orders.
    FENCED = "fenced"
    # Another target answers at this address.
    MISDIRECTED = "misdirected"
    INVALID = "invalid"
    # The order was certainly not accepted.
    UNREACHABLE = "unreachable"
    # The order may have been accepted, or may be executed later.
    UNKNOWN = "unknown"


class RestRequest(msgspec.Struct, frozen=True):
    """The target rejects a call and wants nothing from this machine for some time."""

    seconds: float


class TargetReport(msgspec.Struct, frozen=True):
    """State that a target reports of itself."""

    # Empty if the target does not report its name.
    name: str
    # Start time of the target in milliseconds since 1970.
    started_ms: int
    versions: dict[str, int]
    # Whether an order is being executed.
    busy: bool
    # Number of orders accepted since the start.
    accepted: int
    running: int
    waiting: int
    # Ids of the running requests.
    runs: frozenset[str] = frozenset()


class WeightOrder(msgspec.Struct, frozen=True):
    """Order to load one version of a model's weights."""

    model: str
    version: int
    holder: str
    fence: int
    # The order is valid only if the target has accepted this number of orders before.
    expected: int
    # Only the target of this name may accept the order; empty for any.
    target: str


class TargetOrders(Protocol):
    """Calls to the target on the agent's machine."""

    async def read_report(self) -> Result[TargetReport, str | RestRequest]:
        """Return the current report of the target."""
        ...

    async def order_weights(
        self, order: WeightOrder
    ) -> Result[None, OrderError | RestRequest]:
        """Order a weight load; Ok means that the version is loading or loaded."""
        ...
