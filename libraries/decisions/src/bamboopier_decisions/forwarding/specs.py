"""What an operator declared and what targets said of themselves.

Times are in seconds, sizes in bytes, sizes of prompts and memory in tokens.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RetrySafety(StrEnum):
    """How often one request may run."""

    # Idempotent: running it again changes nothing.
    SAFE = "safe"
    # At most once.
    ONCE = "once"
    # At most once from its beginning; a new run may go on after the last event.
    RESUMABLE = "resumable"

    @property
    def allows_rerun(self) -> bool:
        """Say whether a second run from the beginning does no harm."""
        return self is not RetrySafety.ONCE


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services a route divides its requests between."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and how they may be treated."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    repeat: RetrySafety
    # The answer is a stream of events.
    streams: bool
    # The longest time a caller is kept waiting for its final answer.
    timeout: float
    # Within this time to the first byte an answer has its full worth.
    latency_objective: float
    # 0 is the most urgent.
    priority: int
    services: tuple[WeightedService, ...]
    # Targets that one request may be sent to, the first included.
    max_targets: int
    # No API key is asked for.
    public: bool
    # Requests carry prompts whose parts targets may have cached.
    has_prompt: bool


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What a service's model engines can hold."""

    slots: int
    memory_tokens: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service as the operator declared it."""

    name: str
    health_path: str
    # Connections one target accepts from all callers together.
    max_connections: int
    # A target that started is cold for so long and then bears so many requests a
    # second; 0 where there is no such limit.
    cold_seconds: float
    cold_per_second: float
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class PartStoreSpec:
    """A store in which engines keep parts of prompts."""

    name: str
    # IP:PORT.
    address: str
    data_centre: str
    # Tokens it has room for.
    capacity: int
    # It drops nothing by itself, and says when a part lies whole in it.
    managed: bool


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its API keys."""

    name: str
    keys: tuple[str, ...]
    # Goes before the route's where it is set.
    priority: int | None
    # Shares no cached part with other workspaces.
    isolated: bool


@dataclass(frozen=True, slots=True)
class DeclaredConfiguration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits
    # None where no request needs a key.
    workspaces: tuple[Workspace, ...] | None
    part_stores: tuple[PartStoreSpec, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One start of a target, as it registered itself."""

    name: str
    # Milliseconds since 1970 of its start: a later start under the same name is
    # another incarnation that knows nothing of the one before.
    started_ms: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    # Seconds that it stays cold, as of its last change of this entry.
    cold_seconds: float
    # Weight version by model.
    versions: dict[str, int] = field(default_factory=dict)
