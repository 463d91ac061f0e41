"""Which workspaces a full target has turned away, and until when.

Load pattern: overload with callers that ask again at once. Without it every request of
a workspace goes to targets that have just said that they are full for it, is refused
there and spends retries. Until the hint has passed a target gets only a probe now and
then from that workspace; the hint holds for nobody else, since the agent's queue is
fair and has room for those below their share.
"""

from __future__ import annotations

# Time between probes: a queue of a second of work has halved by then.
PROBE_SECONDS = 0.5
# Workspaces remembered; a forgotten one costs a refusal more.
MAX_REMEMBERED = 64


class Refusals:
    """The hints of one target by workspace."""

    __slots__ = ("_hints",)

    def __init__(self) -> None:
        # Time at which the hint has passed and time of the next probe.
        self._hints: dict[str, tuple[float, float]] = {}

    def add(self, now: float, workspace: str, retry_after: float) -> None:
        """Remember a refusal."""
        self._hints.pop(workspace, None)
        if len(self._hints) >= MAX_REMEMBERED:
            del self._hints[next(iter(self._hints))]
        self._hints[workspace] = (now + retry_after, now + PROBE_SECONDS)

    def knows(self, workspace: str) -> bool:
        """Say whether the workspace was refused and not served since."""
        return workspace in self._hints

    def forget(self, workspace: str) -> None:
        """Drop the hint of a workspace that has been served."""
        self._hints.pop(workspace, None)

    def may_try(self, now: float, workspace: str) -> bool:
        """Say whether a request or a probe may go."""
        hint = self._hints.get(workspace)
        return hint is None or now >= hint[0] or now >= hint[1]

    def note_sent(self, now: float, workspace: str) -> bool:
        """Count a request as the probe of its time; False when there is no hint."""
        hint = self._hints.get(workspace)
        if hint is None:
            return False
        self._hints[workspace] = (hint[0], now + PROBE_SECONDS)
        return True

    def find_wait(self, now: float, workspace: str) -> float:
        """Return the seconds until the hint has passed; 0 when there is none."""
        hint = self._hints.get(workspace)
        return max(0.0, hint[0] - now) if hint is not None else 0.0
