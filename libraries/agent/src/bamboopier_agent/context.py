"""Brings a prompt's blocks to the engine before it runs and keeps them afterwards."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from bamboopier_decisions.context.blocks import derive_workspace_secret
from bamboopier_decisions.context.envelope import open_block, seal_block
from bamboopier_decisions.routing.rendezvous import rank

if TYPE_CHECKING:
    from bamboopier_protocol.agent_pb2 import ServeRequest

    from .store_client import StoreClient
    from .target import CacheEvents, TargetClient

# Keys remembered as resident in the engine; at 2,000 tokens a block this covers
# far more than an accelerator's memory holds.
MAX_RESIDENT = 65_536
# Finished prompts waiting for their export; beyond it the oldest is dropped, since an
# export that is skipped costs only a recomputation.
MAX_WAITING_EXPORTS = 64


class ContextKeeper:
    """Fetches and exports blocks for one target."""

    def __init__(
        self, target: TargetClient, store: StoreClient, block_secret: bytes
    ) -> None:
        self._target = target
        self._store = store
        self._block_secret = block_secret
        # Addresses of the store VMs of this target's service.
        self.store_vms: tuple[str, ...] = ()
        self.replicas = 1
        self._resident: OrderedDict[bytes, None] = OrderedDict()
        self._stored: OrderedDict[bytes, None] = OrderedDict()
        self._exports: asyncio.Queue[ServeRequest] = asyncio.Queue(MAX_WAITING_EXPORTS)

    async def fetch(self, request: ServeRequest) -> int:
        """Import the blocks the engine lacks; return how many were imported.

        Stops at the first block that cannot be had: a prefix with a hole is no use.
        """
        work = request.model
        secret = derive_workspace_secret(self._block_secret, request.workspace)
        imported = 0
        for key in work.block_keys:
            if key in self._resident:
                continue
            payload = await self._read_proved(secret, key, work.weight_version)
            if payload is None:
                break
            if not await self._target.import_block(
                work.cache_salt, key, work.weight_version, payload
            ):
                break
            _remember(self._resident, key)
            imported += 1
        return imported

    def keep_later(self, request: ServeRequest) -> None:
        """Queue a finished request's blocks for export, off the caller's path."""
        if self._exports.full():
            self._exports.get_nowait()
        self._exports.put_nowait(request)

    async def run(self) -> None:
        """Export queued requests until cancelled, one at a time."""
        while True:
            await self._keep(await self._exports.get())

    async def _keep(self, request: ServeRequest) -> int:
        """Export blocks that no store VM has yet; return how many were exported."""
        work = request.model
        secret = derive_workspace_secret(self._block_secret, request.workspace)
        exported = 0
        for key in work.block_keys:
            _remember(self._resident, key)
            if key in self._stored or not self.store_vms:
                continue
            payload = await self._target.export_block(
                work.cache_salt, key, work.weight_version
            )
            if payload is None:
                break
            sealed = seal_block(secret, key, work.weight_version, payload)
            if await self._write(key, sealed):
                _remember(self._stored, key)
                exported += 1
        return exported

    def apply_events(self, events: CacheEvents) -> None:
        """Take the engine's hints about what left its cache."""
        for event in events.events:
            if event.kind == "evicted":
                self._resident.pop(bytes.fromhex(event.key), None)

    def forget_resident(self) -> None:
        """The engine started anew: its cache is empty."""
        self._resident.clear()

    async def _read_proved(
        self, secret: bytes, key: bytes, version: str
    ) -> bytes | None:
        for address in rank(key, self.store_vms, self.replicas + 1):
            sealed = await self._store.read(address, key)
            if sealed is None:
                continue
            payload = open_block(secret, key, version, sealed)
            if payload is not None:
                return payload
        return None

    async def _write(self, key: bytes, sealed: bytes) -> bool:
        written = False
        for address in rank(key, self.store_vms, self.replicas):
            written |= await self._store.write(address, key, sealed)
        return written


def _remember(keys: OrderedDict[bytes, None], key: bytes) -> None:
    keys[key] = None
    keys.move_to_end(key)
    if len(keys) > MAX_RESIDENT:
        keys.popitem(last=False)
