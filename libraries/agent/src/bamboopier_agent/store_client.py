"""Calls to store VMs: blocks in their sealed form."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

import aiohttp

if TYPE_CHECKING:
    from types import TracebackType

CALL_TIMEOUT_SECONDS = 5.0


class StoreClient:
    """Reads and writes sealed blocks; close it by leaving the context."""

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

    async def read(self, address: str, key: bytes) -> bytes | None:
        """Return whatever the store VM has under ``key``; the caller proves it."""
        if self._session is None:
            return None
        try:
            async with self._session.get(_url(address, key)) as response:
                content = await response.read()
                return content if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def write(self, address: str, key: bytes, sealed: bytes) -> bool:
        """Store a block; False when the store VM is full or gone."""
        if self._session is None:
            return False
        try:
            async with self._session.put(_url(address, key), data=sealed) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def _url(address: str, key: bytes) -> str:
    return f"http://{address}/blocks/{key.hex()}"
