"""Exchanges configuration between processes while the platform is unavailable."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import grpc
from result import Err, Ok, Result

from bamboopier_protocol import agent_pb2 as pb, agent_pb2_grpc

from .errors import PlatformError, PlatformUnavailableError
from .objects import ABSENT

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from .generations import Generation, GenerationStore
    from .vm_inventory import VmInventory

# Peers per read, drawn at random: one that responds suffices.
PEERS_PER_READ = 3
PEER_TIMEOUT_SECONDS = 2.0


class PeerService(agent_pb2_grpc.PeerServicer):
    """Serves the newest head, its parts and the VM list of this process.

    All of it was read from the platform and so had been accepted. A client checks parts
    against their digests and never reverts to a lower generation.
    """

    def __init__(self, store: GenerationStore, vms: VmInventory) -> None:
        self._store = store
        self._vms = vms

    async def Configuration(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ConfigurationRequest, context: Any
    ) -> pb.ConfigurationReply:
        """Return a head above the requested generation, and the requested parts."""
        store = self._store
        values = store.part_values
        return pb.ConfigurationReply(
            generation=store.newest,
            head=store.head_value if store.newest > request.above else b"",
            parts=[values[d] for d in request.digests if d in values],
            vms=self._vms.encode() if not request.digests else b"",
        )


class PeerClient:
    """Reads a higher generation and the VM list from a few peers."""

    def __init__(
        self,
        seeds: Sequence[str],
        vms: VmInventory,
        open_channel: Callable[[str], grpc.aio.Channel],
        random: random.Random,
    ) -> None:
        self._seeds = seeds
        self._vms = vms
        self._open_channel = open_channel
        self._random = random

    async def read_above(
        self, generation: int, store: GenerationStore
    ) -> Result[Generation | None, PlatformError]:
        """Return the first higher generation that a peer has, or None."""
        addresses = sorted({*self._seeds, *self._vms.list_agent_addresses()})
        failure: PlatformError | None = None
        for address in self._random.sample(
            addresses, min(PEERS_PER_READ, len(addresses))
        ):
            response = await self._read_from(address, generation, store)
            if isinstance(response, Ok) and response.ok_value is not None:
                return response
            if isinstance(response, Err):
                failure = response.err_value
        return Ok(None) if failure is None else Err(failure)

    async def _read_from(
        self, address: str, generation: int, store: GenerationStore
    ) -> Result[Generation | None, PlatformError]:
        async with self._open_channel(address) as channel:
            source = _PeerParts(agent_pb2_grpc.PeerStub(channel), generation)
            reply = await source.call([])
            if isinstance(reply, Err):
                return reply
            self._vms.apply_peer_list(reply.ok_value.vms)
            if not reply.ok_value.head:
                return Ok(None)
            return await store.assemble(reply.ok_value.head, ABSENT, source)


class _PeerParts:
    """Reads parts from one peer."""

    def __init__(self, stub: agent_pb2_grpc.PeerStub, above: int) -> None:
        self._stub = stub
        self._above = above

    async def call(
        self, digests: list[str]
    ) -> Result[pb.ConfigurationReply, PlatformError]:
        """Make one call to the peer."""
        request = pb.ConfigurationRequest(above=self._above, digests=digests)
        try:
            reply: pb.ConfigurationReply = await self._stub.Configuration(
                request, timeout=PEER_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError as error:
            return Err(PlatformUnavailableError(f"peer: {error.code().name}"))
        return Ok(reply)

    async def read_part(self, digest: str) -> Result[bytes | None, PlatformError]:
        """Return a part, or None when the peer no longer has it."""
        reply = await self.call([digest])
        if isinstance(reply, Err):
            return reply
        parts = reply.ok_value.parts
        return Ok(parts[0] if parts else None)
