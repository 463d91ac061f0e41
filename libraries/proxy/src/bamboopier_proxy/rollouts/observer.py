"""Applies the roll-outs in the store to this gateway's traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_objects.invalid_entries import open_invalid_entries

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.rollouts.order import Rollout
    from bamboopier_decisions.rollouts.traffic import RolloutTraffic
    from bamboopier_objects.objects import ChangedObject, Listing

    from ..store_schema import StoreSchema

log = structlog.get_logger()


class RolloutObserver:
    """Keeps the known roll-outs in line with the store."""

    def __init__(
        self, schema: StoreSchema, traffic: RolloutTraffic, wake: Callable[[], None]
    ) -> None:
        self._schema = schema
        self._traffic = traffic
        # Called after a change, since waiting requests may now find a target.
        self._wake = wake

    def apply_listing(
        self, listing: Listing, outage_seconds: float, known_until: float
    ) -> None:
        """Apply all roll-outs."""
        found: dict[str, Rollout] = {}
        for stored in listing.objects:
            name = self._find_name(stored.key)
            rollout = self._decode(name, stored.value, stored.status, stored.version)
            if rollout is not None:
                found[name] = rollout
                _log_change(rollout)
        self._traffic.replace(found)
        self._wake()

    def apply_change(
        self, change: ChangedObject, known_until: float, *, late: bool
    ) -> None:
        """Apply an order that was written or withdrawn, or a changed status."""
        name = self._find_name(change.key)
        if change.value is None:
            self._traffic.remove(name)
            log.info("rollout withdrawn", service=name, revision=change.version)
            self._wake()
            return
        rollout = self._decode(name, change.value, change.status, change.version)
        if rollout is not None:
            self._traffic.set_rollout(name, rollout)
            _log_change(rollout)
        self._wake()

    def _find_name(self, key: str) -> str:
        return key.removeprefix(self._schema.rollouts_prefix)

    def _decode(
        self, name: str, value: bytes, status: bytes, revision: int
    ) -> Rollout | None:
        decoded = self._schema.decode_rollout(name, value, status, revision)
        if isinstance(decoded, Err):
            key = f"{self._schema.rollouts_prefix}{name}"
            open_invalid_entries().report(key, decoded.err_value)
            return None
        return decoded.ok_value


def _log_change(rollout: Rollout) -> None:
    order, status = rollout.order, rollout.status
    log.info(
        "rollout changed",
        service=order.service,
        software_version=order.version,
        seconds=order.seconds,
        revision=rollout.revision,
        state=status.state.value if status else None,
        status_version=status.version if status else None,
        former=status.former if status else (),
        share=status.share if status else 0.0,
        reason=status.reason if status else "",
    )
