"""Takes configurations as they lie in the store, or as another gateway has them."""

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
    """Decodes each stored version once and keeps the newest as it was stored."""

    def __init__(
        self, schema: StoreSchema, active_configuration: ActiveConfiguration
    ) -> None:
        self._schema = schema
        self._active_configuration = active_configuration
        # The newest that could be decoded; None before the first.
        self.stored: StoredObject | None = None
        # Whether the store answered the last question for it.
        self.store_available = True
        # Revision of a newer one that could not be decoded.
        self._undecodable_revision = 0

    @property
    def _revision(self) -> int:
        return self.stored.version if self.stored is not None else 0

    def load(self, found: StoredObject, asked_at: float) -> bool:
        """Take what was current at ``asked_at``; False for an older one.

        What cannot be decoded is set aside: what is in force stays, but nothing proves
        any more that it is current.
        """
        if found.version < self._revision:
            log.warning(
                "older configuration dropped",
                revision=found.version,
                known=self._revision,
            )
            return False
        if found.version == self._revision:
            self._active_configuration.confirm(
                self._active_configuration.version, asked_at
            )
            return True
        if found.version <= self._undecodable_revision:
            return True
        decoded = self._schema.decode_configuration(found.value)
        if isinstance(decoded, Err):
            log.error("configuration set aside", reason=decoded.err_value)
            self._undecodable_revision = found.version
            return True
        self.stored = found
        self._active_configuration.update(
            decoded.ok_value, asked_at, read_clock(), len(found.value)
        )
        return True

    def confirm(self, proved_at: float) -> None:
        """Take in that nothing newer had been stored at ``proved_at``."""
        if self._undecodable_revision <= self._revision:
            self._active_configuration.confirm(
                self._active_configuration.version, proved_at
            )
