"""Published configuration: services, workspaces, models, stores and drains.

msgspec validates every class while it decodes a file: an unknown key, a wrong type or
a value out of range is an error.
"""

from __future__ import annotations

from typing import Annotated, ClassVar, Literal

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?\Z", max_length=63)
]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
# Plain segments only: a path with an escape or a dot segment would never match, since
# the paths of callers' requests are normalised.
RoutePath = Annotated[
    str, msgspec.Meta(pattern=r"^/([A-Za-z0-9._~@:-]+(/[A-Za-z0-9._~@:-]+)*/?)?\Z")
]
Count = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=7 * 86_400)]

DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_BLOCK_TOKENS = 2000


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whether calls below a path of a plain service may be retried."""

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
    # Store for exported context; without one nothing is exported.
    store: Name | None = None
    # What the choice between fetching and recomputing context optimises for.
    preset: Literal["first-token", "recompute"] = "first-token"
    # The first match applies; a call that matches no route is not idempotent.
    routes: list[Route] = []
    # Whether targets themselves refuse commands with an outdated fencing token.
    targets_check_fencing: bool = False
    # Targets of the service that may load weights at the same time.
    loads_at_once: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    # A larger request body is refused before it is read.
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=64 * 1024 * 1024)] = (
        DEFAULT_MAX_BODY_BYTES
    )
    # Time limit of a request without X-Timeout-Seconds.
    default_timeout_seconds: Seconds = 60.0
    # Time for which an idempotency key is recognised when it is repeated.
    key_lifetime_seconds: Seconds = 86_400.0


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Share, API keys and permitted services of one organisation of callers."""

    name: Name
    # SHA-256, in hex, of each API key; the key itself is never stored in a file.
    api_key_digests: Annotated[list[Digest], msgspec.Meta(min_length=1)]
    # Services that the workspace may call.
    services: Annotated[list[Name], msgspec.Meta(min_length=1)]
    # Share of a full target relative to other workspaces.
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and the weight version its targets should serve."""

    name: Name
    # Weight version to serve; a change starts a rollout.
    version: Name
    # Tokens in a block of context, the unit of caching, storing and fetching.
    block_tokens: Annotated[int, msgspec.Meta(ge=16, le=65_536)] = DEFAULT_BLOCK_TOKENS


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of store VMs for exported context blocks."""

    name: Name
    # Number of store VMs that each block is written to.
    replicas: Annotated[int, msgspec.Meta(ge=1, le=3)] = 1
    # Bytes a second of its link that exports and fetches of one agent may use.
    link_bytes_per_second: Count = 125_000_000


class Drains(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Data centres and targets that operators have drained."""

    data_centres: list[Name] = []
    targets: list[Name] = []


class ConfigurationFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One operator's file, which is a part of the published configuration."""

    # A drain is a temporary command of an operator. In a file it would take effect
    # again with every later publish, even after the data centre was restored.
    elsewhere: ClassVar[dict[str, str]] = {
        "drains": "use the commands drain and restore for drains"
    }

    services: list[Service] = []
    workspaces: list[Workspace] = []
    models: list[Model] = []
    stores: list[Store] = []


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One complete published configuration."""

    services: list[Service] = []
    workspaces: list[Workspace] = []
    models: list[Model] = []
    stores: list[Store] = []
    drains: Drains = Drains()
