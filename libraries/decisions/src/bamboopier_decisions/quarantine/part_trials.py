"""Decides when a request may try a part that is refused.

Load pattern: many callers send requests with a part, which may be refused wrongly: it
should be served again soon. If it is refused rightly, each trial ends a target with all
that it runs.
"""

from __future__ import annotations

# Times from a refusal to the first request that tries the part, and from one such
# request to the next; the last one repeats. The first is early, since a part that is
# refused wrongly may be that of many callers.
TRIAL_SECONDS = (1.0, 20.0, 80.0, 320.0)


class PartTrials:
    """When requests may try one refused part."""

    __slots__ = ("count", "next_at")

    def __init__(self, now: float, *, is_new: bool) -> None:
        # What was refused before, and is not new, is not tried early.
        self.count = 0 if is_new else 1
        self.next_at = now + TRIAL_SECONDS[self.count]

    def start(self, now: float) -> bool:
        """Return whether a trial is due; the next one is then due later."""
        if now < self.next_at:
            return False
        self.count = min(self.count + 1, len(TRIAL_SECONDS) - 1)
        self.next_at = now + TRIAL_SECONDS[self.count]
        return True
