"""What an evaluating gateway knows of one roll-out that runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_decisions.rollouts.evidence import EvidencePool
from bamboopier_decisions.rollouts.judge import Judge
from bamboopier_decisions.rollouts.schedule import Progress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bamboopier_decisions.rollouts.order import Rollout, RolloutStatus

    from ..hints import RolloutReport

# Seconds after which the next of the evaluating gateways takes a step that is overdue.
TAKEOVER_SECONDS = 1.5
# Seconds over which answers are counted at least for their rate.
MIN_SECONDS = 0.5


class Trial:
    """The answers of all gateways, and since when the roll-out stands as it does."""

    def __init__(
        self, now: float, wall_clock: float, rollout: Rollout, *, has_prompts: bool
    ) -> None:
        self.version = rollout.order.version
        status = rollout.own_status
        age = max(0.0, wall_clock - status.started_at) if status is not None else 0.0
        self._seen_at = now - age
        # Since when answers have been counted here.
        self._began_at = now
        self._judge = Judge(has_prompts=has_prompts)
        self._pool = EvidencePool()
        # The last report of each gateway.
        self._reports: dict[str, RolloutReport] = {}
        self._revision = rollout.revision
        self._step_at = now
        self._step_answers = 0
        self._due_at: float | None = None

    def record(self, report: RolloutReport) -> None:
        """Record what a gateway has counted, and has in flight."""
        self._pool.record(report.sender, report.started_ms, dict(report.evidence))
        self._reports[report.sender] = report

    def update(self, now: float, rollout: Rollout) -> None:
        """Take in what was counted, and whether the status has changed."""
        self._judge.update(now, self._pool.take())
        if rollout.revision != self._revision:
            self._revision = rollout.revision
            self._step_at, self._step_answers = now, self._judge.answers
            self._due_at = None

    def describe(
        self, now: float, versions: frozenset[str], gateways: Iterable[str]
    ) -> Progress:
        """Return what the next step is decided by."""
        return Progress(
            elapsed=now - self._seen_at,
            since_step=now - self._step_at,
            verdict=self._judge.find_verdict(),
            answers=self._judge.answers - self._step_answers,
            versions=versions,
            is_drained=all(map(self._is_drained, gateways)),
            reason=self._judge.explain(),
            per_second=self._judge.all_answers / max(MIN_SECONDS, now - self._began_at),
        )

    def is_turn(self, now: float, rank: int, decided: RolloutStatus | None) -> bool:
        """Return whether the evaluating gateway of this rank writes what is decided."""
        if decided is None:
            self._due_at = None
            return False
        if self._due_at is None:
            self._due_at = now
        return now - self._due_at >= rank * TAKEOVER_SECONDS

    def _is_drained(self, gateway: str) -> bool:
        """Return whether a gateway knows the status, and has nothing left elsewhere."""
        report = self._reports.get(gateway)
        return (
            report is not None
            and report.revision >= self._revision
            and report.former_in_flight == 0
        )
