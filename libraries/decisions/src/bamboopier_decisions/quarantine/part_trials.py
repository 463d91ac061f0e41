"""Decides when a request may try a part that is refused.

Load pattern: many callers send requests with a part, which may be refused wrongly: it
should be served again soon. If it is refused rightly, each trial ends a target with all
that it runs.
"""

from __future__ import annotations

# Trials after which no target ended until the next one comes later all the same: an end
# may be missed, and each trial of a bad part ends a target.
MAX_WITHOUT_RESULT = 3
# Times from a refusal to the first request that tries the part, and from one such
# request to the next; the last one repeats. The first is early, since a part that is
# refused wrongly may be that of many callers.
TRIAL_SECONDS = (1.0, 20.0, 80.0, 320.0)


class PartTrials:
    """When requests may try one refused part."""

    __slots__ = (
        "_count",
        "_last_ended_at",
        "_started_at",
        "_without_result",
        "next_at",
    )

    def __init__(self, now: float, *, is_new: bool) -> None:
        # What was refused before, and is not new, is not tried early.
        self._count = 0 if is_new else 1
        # Trials since the last one after which a target ended.
        self._without_result = 0
        # When the last target had ended at the last trial.
        self._last_ended_at = float("-inf")
        self._started_at = now
        self.next_at = now + TRIAL_SECONDS[self._count]

    def start(self, now: float, last_ended_at: float) -> bool:
        """Return whether a trial is due; the next one is then due later.

        ``last_ended_at`` is when the last target ended with the part. A trial after
        which none ended may have run nowhere: the next one comes as soon.
        """
        if now < self.next_at:
            return False
        has_failed = self._without_result > 0 and last_ended_at > self._last_ended_at
        if has_failed or self._without_result >= MAX_WITHOUT_RESULT:
            self._count = min(self._count + 1, len(TRIAL_SECONDS) - 1)
            self._without_result = 0
            self.next_at = self._started_at + TRIAL_SECONDS[self._count]
            return False
        self._without_result += 1
        self._started_at = now
        self._last_ended_at = last_ended_at
        self.next_at = now + TRIAL_SECONDS[self._count]
        return True
