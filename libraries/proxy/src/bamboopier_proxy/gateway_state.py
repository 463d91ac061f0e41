"""What a gateway believes: its configuration, targets, weights and kept parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.part_store_index import PartStoreIndex
from bamboopier_decisions.forwarding.specs import CallerLimits
from bamboopier_decisions.forwarding.shared_retry_budget import SharedRetryBudgets
from bamboopier_decisions.forwarding.weight_versions import WeightVersions

from .configuration_intake import ConfigurationIntake
from .knowledge import Knowledge
from .store_health import StoreHealth
from .waiting_room import WaitingRoom

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.specs import DeclaredConfiguration
    from bamboopier_decisions.forwarding.pause_tracker import PauseTracker

    from .settings import ProxySettings
    from .vocabulary import Vocabulary

# Taken for the number of gateways until it is known. Failure answered: all gateways
# start anew while engines come back cold; counted as one, each would send them all they
# bear. With so many a cold engine gets nothing, and repeats have next to no slack.
UNCOUNTED_GATEWAYS = 1000

log = structlog.get_logger()


class GatewayState:
    """The beliefs of one gateway, and the requests that wait on them."""

    def __init__(
        self, settings: ProxySettings, vocabulary: Vocabulary, pauses: PauseTracker
    ) -> None:
        self.pauses = pauses
        self.fleet = Fleet()
        self.fleet.gateway_count, self.fleet.gateway_index = UNCOUNTED_GATEWAYS, None
        self.kept = PartStoreIndex()
        self.weights = WeightVersions(settings.version_seconds)
        self.shares = SharedRetryBudgets(settings.retries)
        self.health = StoreHealth()
        self.room = WaitingRoom()
        self.knowledge = Knowledge(settings.key_seconds, self._apply)
        self.intake = ConfigurationIntake(vocabulary, self.knowledge)
        self._services: tuple[str, ...] = ()

    def take_settings(self, changed: ProxySettings) -> None:
        """Take the bounds of changed settings."""
        self.knowledge.currency.set_max_age(changed.key_seconds)
        self.weights.set_grace(changed.version_seconds)
        self.shares.set_limits(changed.retries)

    def take_count(self, count: int, place: int) -> None:
        """Take how many gateways share the bounds, and which of them this one is."""
        self.fleet.gateway_count, self.fleet.gateway_index = count, place
        log.info("gateways counted", gateways=count, place=place)

    def wake_all(self) -> None:
        """Look for places for all that wait: targets have changed."""
        for service in self._services:
            self.room.wake(service)

    def read_limits(self) -> CallerLimits:
        """Return what callers may send."""
        table = self.knowledge.table
        return table.configuration.limits if table is not None else CallerLimits()

    def _apply(self, declared: DeclaredConfiguration) -> None:
        self._services = tuple(declared.services)
        self.fleet.set_services(declared.services)
        managed = [s for s in declared.part_stores if s.managed]
        self.kept.set_stores({s.address: s.capacity for s in managed})
