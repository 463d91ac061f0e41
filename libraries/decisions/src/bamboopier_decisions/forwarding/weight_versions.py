"""Which weight versions a request may begin on.

Failure answered: an engine that missed its order goes on with old weights for ever, and
its answers are those of a model that was replaced. Older versions serve while the newer
is being loaded, since none would serve otherwise; after that time they get nothing.
"""

from __future__ import annotations

# Seconds before the end of the time allowed for a new version from which the older one
# gets no requests. They cover the time until this process heard of it, and the time in
# which a request that was sent waits at the engine before it begins.
END_SECONDS = 2.6


class WeightVersions:
    """The newest version named for each model, and when that was heard."""

    __slots__ = ("_ages", "_allowed", "_named")

    def __init__(self, allowed_seconds: float) -> None:
        self._allowed = allowed_seconds
        # Versions of each model with the time since which each is taken to be named,
        # oldest first.
        self._named: dict[str, list[tuple[int, float]]] = {}
        # The same as others wrote it down, of versions that were named before.
        self._ages: dict[tuple[str, int], float] = {}

    def set_allowed(self, seconds: float) -> None:
        """Take another time for which older versions may serve."""
        self._allowed = seconds

    def name(
        self, now: float, model: str, version: int, *, was_there: bool = False
    ) -> bool:
        """Take in a named version; True if it is newer than those known.

        One that was there when this process first looked may have been named long ago.
        Unless somebody wrote down when, it is taken for that.
        """
        versions = self._named.setdefault(model, [])
        if versions and version <= versions[-1][0]:
            return False
        since = now
        if was_there:
            since = self._ages.get((model, version), float("-inf"))
            # The store holds the newest version only. The time of those named before
            # it goes on, too: it ends sooner for the targets that have none of them.
            versions += self._list_before(model, version)
        versions.append((version, since))
        return True

    def _list_before(self, model: str, version: int) -> list[tuple[int, float]]:
        """Return the versions before ``version`` that somebody wrote down."""
        known = ((v, since) for (m, v), since in self._ages.items() if m == model)
        return sorted(found for found in known if found[0] < version)

    def learn_age(self, model: str, version: int, since: float) -> None:
        """Take in since when a version is named; before ``name`` is called for it."""
        self._ages[model, version] = since

    def find_newest(self, model: str) -> int:
        """Return the newest version; 0 when none was named."""
        versions = self._named.get(model)
        return versions[-1][0] if versions else 0

    def find_since(self, model: str) -> float:
        """Return since when the newest version is taken to be named.

        Minus infinity when none was named, or when nobody knows.
        """
        versions = self._named.get(model)
        return versions[-1][1] if versions else float("-inf")

    def find_oldest_allowed(self, now: float, model: str) -> int:
        """Return the oldest version that a request may still begin on."""
        limit = self._allowed - END_SECONDS
        allowed = 0
        for version, heard in self._named.get(model, ()):
            if now - heard >= limit:
                allowed = version
        return allowed
