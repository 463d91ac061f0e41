"""Which weight version a new request is made for while targets are being reloaded.

Load pattern: a new version is published and targets load it a few at a time. If every
request asked for the new version at once, the first targets that have it, cold, would
get the load of all; if none did before the last target has it, a single failed load
would hold the new version back for ever.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

# Requests may be made for the version before the configured one for this long. At 41
# targets a model, two loads at once and a second or two for each, a roll-out takes
# under a minute; slow loads get ten times that before the old version is given up.
ROLL_OUT_SECONDS = 600.0


class ModelVersions:
    """The versions in use of one model, from the configuration and from targets."""

    __slots__ = ("_changed", "_previous", "configured")

    def __init__(self, configured: str) -> None:
        self.configured = configured
        self._previous = ""
        self._changed = 0.0

    def configure(self, now: float, version: str) -> None:
        """Take the version of a new configuration."""
        if version != self.configured:
            self._previous = self.configured
            self._changed = now
            self.configured = version

    def choose(
        self,
        now: float,
        reported: Iterable[str],
        loads_at_once: int,
        random: random.Random,
    ) -> str:
        """Return the version for a request that arrives now.

        ``reported`` gives the version of each usable target. Requests are shared
        between the two versions as targets are, as long as more targets have the old
        one than may vanish into a load at any moment.
        """
        versions = list(reported)
        new = versions.count(self.configured)
        old = versions.count(self._previous) if self._previous else 0
        if not old or now >= self._changed + ROLL_OUT_SECONDS:
            return self.configured
        if not new:
            return self._previous
        if old <= loads_at_once:
            return self.configured
        share = new / (new + old)
        return self.configured if random.random() < share else self._previous
