"""Counts this gateway's answers by software version while a roll-out runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.rollouts.evidence import GROUPS, AnswerCounts, AnswerKey
from bamboopier_decisions.routing.rendezvous import compute_weight

from ..attempt_result import Cause

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import InFlightRequest
    from bamboopier_decisions.rollouts.evidence import Evidence
    from bamboopier_decisions.rollouts.traffic import RolloutTraffic

    from ..attempt_result import AttemptResult
    from ..messages import Call
    from ..metrics import ProxyMetrics

# Ends of an attempt that the software of its target may have caused, though it sent no
# complete answer.
FAILURES = frozenset(
    {
        Cause.BROKEN,
        Cause.UNSEALED,
        Cause.UNPROVED,
        Cause.TIMEOUT,
        Cause.MOVED,
        Cause.UNANSWERED,
    }
)
# Key of the division of targets into groups: the same at every gateway.
GROUPS_KEY = b"rollout groups"


class AnswerLog:
    """The answers since this process knows the order, by service."""

    def __init__(self, traffic: RolloutTraffic, metrics: ProxyMetrics) -> None:
        self._traffic = traffic
        self._metrics = metrics
        # The version on trial and the counts, by service.
        self._counts: dict[str, tuple[str, Evidence]] = {}

    def record(
        self, call: Call, in_flight: InFlightRequest, result: AttemptResult
    ) -> None:
        """Count how an attempt ended, if a roll-out of its service runs."""
        rollout = self._traffic.rollouts.get(call.service)
        if rollout is None or not rollout.is_running:
            return
        failed = result.cause in FAILURES or result.failure is not None
        if result.cause is not Cause.NONE and not failed:
            return
        version = rollout.order.version
        entry = in_flight.state.entry
        on_trial = entry.software_version == version
        key = AnswerKey(call.route.name, find_group(entry.name) if on_trial else None)
        if failed:
            call.failed_answers.append((version, key))
        else:
            self._count_failures(call)
            counts = self.find(call.service, version).setdefault(key, AnswerCounts())
            sent_at = in_flight.sent_at or read_clock()
            is_cold = in_flight.state.cold_start.is_cold(sent_at)
            counts.count_success(None if is_cold else result.first_byte)
        self._metrics.version_answers.labels(
            call.service, entry.software_version, "failed" if failed else "served"
        ).inc()

    def settle(self, call: Call) -> None:
        """Count the failure of a call that has ended after one attempt.

        Guards against a version that is blamed for requests which fail at every target:
        what failed at several and succeeded at none counts against no version.
        """
        if len(call.failed_answers) == 1:
            self._count_failures(call)
        call.failed_answers.clear()

    def _count_failures(self, call: Call) -> None:
        for version, key in call.failed_answers:
            counts = self.find(call.service, version)
            counts.setdefault(key, AnswerCounts()).failed += 1
        call.failed_answers.clear()

    def find(self, service: str, version: str) -> Evidence:
        """Return the counts of a service while ``version`` is on trial."""
        known = self._counts.get(service)
        if known is None or known[0] != version:
            known = self._counts[service] = version, {}
        return known[1]


def find_group(target: str) -> int:
    """Return the group of a version's targets that a target belongs to."""
    return compute_weight(GROUPS_KEY, target) % GROUPS
