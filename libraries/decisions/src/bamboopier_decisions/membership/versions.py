"""Which weight version a new request is made for while targets are being reloaded.

Load pattern: a new version is published and targets load it a few at a time. If every
request asked for the new version at once, the first targets that have it, cold, would
get the load of all; if none did before the last target has it, a single failed load
would hold the new version back for ever.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

# Requests may be made for the version before the configured one for this long. At 41
# targets a model, two loads at once and a second or two for each, a roll-out takes
# under a minute; slow loads get ten times that before the old version is given up.
ROLLOUT_SECONDS = 600.0


class ModelVersions:
    """The versions in use of one model, from the configuration and from targets."""

    __slots__ = ("_changed_at", "_previous", "configured")

    def __init__(self, now: float, configured: str) -> None:
        self.configured = configured
        self._previous = ""
        # A process that starts cannot tell how long the version has been configured.
        # Were it taken for long ago, a gateway started in a roll-out would ask all
        # targets for a version that none has loaded yet, and refuse every caller.
        self._changed_at = now

    def configure(self, now: float, version: str, reported: Iterable[str]) -> None:
        """Take the version of a new configuration; ``reported`` as in ``choose``.

        What most targets have is the version before, not what was configured before. A
        version that is overtaken before any target has loaded it was never in use:
        asked for it or for the newest, every target refuses, and all callers get 503
        until a first load has ended. Where nothing is reported yet, what was configured
        is all that is known.
        """
        if version == self.configured:
            return
        others = Counter(other for other in reported if other not in ("", version))
        in_use = others.most_common(1)
        self._previous = in_use[0][0] if in_use else self.configured
        self._changed_at = now
        self.configured = version

    def choose(
        self,
        now: float,
        reported: Iterable[str],
        unreported: int,
        loads_at_once: int,
        random: random.Random,
    ) -> str:
        """Return the version for a request that arrives now.

        ``reported`` gives the version of each usable target, ``unreported`` the number of
        targets that have never said theirs. Requests are shared between the two
        versions as targets are, as long as more targets have the old one than may
        vanish into a load at any moment.
        """
        if now >= self._changed_at + ROLLOUT_SECONDS:
            return self.configured
        versions = [version for version in reported if version]
        new = versions.count(self.configured)
        old = versions.count(self._previous)
        if not new and not old:
            return self._choose_fallback(versions, unreported)
        if not new:
            return self._previous
        if old <= loads_at_once:
            return self.configured
        share = new / (new + old)
        return self.configured if random.random() < share else self._previous

    def _choose_fallback(self, versions: Sequence[str], unreported: int) -> str:
        """Return the version to ask for where none has the new or the former one."""
        # Roll-outs that overtake each other leave targets at a version in between.
        # Passed over, they idle while those with the former one load, and callers get
        # 503 until a first load of the newest has ended.
        if versions:
            return Counter(versions).most_common(1)[0][0]
        # A gateway that has just started knows the version of no target yet. If those
        # it has not heard of counted as having left the old one, it would ask them for
        # the new one, which none has loaded so soon: each refuses, and the caller gets
        # 503 beside idle targets. The first target heard of, by an answer or when
        # asked, decides from then on.
        return self._previous if self._previous and unreported else self.configured
