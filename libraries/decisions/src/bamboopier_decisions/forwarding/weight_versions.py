"""Decides which weight versions a request may start on.

Guards against an engine that missed its order and goes on with old weights: its
responses are those of a model that was replaced. Older versions serve while the newer
one is being loaded, since none would serve otherwise; after that grace period they get
no requests.

The grace period of a version starts at the earliest time at which the version may have
been published, not when this process received it: a process that was suspended, or
whose watch stopped responding, receives it late. Counted from then, older versions
would serve too long there.
"""

from __future__ import annotations

import msgspec

# Seconds before the end of a version's grace period from which older versions get no
# requests. They cover the delay until this process received the version, and the time
# for which a sent request waits at the engine before it starts.
SEND_MARGIN_SECONDS = 2.6
# Seconds before that end from which a request that has not started is aborted: its
# target may be suspended, or full, for longer than the margin above covers. They cover
# a check of the waiting requests, the latency to the target, and a first response that
# is in flight.
WAIT_MARGIN_SECONDS = 0.5


# Versions with an expired grace period that are kept: the newest of them is the oldest
# allowed version, and the one before replaces it should it turn out to be published
# later.
MAX_EXPIRED = 2


class PublishTime(msgspec.Struct, frozen=True):
    """When a version was published, as one process knows it."""

    # The version was not published before this, or this is a guess.
    published_at: float
    guessed: bool


class WeightVersions:
    """The versions published for each model, and the earliest time of each."""

    __slots__ = ("_recorded", "_grace", "_observed", "_published_at")

    def __init__(self, grace_seconds: float) -> None:
        self._grace = grace_seconds
        # The versions of each model that this process received.
        self._observed: dict[str, dict[int, PublishTime]] = {}
        # The earliest times at which they may have been published, as recorded by
        # others.
        self._recorded: dict[str, dict[int, PublishTime]] = {}
        # Both merged.
        self._published_at: dict[str, dict[int, float]] = {}

    def set_grace(self, seconds: float) -> None:
        """Set the seconds for which older versions may serve."""
        self._grace = seconds

    def record_published(
        self, model: str, version: int, published_at: float, *, guessed: bool = False
    ) -> bool:
        """Record a published version; True if it is newer than those known.

        ``published_at`` is the earliest time at which it may have been published, minus
        infinity where nothing is known of that. A guess may be too late, and is
        replaced by what others recorded.
        """
        if version <= self.find_newest(model):
            return False
        self._observed.setdefault(model, {})[version] = PublishTime(
            published_at, guessed
        )
        self._merge(model)
        return True

    def record_publish_time(
        self, model: str, version: int, published_at: float, *, guessed: bool = False
    ) -> None:
        """Record the earliest time, or the guess, that another process recorded."""
        self._recorded.setdefault(model, {})[version] = PublishTime(
            published_at, guessed
        )
        self._merge(model)

    def has_unknown_publish_time(self) -> bool:
        """Return whether the publish time of one of the newest versions is unknown."""
        return any(
            self.find_published_at(model) == float("-inf") for model in self._observed
        )

    def is_guessed(self, model: str, version: int) -> bool:
        """Return whether the publish time of a version is a guess."""
        observed = self._observed.get(model, {}).get(version)
        return observed is not None and observed.guessed

    def is_recorded(self, model: str, version: int) -> bool:
        """Return whether a process has recorded the publish time of a version."""
        return version in self._recorded.get(model, {})

    def find_newest(self, model: str) -> int:
        """Return the newest version; 0 when none was published."""
        return max(self._observed.get(model, ()), default=0)

    def find_published_at(self, model: str) -> float:
        """Return the earliest time at which the newest version may have been published.

        Minus infinity when none was published, or when the time is unknown.
        """
        newest = self.find_newest(model)
        return self._published_at.get(model, {}).get(newest, float("-inf"))

    def find_oldest_allowed(self, now: float, model: str) -> int:
        """Return the oldest version that a request may still be sent for."""
        return self._find_oldest(now, model, SEND_MARGIN_SECONDS)

    def find_oldest_waiting(self, now: float, model: str) -> int:
        """Return the oldest version for which a request may still wait at a target."""
        return self._find_oldest(now, model, WAIT_MARGIN_SECONDS)

    def _find_oldest(self, now: float, model: str, margin: float) -> int:
        versions = self._published_at.get(model)
        if not versions:
            return 0
        limit = self._grace - margin
        expired = sorted(
            v for v, published_at in versions.items() if now - published_at >= limit
        )
        if len(expired) > MAX_EXPIRED:
            self._remove_before(model, expired[-MAX_EXPIRED])
        return expired[-1] if expired else 0

    def count_versions(self, model: str) -> int:
        """Return the number of versions that are kept."""
        return len(self._published_at.get(model, ()))

    def _remove_before(self, model: str, version: int) -> None:
        """Remove versions that no longer affect any decision.

        Weights are published for as long as a process runs, and every request searches
        all known versions.
        """
        for known in (self._observed, self._recorded, self._published_at):
            versions = known.get(model, {})
            for old in [v for v in versions if v < version]:
                del versions[old]

    def _merge(self, model: str) -> None:
        """Merge what is known of each version.

        The store shows the newest version only: the grace periods of versions published
        before it, which others recorded, still count, and end sooner for the targets
        that have none of these versions.
        """
        observed = self._observed.get(model, {})
        newest = self.find_newest(model)
        published_at = {
            version: found.published_at for version, found in observed.items()
        }
        for version, recorded in self._recorded.get(model, {}).items():
            if version <= newest:
                published_at[version] = _choose_time(observed.get(version), recorded)
        self._published_at[model] = published_at


def _choose_time(known: PublishTime | None, recorded: PublishTime) -> float:
    """Return the earliest publish time by what is known here and was recorded.

    A guess may be too late: preferred to a known time, it would let older weights serve
    too long.
    """
    if known is None or known.guessed:
        return recorded.published_at
    if recorded.guessed and known.published_at > float("-inf"):
        return known.published_at
    # Neither is later than the true time, so the later one is closer.
    return max(known.published_at, recorded.published_at)
