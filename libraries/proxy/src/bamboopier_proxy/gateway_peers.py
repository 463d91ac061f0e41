"""Communication of a gateway with the other gateways."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from bamboopier_decisions.quarantine.crashing_parts import CrashingParts
from bamboopier_decisions.quarantine.quarantine import Quarantine
from bamboopier_objects.http_client import HttpClient

from . import configuration_relay, part_relay
from .agent_ring import AgentRing
from .configuration_relay import ConfigurationRelay
from .gateway_registry import GatewayEntry, GatewayRegistry
from .hint_exchange import HintExchange
from .limit_records import LimitRecords
from .part_evidence import PartEvidence
from .part_follower import PartFollower
from .part_relay import PartRelay
from .peer_server import PeerServer
from .quarantine_records import QuarantineRecords
from .rollouts.controller import RolloutController
from .settings import Endpoint
from .stored_records import keep_records
from .stream_versions import StreamVersions
from .version_records import VersionRecords

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine
    from types import TracebackType
    from typing import Any, Self

    from bamboopier_decisions.rollouts.schedule import Allowance

    from .gateway_state import GatewayState
    from .metrics import ProxyMetrics
    from .part_follower import PartStoreClient
    from .rollouts.answer_log import AnswerLog
    from .settings import ProxySettings
    from .store_schema import Store, StoreSchema

# Number of different targets that must have crashed with one request before it is
# refused: two crashes could be a coincidence, and a wrong quarantine must not block a
# path that many callers request.
CRASHES_TO_QUARANTINE = 3
# Time over which they must have ended: connections to targets that end at the same
# moment close within some milliseconds, in which a retry may still be sent on one.
CRASH_SPREAD_SECONDS = 0.1


class GatewayPeers:
    """Hints, configurations, limits and part updates, while its context is open."""

    def __init__(
        self,
        settings: ProxySettings,
        state: GatewayState,
        store: Store,
        schema: StoreSchema,
        part_store_client: PartStoreClient,
        find_list_age: Callable[[], float],
        random: random.Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._schema = schema
        self._registry = GatewayRegistry(
            store,
            schema.gateways_prefix,
            random,
            state.set_gateway_count,
            state.pauses,
        )
        # Other gateways identify this one by its source address.
        self._caller = HttpClient("", source=settings.host)
        self._configuration_relay = ConfigurationRelay(
            state.loader, state.active_configuration, self._caller
        )
        relay = PartRelay(state.part_store_index, self._caller)
        self._parts = PartFollower(
            part_store_client, state.part_store_index, relay, self._registry, random
        )
        self._limits = LimitRecords(
            store, schema.rate_limits_prefix, state.fleet, self._registry
        )
        state.target_listeners.append(self._limits.apply_waiting)
        crashing_parts = CrashingParts()
        quarantine = Quarantine(
            CRASHES_TO_QUARANTINE, CRASH_SPREAD_SECONDS, crashing_parts.explains
        )
        self._quarantine_records = QuarantineRecords(
            store, schema.quarantine_prefix, quarantine, self._registry
        )
        self._part_records = QuarantineRecords(
            store, schema.crashing_parts_prefix, crashing_parts, self._registry
        )
        self._version_records = VersionRecords(
            store,
            schema.software_versions_prefix,
            state.version_history,
            self._registry,
        )
        self._server = PeerServer(
            Endpoint(settings.host, settings.first_port),
            self._registry.has_host,
            {
                configuration_relay.PATH: self._configuration_relay.answer,
                part_relay.PATH: relay.answer,
            },
        )
        self.hint_exchange = HintExchange(
            settings.vm,
            settings.host,
            settings.first_port,
            self._registry,
            state.fleet,
            quarantine,
            state.request_queues,
            random,
        )
        self.stream_versions = StreamVersions(
            state.fleet,
            state.version_history,
            find_list_age,
            self.hint_exchange,
            AgentRing(state.fleet, settings.first_port),
            random,
        )
        self.part_evidence = PartEvidence(
            settings.vm,
            crashing_parts,
            self.hint_exchange,
            self._is_selected,
            random,
        )
        state.stream_listeners.append(self.stream_versions.set_longest_stream)
        self.hint_exchange.listeners += [
            self.stream_versions.receive,
            self.part_evidence.receive,
        ]
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        for part in (
            self._caller,
            self._configuration_relay,
            self._server,
            self.hint_exchange,
        ):
            await self._stack.enter_async_context(part)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    @property
    def loaded(self) -> bool:
        """Return whether the store's rate limits and refusals were read."""
        return (
            self._limits.loaded
            and self._quarantine_records.loaded
            and self._part_records.loaded
        )

    def request_configuration(self, gateway: Endpoint) -> None:
        """Request a newer configuration from a gateway, if the store serves none."""
        self._configuration_relay.request(gateway)

    def make_rollout_controller(
        self,
        state: GatewayState,
        answers: AnswerLog,
        metrics: ProxyMetrics,
        allowance: Allowance,
        is_informed: Callable[[], bool],
    ) -> RolloutController:
        """Return what carries out roll-outs; it receives the reports of others."""
        controller = RolloutController(
            self._settings.vm,
            self.hint_exchange.started_ms,
            state.rollout_traffic,
            answers,
            state.fleet,
            self._store,
            self._schema,
            self._registry,
            self.hint_exchange,
            metrics,
            allowance,
            is_informed,
        )
        self.hint_exchange.listeners.append(controller.receive)
        return controller

    def list_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that have to run until the gateway stops."""
        settings = self._settings
        entry = GatewayEntry(
            settings.host, settings.first_port, self.hint_exchange.started_ms
        )
        return [
            self._registry.register(settings.vm, entry),
            self._registry.run(),
            self.hint_exchange.run(),
            self.hint_exchange.run_loans(),
            self._parts.run(),
            self._limits.run(),
            self.part_evidence.run(),
            keep_records(self._quarantine_records),
            keep_records(self._part_records),
            keep_records(self._version_records),
        ]

    def _is_selected(self, key: bytes) -> bool:
        """Return whether all gateways select this one for ``key``."""
        selected = self._registry.select_gateways(key.hex(), 1)
        return any(self._registry.is_own(gateway) for gateway in selected)
