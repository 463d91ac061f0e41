"""Chooses the weight version of a new request while targets are being reloaded.

Load pattern: a new version is published and targets load it a few at a time. If every
request used the new version at once, the first targets that have it, still cold, would
get the load of all; if none did before the last target has it, a single failed load
would hold the new version back for ever.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

# Requests may use the version before the configured one for this long. At 41 targets
# per model, two loads at once and a second or two for each, a rollout takes under a
# minute; slow loads get ten times that before the old version is abandoned.
ROLLOUT_SECONDS = 600.0


class ModelVersions:
    """The versions in use of one model, from the configuration and from targets."""

    __slots__ = ("_changed_at", "_previous", "configured")

    def __init__(self, now: float, configured: str) -> None:
        self.configured = configured
        self._previous = ""
        # A process that starts cannot tell how long the version has been configured. If
        # it assumed a long time, a gateway started during a rollout would request from
        # all targets a version that none has loaded yet, and refuse every caller.
        self._changed_at = now

    def configure(self, now: float, version: str, reported: Iterable[str]) -> None:
        """Apply the version of a new configuration; ``reported`` as in ``choose``.

        The previous version is the one that most targets have, not the one that was
        configured before. A version that is superseded before any target has loaded it
        was never in use: every target refuses requests for it and for the newest, and
        all callers get 503 until a first load has ended. Where nothing is reported yet,
        the version that was configured before is assumed.
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

        ``reported`` gives the version of each usable target, ``unreported`` the number
        of targets that have never reported theirs. Requests are divided between the two
        versions in proportion to their targets, as long as more targets have the old
        one than may start a load at any moment.
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
        """Return the version to use where no target has the new or the previous one."""
        # Rollouts that supersede each other leave targets at a version in between. If
        # they were skipped, they would idle while those with the previous version load,
        # and callers would get 503 until a first load of the newest has ended.
        if versions:
            return Counter(versions).most_common(1)[0][0]
        # A gateway that has just started has no report of any target yet. If targets
        # without a report counted as having replaced the old version, it would request
        # the new one, which none has loaded so soon: each refuses, and the caller gets
        # 503 although targets are idle. The first report, with a response or when the
        # target is polled, decides from then on.
        return self._previous if self._previous and unreported else self.configured
