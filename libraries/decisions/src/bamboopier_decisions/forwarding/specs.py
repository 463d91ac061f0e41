"""What the operator configured and what targets reported of themselves.

Times are in seconds, sizes in bytes, sizes of prompts and memory in tokens.
"""

from __future__ import annotations

import math
from enum import StrEnum

import msgspec


class RetrySafety(StrEnum):
    """How often one request may run."""

    # Idempotent: running it again changes nothing.
    SAFE = "safe"
    # At most once.
    ONCE = "once"
    # At most once from its start; a new run may resume after the last event.
    RESUMABLE = "resumable"

    @property
    def allows_rerun(self) -> bool:
        """Return whether a second run from the start does no harm."""
        return self is not RetrySafety.ONCE


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services that a route divides its requests between."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Which requests go to which service, and how they may be handled."""

    name: str
    host: str
    # Starts and ends with a slash.
    prefix: str
    repeat: RetrySafety
    # The response is a stream of events.
    streams: bool
    # Maximum seconds until the caller gets its final response.
    timeout: float
    # Seconds to the first byte within which a response has its full value.
    latency_objective: float
    # 0 is the most urgent.
    priority: int
    services: tuple[WeightedService, ...]
    # Maximum number of targets that one request may be sent to, the first included.
    max_targets: int
    # No API key is required.
    public: bool
    # Requests contain prompts whose parts targets may have cached.
    has_prompt: bool
    # Seconds without an event after which callers abandon a stream.
    caller_patience: float = math.inf


class EngineSpec(msgspec.Struct, frozen=True):
    """The capacity of a service's model engines."""

    slots: int
    memory_tokens: int
    models: tuple[str, ...]


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service as the operator configured it."""

    name: str
    health_path: str
    # Maximum connections that one target accepts from all callers together.
    max_connections: int
    # A target is cold for this long after its start and then handles this many requests
    # a second; 0 where there is no such limit.
    cold_seconds: float
    cold_per_second: float
    engine: EngineSpec | None


class PartStoreSpec(msgspec.Struct, frozen=True):
    """A store in which engines save parts of prompts."""

    name: str
    # IP:PORT.
    address: str
    data_centre: str
    # Tokens that it can hold.
    capacity: int
    # It evicts nothing by itself, and reports when a part is fully stored.
    managed: bool


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of what a caller sends."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Workspace(msgspec.Struct, frozen=True):
    """A workspace with its API keys."""

    name: str
    keys: tuple[str, ...]
    # Goes before the priority of the route; None if it has none.
    priority: int | None
    # Shares no cached parts with other workspaces.
    isolated: bool


class DeclaredConfiguration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits
    # None where no request needs a key.
    workspaces: tuple[Workspace, ...] | None
    part_stores: tuple[PartStoreSpec, ...] = ()


class TargetEntry(msgspec.Struct, frozen=True):
    """One instance of a target, as it registered itself."""

    name: str
    # Milliseconds since 1970 of its start: a later start under the same name is another
    # instance, without the state of the previous one.
    started_ms: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    # Seconds for which it stays cold, as of its last change of this entry.
    cold_seconds: float
    # Weight version by model.
    versions: dict[str, int] = msgspec.field(default_factory=dict)
    # Version of its software. What two of them write in one stream does not fit
    # together.
    software_version: str = ""
