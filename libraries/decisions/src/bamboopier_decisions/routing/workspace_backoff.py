"""Per-workspace back-off at a target that rejected the workspace for load.

Load pattern: overload with callers that retry at once. Without back-off every request
of a workspace is sent to targets that have just reported that they are full for it, is
rejected there and uses up retries. Until the time to retry, a target receives only
occasional probes from that workspace. The back-off applies to no other workspace, since
the agent's queue is fair and has capacity for those below their share.
"""

from __future__ import annotations

# A queue with one second of work has halved after this time.
PROBE_INTERVAL_SECONDS = 0.5
# Workspaces tracked per target; each one dropped costs another rejection.
MAX_WORKSPACES = 64


class WorkspaceBackoff:
    """The back-off times of one target by workspace and priority."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        # Time at which the back-off ends and time of the next probe.
        self._entries: dict[str, tuple[float, float]] = {}

    def record_rejection(self, now: float, workspace: str, retry_after: float) -> None:
        """Start a back-off of ``retry_after`` seconds."""
        self._entries.pop(workspace, None)
        if len(self._entries) >= MAX_WORKSPACES:
            del self._entries[next(iter(self._entries))]
        self._entries[workspace] = (now + retry_after, now + PROBE_INTERVAL_SECONDS)

    def is_backing_off(self, workspace: str) -> bool:
        """Return whether the workspace was rejected and has not been served since."""
        return workspace in self._entries

    def remove(self, workspace: str) -> None:
        """End the back-off of a workspace that has been served."""
        self._entries.pop(workspace, None)

    def allows(self, now: float, workspace: str) -> bool:
        """Return whether a request or a probe may be sent."""
        entry = self._entries.get(workspace)
        return entry is None or now >= entry[0] or now >= entry[1]

    def record_probe(self, now: float, workspace: str) -> bool:
        """Record a request as a probe; return False if there is no back-off."""
        entry = self._entries.get(workspace)
        if entry is None:
            return False
        self._entries[workspace] = (entry[0], now + PROBE_INTERVAL_SECONDS)
        return True

    def get_wait(self, now: float, workspace: str) -> float:
        """Return the seconds until the back-off ends; 0 if there is none."""
        entry = self._entries.get(workspace)
        return max(0.0, entry[0] - now) if entry is not None else 0.0
