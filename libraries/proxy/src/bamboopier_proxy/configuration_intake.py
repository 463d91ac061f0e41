"""Takes configurations as they lie in the store, or as another gateway has them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from bamboopier_objects.objects import StoredObject

    from .knowledge import Knowledge
    from .store_schema import StoreSchema

log = structlog.get_logger()


class ConfigurationIntake:
    """Decodes each stored version once and keeps the newest as it was stored."""

    def __init__(self, schema: StoreSchema, knowledge: Knowledge) -> None:
        self._schema = schema
        self._knowledge = knowledge
        # The newest that could be decoded; None before the first.
        self.stored: StoredObject | None = None
        # Whether the store answered the last question for it.
        self.store_answers = True
        # Revision of a newer one that could not be decoded.
        self._set_aside = 0

    @property
    def _revision(self) -> int:
        return self.stored.version if self.stored is not None else 0

    def take(self, found: StoredObject, asked_at: float) -> bool:
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
            self._knowledge.confirm(self._knowledge.version, asked_at)
            return True
        if found.version <= self._set_aside:
            return True
        decoded = self._schema.decode_configuration(found.value)
        if isinstance(decoded, Err):
            log.error("configuration set aside", reason=decoded.err_value)
            self._set_aside = found.version
            return True
        self.stored = found
        self._knowledge.take(decoded.ok_value, asked_at, read_clock(), len(found.value))
        return True

    def confirm(self, proved_at: float) -> None:
        """Take in that nothing newer had been stored at ``proved_at``."""
        if self._set_aside <= self._revision:
            self._knowledge.confirm(self._knowledge.version, proved_at)
