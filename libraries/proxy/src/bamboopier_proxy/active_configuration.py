"""The configuration that is active in one process, and its freshness."""

from __future__ import annotations

import math
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
    """The active configuration and when it was last confirmed as current."""

    def __init__(
        self,
        key_seconds: float | None,
        apply: Callable[[DeclaredConfiguration], None],
        in_force_seconds: float = math.inf,
    ) -> None:
        self.table: RouteTable | None = None
        self.freshness = ConfigurationFreshness(key_seconds, in_force_seconds)
        self._apply = apply

    @property
    def version(self) -> int:
        """Return the active version; 0 before the first."""
        return self.table.configuration.version if self.table is not None else 0

    def update(
        self,
        declared: DeclaredConfiguration,
        sent_at: float,
        now: float,
        size: int = 0,
    ) -> None:
        """Activate a configuration of ``size`` bytes that was current at ``sent_at``.

        A version older than the active one comes from a delayed response or from a
        store that lags behind; it is ignored and confirms nothing.
        """
        if declared.version < self.version:
            log.warning(
                "older configuration dropped",
                version=declared.version,
                in_force=self.version,
            )
            return
        self.freshness.confirm(sent_at)
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
            age_seconds=round(now - sent_at, 3),
        )

    def confirm(self, version: int, sent_at: float) -> None:
        """Record that ``version`` was still current at ``sent_at``."""
        if version == self.version and self.table is not None:
            self.freshness.confirm(sent_at)
