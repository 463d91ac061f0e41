"""What operators publish: services, workspaces, models, stores and drains.

Every class is checked by msgspec while a file is decoded: an unknown key, a wrong
type or a value out of range never yields an object.
"""

from __future__ import annotations

from typing import Annotated, ClassVar, Literal

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?\Z", max_length=63)
]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
# Plain segments only: a declaration with an escape or a dot segment would never match
# the paths that callers' requests are reduced to.
RoutePath = Annotated[
    str, msgspec.Meta(pattern=r"^/([A-Za-z0-9._~@:-]+(/[A-Za-z0-9._~@:-]+)*/?)?\Z")
]
Count = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=7 * 86_400)]

DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_BLOCK_TOKENS = 2000


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whether calls under a path of a plain service may be repeated."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: RoutePath
    # Whether a call may run more than once, so that it may be retried.
    idempotent: bool


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of targets that callers address by one name."""

    name: Name
    # A model engine behind /v1, or a plain service behind /services/NAME.
    kind: Literal["model", "plain"]
    # Models that the targets offer; none for a plain service.
    models: list[Name] = []
    # Store VMs that keep exported context; without one nothing is exported.
    store: Name | None = None
    # Which measure the choice between fetching and recomputing favours.
    preset: Literal["first-token", "recompute"] = "first-token"
    # First match counts; a call that no route names is not idempotent.
    routes: list[Route] = []
    # Whether targets refuse commands with an old fencing number by themselves.
    targets_check_fencing: bool = False
    # Targets of the service that may load weights at the same time.
    loads_at_once: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    # A larger request body is refused without being read.
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=64 * 1024 * 1024)] = (
        DEFAULT_MAX_BODY_BYTES
    )
    # Deadline of a request that states none in X-Timeout-Seconds.
    default_timeout_seconds: Seconds = 60.0
    # How long a repeated idempotency key is recognised.
    key_lifetime_seconds: Seconds = 86_400.0


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One caller organisation's share, keys and permitted services."""

    name: Name
    # SHA-256, in hex, of each API key; the key itself never stands in a file.
    api_key_digests: Annotated[list[Digest], msgspec.Meta(min_length=1)]
    # Services that the workspace may call.
    services: Annotated[list[Name], msgspec.Meta(min_length=1)]
    # Share of a full target relative to other workspaces.
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and the weight version its targets should serve."""

    name: Name
    # Weight version to serve; a change here is a roll-out.
    version: Name
    # Tokens of a block of context, the unit that is cached, stored and fetched.
    block_tokens: Annotated[int, msgspec.Meta(ge=16, le=65_536)] = DEFAULT_BLOCK_TOKENS


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of store VMs that keep exported context blocks."""

    name: Name
    # Store VMs that each block is written to.
    replicas: Annotated[int, msgspec.Meta(ge=1, le=3)] = 1
    # What exports and fetches of one agent may use of its link.
    link_bytes_per_second: Count = 125_000_000


class Drains(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Places that operators have taken out of service."""

    data_centres: list[Name] = []
    targets: list[Name] = []


class ConfigurationFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One operator's file: what it adds to the published configuration."""

    # A drain is a short-lived order of whoever is on duty. In a file it would come
    # back with every later publish, long after the data centre was restored.
    elsewhere: ClassVar[dict[str, str]] = {
        "drains": "use the commands drain and restore for drains"
    }

    services: list[Service] = []
    workspaces: list[Workspace] = []
    models: list[Model] = []
    stores: list[Store] = []


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One whole published state."""

    services: list[Service] = []
    workspaces: list[Workspace] = []
    models: list[Model] = []
    stores: list[Store] = []
    drains: Drains = Drains()
