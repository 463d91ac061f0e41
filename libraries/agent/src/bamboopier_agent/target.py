"""HTTP client for the agent's target."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Self, TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result
from yarl import URL

from .errors import (
    BrokenResponseError,
    OrderFailedError,
    OrderRefusedError,
    TargetError,
    TargetUnreachableError,
)

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator, Sequence
    from types import TracebackType

T = TypeVar("T")

CONTROL_TIMEOUT_SECONDS = 5.0
LOAD_TIMEOUT_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 2.0
VERSION_HEADER = "Weight-Version"


class TargetState(msgspec.Struct):
    """The state that a target reports: its instance and its weight version."""

    start_id: str
    version: str = ""


class CacheEvent(msgspec.Struct):
    """A block that was added to or evicted from the engine's prefix cache.

    Events arrive late and some are lost.
    """

    kind: str
    key: str


class CacheEvents(msgspec.Struct):
    """The cache events after a position; a new start id means an empty cache."""

    start_id: str
    next: int
    events: list[CacheEvent]


class TargetClient:
    """Sends requests to the target at ``base_url``; an asynchronous context manager."""

    def __init__(
        self, base_url: str, ssl_context: ssl.SSLContext | None = None
    ) -> None:
        self._ssl_context = ssl_context or True
        self._base_url = base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None
        self._run_session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        connector = aiohttp.TCPConnector(limit=0, ssl=self._ssl_context)
        self._session = aiohttp.ClientSession(
            timeout=timeout, connector=connector, auto_decompress=False
        )
        # The target may close a kept-alive connection just as it is reused, which looks
        # like a crash. Each run therefore has a connection of its own.
        self._run_session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            auto_decompress=False,
            middlewares=(_prevent_resend,),
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
        if self._run_session is not None:
            await self._run_session.close()

    @asynccontextmanager
    async def open(
        self, method: str, path: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield its response; leaving the context early cancels it.

        Raises ``TargetUnreachableError`` only if no connection was established, and
        ``BrokenResponseError`` for any failure after that.
        """
        if self._run_session is None:
            raise TargetUnreachableError("the target client is not open")
        try:
            async with self._run_session.request(
                method,
                # Kept as the caller encoded it; decoding and quoting could change it.
                URL(self._base_url + path, encoded=True),
                headers=list(headers),
                data=body or None,
                allow_redirects=False,
            ) as response:
                yield response
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise TargetUnreachableError(str(error)) from error
        except aiohttp.ClientError as error:
            raise BrokenResponseError(str(error) or type(error).__name__) from error

    async def read_state(self) -> Result[TargetState, TargetError]:
        """Return the target's start id and weight version."""
        return await self._get("/state", TargetState)

    async def read_events(self, after: int) -> Result[CacheEvents, TargetError]:
        """Return the cache events after a position."""
        return await self._get(f"/events?after={after}", CacheEvents)

    async def load_weights(self, version: str, fence: int) -> Result[None, TargetError]:
        """Order the target to load ``version``; ``fence`` is the fencing token."""
        order = msgspec.json.encode({"version": version, "fence": fence})
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_SECONDS)
        url = f"{self._base_url}/orders/load"
        try:
            async with self._require_session().post(
                url, data=order, timeout=timeout
            ) as response:
                await response.read()
                if response.status == 409:
                    return Err(OrderRefusedError(f"fencing token {fence} is outdated"))
                if response.status != 200:
                    return Err(OrderFailedError(f"status {response.status}"))
                return Ok(None)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(BrokenResponseError(str(error) or type(error).__name__))

    async def export_block(self, salt: str, key: bytes, version: str) -> bytes | None:
        """Return a block from the engine's cache; None unless it is of ``version``."""
        url = f"{self._base_url}/context/{key.hex()}?salt={salt}"
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._require_session().get(url, timeout=timeout) as response:
                payload = await response.read()
                if response.status != 200:
                    return None
                if response.headers.get(VERSION_HEADER) != version:
                    return None
                return payload
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def import_block(
        self, salt: str, key: bytes, version: str, payload: bytes
    ) -> bool:
        """Put a block into the engine's cache; return False if that failed."""
        url = f"{self._base_url}/context/{key.hex()}?salt={salt}"
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        headers = {VERSION_HEADER: version}
        try:
            async with self._require_session().put(
                url, data=payload, headers=headers, timeout=timeout
            ) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _get(self, path: str, kind: type[T]) -> Result[T, TargetError]:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._require_session().get(
                self._base_url + path, timeout=timeout
            ) as response:
                content = await response.read()
                return Ok(msgspec.json.decode(content, type=kind))
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return Err(TargetUnreachableError(str(error)))
            return Err(BrokenResponseError(str(error)))
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
            return Err(BrokenResponseError(str(error) or type(error).__name__))

    def _require_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise TargetUnreachableError("the target client is not open")
        return self._session


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending a request by itself.

    It resends GET, PUT and DELETE if the connection breaks before a response. The
    operator may have declared such a route non-idempotent, and the target would run it
    twice. Raising an error that aiohttp does not recognise ends the request instead.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except aiohttp.ClientError as error:
        raise BrokenResponseError(str(error) or type(error).__name__) from error
