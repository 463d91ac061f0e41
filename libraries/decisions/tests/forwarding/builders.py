"""Builders of entries, services, prompts and fleets for forwarding tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.prompt import Prompt, PromptPart
from bamboopier_decisions.forwarding.specs import (
    CallerLimits,
    DeclaredConfiguration,
    EngineSpec,
    RetrySafety,
    Route,
    ServiceSpec,
    TargetEntry,
    WeightedService,
    Workspace,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

MODEL = "m1"
DESK, VANS = "desk", "vans"
ENGINE = EngineSpec(slots=128, memory_tokens=170_000, models=(MODEL,))


def make_entry(name: str, service: str = DESK, **changes: Any) -> TargetEntry:
    """Return a target's entry."""
    fields: dict[str, Any] = {
        "name": name,
        "started_ms": 1,
        "service": service,
        "host": "10.0.0.1",
        "port": 80,
        "data_centre": "z1",
        "slots": 128 if service == DESK else 6,
        "leaving": False,
        "cold_seconds": 0.0,
        "versions": {MODEL: 1} if service == DESK else {},
    }
    return TargetEntry(**{**fields, **changes})


def make_services() -> dict[str, ServiceSpec]:
    """Return a service of engines and a plain one."""
    return {
        DESK: ServiceSpec(DESK, "/healthz", 620, 3.0, 18.0, ENGINE),
        VANS: ServiceSpec(VANS, "/healthz", 100, 0.0, 0.0, None),
    }


def make_fleet(entries: Iterable[TargetEntry], now: float = 0.0) -> Fleet:
    """Return a fleet with these entries."""
    fleet = Fleet()
    fleet.set_services(make_services())
    fleet.replace(now, entries)
    return fleet


def make_prompt(
    session: str, shared: int = 8600, own: int = 2800, max_output: int = 1120
) -> Prompt:
    """Return a prompt with a common part, a session's part, and its own."""
    parts = (
        PromptPart("system", 512),
        PromptPart(session, shared),
        PromptPart(f"{session}-own", own),
    )
    return Prompt(MODEL, 512 + shared + own, max_output, parts)


def make_route(prefix: str, **changes: Any) -> Route:
    """Return a route of the host ``desk.example``."""
    fields: dict[str, Any] = {
        "name": prefix,
        "host": "desk.example",
        "prefix": prefix,
        "repeat": RetrySafety.SAFE,
        "streams": False,
        "timeout": 3.0,
        "latency_objective": 0.4,
        "priority": 1,
        "services": (WeightedService(VANS),),
        "max_targets": 2,
        "public": False,
        "has_prompt": False,
    }
    return Route(**{**fields, **changes})


def make_configuration(
    routes: Iterable[Route], **changes: Any
) -> DeclaredConfiguration:
    """Return a configuration with one workspace."""
    workspace = Workspace("midlands", ("k1", "k2"), None, isolated=False)
    fields: dict[str, Any] = {
        "version": 1,
        "routes": tuple(routes),
        "services": make_services(),
        "limits": CallerLimits(),
        "workspaces": (workspace,),
    }
    return DeclaredConfiguration(**{**fields, **changes})
