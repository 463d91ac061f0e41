"""What a caller asked, what a target is told, and what is known of its answer."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.part_store_index import PartPlan
    from bamboopier_decisions.forwarding.prompt import Prompt
    from bamboopier_decisions.forwarding.specs import Route, Workspace

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers say."""

    request_id: str
    # Seconds the caller waits; None where it does not say.
    deadline_seconds: float | None
    key: str | None
    prompt: Prompt | None
    # The caller has the events up to this one of a stream that broke off.
    last_event: str | None
    # End-to-end headers that go on unchanged.
    forwarded_headers: HeaderList


def make_fingerprint(method: str, raw_path: str, workspace: str, body: bytes) -> bytes:
    """Return what is the same each time a caller sends the same request."""
    digest = hashlib.blake2b(body, digest_size=12)
    digest.update(f"{method} {raw_path} {workspace}".encode())
    return digest.digest()


@dataclass(slots=True)
class Call:
    """One request with all that decides how it is treated.

    Times are seconds on the clock that counts while a machine is suspended.
    """

    request_id: str
    method: str
    # As it stands in the request line, with its query.
    raw_path: str
    host: str
    headers: HeaderList
    body: bytes
    route: Route
    service: str
    workspace: Workspace | None
    prompt: Prompt | None
    priority: int
    arrived: float
    # When the caller leaves.
    deadline: float
    # When the operator wants a final answer, not after ``deadline``.
    timeout_at: float
    # Version of the configuration that let it in.
    version: int
    fingerprint: bytes
    last_event: str | None = None
    # Names of targets it was sent to.
    tried: list[str] = field(default_factory=list)
    # A target began to work on it, or may have.
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class AttemptMetadata:
    """What a target is told beside the caller's own headers."""

    target: str
    remaining_seconds: float
    workspace: str
    # Requests find cached parts only under the same text.
    cache_scope: str
    # 0 is served first; None for services that know no priorities.
    priority: int | None
    # The target is to refuse under another weight version; 0 for any.
    weight_version: int
    last_event: str | None
    # Where the target fetches and saves parts of the prompt.
    part_plan: PartPlan | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a target's answer says beside status and body."""

    request_id: str
    # The target vouches for this answer.
    sealed: bool
    # The target says that it did not run the request and never will.
    not_run: bool
    # The answer comes from another target than the one expected, or from one with
    # other weights.
    misdirected: bool
    target: str
    weight_version: int
    # Seconds that the target stays cold.
    cold_seconds: float
    # The target names the requests a second that it takes from all gateways together,
    # for as long as its answers do so; None where it cannot be read.
    reports_limit: bool = False
    limit_per_second: float | None = None
