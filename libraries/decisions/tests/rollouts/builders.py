"""A replayed roll-out: gateways that know of it late, and targets of two versions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from bamboopier_decisions.rollouts import schedule
from bamboopier_decisions.rollouts.evidence import (
    GROUPS,
    AnswerCounts,
    AnswerKey,
    Evidence,
    EvidencePool,
)
from bamboopier_decisions.rollouts.judge import Judge
from bamboopier_decisions.rollouts.order import (
    Rollout,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bamboopier_decisions.rollouts.report_schedule import ReportSchedule
from bamboopier_decisions.rollouts.schedule import Allowance, Progress
from bamboopier_decisions.rollouts.traffic import RolloutTraffic

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE, OLD, NEW = "vans", "v1", "v2"
ROUTES = ("orders", "status")
SECONDS = 15.0
# Requests a second, and the share and number of them that a bad version may get.
PER_SECOND = 115.0
MAX_EXPOSURE, SLACK = 0.1, 50
ALLOWANCE = Allowance(MAX_EXPOSURE, SLACK)
TICK_SECONDS = 0.05
REPORT_SECONDS = 0.25
TARGETS = 4
# Seconds of an answer of a sound target, and its spread.
ANSWER_SECONDS, SPREAD = 0.09, 0.35
# Share of reports that are lost, and seconds until a status is known everywhere.
LOST_SHARE = 0.1
STATUS_SECONDS = (0.02, 0.2)


@dataclass
class Request:
    """One request, as a behaviour of targets sees it."""

    at: float
    version: str
    route: str
    target: int
    # Share of all requests that the version gets now.
    share: float


@dataclass
class Behaviour:
    """Probability of failure of an answer, and the factor by which it is slower."""

    failing: Callable[[Request], float] = lambda _: 0.0
    slowness: Callable[[Request], float] = lambda _: 1.0


def make_order(version: str = NEW, seconds: float = SECONDS) -> RolloutOrder:
    return RolloutOrder(SERVICE, version, seconds)


def make_rollout(
    status: RolloutStatus | None = None, revision: int = 1, version: str = NEW
) -> Rollout:
    return Rollout(make_order(version), status, revision)


def make_status(
    state: RolloutState = RolloutState.RUNNING, **changes: Any
) -> RolloutStatus:
    options: dict[str, Any] = {
        "version": NEW,
        "former": (OLD,),
        "share": 0.06,
        **changes,
    }
    return RolloutStatus(state, **options)


def make_progress(**changes: Any) -> Progress:
    options: dict[str, Any] = {
        "elapsed": 1.0,
        "since_step": 1.0,
        "verdict": schedule.Verdict.GOOD,
        "answers": 100,
        "versions": frozenset({OLD, NEW}),
        "is_drained": False,
        **changes,
    }
    return Progress(**options)


@dataclass
class Gateway:
    """One gateway: what it knows, and what it has counted."""

    traffic: RolloutTraffic = field(default_factory=RolloutTraffic)
    evidence: Evidence = field(default_factory=dict)
    schedule: ReportSchedule = field(default_factory=lambda: ReportSchedule(0.0))
    # Answers that come later: their time, key and whether they fail, with their time.
    pending: list[tuple[float, AnswerKey, float | None]] = field(default_factory=list)

    @property
    def former_in_flight(self) -> bool:
        """Return whether a request is in flight at a former version."""
        return any(key.group is None for _, key, _ in self.pending)

    def count(self, now: float) -> None:
        due = [answer for answer in self.pending if answer[0] <= now]
        self.pending = [answer for answer in self.pending if answer[0] > now]
        for _, key, seconds in due:
            counts = self.evidence.setdefault(key, AnswerCounts())
            if seconds is None:
                counts.failed += 1
            else:
                counts.count_success(seconds)


class Replay:
    """A roll-out from its order to its deadline."""

    def __init__(
        self,
        behaviour: Behaviour,
        gateways: int = 4,
        seed: int = 1,
        per_second: float = PER_SECOND,
        *,
        restarts_at: float | None = None,
        weights: tuple[float, float] = (0.5, 0.5),
    ) -> None:
        self.behaviour = behaviour
        self.random = random.Random(seed)
        self.per_second = per_second
        # Parts of the requests on each route.
        self.weights = weights
        self.gateways = [
            Gateway(schedule=ReportSchedule(n / gateways)) for n in range(gateways)
        ]
        self.rollout = make_rollout(make_status(share=0.0))
        # All evidence is lost at this time: all gateways restart.
        self.restarts_at = restarts_at
        self.requests = 0
        self.exposed = 0
        self.finished_at = SECONDS
        # Reports, and keys in them, that each evaluating gateway was sent.
        self.reports = self.reported_keys = 0
        self._news: list[tuple[float, Gateway, Rollout]] = []

    @property
    def state(self) -> RolloutState:
        status = self.rollout.status
        assert status is not None
        return status.state

    @property
    def allowed(self) -> float:
        return self.requests * MAX_EXPOSURE + SLACK

    def run(self) -> None:
        self._publish(0.0)
        judge, pool, step_at, step_answers = (
            Judge(has_prompts=False),
            EvidencePool(),
            0,
            0,
        )
        for number in range(int(SECONDS / TICK_SECONDS)):
            now = number * TICK_SECONDS
            if self.restarts_at is not None and now >= self.restarts_at:
                self.restarts_at = None
                judge, pool = Judge(has_prompts=False), EvidencePool()
                step_at, step_answers = now, 0
                for gateway in self.gateways:
                    gateway.evidence.clear()
            self._learn(now)
            self._send(now)
            if (
                number % int(REPORT_SECONDS / TICK_SECONDS)
                or not self.rollout.is_running
            ):
                continue
            self._report(now, pool)
            judge.update(now, pool.take())
            progress = make_progress(
                elapsed=now,
                since_step=now - step_at,
                verdict=judge.find_verdict(),
                answers=judge.answers - step_answers,
                is_drained=not any(g.former_in_flight for g in self.gateways),
                reason=judge.explain(),
                per_second=judge.all_answers / now if now else 0.0,
            )
            status = self.rollout.status
            assert status is not None
            decided = schedule.decide(SECONDS, status, progress, ALLOWANCE)
            if decided is not None:
                step_at, step_answers = now, judge.answers
                revision = self.rollout.revision + 1
                self.rollout = Rollout(self.rollout.order, decided, revision)
                self._publish(now)
                if not self.rollout.is_running:
                    self.finished_at = now

    def _publish(self, now: float) -> None:
        for gateway in self.gateways:
            late = self.random.uniform(*STATUS_SECONDS)
            self._news.append((now + late, gateway, self.rollout))

    def _learn(self, now: float) -> None:
        for known_at, gateway, rollout in self._news:
            if known_at <= now:
                gateway.traffic.set_rollout(SERVICE, rollout)
        self._news = [news for news in self._news if news[0] > now]

    def _send(self, now: float) -> None:
        for gateway in self.gateways:
            gateway.count(now)
        count = self.per_second * TICK_SECONDS
        for _ in range(int(count) + (self.random.random() < count % 1)):
            self._send_one(now, self.random.choice(self.gateways))

    def _send_one(self, now: float, gateway: Gateway) -> None:
        route = self.random.choices(ROUTES, self.weights)[0]
        choice = gateway.traffic.choose(
            now, SERVICE, {OLD, NEW}, self.random, route=route
        )
        version = NEW if OLD in choice.excluded else OLD
        status = self.rollout.status
        assert status is not None
        request = Request(
            now,
            version,
            route,
            self.random.randrange(TARGETS),
            status.share,
        )
        self.requests += 1
        self.exposed += version == NEW
        group = request.target % GROUPS if version == NEW else None
        key = AnswerKey(request.route, group)
        seconds = ANSWER_SECONDS * self.random.lognormvariate(0, SPREAD)
        seconds *= self.behaviour.slowness(request)
        failed = self.random.random() < self.behaviour.failing(request)
        gateway.pending.append((now + seconds, key, None if failed else seconds))

    def _report(self, now: float, pool: EvidencePool) -> None:
        status = self.rollout.status
        has_all = status is not None and status.share >= 1
        for number, gateway in enumerate(self.gateways):
            # Drawn for each: a seed stands for the same requests whoever reports.
            is_lost = self.random.random() < LOST_SHARE
            drained = has_all and not gateway.former_in_flight
            count, evidence = len(self.gateways), gateway.evidence
            if not gateway.schedule.is_due(now, count, evidence, is_drained=drained):
                continue
            told = gateway.schedule.select(now, ("e",), evidence)
            self.reports += 1
            self.reported_keys += len(told)
            if not is_lost:
                copied = {
                    key: AnswerCounts(c.failed, list(c.by_time), c.untimed)
                    for key, c in told.items()
                }
                pool.record(f"g{number}", 1, copied)
