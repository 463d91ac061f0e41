"""Configuration from and for other processes while the platform is away."""

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

# Peers asked in one round, drawn at random: one that is up suffices.
PEERS_PER_READ = 3
PEER_TIMEOUT_SECONDS = 2.0


class PeerService(agent_pb2_grpc.PeerServicer):
    """Hands out the newest head, its parts and the VM list that this process has.

    All of it was read from the platform, so it had been accepted; whoever takes it
    checks parts against their digests and never goes back to a lower generation.
    """

    def __init__(self, store: GenerationStore, vms: VmInventory) -> None:
        self._store = store
        self._vms = vms

    async def Configuration(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ConfigurationRequest, context: Any
    ) -> pb.ConfigurationReply:
        """Answer with a head above the one asked for, and with the parts asked for."""
        store = self._store
        values = store.part_values
        return pb.ConfigurationReply(
            generation=store.newest,
            head=store.head_value if store.newest > request.above else b"",
            parts=[values[d] for d in request.digests if d in values],
            vms=self._vms.encode() if not request.digests else b"",
        )


class PeerClient:
    """Asks a few peers for a higher generation; learns the VM list from them too."""

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
        known = sorted({*self._seeds, *self._vms.list_agent_addresses()})
        failure: PlatformError | None = None
        for address in self._random.sample(known, min(PEERS_PER_READ, len(known))):
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
        """Return a part, or None when the peer has it no more."""
        reply = await self.call([digest])
        if isinstance(reply, Err):
            return reply
        parts = reply.ok_value.parts
        return Ok(parts[0] if parts else None)
