"""What one process believes of the configuration, and how fresh that is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_decisions.forwarding.configuration_freshness import (
    ConfigurationFreshness,
)
from bamboopier_decisions.forwarding.route_table import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.specs import DeclaredConfiguration

log = structlog.get_logger()


class ActiveConfiguration:
    """The configuration in force with its proof of currency."""

    def __init__(
        self, key_seconds: float | None, apply: Callable[[DeclaredConfiguration], None]
    ) -> None:
        self.table: RouteTable | None = None
        self.currency = ConfigurationFreshness(key_seconds)
        self._apply = apply

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.table.configuration.version if self.table is not None else 0

    def update(
        self,
        declared: DeclaredConfiguration,
        asked_at: float,
        now: float,
        size: int = 0,
    ) -> None:
        """Take a configuration of ``size`` bytes that was current at ``asked_at``.

        An older version than the one in force says that the answer was held up or
        came from a store that lags; it proves nothing.
        """
        if declared.version < self.version:
            log.warning(
                "older configuration dropped",
                version=declared.version,
                in_force=self.version,
            )
            return
        self.currency.confirm(asked_at)
        if declared.version == self.version and self.table is not None:
            return
        self.table = RouteTable(declared)
        self._apply(declared)
        log.info(
            "configuration in force",
            version=declared.version,
            routes=len(declared.routes),
            services=len(declared.services),
            size_bytes=size,
            age_seconds=round(now - asked_at, 3),
        )

    def confirm(self, version: int, asked_at: float) -> None:
        """Take in that ``version`` was still current at ``asked_at``."""
        if version == self.version and self.table is not None:
            self.currency.confirm(asked_at)
