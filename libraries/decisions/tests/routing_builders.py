"""Routing events with the usual values filled in."""

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
    """Return a router that knows targets ``t0`` and so on."""
    router = Router(Random(seed))
    router.handle(make_fleet(targets))
    return router


def make_fleet(targets: int, now: float = 0.0) -> FleetChanged:
    """Return the whole fleet as an event."""
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
    """Return an arrival of 800 prompt tokens with a minute to its deadline."""
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
    """Return the end of an attempt."""
    return AttemptEnded(now, request_id, target, ran, retry_after, broken)
