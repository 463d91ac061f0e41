"""State of a gateway: its configuration, targets, weights and part stores."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.gateway_share import GatewayShare
from bamboopier_decisions.forwarding.part_store_index import PartStoreIndex
from bamboopier_decisions.forwarding.shared_retry_budget import SharedRetryBudgets
from bamboopier_decisions.forwarding.specs import CallerLimits
from bamboopier_decisions.forwarding.version_history import VersionHistory
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_decisions.rollouts.traffic import RolloutTraffic

from .active_configuration import ActiveConfiguration
from .configuration_loader import ConfigurationLoader
from .request_queues import RequestQueues
from .store_availability import StoreAvailability

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
    from bamboopier_decisions.forwarding.specs import DeclaredConfiguration

    from .settings import ProxySettings
    from .store_schema import StoreSchema

# Assumed number of gateways until it is known. Guards against all gateways restarting
# while engines restart cold: with an assumed number of 1, each gateway would send a
# cold engine its full limit. With this number a cold engine gets no requests.
ASSUMED_GATEWAYS = 1000

log = structlog.get_logger()


class GatewayState:
    """The state of one gateway, and the requests that wait for it to change."""

    def __init__(
        self, settings: ProxySettings, schema: StoreSchema, pauses: PauseTracker
    ) -> None:
        self.pauses = pauses
        self.fleet = Fleet()
        self.fleet.gateway_count, self.fleet.gateway_index = ASSUMED_GATEWAYS, None
        self.part_store_index = PartStoreIndex()
        self.version_history = VersionHistory(first_start=settings.first_start)
        self.rollout_traffic = RolloutTraffic()
        self.weights = WeightVersions(settings.version_seconds)
        self._gateway_share = GatewayShare()
        self.retry_budgets = SharedRetryBudgets(
            settings.retries, self._gateway_share, read_clock()
        )
        self.availability = StoreAvailability()
        self.request_queues = RequestQueues()
        self.active_configuration = ActiveConfiguration(
            settings.key_seconds, self._apply, settings.in_force_seconds
        )
        self.loader = ConfigurationLoader(schema, self.active_configuration)
        self._services: tuple[str, ...] = ()
        # Called when targets were listed or changed, before requests are sent to them.
        self.target_listeners: list[Callable[[], None]] = []
        # Called with the longest timeout of a stream's route, in seconds.
        self.stream_listeners: list[Callable[[float], None]] = []

    def apply_settings(self, changed: ProxySettings) -> None:
        """Apply the limits of changed settings."""
        self.active_configuration.freshness.set_limits(
            changed.key_seconds, changed.in_force_seconds
        )
        self.weights.set_grace(changed.version_seconds)
        self.retry_budgets.set_limits(changed.retries)

    def set_gateway_count(self, count: int, index: int) -> None:
        """Set the number of gateways that share limits, and the index of this one."""
        self.fleet.gateway_count, self.fleet.gateway_index = count, index
        self._gateway_share.set_gateways(read_clock(), count, index)
        log.info("gateways counted", gateways=count, place=index)

    def handle_changed_targets(self) -> None:
        """Retry target selection for all pending requests."""
        now, versions = read_clock(), self.fleet.list_software_versions()
        self.version_history.update(now, versions)
        self.rollout_traffic.update_versions(now, versions)
        for listener in self.target_listeners:
            listener()
        for service in self._services:
            self.request_queues.wake(service)

    def find_caller_limits(self) -> CallerLimits:
        """Return the limits on what callers may send."""
        table = self.active_configuration.table
        return table.configuration.limits if table is not None else CallerLimits()

    def _apply(self, declared: DeclaredConfiguration) -> None:
        self._services = tuple(declared.services)
        self.fleet.set_services(declared.services)
        longest = max((r.timeout for r in declared.routes if r.streams), default=0.0)
        for listener in self.stream_listeners:
            listener(longest)
        managed = [s for s in declared.part_stores if s.managed]
        self.part_store_index.set_stores({s.address: s.capacity for s in managed})
