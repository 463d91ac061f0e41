"""Requests of callers, and the metadata of requests, attempts and responses."""

from __future__ import annotations

import hashlib

import msgspec

from bamboopier_decisions.forwarding.part_store_index import PartPlan
from bamboopier_decisions.forwarding.prompt import Prompt
from bamboopier_decisions.forwarding.specs import Route, Workspace
from bamboopier_decisions.rollouts.evidence import AnswerKey

HeaderList = tuple[tuple[str, str], ...]


class RequestMetadata(msgspec.Struct, frozen=True):
    """Metadata in the headers of a caller's request."""

    request_id: str
    # Seconds for which the caller waits; None if it sends no deadline.
    deadline_seconds: float | None
    key: str | None
    prompt: Prompt | None
    # Id of the last event that the caller received of an interrupted stream.
    last_event: str | None
    # End-to-end headers that are forwarded unchanged.
    forwarded_headers: HeaderList
    # Id of the request that brought the first event of that stream; None if unnamed.
    resumed_request_id: str | None = None


def make_fingerprint(method: str, raw_path: str, workspace: str, body: bytes) -> bytes:
    """Return a digest that is the same whenever a caller repeats a request."""
    digest = hashlib.blake2b(body, digest_size=12)
    digest.update(f"{method} {raw_path} {workspace}".encode())
    return digest.digest()


def make_part_digests(prompt: Prompt, workspace: Workspace | None) -> tuple[bytes, ...]:
    """Return digests of the shared parts of a prompt.

    They are equal for equal parts of one model; parts of an isolated workspace are its
    own, as in caches.
    """
    owner = workspace.name if workspace is not None and workspace.isolated else ""
    scope = hashlib.blake2b(f"{prompt.model}/{owner}/".encode(), digest_size=8)
    digests = []
    for part in prompt.shared_parts:
        digest = scope.copy()
        digest.update(part.name.encode())
        digests.append(digest.digest())
    return tuple(digests)


class Call(msgspec.Struct):
    """One request of a caller, with all that determines how it is handled.

    Times are in seconds on the clock that includes the time of suspensions.
    """

    request_id: str
    method: str
    # Path and query as in the request line.
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
    # When the caller stops waiting.
    deadline: float
    # When the timeout of the route ends; not after ``deadline``.
    timeout_at: float
    # Version of the configuration that admitted it.
    version: int
    fingerprint: bytes
    # Digests of the shared parts of its prompt, in their order.
    parts: tuple[bytes, ...] = ()
    # It tries a refused part.
    is_trial: bool = False
    last_event: str | None = None
    # Id of the request that brought the first event of the stream that it resumes.
    resumed_request_id: str | None = None
    # Seconds for which it may have been waiting unread before it arrived.
    unread_seconds: float = 0.0
    # When the caller got the last event; None before the first.
    last_event_at: float | None = None
    # Software version of the target that began the stream; None before its first event.
    software_version: str | None = None
    # Names of the targets of its attempts.
    tried: list[str] = msgspec.field(default_factory=list)
    # Failed answers while a roll-out runs, with the version on trial: they are counted
    # once it is known whether other targets answer.
    failed_answers: list[tuple[str, AnswerKey]] = msgspec.field(default_factory=list)
    # It was sent to a target, whatever became of it: sending it again is a retry.
    was_sent: bool = False
    # A target started it, or may have.
    may_have_run: bool = False
    # It was moved from a target that had stalled, and may still have it.
    moved: bool = False

    @property
    def workspace_name(self) -> str:
        """Return the name of its workspace; empty without one."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def leaves_at(self) -> float:
        """Return the earliest time at which the caller leaves if it gets nothing more.

        Its own time runs from when it sent the request, which may be long before this
        process, if that was suspended, read it.
        """
        sent_at = self.arrived - self.unread_seconds
        waiting_since = sent_at if self.last_event_at is None else self.last_event_at
        return min(
            self.timeout_at - self.unread_seconds,
            waiting_since + self.route.caller_patience,
        )


class AttemptMetadata(msgspec.Struct, frozen=True):
    """Metadata sent to a target in addition to the caller's own headers."""

    target: str
    remaining_seconds: float
    workspace: str
    # Requests share cached parts of prompts only within the same scope.
    cache_scope: str
    # 0 is served first; None for services without priorities.
    priority: int | None
    # The target refuses the request if it has another weight version; 0 for any.
    weight_version: int
    last_event: str | None
    # Stores from which the target fetches parts of the prompt, and to which it saves.
    part_plan: PartPlan | None = None


class ResponseMetadata(msgspec.Struct, frozen=True):
    """Metadata of a target's response in addition to status and body."""

    request_id: str
    # The target authenticated the response by its seal.
    sealed: bool
    # The target reports that it did not run the request and will not run it.
    not_run: bool
    # The response comes from a target other than the expected one, or from one with
    # another weight version.
    misdirected: bool
    target: str
    weight_version: int
    # Seconds for which the target remains cold, and accepts few requests.
    cold_seconds: float
    # The target reports the requests per second that it accepts from all gateways
    # together; valid as long as its responses report it; None if it is unreadable.
    reports_limit: bool = False
    limit_per_second: float | None = None
    # The target leaves: it serves what it has, and wants nothing more.
    leaving: bool = False
    # The target rejects the request and wants nothing from this gateway for some time;
    # None if that is unreadable.
    asks_for_rest: bool = False
    rest_seconds: float | None = None
