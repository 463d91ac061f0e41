"""What an operator ordered for a service, and how far it is carried out.

Times are in seconds.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RolloutState(StrEnum):
    """How far an order is carried out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


class RolloutOrder(msgspec.Struct, frozen=True):
    """Move a service to one software version within a time."""

    service: str
    version: str
    seconds: float


class RolloutStatus(msgspec.Struct, frozen=True):
    """Progress of an order, as stored beside it."""

    state: RolloutState
    # The version that the order named; a later order may name another one.
    version: str
    # The versions that served before.
    former: tuple[str, ...] = ()
    # Share of new requests that go to ``version``, from 0 to 1.
    share: float = 0.0
    # When a gateway first saw the order, in seconds since 1970.
    started_at: float = 0.0
    reason: str = ""


class Rollout(msgspec.Struct, frozen=True):
    """An order with its status, as they are in the store."""

    order: RolloutOrder
    # None until the order is taken up.
    status: RolloutStatus | None
    # Grows with each write of the object.
    revision: int

    @property
    def own_status(self) -> RolloutStatus | None:
        """Return the status if it is that of this order, not of an earlier one."""
        status = self.status
        if status is None or status.version != self.order.version:
            return None
        return status

    @property
    def is_running(self) -> bool:
        """Return whether the order is still to be carried out."""
        status = self.own_status
        return status is None or status.state is RolloutState.RUNNING
