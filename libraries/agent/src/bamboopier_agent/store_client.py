"""HTTP client for store VMs, which store sealed blocks by name."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Self

import aiohttp
import msgspec
from result import Err, Ok, Result

from .store_errors import (
    BlockMissingError,
    StoreError,
    StoreFullError,
    StoreHungError,
    StoreResponseError,
    StoreUnreachableError,
    TransferTimeoutError,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import TracebackType

CALL_TIMEOUT_SECONDS = 5.0
# A longer list is truncated to this size: about 50,000 names, oldest first.
MAX_LIST_BYTES = 4 * 1024 * 1024
READ_CHUNK_BYTES = 256 * 1024


class StoreClient:
    """Reads and writes sealed blocks; an asynchronous context manager."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def read(
        self, address: str, name: str, timeout: float, limit: int
    ) -> Result[bytes, StoreError]:
        """Return the VM's content under ``name``; the caller has to verify it.

        ``timeout`` is in seconds. More than ``limit`` bytes are an error.
        """
        content = bytearray()
        try:
            async with self._call("GET", address, name, timeout=timeout) as response:
                if response.status != 200:
                    return Err(_make_error(response.status))
                # An endless body must not grow this process until the VM runs out of
                # memory and kills the agent.
                await _read_up_to(response, content, limit + 1)
        except TimeoutError:
            # With some bytes the link is too slow; with none the store hangs.
            return Err(TransferTimeoutError() if content else StoreHungError())
        except aiohttp.ClientError as error:
            return Err(StoreUnreachableError(str(error)))
        if len(content) > limit:
            return Err(StoreResponseError(f"block larger than {limit} bytes"))
        return Ok(bytes(content))

    async def get_size(self, address: str, name: str) -> Result[int, StoreError]:
        """Return the stored size under ``name`` in bytes."""
        try:
            async with self._call("HEAD", address, name) as response:
                if response.status != 200:
                    return Err(_make_error(response.status))
                return Ok(int(response.headers.get("Content-Length", "-1")))
        except TimeoutError:
            return Err(StoreHungError())
        except (aiohttp.ClientError, ValueError) as error:
            return Err(StoreUnreachableError(str(error)))

    async def write(
        self, address: str, name: str, sealed: bytes
    ) -> Result[None, StoreError]:
        """Store a block."""
        return await self._send_change("PUT", address, name, sealed)

    async def delete(self, address: str, name: str) -> Result[None, StoreError]:
        """Delete a block; one that does not exist is no error."""
        return await self._send_change("DELETE", address, name)

    async def list_names(self, address: str) -> Result[list[str], StoreError]:
        """Return the names of stored blocks, oldest first, up to ``MAX_LIST_BYTES``."""
        try:
            async with self._call("GET", address, "") as response:
                if response.status != 200:
                    return Err(_make_error(response.status))
                content = bytearray()
                await _read_up_to(response, content, MAX_LIST_BYTES)
        except TimeoutError:
            return Err(StoreHungError())
        except aiohttp.ClientError as error:
            return Err(StoreUnreachableError(str(error)))
        return _decode_names(bytes(content))

    async def _send_change(
        self, method: str, address: str, name: str, body: bytes | None = None
    ) -> Result[None, StoreError]:
        try:
            async with self._call(method, address, name, body=body) as response:
                await response.read()
                if response.status != 200:
                    return Err(_make_error(response.status))
                return Ok(None)
        except TimeoutError:
            return Err(StoreHungError())
        except aiohttp.ClientError as error:
            return Err(StoreUnreachableError(str(error)))

    @asynccontextmanager
    async def _call(
        self,
        method: str,
        address: str,
        name: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
        body: bytes | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        if self._session is None:
            raise aiohttp.ClientConnectionError("the store client is not open")
        async with self._session.request(
            method,
            f"http://{address}/blocks{'/' if name else ''}{name}",
            data=body,
            timeout=aiohttp.ClientTimeout(total=timeout),
            allow_redirects=False,
        ) as response:
            yield response


async def _read_up_to(
    response: aiohttp.ClientResponse, content: bytearray, limit: int
) -> None:
    async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
        content.extend(chunk)
        if len(content) >= limit:
            response.close()
            break


def _decode_names(content: bytes) -> Result[list[str], StoreError]:
    if len(content) >= MAX_LIST_BYTES:
        content = content[: content.rfind(b",")] + b"]"
    try:
        return Ok(msgspec.json.decode(content, type=list[str]))
    except msgspec.MsgspecError as error:
        return Err(StoreResponseError(str(error)))


def _make_error(status: int) -> StoreError:
    if status == 404:
        return BlockMissingError()
    if status == 507:
        return StoreFullError()
    return StoreResponseError(f"status {status}")
