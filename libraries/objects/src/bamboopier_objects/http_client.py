"""Makes HTTP calls to the platform, with time limits and typed errors.

Guards against a large response on a slow link that exceeds a limit on the total time:
it would be abandoned each time and requested again from the start. The limit is
therefore on the time without a byte: a call continues as long as its response arrives.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self, TypeVar
from urllib.parse import urlsplit

import aiohttp
import msgspec
from result import Err, Ok, Result

from .connection_pools import ConnectionPools
from .decoding import DECODE_ERRORS
from .errors import (
    MalformedObjectError,
    NotConnectedError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    ResponseTooLargeError,
)
from .repeated_call import RepeatedCall
from .reply import Reply

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable
    from types import TracebackType

T = TypeVar("T")

CALL_TIMEOUT_SECONDS = 5.0
# Seconds without a byte within a response; the first-byte timeout if that is less.
STALL_SECONDS = 1.5
# Seconds for a complete response after the first-byte timeout: a megabyte on a link
# with a tenth of the bandwidth of the slowest one.
MAX_RESPONSE_SECONDS = 16.0
# A longer body is not kept in memory.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class HttpClient:
    """Makes calls below ``base_url``; close it by leaving the context."""

    def __init__(
        self,
        base_url: str,
        certificates: ssl.SSLContext | None = None,
        call_timeout: float = CALL_TIMEOUT_SECONDS,
        source: str | None = None,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._certificates = certificates
        self._base_url = base_url.rstrip("/")
        self.call_timeout = call_timeout
        # Local IP address of the connections; None lets the system choose.
        self._source = source
        self._max_response_bytes = max_response_bytes
        self._pools: ConnectionPools | None = None

    async def __aenter__(self) -> Self:
        self._pools = ConnectionPools(self._make_session)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._pools is not None:
            await self._pools.__aexit__(kind, error, traceback)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        first_byte_timeout: float | None = None,
        on_response: Callable[[], None] | None = None,
        *,
        new_connection: bool = False,
    ) -> Result[Reply, PlatformError]:
        """Make one call; a change whose response is lost is reported as unknown.

        ``first_byte_timeout`` is in seconds and ends when the response headers arrive;
        None stands for the client's ``call_timeout``. ``on_response`` is called then.
        ``new_connection`` keeps the call off the connections that are open.
        """
        if self._pools is None:
            return Err(PlatformUnavailableError("the platform client is not open"))
        first_byte_timeout = first_byte_timeout or self.call_timeout
        stall = min(STALL_SECONDS, first_byte_timeout)
        total_timeout = first_byte_timeout + MAX_RESPONSE_SECONDS
        timeout = aiohttp.ClientTimeout(total=total_timeout)
        read_time = asyncio.get_running_loop().time
        url = self._base_url + path
        use = self._pools.use_new if new_connection else self._pools.use
        content = bytearray()
        length: int | None = None
        try:
            async with (
                use(urlsplit(url).netloc) as session,
                asyncio.timeout(first_byte_timeout) as limit,
                session.request(
                    method, url, data=body, headers=headers, timeout=timeout
                ) as response,
            ):
                length = response.content_length
                if on_response is not None:
                    on_response()
                limit.reschedule(read_time() + stall)
                async for chunk in response.content.iter_any():
                    content += chunk
                    if len(content) > self._max_response_bytes:
                        return Err(_make_size_error(method, url))
                    limit.reschedule(read_time() + stall)
                received = {n.lower(): v for n, v in response.headers.items()}
                return Ok(Reply(response.status, bytes(content), received))
        except aiohttp.ClientConnectorError as error:
            return Err(NotConnectedError(f"{method} {url}: {error}"))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            cause = str(error) or type(error).__name__
            arrived = f"{len(content)} of {length} bytes arrived"
            text = f"{method} {url}: {cause}, {arrived}"
            if method == "GET":
                return Err(PlatformUnavailableError(text))
            return Err(PlatformOutcomeUnknownError(text))

    async def read_quickly(
        self,
        path: str,
        repeat_after: float,
        on_response: Callable[[], None] | None = None,
    ) -> Result[Reply, PlatformError]:
        """Make a GET call, and once more on a new connection if it gets no response.

        The second call begins after ``repeat_after`` seconds without a response, or as
        soon as the first one fails, unless it could not even connect. Guards against an
        open connection that has gone silent, which would hide what the other side has
        to say until the call times out. A failure is that of a new connection, so it
        shows that the other side accepts no call. Both calls end within the client's
        ``call_timeout``.
        """
        calls = RepeatedCall(self.call, path, self.call_timeout, on_response)
        return await calls.run(repeat_after)

    def _make_session(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=self.call_timeout)
        source = (self._source, 0) if self._source is not None else None
        connector = aiohttp.TCPConnector(
            ssl=self._certificates or True, local_addr=source
        )
        return aiohttp.ClientSession(
            timeout=timeout, connector=connector, middlewares=(_send_once,)
        )


def decode_reply(reply: Reply, kind: type[T]) -> Result[T, PlatformError]:
    """Return the body of a reply with status 200 as ``kind``."""
    if reply.status != 200:
        return Err(PlatformUnavailableError(f"status {reply.status}"))
    try:
        return Ok(msgspec.json.decode(reply.body, type=kind))
    except DECODE_ERRORS as error:
        return Err(MalformedObjectError(str(error)))


def _make_size_error(method: str, url: str) -> PlatformError:
    text = f"{method} {url}: response too large"
    if method == "GET":
        return ResponseTooLargeError(text)
    return PlatformOutcomeUnknownError(text)


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a call again by itself.

    aiohttp repeats a PUT whose connection was lost. A conditional update that had taken
    effect would then end in a conflict, which says that it had no effect.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        if isinstance(error, aiohttp.ClientConnectorError):
            raise
        raise aiohttp.ClientPayloadError(str(error) or type(error).__name__) from error
