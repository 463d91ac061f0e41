"""Converts a gateway's request for the target, and the target's response headers back.

Hop-by-hop headers are dropped in both directions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bamboopier_daemon.headers import drop_hop_headers

if TYPE_CHECKING:
    from collections.abc import Mapping

    import aiohttp

    from bamboopier_protocol import agent_pb2 as pb

LENGTH_HEADER = "Content-Length"
BODYLESS_STATUSES = (204, 304)


def read_max_wait(request: pb.ServeRequest) -> float:
    """Return how many seconds the request may queue at this agent."""
    if not request.HasField("max_wait_ms"):
        return float("inf")
    return request.max_wait_ms / 1000


def list_headers(request: pb.ServeRequest) -> list[tuple[str, str]]:
    """Return the request headers for the target."""
    return list(drop_hop_headers((h.name, h.value) for h in request.headers))


def list_response_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """Return the response headers to forward.

    ``Content-Length`` is included, because the body is forwarded unchanged.
    """
    headers = list(drop_hop_headers(response.headers.items()))
    if (length := response.headers.get(LENGTH_HEADER)) is not None:
        headers.append((LENGTH_HEADER, length))
    return headers


def has_framing(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a response states its length, comes in chunks, or has no body.

    Any other one ends with its connection.
    """
    is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    return is_chunked or LENGTH_HEADER in headers or status in BODYLESS_STATUSES


def make_body(request: pb.ServeRequest) -> bytes:
    """Return the body for the target.

    For an engine, request id, cache salt, block keys and priority are set in it; they
    overwrite fields of these names that the caller sent.
    """
    if not request.model.model:
        return request.body
    body = msgspec.json.decode(request.body)
    body["request_id"] = request.request_id
    body["cache_salt"] = request.model.cache_salt
    body["block_keys"] = [key.hex() for key in request.model.block_keys]
    body["priority"] = request.priority
    return msgspec.json.encode(body)
