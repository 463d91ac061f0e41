"""What a gateway knows of one target."""

from __future__ import annotations

from .messages import Distance, TargetLoad, TargetView

# Seconds a hop costs: the brief gives about 1 ms between data centres of a region;
# between regions 30 ms is assumed until measured.
HOP_SECONDS = {
    Distance.SAME_DATA_CENTRE: 0.0,
    Distance.SAME_REGION: 0.002,
    Distance.OTHER_REGION: 0.03,
}
# Assumed until the agent reports a measurement.
DEFAULT_PREFILL_RATE = 8000.0
# Seconds a target that broke an attempt is passed over, doubled with each further
# break up to the maximum. Without it every request would try the dead target first.
FIRST_PAUSE = 1.0
MAX_PAUSE = 30.0


class TargetState:
    """Reported load plus what this gateway has sent since that report."""

    __slots__ = ("_pause", "_paused_until", "load", "sent_tokens", "sent", "view")

    def __init__(self, view: TargetView) -> None:
        self.view = view
        self.load = TargetLoad()
        # Requests and prompt tokens sent since the last report: the report lags.
        self.sent = 0
        self.sent_tokens = 0
        self._pause = 0.0
        self._paused_until = 0.0

    def report(self, load: TargetLoad) -> None:
        """Take a fresh report."""
        self.load = load
        self.sent = 0
        self.sent_tokens = 0

    def add_sent(self, tokens: int) -> None:
        """Count a request on its way that no report shows yet."""
        self.sent += 1
        self.sent_tokens += tokens

    def add_break(self, now: float) -> None:
        """Pass the target over for a while after a broken attempt."""
        self._pause = min(MAX_PAUSE, max(FIRST_PAUSE, self._pause * 2))
        self._paused_until = now + self._pause

    def add_answer(self) -> None:
        """Forget earlier breaks: the target answers."""
        self._pause = 0.0
        self._paused_until = 0.0

    def is_usable(self, now: float) -> bool:
        """Say whether new work may go here."""
        return self.load.accepting and now >= self._paused_until

    def serves(self, version: str) -> bool:
        """Say whether the target may serve a request made for a weight version."""
        return not version or self.load.weight_version in ("", version)

    def expect_first_byte(self, new_tokens: int) -> float:
        """Return the expected seconds to the first byte with ``new_tokens`` to prefill.

        What was sent since the last report counts in full, as if it were still queued.
        """
        rate = self.load.prefill_rate or DEFAULT_PREFILL_RATE
        prefill = (new_tokens + self.sent_tokens) / rate
        return HOP_SECONDS[self.view.distance] + self.load.queue_delay + prefill
