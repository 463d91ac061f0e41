"""Tracks which VMs are leaving although the lists that say so lag and alternate.

Load pattern: the platform's replicas return the VM list with different lags, so that a
VM is listed as leaving, then live, then leaving again. Without this state new requests
reach a leaving target after each outdated list and are cut off when its VM goes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# A VM counts as live again once it has been listed as live for this long without
# interruption; several times the list's specified lag of a few seconds.
LIVE_CONFIRMATION_SECONDS = 30.0


class LeavingVmTracker:
    """The VMs that are leaving, from successive lists."""

    __slots__ = ("_live_since",)

    def __init__(self) -> None:
        # Since when each leaving VM has been listed as live; None while it is not.
        self._live_since: dict[str, float | None] = {}

    def update(self, now: float, leaving: Mapping[str, bool]) -> frozenset[str]:
        """Apply a list (VM name to whether it leaves); return the leaving VMs."""
        for name in set(self._live_since) - set(leaving):
            del self._live_since[name]
        for name, leaves in leaving.items():
            if leaves:
                self._live_since[name] = None
            elif name in self._live_since:
                self._record_live(now, name)
        return frozenset(self._live_since)

    def _record_live(self, now: float, name: str) -> None:
        since = self._live_since[name]
        if since is None:
            self._live_since[name] = now
        elif now - since >= LIVE_CONFIRMATION_SECONDS:
            del self._live_since[name]
