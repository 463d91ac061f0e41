"""Builders of routing events with default values."""

from __future__ import annotations

from random import Random

from bamboopier_decisions.routing.messages import (
    AttemptEnded,
    Distance,
    ExecutionStatus,
    FleetChanged,
    RequestArrived,
    TargetView,
)
from bamboopier_decisions.routing.router import Router

SERVICE = "chat"


def make_router(targets: int, seed: int = 1) -> Router:
    """Return a router with the targets ``t0``, ``t1`` and so on."""
    router = Router(Random(seed))
    router.handle(make_fleet(targets))
    return router


def make_fleet(targets: int, now: float = 0.0) -> FleetChanged:
    """Return the event that reports the complete fleet."""
    near = Distance.SAME_DATA_CENTRE
    views = (TargetView(f"t{number}", SERVICE, near) for number in range(targets))
    return FleetChanged(now, tuple(views))


def make_request(
    request_id: str,
    now: float = 0.0,
    workspace: str = "w",
    keys: tuple[bytes, ...] = (),
    idempotent: bool = True,
) -> RequestArrived:
    """Return a request of 800 prompt tokens with a minute to its deadline."""
    return RequestArrived(
        now=now,
        request_id=request_id,
        workspace=workspace,
        service=SERVICE,
        idempotent=idempotent,
        deadline=now + 60.0,
        prompt_tokens=800,
        block_tokens=100,
        block_keys=keys,
    )


def make_end(
    request_id: str,
    target: str,
    ran: ExecutionStatus,
    now: float = 0.0,
    retry_after: float = 0.0,
    broken: bool = False,
) -> AttemptEnded:
    """Return the event that ends an attempt."""
    return AttemptEnded(now, request_id, target, ran, retry_after, broken)
