"""The trace format: JSON lines, a header and then one request a line.

A trace holds no API key and no real prompt: a prompt is a list of parts, each either
literal text or a seed and a number of words, from which the same words are always made.
Requests that share their first parts share a prefix, which is what matters here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Literal, TypeVar

import msgspec
from result import Err, Ok, Result

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")

FORMAT_VERSION: Literal[1] = 1


class TraceError(BamboopierError):
    """A trace that may not be replayed; names the line and what is wrong there."""


class TraceHeader(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The first line of a trace."""

    bamboopier_trace: Literal[1]
    description: str = ""


class PromptPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A piece of a prompt: ``text`` as it stands, or ``words`` made from ``seed``."""

    text: str = ""
    seed: str = ""
    words: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


class ModelRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A completion to ask for."""

    model: str
    prompt: list[PromptPart]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 16
    stream: bool = True


class PlainRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call of a plain service."""

    method: str
    # Path at the gateway, ``/services/NAME/...``.
    path: str
    body: str = ""


class TracedRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One request. ``at`` is in seconds from the start of the trace."""

    at: Annotated[float, msgspec.Meta(ge=0)]
    workspace: str
    # Groups requests in the report and in stated outcomes.
    tag: str
    model: ModelRequest | None = None
    plain: PlainRequest | None = None
    idempotency_key: str = ""
    timeout: Annotated[float, msgspec.Meta(gt=0, le=3600)] | None = None
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace, requests in order of their time."""

    header: TraceHeader
    requests: tuple[TracedRequest, ...]


def read_trace(path: Path) -> Result[Trace, TraceError]:
    """Read and check a trace file."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        return Err(TraceError(f"{path}: {error.strerror}"))
    if not lines:
        return Err(TraceError(f"{path}: empty; allowed: a header line first"))
    header = _decode(lines[0], TraceHeader, path, 1)
    if isinstance(header, Err):
        return header
    requests: list[TracedRequest] = []
    for number, line in enumerate(lines[1:], start=2):
        request = _decode(line, TracedRequest, path, number)
        if isinstance(request, Err):
            return request
        if (request.ok_value.model is None) == (request.ok_value.plain is None):
            fault = "found both or neither of 'model' and 'plain'; allowed: one"
            return Err(TraceError(f"{path}: line {number}: {fault}"))
        requests.append(request.ok_value)
    ordered = tuple(sorted(requests, key=lambda request: request.at))
    return Ok(Trace(header.ok_value, ordered))


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace file."""
    lines = [msgspec.json.encode(item) for item in (trace.header, *trace.requests)]
    path.write_bytes(b"\n".join(lines) + b"\n")


def _decode(
    line: bytes, kind: type[T], path: Path, number: int
) -> Result[T, TraceError]:
    try:
        return Ok(msgspec.json.decode(line, type=kind))
    except msgspec.MsgspecError as error:
        return Err(TraceError(f"{path}: line {number}: {error}"))
