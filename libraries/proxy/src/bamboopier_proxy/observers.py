"""Observers that apply changes in the store to the state of this process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_objects.invalid_entries import open_invalid_entries

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
    from bamboopier_decisions.forwarding.specs import TargetEntry
    from bamboopier_decisions.forwarding.version_history import VersionHistory
    from bamboopier_decisions.forwarding.weight_versions import WeightVersions
    from bamboopier_objects.objects import ChangedObject, Listing

    from .store_availability import StoreAvailability
    from .store_schema import PublishedWeights, StoreSchema

# Time without a response from the store from which an outage is assumed: longer than
# one watch whose connection stalled.
OUTAGE_SECONDS = 4.0

log = structlog.get_logger()


class TargetObserver:
    """Updates the fleet from the entries of targets."""

    def __init__(
        self,
        schema: StoreSchema,
        fleet: Fleet,
        availability: StoreAvailability,
        history: VersionHistory,
        wake: Callable[[], None],
    ) -> None:
        self._schema = schema
        self._fleet = fleet
        self._availability = availability
        self._history = history
        self._wake = wake
        # Versions of the entries that name no target, by key.
        self._invalid: dict[str, int] = {}

    def apply_listing(
        self, listing: Listing, outage_seconds: float, known_until: float
    ) -> None:
        """Apply all entries.

        ``outage_seconds`` is not used: it holds for this one follower, and the store
        may have served all others meanwhile.
        """
        now = read_clock()
        recovering = self._availability.is_recovering(now)
        entries = []
        known, self._invalid = self._invalid, {}
        for found in listing.objects:
            if known.get(found.key) == found.version:
                self._invalid[found.key] = found.version
                continue
            entry = self._decode(found.key, found.version, found.value)
            if entry is not None:
                entries.append(entry)
        listed_before = set(self._fleet.names)
        self._fleet.replace(now, entries, self._availability.find_recovery(now))
        self._history.record_list(now, known_until)
        log.info(
            "targets listed",
            revision=listing.revision,
            targets=len(entries),
            missing=sorted(listed_before - {e.name for e in entries}),
            returning=recovering,
            **self._describe_knowledge(now, known_until),
        )
        self._wake()

    def apply_change(
        self, change: ChangedObject, known_until: float, *, late: bool
    ) -> None:
        """Apply an entry that was changed or deleted."""
        now = read_clock()
        name = change.key.removeprefix(self._schema.targets_prefix)
        self._invalid.pop(change.key, None)
        if change.value is None:
            recovering = self._availability.is_recovering(now)
            self._fleet.remove(now, name, self._availability.find_recovery(now))
            log.info(
                "target gone",
                target=name,
                returning=recovering,
                version=change.version,
                **self._describe_knowledge(now, known_until),
            )
            self._wake()
            return
        entry = self._decode(change.key, change.version, change.value)
        if entry is None:
            # Whoever wrote the entry, it describes no target that can be used.
            self._fleet.remove(now, name)
            self._wake()
            return
        self._fleet.put(now, entry)
        log.info(
            "target changed",
            target=name,
            service=entry.service,
            leaving=entry.leaving,
            cold_seconds=entry.cold_seconds,
            versions=entry.versions,
            software_version=entry.software_version,
            version=change.version,
        )
        self._wake()

    def _describe_knowledge(self, now: float, known_until: float) -> dict[str, float]:
        """Return the ages of what a change rests on, in seconds, for its log line."""
        return {
            "known_age": round(now - known_until, 3),
            "store_accepted_age": round(now - self._availability.last_accepted_at, 3),
        }

    def _decode(self, key: str, version: int, value: bytes) -> TargetEntry | None:
        name = key.removeprefix(self._schema.targets_prefix)
        decoded = self._schema.decode_target(name, value)
        if isinstance(decoded, Err):
            if value:
                # Without its value, the next read of the list may contain it.
                self._invalid[key] = version
            open_invalid_entries().report(key, decoded.err_value, target=name)
            return None
        return decoded.ok_value


class WeightsObserver:
    """Records the weight versions that the operator published."""

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
        # Called with a version that was published while this process ran, and the
        # earliest time at which it may have been published.
        self._on_published = on_published

    def apply_listing(
        self, listing: Listing, outage_seconds: float, known_until: float
    ) -> None:
        """Apply all published versions.

        After an outage of the store a new version is assumed to have been published
        now: no version could be published while the store was unavailable to all. If it
        was unavailable only to this process, the times that others wrote are more
        precise. A process that was paused cannot detect an outage.
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
        """Apply a newly published version."""
        if change.value is None:
            return
        since = self._find_published_since(known_until, late)
        self._apply(change.key, change.value, since, False)

    def _find_published_since(self, known_until: float, late: bool) -> float:
        """Return the earliest time at which a change that is read now may have
        happened.

        A change that waited while this process was paused may be as old as the pause,
        and one in a delayed response as old as the watch: if it was assumed to be new,
        older weights would serve too long by that time. It is not older than the last
        response before it: if it was assumed to be older, older weights would expire
        too soon.
        """
        now = read_clock()
        earliest_arrival = self._pauses.find_earliest_arrival(now)
        if late and earliest_arrival == now:
            return known_until
        return max(known_until, earliest_arrival)

    def _apply(self, key: str, value: bytes, since: float, guessed: bool) -> None:
        """Apply one version that was published at ``since`` at the earliest."""
        name = key.removeprefix(self._schema.weights_prefix)
        decoded = self._schema.decode_weights(name, value)
        if isinstance(decoded, Err):
            open_invalid_entries().report(key, decoded.err_value)
            return
        published = decoded.ok_value
        if not self._weights.record_published(
            published.model, published.version, since, guessed=guessed
        ):
            return
        age = read_clock() - self._weights.find_published_at(published.model)
        log.info(
            "weights published",
            model=published.model,
            weight_version=published.version,
            age_seconds=round(age, 3) if math.isfinite(age) else None,
            guessed=guessed,
        )
        if math.isfinite(since):
            self._on_published(published, since)


class DrainObserver:
    """Records the drained data centres, which get no requests."""

    def __init__(self, schema: StoreSchema, fleet: Fleet) -> None:
        self._schema = schema
        self._fleet = fleet
        self._drained: set[str] = set()

    def apply_listing(
        self, listing: Listing, outage_seconds: float, known_until: float
    ) -> None:
        """Apply all drained data centres."""
        prefix = self._schema.drained_data_centres_prefix
        self._apply({found.key.removeprefix(prefix) for found in listing.objects})

    def apply_change(
        self, change: ChangedObject, known_until: float, *, late: bool
    ) -> None:
        """Apply the start or end of the drain of one data centre."""
        name = change.key.removeprefix(self._schema.drained_data_centres_prefix)
        drained = self._drained - {name}
        self._apply(drained | {name} if change.value is not None else drained)

    def _apply(self, drained: set[str]) -> None:
        if drained != self._drained:
            log.info("data centres drained", data_centres=sorted(drained))
        self._drained = drained
        self._fleet.drain_data_centres(drained)
