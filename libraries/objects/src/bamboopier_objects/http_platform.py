"""Client of the platform's HTTP interface, for objects and the VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from .errors import (
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    ValueTooLargeError,
    VersionConflictError,
    WatchGapError,
)
from .http_client import CALL_TIMEOUT_SECONDS, HttpClient, decode_reply
from .objects import MAX_VALUE_BYTES, Change, StoredObject, WatchBatch
from .vms import Vm, VmListResponse

if TYPE_CHECKING:
    from .reply import Reply

# ``Reply`` has header names in lower case.
VERSION_HEADER = "object-version"
EXPECTED_VERSION_HEADER = "Expected-Version"


class _ListedObject(msgspec.Struct):
    key: str
    version: int
    value: bytes


class _WatchedChange(msgspec.Struct):
    key: str
    version: int


class _WatchResponse(msgspec.Struct):
    revision: int
    changes: list[_WatchedChange]


class HttpPlatform(HttpClient):
    """Calls the platform at ``base_url``; close it by leaving the context."""

    async def read(self, key: str) -> Result[StoredObject | None, PlatformError]:
        """Return the object, or None when there is none."""
        response = await self.call("GET", self._object_url(key))
        if isinstance(response, Err):
            return response
        reply = response.ok_value
        if reply.status == 404:
            return Ok(None)
        if reply.status != 200:
            return Err(PlatformUnavailableError(f"read {key}: status {reply.status}"))
        return Ok(StoredObject(key, _read_version(reply), reply.body))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Replace the object if it still has ``expected_version``."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(ValueTooLargeError(f"{key}: {len(value)} bytes"))
        headers = {EXPECTED_VERSION_HEADER: str(expected_version)}
        response = await self.call("PUT", self._object_url(key), value, headers)
        if isinstance(response, Err):
            return response
        reply = response.ok_value
        error = _find_write_error(key, expected_version, reply)
        return Err(error) if error is not None else Ok(_read_version(reply))

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Remove the object if it still has ``expected_version``."""
        headers = {EXPECTED_VERSION_HEADER: str(expected_version)}
        response = await self.call("DELETE", self._object_url(key), b"", headers)
        if isinstance(response, Err):
            return response
        error = _find_write_error(key, expected_version, response.ok_value)
        return Err(error) if error is not None else Ok(None)

    async def scan(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Return all objects whose key starts with ``prefix``, ordered by key."""
        url = f"/v1/list?prefix={quote(prefix)}"
        response = await self.call("GET", url)
        if isinstance(response, Err):
            return response
        decoded = decode_reply(response.ok_value, list[_ListedObject])
        if isinstance(decoded, Err):
            return decoded
        return Ok([StoredObject(o.key, o.version, o.value) for o in decoded.ok_value])

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to ``timeout`` seconds for changes later than revision ``after``."""
        query = f"prefix={quote(prefix)}&after={after}&timeout={timeout}"
        url = f"/v1/watch?{query}"
        first_byte_timeout = timeout + CALL_TIMEOUT_SECONDS
        response = await self.call("GET", url, first_byte_timeout=first_byte_timeout)
        if isinstance(response, Err):
            return response
        if response.ok_value.status == 410:
            return Err(WatchGapError(f"watch {prefix} after {after}"))
        decoded = decode_reply(response.ok_value, _WatchResponse)
        if isinstance(decoded, Err):
            return decoded
        batch = decoded.ok_value
        changes = tuple(Change(c.key, c.version) for c in batch.changes)
        return Ok(WatchBatch(batch.revision, changes))

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        """Return all VMs the platform lists now."""
        response = await self.list_vms_since("")
        if isinstance(response, Err):
            return response
        return Ok(list(response.ok_value.vms or ()))

    async def list_vms_since(self, tag: str) -> Result[VmListResponse, PlatformError]:
        """Return the VMs unless the list still has the entity tag ``tag``."""
        headers = {"If-None-Match": tag} if tag else None
        response = await self.call("GET", "/v1/vms", headers=headers)
        if isinstance(response, Err):
            return response
        reply = response.ok_value
        if reply.status == 304:
            return Ok(VmListResponse(None, tag, 0))
        decoded = decode_reply(reply, list[Vm])
        if isinstance(decoded, Err):
            return decoded
        return Ok(
            VmListResponse(
                tuple(decoded.ok_value), reply.headers.get("etag", ""), len(reply.body)
            )
        )

    def _object_url(self, key: str) -> str:
        return f"/v1/objects/{quote(key)}"


def _find_write_error(key: str, expected: int, reply: Reply) -> PlatformError | None:
    if reply.status == 200:
        return None
    if reply.status == 412:
        return VersionConflictError(key, expected, _read_version(reply))
    if reply.status == 413:
        return ValueTooLargeError(key)
    if reply.status in (429, 503):
        return PlatformUnavailableError(f"write {key}: status {reply.status}")
    return PlatformOutcomeUnknownError(f"write {key}: status {reply.status}")


def _read_version(reply: Reply) -> int:
    """Return the object version of a reply; 0, which no object has, without one."""
    text = reply.headers.get(VERSION_HEADER, "0")
    return int(text) if text.isdecimal() else 0
