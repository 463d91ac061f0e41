"""A gateway's view of one target: reported load, requests sent and exclusions."""

from __future__ import annotations

from .messages import Distance, ExclusionReason, TargetLoad, TargetView
from .outlier_detection import OutlierDetector
from .workspace_backoff import WorkspaceBackoff

# Seconds that a hop adds. Data centres of a region are about 1 ms apart; 30 ms is
# assumed between regions.
HOP_SECONDS = {
    Distance.SAME_DATA_CENTRE: 0.0,
    Distance.SAME_REGION: 0.002,
    Distance.OTHER_REGION: 0.03,
}
# Prompt tokens per second, assumed until the agent reports a measurement.
DEFAULT_PREFILL_RATE = 8000.0
# Seconds for which a target is excluded after a crash, doubled with each further crash
# up to the maximum. Without the back-off every request would try the dead target first.
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
# A target that reported that it accepts no requests is tried again after this time.
# Reports come only with responses, so otherwise a target that was down for a moment
# would stay unused forever.
NOT_ACCEPTING_TTL_SECONDS = 2.0
# The count of requests sent since the last report decays linearly over this time: they
# have been completed or appear in the next report. Without the decay, a target that
# received the last requests of a busy minute would look loaded until the next request
# is sent to it.
SENT_DECAY_SECONDS = 2.0
# Seconds that a full batch adds to a time to first token: prompts share the prefill.
BATCH_SECONDS = 0.05
# Seconds until a slot becomes free, assumed until a queue has been reported.
INITIAL_SLOT_SECONDS = 0.1
# A target that is new or cold is considered with a probability that grows to one over
# this time. Without the ramp all gateways send a returning data centre its whole share
# at once, and long queues form before its agents' limits have grown: these double once
# per service time, some two to three seconds, from two to a full batch of sixteen.
RAMP_SECONDS = 10.0
MIN_SELECTION_PROBABILITY = 0.05


class TargetState:
    """Reported load plus what this gateway has sent since that report."""

    __slots__ = (
        "_backoff_seconds",
        "_backoff_until",
        "_reported_at",
        "_sent_at",
        "_slot_seconds",
        "backoff",
        "load",
        "outlier_detector",
        "ramp_started_at",
        "sent",
        "sent_tokens",
        "view",
    )

    def __init__(self, view: TargetView, ramp_started_at: float) -> None:
        self.view = view
        self.load = TargetLoad()
        # Time at which the target appeared or became cold.
        self.ramp_started_at = ramp_started_at
        # Requests and prompt tokens sent since the last report, which they are not in.
        self.sent = 0
        self.sent_tokens = 0
        self.backoff = WorkspaceBackoff()
        self.outlier_detector = OutlierDetector()
        self._sent_at = 0.0
        self._reported_at = 0.0
        self._slot_seconds = INITIAL_SLOT_SECONDS
        self._backoff_seconds = 0.0
        self._backoff_until = 0.0

    @property
    def prefill_rate(self) -> float:
        """Return the prompt tokens per second, an assumed value until measured."""
        return self.load.prefill_rate or DEFAULT_PREFILL_RATE

    def update_load(self, now: float, load: TargetLoad) -> None:
        """Apply a new load report."""
        if self.load.start_id and load.start_id != self.load.start_id:
            self.ramp_started_at = now
        self.load = load
        self.sent = 0
        self.sent_tokens = 0
        self._reported_at = now
        if load.queue_delay > 0:
            self._slot_seconds = load.queue_delay / (load.waiting + 1)

    def record_sent(self, now: float, tokens: int) -> None:
        """Count a request that is not in a report yet."""
        self.sent += 1
        self.sent_tokens += tokens
        self._sent_at = now

    def record_crash(self, now: float) -> None:
        """Exclude the target for a while after a crash or a broken connection."""
        self._backoff_seconds = min(
            MAX_BACKOFF_SECONDS, max(INITIAL_BACKOFF_SECONDS, self._backoff_seconds * 2)
        )
        self._backoff_until = now + self._backoff_seconds

    def record_success(self) -> None:
        """Reset the back-off after a successful response."""
        self._backoff_seconds = 0.0
        self._backoff_until = 0.0

    def find_exclusion_reason(
        self, now: float, workspace: str, version: str
    ) -> ExclusionReason | None:
        """Return why requests of ``workspace`` for ``version`` may not be sent here.

        None if they may. ``workspace`` is a request's ``backoff_key``.
        """
        if not self.serves_version(now, version):
            return ExclusionReason.OTHER_WEIGHTS
        if now < self._backoff_until:
            return ExclusionReason.BROKEN
        if not self.outlier_detector.allows(now):
            return ExclusionReason.SLOW
        outdated = now - self._reported_at >= NOT_ACCEPTING_TTL_SECONDS
        if not self.load.accepting and not outdated:
            return ExclusionReason.NOT_ACCEPTING
        if not self.backoff.allows(now, workspace):
            return ExclusionReason.REFUSED
        return None

    def compute_selection_probability(self, now: float) -> float:
        """Return the probability with which this target is considered."""
        return min(
            1.0,
            max(MIN_SELECTION_PROBABILITY, (now - self.ramp_started_at) / RAMP_SECONDS),
        )

    def serves_version(self, now: float, version: str) -> bool:
        """Return whether the target may serve a request for a weight version.

        An outdated report does not exclude it: it may have loaded the version since.
        """
        if not version or self.load.weight_version in ("", version):
            return True
        return now - self._reported_at >= NOT_ACCEPTING_TTL_SECONDS

    def estimate_first_byte(self, now: float, prefill_tokens: int) -> float:
        """Return the expected seconds to the first byte of a new request.

        Requests sent since the last report count as queued, minus the part that has
        been completed since.
        """
        load = self.load
        sent = self.sent * max(0.0, 1 - (now - self._sent_at) / SENT_DECAY_SECONDS)
        age = now - self._reported_at
        running = load.running * max(0.0, 1 - age / (10 * SENT_DECAY_SECONDS)) + sent
        rate = self.prefill_rate
        queued = max(0.0, self.sent_tokens - rate * (now - self._sent_at))
        wait = max(0.0, load.queue_delay - age)
        wait += min(sent, max(0.0, running - load.limit)) * self._slot_seconds
        batch = BATCH_SECONDS * min(1.0, running / max(1, load.limit))
        hop = HOP_SECONDS[self.view.distance]
        return hop + wait + batch + (prefill_tokens + queued) / rate
