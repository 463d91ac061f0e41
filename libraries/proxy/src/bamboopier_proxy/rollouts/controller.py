"""Carries out roll-outs: reports this gateway's answers, and takes the next steps.

Each gateway reports to the few that all select alike for a service, as often as
``ReportSchedule`` says. These judge the version by the same evidence, and write the
status beside the order under the condition that it has not changed. The first of them
takes the steps; the others follow if it does not. A bad version is taken back by
whoever finds it first.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.rollouts import schedule
from bamboopier_decisions.rollouts.order import Rollout, RolloutState
from bamboopier_decisions.rollouts.report_schedule import ReportSchedule
from bamboopier_decisions.routing.rendezvous import compute_weight

from ..hints import RolloutReport
from .trial import Trial

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.rollouts.evidence import Evidence
    from bamboopier_decisions.rollouts.order import RolloutStatus
    from bamboopier_decisions.rollouts.schedule import Allowance, Progress
    from bamboopier_decisions.rollouts.traffic import RolloutTraffic

    from ..gateway_registry import GatewayRegistry
    from ..hints import Hint
    from ..metrics import ProxyMetrics
    from ..peers import Peers
    from ..settings import Endpoint
    from ..store_schema import Store, StoreSchema
    from .answer_log import AnswerLog

# Interval of the evaluation, and shortest one of the reports: a bad version gets
# requests for about two of them after the answers show it.
INTERVAL_SECONDS = 0.25
# Gateways that evaluate the answers of a service.
EVALUATORS = 3
# Number of the weights that a name may have.
WEIGHTS = 2.0**64
# Keys of one report: more do not fit a datagram.
MAX_KEYS = 18

log = structlog.get_logger()


class RolloutController:
    """Reports and evaluates the answers of all services with a running roll-out."""

    def __init__(
        self,
        name: str,
        started_ms: int,
        traffic: RolloutTraffic,
        answers: AnswerLog,
        fleet: Fleet,
        store: Store,
        schema: StoreSchema,
        registry: GatewayRegistry,
        peers: Peers,
        metrics: ProxyMetrics,
        allowance: Allowance,
        is_informed: Callable[[], bool],
    ) -> None:
        self._name = name
        self._started_ms = started_ms
        self._traffic = traffic
        self._answers = answers
        self._fleet = fleet
        self._store = store
        self._schema = schema
        self._registry = registry
        self._peers = peers
        self._metrics = metrics
        self._allowance = allowance
        # Returns whether configuration and targets are known: a gateway that starts
        # would take every service for unknown, and every version for one nobody has.
        self._is_informed = is_informed
        # By service.
        self._trials: dict[str, Trial] = {}
        # The version on trial and when to report on it, by service.
        self._schedules: dict[str, tuple[str, ReportSchedule]] = {}

    async def run(self) -> None:
        """Report and evaluate until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            for rollout in list(self._traffic.rollouts.values()):
                if rollout.is_running:
                    await self._handle(rollout)
                else:
                    self._trials.pop(rollout.order.service, None)
                    self._schedules.pop(rollout.order.service, None)

    def receive(self, hint: Hint, _: Endpoint) -> None:
        """Handle a message of another gateway, if it is a report."""
        if not isinstance(hint, RolloutReport):
            return
        rollout = self._traffic.rollouts.get(hint.service)
        if rollout is not None and rollout.order.version == hint.software_version:
            self._find_trial(rollout).record(hint)

    async def _handle(self, rollout: Rollout) -> None:
        service = rollout.order.service
        selected = self._registry.select_gateways(f"rollouts/{service}", EVALUATORS)
        former_in_flight = self._count_former_in_flight(rollout)
        self._send_reports(rollout, selected, former_in_flight)
        status = rollout.own_status
        self._metrics.rollout_share.labels(service, rollout.order.version).set(
            status.share if status is not None else 0.0
        )
        ranks = [r for r, g in enumerate(selected) if self._registry.is_own(g)]
        if ranks and self._is_informed():
            trial = self._find_trial(rollout)
            evidence = self._answers.find(service, rollout.order.version)
            for report in self._make_reports(rollout, former_in_flight, evidence):
                trial.record(report)
            await self._evaluate(rollout, trial, ranks[0])

    def _send_reports(
        self, rollout: Rollout, selected: list[str], former_in_flight: int
    ) -> None:
        """Report to the evaluating gateways, if that is due."""
        service, version = rollout.order.service, rollout.order.version
        found = self._schedules.get(service)
        if found is None or found[0] != version:
            phase = compute_weight(service.encode(), self._name) / WEIGHTS
            found = self._schedules[service] = version, ReportSchedule(phase)
        reporting = found[1]
        now, evidence = read_clock(), self._answers.find(service, version)
        gateways = len(self._registry.peers) + 1
        status = rollout.own_status
        has_all = status is not None and status.share >= 1
        is_drained = has_all and former_in_flight == 0
        if not reporting.is_due(now, gateways, evidence, is_drained=is_drained):
            return
        told = reporting.select(now, tuple(selected), evidence)
        reports = self._make_reports(rollout, former_in_flight, told)
        for gateway in selected:
            endpoint = self._registry.peers.get(gateway)
            if endpoint is not None:
                for report in reports:
                    self._peers.send(report, endpoint)

    def _count_former_in_flight(self, rollout: Rollout) -> int:
        """Return this gateway's requests at targets of other versions."""
        return sum(
            state.own_load.requests
            for state in self._fleet.list_registered(rollout.order.service)
            if state.entry.software_version != rollout.order.version
        )

    def _make_reports(
        self, rollout: Rollout, former_in_flight: int, counted: Evidence
    ) -> list[RolloutReport]:
        """Return what this gateway has counted, in parts that fit a datagram each."""
        service, version = rollout.order.service, rollout.order.version
        evidence = list(counted.items())
        starts = range(0, max(1, len(evidence)), MAX_KEYS)
        return [
            RolloutReport(
                self._name,
                self._started_ms,
                service,
                version,
                rollout.revision,
                former_in_flight,
                evidence[start : start + MAX_KEYS],
            )
            for start in starts
        ]

    def _find_trial(self, rollout: Rollout) -> Trial:
        service = rollout.order.service
        trial = self._trials.get(service)
        if trial is None or trial.version != rollout.order.version:
            spec = self._fleet.find_service(service)
            trial = Trial(
                read_clock(),
                time.time(),
                rollout,
                has_prompts=spec is not None and spec.engine is not None,
            )
            self._trials[service] = trial
        return trial

    async def _evaluate(self, rollout: Rollout, trial: Trial, rank: int) -> None:
        now = read_clock()
        trial.update(now, rollout)
        service = rollout.order.service
        versions = self._fleet.list_software_versions().get(service, set())
        gateways = [*self._registry.peers, self._name]
        progress = trial.describe(now, frozenset(versions), gateways)
        decided = self._decide(rollout, progress)
        if decided is not None and decided.state is RolloutState.ROLLED_BACK:
            # Whoever finds it first: each further request fails a caller.
            rank = 0
        if trial.is_turn(now, rank, decided) and decided is not None:
            await self._write(rollout, decided, progress)

    def _decide(self, rollout: Rollout, progress: Progress) -> RolloutStatus | None:
        order, status = rollout.order, rollout.own_status
        if order.seconds <= 0:
            return schedule.reject(rollout, "the duration is not above 0")
        if self._fleet.find_service(order.service) is None:
            return schedule.reject(rollout, "the service is not configured")
        if status is None:
            return schedule.start(rollout, time.time(), progress.versions)
        return schedule.decide(order.seconds, status, progress, self._allowance)

    async def _write(
        self, rollout: Rollout, decided: RolloutStatus, progress: Progress
    ) -> None:
        service = rollout.order.service
        written = await self._store.write_status(
            self._schema.rollouts_prefix + service,
            self._schema.encode_rollout_status(decided),
            rollout.revision,
        )
        error = written.err_value if isinstance(written, Err) else None
        log.info(
            "rollout step",
            service=service,
            software_version=decided.version,
            state=decided.state.value,
            share=decided.share,
            former=decided.former,
            reason=decided.reason,
            elapsed=round(progress.elapsed, 3),
            since_step=round(progress.since_step, 3),
            verdict=progress.verdict.value,
            evidence=progress.reason,
            answers=progress.answers,
            drained=progress.is_drained,
            revision=rollout.revision,
            fault=str(error) if error is not None else "",
        )
        if not isinstance(written, Err):
            self._apply(service, rollout, decided, written.ok_value)

    def _apply(
        self, service: str, before: Rollout, decided: RolloutStatus, revision: int
    ) -> None:
        """Apply what was written, unless the watch was faster with something newer."""
        known = self._traffic.rollouts.get(service)
        if known is not None and known.revision < revision:
            applied = Rollout(before.order, decided, revision)
            self._traffic.set_rollout(service, applied)
