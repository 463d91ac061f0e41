"""Which weight versions a request may begin on.

Failure answered: an engine that missed its order goes on with old weights for ever, and
its answers are those of a model that was replaced. Older versions serve while the newer
is being loaded, since none would serve otherwise; after that time they get nothing.

The time of a version runs from the earliest moment at which it may have been named, not
from when this process heard of it: a process that was suspended, or whose watch went
silent, hears late. Counted from then, older versions would serve too long there.
"""

from __future__ import annotations

from dataclasses import dataclass

# Seconds before the end of the time allowed for a new version from which the older one
# gets no requests. They cover the time until this process heard of it, and the time in
# which a request that was sent waits at the engine before it begins.
SEND_MARGIN_SECONDS = 2.6
# Seconds before that end from which a request that has not begun is taken back: its
# target may be suspended, or full, for longer than the time above covers. They cover a
# look at what waits, the way to the target, and a first answer that is on its way.
WAIT_MARGIN_SECONDS = 0.5


# Versions whose time is over that are kept: the newest of them is the bound, and the
# one before it takes its place should it turn out to be named later.
MAX_EXPIRED = 2


@dataclass(frozen=True, slots=True)
class PublishTime:
    """When a version was named, as somebody knows it."""

    # It was not named before this, or that is a guess.
    published_at: float
    guessed: bool


class WeightVersions:
    """The versions named for each model, and since when each may have been."""

    __slots__ = ("_recorded", "_grace", "_observed", "_published_at")

    def __init__(self, grace_seconds: float) -> None:
        self._grace = grace_seconds
        # The versions of each model that this process heard of.
        self._observed: dict[str, dict[int, PublishTime]] = {}
        # The earliest times at which they may have been named, as others wrote them.
        self._recorded: dict[str, dict[int, PublishTime]] = {}
        # Both together.
        self._published_at: dict[str, dict[int, float]] = {}

    def set_grace(self, seconds: float) -> None:
        """Take another time for which older versions may serve."""
        self._grace = seconds

    def record_published(
        self, model: str, version: int, published_at: float, *, guessed: bool = False
    ) -> bool:
        """Take in a named version; True if it is newer than those known.

        ``published_at`` is the earliest time at which it may have been named, minus infinity
        where nothing is known of that. A guess may be too late, and gives way to what
        others wrote.
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
        """Take in the earliest time, or the guess, that somebody wrote down."""
        self._recorded.setdefault(model, {})[version] = PublishTime(
            published_at, guessed
        )
        self._merge(model)

    def has_unknown_publish_time(self) -> bool:
        """Say whether nothing is known of when one of the newest was named."""
        return any(
            self.find_published_at(model) == float("-inf") for model in self._observed
        )

    def is_guessed(self, model: str, version: int) -> bool:
        """Say whether the time of a version is a guess."""
        observed = self._observed.get(model, {}).get(version)
        return observed is not None and observed.guessed

    def is_recorded(self, model: str, version: int) -> bool:
        """Say whether somebody wrote down when a version was named."""
        return version in self._recorded.get(model, {})

    def find_newest(self, model: str) -> int:
        """Return the newest version; 0 when none was named."""
        return max(self._observed.get(model, ()), default=0)

    def find_published_at(self, model: str) -> float:
        """Return the earliest time at which the newest version may have been named.

        Minus infinity when none was named, or when nobody knows.
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
        """Return the number of versions of which anything is kept."""
        return len(self._published_at.get(model, ()))

    def _remove_before(self, model: str, version: int) -> None:
        """Forget versions that decide nothing any more.

        Weights are named for as long as a process runs, and every request looks through
        all that are known.
        """
        for known in (self._observed, self._recorded, self._published_at):
            versions = known.get(model, {})
            for old in [v for v in versions if v < version]:
                del versions[old]

    def _merge(self, model: str) -> None:
        """Put together what is known of each version.

        The store shows the newest version only: the time of those named before it,
        which others wrote down, goes on as well, and ends sooner for the targets that
        have none of them.
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
    """Return the earliest time of a naming by what is known here and was written.

    A guess may be too late: taken for more than a time that is known, it would let
    older weights serve too long.
    """
    if known is None or known.guessed:
        return recorded.published_at
    if recorded.guessed and known.published_at > float("-inf"):
        return known.published_at
    # Neither is later than the true time, so the later one is nearer.
    return max(known.published_at, recorded.published_at)
