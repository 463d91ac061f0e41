"""Replayed engines: gateways with narrow knowledge before engines with little memory.

An engine admits requests by urgency as long as its memory holds them, prefills their
prompts one after the other, the most urgent first, and then writes their output for
some seconds. Gateways ask for the exact load of the best engines before they send.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bamboopier_decisions.contention.departure_rate import DepartureRate
from bamboopier_decisions.contention.fair_queue import FairQueue
from bamboopier_decisions.contention.return_times import ReturnTimes
from bamboopier_decisions.forwarding.demand import Demand, WeightVersionRange
from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest
from bamboopier_decisions.forwarding.placement import choose_target
from bamboopier_decisions.forwarding.prompt import Prompt, PromptPart
from bamboopier_decisions.forwarding.specs import EngineSpec, ServiceSpec, TargetEntry
from bamboopier_decisions.forwarding.target_state import Load
from bamboopier_decisions.forwarding.wait_queue import (
    RETRY_AFTER_SHARE,
    draw_retry_after,
    find_max_wait,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.demand import Placement

SERVICE, MODEL = "desk", "m"
PREFILL_PER_SECOND = 112_000.0
MEMORY_TOKENS = 170_000
TICK_SECONDS = 0.005
HINT_SECONDS = 0.25
# Seconds from the start that are not counted.
WARM_UP_SECONDS = 2.0
# How often a caller that is refused comes again.
MAX_RETURNS = 1


@dataclass(frozen=True)
class Kind:
    """One kind of request."""

    priority: int
    # Requests a second at one engine of one times the load.
    per_second: float
    tokens_in: int
    tokens_out: int
    output_seconds: float
    objective: float
    deadline: float


# What one engine carries with some room: a tenth of its prefill for the first two.
LIVE_CHECK = Kind(0, 4.0, 1_000, 20, 0.2, 0.4, 3.0)
SUMMARY = Kind(1, 5.0, 800, 200, 1.4, 0.4, 12.0)
TICKET = Kind(2, 5.0, 9_000, 300, 2.0, 0.8, 12.0)
KINDS = (LIVE_CHECK, SUMMARY, TICKET)


@dataclass(eq=False)
class Request:
    kind: Kind
    arrived: float
    prompt: Prompt
    # When its caller asked last, and how often it has asked again.
    asked_at: float = 0.0
    returns: int = 0
    ticket: int = 0
    leaves_at: float = 0.0


@dataclass
class Counts:
    asked: int = 0
    in_time: int = 0
    late: int = 0
    # Callers that were refused and don't come again.
    given_up: int = 0
    # Seconds until each refusal.
    refused: list[float] = field(default_factory=list)

    @property
    def share_in_time(self) -> float:
        return self.in_time / max(1, self.asked)


@dataclass(eq=False)
class Job:
    request: Request
    gateway: Gateway
    in_flight: InFlightRequest
    memory: int
    left: float
    ends_at: float = 0.0


class Engine:
    """Runs jobs within its memory."""

    def __init__(self) -> None:
        self.waiting: list[Job] = []
        self.prefilling: list[Job] = []
        self.writing: list[Job] = []
        self.memory = 0

    def advance(self, now: float) -> None:
        for job in [job for job in self.writing if job.ends_at <= now]:
            self.writing.remove(job)
            self.memory -= job.memory
            job.gateway.fleet.end(job.in_flight)
        self._admit()
        tokens = PREFILL_PER_SECOND * TICK_SECONDS
        self.prefilling.sort(key=lambda job: job.request.kind.priority)
        for job in list(self.prefilling):
            used = min(tokens, job.left)
            job.left -= used
            tokens -= used
            if job.left <= 0:
                self.prefilling.remove(job)
                job.ends_at = now + job.request.kind.output_seconds
                self.writing.append(job)
                job.gateway.receive_first_byte(now, job)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda job: job.request.kind.priority)
        while self.waiting:
            if self.memory + self.waiting[0].memory > MEMORY_TOKENS:
                return
            job = self.waiting.pop(0)
            self.memory += job.memory
            self.prefilling.append(job)


class Gateway:
    """Places, queues and refuses by what it knows."""

    def __init__(self, replay: Replay, index: int) -> None:
        self.replay = replay
        self.fleet = Fleet()
        self.fleet.gateway_count, self.fleet.gateway_index = replay.gateway_count, index
        engine = EngineSpec(128, MEMORY_TOKENS, (MODEL,))
        spec = ServiceSpec(SERVICE, "/", 700, 0.0, 0.0, engine)
        self.fleet.set_services({SERVICE: spec})
        for number in range(len(replay.engines)):
            name = str(number)
            self.fleet.put(
                0.0,
                TargetEntry(name, 1, SERVICE, "h", number, "z", 128, False, 0.0),
            )
        self.queue = FairQueue()
        self.departures = DepartureRate()
        self.returns: dict[int, ReturnTimes] = defaultdict(ReturnTimes)
        self.pending: dict[int, Request] = {}

    def receive(self, now: float, request: Request) -> None:
        kind = request.kind
        if self._place(now, request):
            return
        left = request.arrived + kind.deadline - now
        seconds = find_max_wait(kind.objective, left)
        before = self.queue.count_before(kind.priority, "")
        if self._estimate_wait(now, before, kind.priority) > seconds:
            self._refuse(now, request)
            return
        request.leaves_at = now + seconds
        request.ticket = self.queue.add(kind.priority, "")
        self.pending[request.ticket] = request
        self.departures.record_waiting(now, is_waiting=True)

    def _estimate_wait(self, now: float, before: int, priority: int) -> float:
        return self.departures.estimate_wait(now, before, 0.0, priority)

    def advance(self, now: float) -> None:
        for ticket in self.queue.list_tickets(32, now):
            request = self.pending[ticket]
            if self._place(now, request):
                self._leave(now, request, served=True)
            elif now >= request.leaves_at:
                self._leave(now, request, served=False)
                self._refuse(now, request)

    def receive_first_byte(self, now: float, job: Job) -> None:
        self.fleet.record_prefilled(now, job.in_flight)
        request = job.request
        if request.arrived < WARM_UP_SECONDS:
            return
        counts = self.replay.count(request)
        if now - request.arrived <= request.kind.objective:
            counts.in_time += 1
        else:
            counts.late += 1

    def _leave(self, now: float, request: Request, *, served: bool) -> None:
        self.queue.remove(request.ticket, served=served)
        del self.pending[request.ticket]
        if not len(self.queue):
            self.departures.record_waiting(now, is_waiting=False)

    def _place(self, now: float, request: Request) -> bool:
        found = self._select(now, request)
        for state in found.best:
            self.replay.measure_load(now, self.fleet, state.entry.name)
        found = self._select(now, request, prefer_exact=True)
        if found.state is None:
            return False
        self.departures.record_departure(now, request.kind.priority)
        in_flight = self.fleet.begin(now, found.state, request.prompt)
        in_flight.sent_at = now
        job = Job(
            request,
            self,
            in_flight,
            request.prompt.tokens_in + request.prompt.tokens_out,
            request.prompt.tokens_in,
        )
        self.replay.engines[int(found.state.entry.name)].waiting.append(job)
        return True

    def _select(
        self, now: float, request: Request, *, prefer_exact: bool = False
    ) -> Placement:
        kind = request.kind
        demand = Demand(
            SERVICE,
            kind.priority,
            request.prompt,
            kind.objective,
            is_new=True,
            seconds_left=request.arrived + kind.objective - now,
        )
        return choose_target(
            now,
            self.fleet,
            demand,
            set(),
            WeightVersionRange(),
            "z",
            self.replay.random,
            prefer_exact=prefer_exact,
        )

    def _refuse(self, now: float, request: Request) -> None:
        counts = self.replay.count(request)
        is_counted = request.arrived >= WARM_UP_SECONDS
        if is_counted:
            counts.refused.append(now - request.asked_at)
        if request.returns == MAX_RETURNS:
            counts.given_up += is_counted
            return
        request.returns += 1
        left = request.arrived + request.kind.deadline - now
        self.replay.come_back(now + self._draw_retry_after(now, request, left), request)

    def _draw_retry_after(self, now: float, request: Request, left: float) -> float:
        priority = request.kind.priority
        planned = self.returns[priority].plan_return(
            now,
            self.departures.find_rate(now, priority),
            left * RETRY_AFTER_SHARE,
            self.replay.random,
        )
        return draw_retry_after(left, self.replay.random, planned)


class Replay:
    """Kinds of requests at a multiple of what the engines carry."""

    def __init__(self, gateways: int, engines: int = 4, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.gateway_count = gateways
        self.engines = [Engine() for _ in range(engines)]
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        self.counts: dict[Kind, Counts] = defaultdict(Counts)
        # Callers that come back: when, and a number that orders them.
        self._returning: list[tuple[float, int, Request]] = []
        self._number = 0

    def count(self, request: Request) -> Counts:
        return self.counts[request.kind]

    def measure_load(self, now: float, asking: Fleet, name: str) -> None:
        """Answer a gateway that asks for the load of all others at an engine."""
        total = Load()
        for gateway in self.gateways:
            state = gateway.fleet.find(name)
            if gateway.fleet is not asking and state is not None:
                total.add(state.own_load)
        target = asking.find(name)
        assert target is not None
        target.record_measured_load(now, total)

    def come_back(self, at: float, request: Request) -> None:
        """Let a refused caller ask again."""
        self._number += 1
        heapq.heappush(self._returning, (at, self._number, request))

    def run(self, seconds: float, times: Callable[[float], float]) -> None:
        """Play a load of ``times`` what the engines carry, by the time."""
        for number in range(int(seconds / TICK_SECONDS)):
            now = number * TICK_SECONDS
            for engine in self.engines:
                engine.advance(now)
            for gateway in self.gateways:
                gateway.advance(now)
            for kind in KINDS:
                count = kind.per_second * len(self.engines) * times(now) * TICK_SECONDS
                for _ in range(int(count) + (self.random.random() < count % 1)):
                    self.counts[kind].asked += now >= WARM_UP_SECONDS
                    self._ask(now, self._make_request(now, kind))
            while self._returning and self._returning[0][0] <= now:
                self._ask(now, heapq.heappop(self._returning)[2])

    def _ask(self, now: float, request: Request) -> None:
        request.asked_at = now
        self.random.choice(self.gateways).receive(now, request)

    def _make_request(self, now: float, kind: Kind) -> Request:
        self._number += 1
        tokens = max(1, int(kind.tokens_in * self.random.lognormvariate(-0.18, 0.6)))
        part = PromptPart(f"p{self._number}", tokens)
        return Request(kind, now, Prompt(MODEL, tokens, kind.tokens_out, (part,)))
