"""Which workspaces a full target has turned away, and until when.

Load pattern: overload with callers that ask again at once. Without it every request of
a workspace goes to targets that have just said that they are full for it, is refused
there and spends retries. Until the hint has passed a target gets only a probe now and
then from that workspace; the hint holds for nobody else, since the agent's queue is
fair and has room for those below their share.
"""

from __future__ import annotations

# Time between probes: a queue of a second of work has halved by then.
PROBE_INTERVAL_SECONDS = 0.5
# Workspaces remembered; a forgotten one costs a refusal more.
MAX_WORKSPACES = 64


class WorkspaceBackoff:
    """The hints of one target by workspace."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        # Time at which the hint has passed and time of the next probe.
        self._entries: dict[str, tuple[float, float]] = {}

    def record_rejection(self, now: float, workspace: str, retry_after: float) -> None:
        """Remember a refusal."""
        self._entries.pop(workspace, None)
        if len(self._entries) >= MAX_WORKSPACES:
            del self._entries[next(iter(self._entries))]
        self._entries[workspace] = (now + retry_after, now + PROBE_INTERVAL_SECONDS)

    def is_backing_off(self, workspace: str) -> bool:
        """Say whether the workspace was refused and not served since."""
        return workspace in self._entries

    def remove(self, workspace: str) -> None:
        """Drop the hint of a workspace that has been served."""
        self._entries.pop(workspace, None)

    def allows(self, now: float, workspace: str) -> bool:
        """Say whether a request or a probe may go."""
        entry = self._entries.get(workspace)
        return entry is None or now >= entry[0] or now >= entry[1]

    def record_probe(self, now: float, workspace: str) -> bool:
        """Count a request as the probe of its time; False when there is no hint."""
        entry = self._entries.get(workspace)
        if entry is None:
            return False
        self._entries[workspace] = (entry[0], now + PROBE_INTERVAL_SECONDS)
        return True

    def get_wait(self, now: float, workspace: str) -> float:
        """Return the seconds until the hint has passed; 0 when there is none."""
        entry = self._entries.get(workspace)
        return max(0.0, entry[0] - now) if entry is not None else 0.0
