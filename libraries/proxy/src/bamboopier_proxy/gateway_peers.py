"""All that a gateway exchanges with the others."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from bamboopier_decisions.quarantine.quarantine import Quarantine
from bamboopier_objects.http_caller import HttpCaller

from . import configuration_handover, part_relay
from .configuration_handover import ConfigurationHandover
from .gossip import Gossip
from .limit_records import LimitRecords
from .part_follower import PartFollower
from .part_relay import PartRelay
from .peer_server import PeerServer
from .roster import GatewayEntry, Roster
from .settings import Endpoint

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine
    from types import TracebackType
    from typing import Any, Self

    from .gateway_state import GatewayState
    from .part_follower import PartStores
    from .settings import ProxySettings
    from .store_schema import Store, StoreSchema

# Different targets that one request must have broken before it is refused, and for how
# long: two could be chance, and a mistake must not starve a path that many ask for.
BREAKS_TO_REFUSE = 3
REFUSED_SECONDS = 30.0


class GatewayPeers:
    """Hints, configurations, limits and news of stores; open while the context is."""

    def __init__(
        self,
        settings: ProxySettings,
        state: GatewayState,
        store: Store,
        schema: StoreSchema,
        part_stores: PartStores,
        random: random.Random,
    ) -> None:
        self._settings = settings
        self._roster = Roster(
            store,
            schema.gateways_prefix,
            random,
            state.take_count,
            state.pauses,
        )
        # Other gateways know this one by its address.
        self._caller = HttpCaller("", source=settings.host)
        self._handover = ConfigurationHandover(
            state.intake, state.knowledge, self._caller
        )
        relay = PartRelay(state.kept, self._caller)
        self._parts = PartFollower(part_stores, state.kept, relay, self._roster, random)
        self._limits = LimitRecords(
            store, schema.rate_limits_prefix, state.fleet, self._roster
        )
        self._server = PeerServer(
            Endpoint(settings.host, settings.first_port),
            self._roster.has_host,
            {
                configuration_handover.PATH: self._handover.answer,
                part_relay.PATH: relay.answer,
            },
        )
        self.gossip = Gossip(
            settings.vm,
            settings.host,
            settings.first_port,
            self._roster,
            state.fleet,
            state.knowledge,
            Quarantine(BREAKS_TO_REFUSE, REFUSED_SECONDS),
            self._handover.ask,
            random,
        )
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        for part in (self._caller, self._handover, self._server, self.gossip):
            await self._stack.enter_async_context(part)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def list_work(self) -> list[Coroutine[Any, Any, None]]:
        """Return what has to run until the gateway stops."""
        settings = self._settings
        entry = GatewayEntry(settings.host, settings.first_port, self.gossip.born)
        return [
            self._roster.register(settings.vm, entry),
            self._roster.run(),
            self.gossip.run(),
            self._parts.run(),
            self._limits.run(),
        ]
