"""The platform over HTTP: one client for objects and the VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from result import Err, Ok, Result

from .errors import (
    MalformedObjectError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    ValueTooLargeError,
    VersionConflictError,
    WatchGapError,
)
from .objects import MAX_VALUE_BYTES, Change, StoredObject, WatchBatch
from .vms import Vm, VmAnswer

if TYPE_CHECKING:
    import ssl
    from types import TracebackType

T = TypeVar("T")

CALL_TIMEOUT_SECONDS = 5.0
VERSION_HEADER = "Object-Version"
EXPECTED_HEADER = "Expected-Version"


class _ListedObject(msgspec.Struct):
    key: str
    version: int
    value: bytes


class _WatchedChange(msgspec.Struct):
    key: str
    version: int


class _WatchAnswer(msgspec.Struct):
    revision: int
    changes: list[_WatchedChange]


class HttpPlatform:
    """Calls the platform at ``base_url``; close it by leaving the context."""

    def __init__(
        self, base_url: str, certificates: ssl.SSLContext | None = None
    ) -> None:
        self._certificates = certificates
        self._base_url = base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        connector = aiohttp.TCPConnector(ssl=self._certificates or True)
        self._session = aiohttp.ClientSession(
            timeout=timeout, connector=connector, middlewares=(_send_once,)
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def read(self, key: str) -> Result[StoredObject | None, PlatformError]:
        """Return the object, or None when there is none."""
        answer = await self._call("GET", self._object_url(key))
        if isinstance(answer, Err):
            return answer
        reply = answer.ok_value
        if reply.status == 404:
            return Ok(None)
        if reply.status != 200:
            return Err(PlatformUnavailableError(f"read {key}: status {reply.status}"))
        return Ok(StoredObject(key, reply.version, reply.body))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Replace the object if it still has ``expected_version``."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(ValueTooLargeError(f"{key}: {len(value)} bytes"))
        headers = {EXPECTED_HEADER: str(expected_version)}
        answer = await self._call("PUT", self._object_url(key), value, headers)
        if isinstance(answer, Err):
            return answer
        reply = answer.ok_value
        fault = _find_write_fault(key, expected_version, reply)
        return Err(fault) if fault is not None else Ok(reply.version)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Remove the object if it still has ``expected_version``."""
        headers = {EXPECTED_HEADER: str(expected_version)}
        answer = await self._call("DELETE", self._object_url(key), b"", headers)
        if isinstance(answer, Err):
            return answer
        fault = _find_write_fault(key, expected_version, answer.ok_value)
        return Err(fault) if fault is not None else Ok(None)

    async def scan(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Return all objects whose key starts with ``prefix``, ordered by key."""
        url = f"{self._base_url}/v1/list?prefix={quote(prefix)}"
        answer = await self._call("GET", url)
        if isinstance(answer, Err):
            return answer
        decoded = _decode(answer.ok_value, list[_ListedObject])
        if isinstance(decoded, Err):
            return decoded
        return Ok([StoredObject(o.key, o.version, o.value) for o in decoded.ok_value])

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to ``timeout`` seconds for changes later than revision ``after``."""
        query = f"prefix={quote(prefix)}&after={after}&timeout={timeout}"
        url = f"{self._base_url}/v1/watch?{query}"
        patience = timeout + CALL_TIMEOUT_SECONDS
        answer = await self._call("GET", url, patience=patience)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == 410:
            return Err(WatchGapError(f"watch {prefix} after {after}"))
        decoded = _decode(answer.ok_value, _WatchAnswer)
        if isinstance(decoded, Err):
            return decoded
        batch = decoded.ok_value
        changes = tuple(Change(c.key, c.version) for c in batch.changes)
        return Ok(WatchBatch(batch.revision, changes))

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        """Return all VMs the platform lists now."""
        answer = await self.list_vms_since("")
        if isinstance(answer, Err):
            return answer
        return Ok(list(answer.ok_value.vms or ()))

    async def list_vms_since(self, tag: str) -> Result[VmAnswer, PlatformError]:
        """Return the VMs unless the list still has the entity tag ``tag``."""
        headers = {"If-None-Match": tag} if tag else None
        answer = await self._call("GET", f"{self._base_url}/v1/vms", headers=headers)
        if isinstance(answer, Err):
            return answer
        reply = answer.ok_value
        if reply.status == 304:
            return Ok(VmAnswer(None, tag, 0))
        decoded = _decode(reply, list[Vm])
        if isinstance(decoded, Err):
            return decoded
        return Ok(VmAnswer(tuple(decoded.ok_value), reply.tag, len(reply.body)))

    def _object_url(self, key: str) -> str:
        return f"{self._base_url}/v1/objects/{quote(key)}"

    async def _call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        patience: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[_Reply, PlatformError]:
        """Make one call; a change whose answer is lost is reported as unknown."""
        if self._session is None:
            return Err(PlatformUnavailableError("the platform client is not open"))
        timeout = aiohttp.ClientTimeout(total=patience)
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as response:
                content = await response.read()
                version = int(response.headers.get(VERSION_HEADER, "0"))
                tag = response.headers.get("ETag", "")
                return Ok(_Reply(response.status, version, content, tag))
        except aiohttp.ClientConnectorError as error:
            return Err(PlatformUnavailableError(f"{method} {url}: {error}"))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            text = f"{method} {url}: {error or type(error).__name__}"
            if method == "GET":
                return Err(PlatformUnavailableError(text))
            return Err(PlatformOutcomeUnknownError(text))


class _Reply:
    """A platform answer that arrived whole."""

    __slots__ = ("body", "status", "tag", "version")

    def __init__(self, status: int, version: int, body: bytes, tag: str) -> None:
        self.status = status
        self.version = version
        self.body = body
        self.tag = tag


def _find_write_fault(key: str, expected: int, reply: _Reply) -> PlatformError | None:
    if reply.status == 200:
        return None
    if reply.status == 412:
        return VersionConflictError(key, expected, reply.version)
    if reply.status == 413:
        return ValueTooLargeError(key)
    if reply.status in (429, 503):
        return PlatformUnavailableError(f"write {key}: status {reply.status}")
    return PlatformOutcomeUnknownError(f"write {key}: status {reply.status}")


def _decode(reply: _Reply, kind: type[T]) -> Result[T, PlatformError]:
    if reply.status != 200:
        return Err(PlatformUnavailableError(f"status {reply.status}"))
    try:
        return Ok(msgspec.json.decode(reply.body, type=kind))
    except msgspec.MsgspecError as error:
        return Err(MalformedObjectError(str(error)))


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a call again by itself.

    It repeats a PUT whose connection broke. A conditional update that had taken effect
    would then be answered with a conflict, as if it certainly had not.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        if isinstance(error, aiohttp.ClientConnectorError):
            raise
        raise aiohttp.ClientPayloadError(str(error) or type(error).__name__) from error
