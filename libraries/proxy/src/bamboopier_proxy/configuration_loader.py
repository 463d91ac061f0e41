"""Loads stored configurations, read from the store or relayed by another gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from bamboopier_objects.objects import StoredObject

    from .active_configuration import ActiveConfiguration
    from .store_schema import StoreSchema

log = structlog.get_logger()


class ConfigurationLoader:
    """Decodes each stored version once and retains the newest in its stored form."""

    def __init__(
        self, schema: StoreSchema, active_configuration: ActiveConfiguration
    ) -> None:
        self._schema = schema
        self._active_configuration = active_configuration
        # The newest value that could be decoded; None before the first.
        self.stored: StoredObject | None = None
        # Whether the store answered the last request for the configuration.
        self.store_available = True
        # Revision of a newer value that could not be decoded.
        self._undecodable_revision = 0

    @property
    def revision(self) -> int:
        """Return the store's revision of the newest decoded value; 0 before one."""
        return self.stored.version if self.stored is not None else 0

    def load(self, found: StoredObject, sent_at: float) -> bool:
        """Load a value that was current at ``sent_at``; return False for an older one.

        A value that cannot be decoded is ignored: the active configuration stays, but
        its freshness is no longer confirmed.
        """
        if found.version < self.revision:
            log.warning(
                "older configuration dropped",
                revision=found.version,
                known=self.revision,
            )
            return False
        if found.version == self.revision:
            self._active_configuration.confirm(
                self._active_configuration.version, sent_at
            )
            return True
        if found.version <= self._undecodable_revision:
            return True
        decoded = self._schema.decode_configuration(found.value)
        if isinstance(decoded, Err):
            log.error("undecodable configuration ignored", reason=decoded.err_value)
            self._undecodable_revision = found.version
            return True
        self.stored = found
        self._active_configuration.update(
            decoded.ok_value, sent_at, read_clock(), len(found.value)
        )
        return True

    def confirm(self, confirmed_at: float) -> None:
        """Record that nothing newer had been stored at ``confirmed_at``."""
        if self._undecodable_revision <= self.revision:
            self._active_configuration.confirm(
                self._active_configuration.version, confirmed_at
            )
