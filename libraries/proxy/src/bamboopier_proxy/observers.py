"""Take what others write in the store into what this process believes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
    from bamboopier_decisions.forwarding.specs import TargetEntry
    from bamboopier_decisions.forwarding.weight_versions import WeightVersions
    from bamboopier_objects.objects import ChangedObject, Listing

    from .store_availability import StoreAvailability
    from .store_schema import PublishedWeights, StoreSchema

# Seconds for which the store did not answer from which it is taken to have been away:
# longer than one watch whose connection went silent.
OUTAGE_SECONDS = 4.0

log = structlog.get_logger()


class TargetObserver:
    """Keeps the fleet as the targets' entries say."""

    def __init__(
        self,
        schema: StoreSchema,
        fleet: Fleet,
        availability: StoreAvailability,
        wake: Callable[[], None],
    ) -> None:
        self._schema = schema
        self._fleet = fleet
        self._availability = availability
        self._wake = wake

    def apply_listing(
        self, listing: Listing, outage_seconds: float, known_until: float
    ) -> None:
        """Take all entries.

        For how long this one follower went without an answer does not count: the store
        may have served all others meanwhile.
        """
        now = read_clock()
        recovering = self._availability.is_recovering(now)
        entries = []
        for found in listing.objects:
            entry = self._decode(found.key, found.value)
            if entry is not None:
                entries.append(entry)
        known = set(self._fleet.names)
        self._fleet.replace(now, entries, self._availability.find_recovery(now))
        log.info(
            "targets listed",
            revision=listing.revision,
            targets=len(entries),
            missing=sorted(known - {e.name for e in entries}),
            returning=recovering,
        )
        self._wake()

    def apply_change(
        self, change: ChangedObject, known_until: float, *, late: bool
    ) -> None:
        """Take one entry that changed or is gone."""
        now = read_clock()
        name = change.key.removeprefix(self._schema.targets_prefix)
        if change.value is None:
            recovering = self._availability.is_recovering(now)
            self._fleet.remove(now, name, self._availability.find_recovery(now))
            log.info(
                "target gone", target=name, returning=recovering, version=change.version
            )
            return
        entry = self._decode(change.key, change.value)
        if entry is None:
            # Whoever wrote it, it names no target that may be used.
            self._fleet.remove(now, name)
            return
        self._fleet.put(now, entry)
        log.info(
            "target changed",
            target=name,
            service=entry.service,
            leaving=entry.leaving,
            cold_seconds=entry.cold_seconds,
            versions=entry.versions,
            version=change.version,
        )
        self._wake()

    def _decode(self, key: str, value: bytes) -> TargetEntry | None:
        name = key.removeprefix(self._schema.targets_prefix)
        decoded = self._schema.decode_target(name, value)
        if isinstance(decoded, Err):
            log.warning("entry set aside", target=name, reason=decoded.err_value)
            return None
        return decoded.ok_value


class WeightsObserver:
    """Keeps the weight versions that the operator named."""

    def __init__(
        self,
        schema: StoreSchema,
        weights: WeightVersions,
        pauses: PauseTracker,
        on_published: Callable[[PublishedWeights, float], None],
    ) -> None:
        self._schema = schema
        self._weights = weights
        self._pauses = pauses
        # Told of a version that was named while this process ran, and since when.
        self._on_published = on_published

    def apply_listing(
        self, listing: Listing, outage_seconds: float, known_until: float
    ) -> None:
        """Take all named versions.

        After an outage of the store they are taken to be named now: nobody could name
        any while it was away for all. Where it was away for this process alone, what
        the others wrote says more. A process that paused cannot tell an outage.
        """
        now = read_clock()
        paused = self._pauses.find_earliest_arrival(now) < now
        was_outage = outage_seconds >= OUTAGE_SECONDS and not paused
        guessed = was_outage and math.isfinite(known_until)
        since = now if guessed else known_until
        for found in listing.objects:
            self._apply(found.key, found.value, since, guessed)

    def apply_change(
        self,
        change: ChangedObject,
        known_until: float = float("-inf"),
        *,
        late: bool = False,
    ) -> None:
        """Take a newly named version."""
        if change.value is None:
            return
        since = self._find_published_since(known_until, late)
        self._apply(change.key, change.value, since, False)

    def _find_published_since(self, known_until: float, late: bool) -> float:
        """Return since when a change may have happened that is read now.

        News that waited while this process paused is as old as the pause, and what was
        held up on its way as old as the watch: taken for new, it lets older weights
        serve too long by that. It is no older than what was told before it: taken for
        that, it ends older weights too soon.
        """
        now = read_clock()
        unread_since = self._pauses.find_earliest_arrival(now)
        if late and unread_since == now:
            return known_until
        return max(known_until, unread_since)

    def _apply(self, key: str, value: bytes, since: float, guessed: bool) -> None:
        """Take one version that was named at ``since`` at the earliest."""
        decoded = self._schema.decode_weights(value)
        if isinstance(decoded, Err):
            log.warning("entry set aside", key=key, reason=decoded.err_value)
            return
        named = decoded.ok_value
        if not self._weights.record_published(
            named.model, named.version, since, guessed=guessed
        ):
            return
        age = read_clock() - self._weights.find_published_at(named.model)
        log.info(
            "weights named",
            model=named.model,
            weight_version=named.version,
            age_seconds=round(age, 3) if math.isfinite(age) else None,
            guessed=guessed,
        )
        if math.isfinite(since):
            self._on_published(named, since)


class DrainObserver:
    """Keeps the data centres that are to get nothing."""

    def __init__(self, schema: StoreSchema, fleet: Fleet) -> None:
        self._schema = schema
        self._fleet = fleet
        self._drained: set[str] = set()

    def apply_listing(
        self, listing: Listing, outage_seconds: float, known_until: float
    ) -> None:
        """Take all closures."""
        prefix = self._schema.drained_data_centres_prefix
        self._apply({found.key.removeprefix(prefix) for found in listing.objects})

    def apply_change(
        self, change: ChangedObject, known_until: float, *, late: bool
    ) -> None:
        """Take one closure, or its end."""
        name = change.key.removeprefix(self._schema.drained_data_centres_prefix)
        drained = self._drained - {name}
        self._apply(drained | {name} if change.value is not None else drained)

    def _apply(self, drained: set[str]) -> None:
        if drained != self._drained:
            log.info("data centres closed", data_centres=sorted(drained))
        self._drained = drained
        self._fleet.drain_data_centres(drained)
