"""A replayed plain service: gateways with stale knowledge before targets with slots."""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field

from bamboopier_decisions.contention.departure_rate import DepartureRate
from bamboopier_decisions.contention.fair_queue import FairQueue
from bamboopier_decisions.forwarding.demand import Demand, WeightVersionRange
from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest
from bamboopier_decisions.forwarding.placement import choose_target
from bamboopier_decisions.forwarding.specs import ServiceSpec, TargetEntry
from bamboopier_decisions.forwarding.target_capacity import PLAIN_OBJECTIVE_SHARE
from bamboopier_decisions.forwarding.target_state import Load
from bamboopier_decisions.forwarding.wait_queue import find_max_wait

SERVICE = "vans"
SLOTS, WORK_SECONDS = 3, 0.15
OBJECTIVE, DEADLINE = 0.4, 3.0
TICK_SECONDS = 0.005
HINT_SECONDS = 0.25
# Seconds from the start that are not counted.
WARM_UP_SECONDS = 2.0


@dataclass
class Request:
    workspace: str
    arrived: float
    ticket: int = 0
    spare_until: float = 0.0
    leaves_at: float = 0.0


@dataclass
class Counts:
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def share_in_time(self) -> float:
        return self.in_time / max(1, self.asked)


@dataclass
class Target:
    """Runs ``SLOTS`` requests at once, the others first come, first served."""

    waiting: deque[tuple[Gateway, Request, InFlightRequest, float]] = field(
        default_factory=deque
    )
    running: list[tuple[float, Gateway, Request, InFlightRequest, float]] = field(
        default_factory=list
    )

    def advance(self, now: float) -> None:
        for job in [job for job in self.running if job[0] <= now]:
            self.running.remove(job)
            _, gateway, request, in_flight, sent_at = job
            gateway.finish(now, request, in_flight, sent_at)
        while self.waiting and len(self.running) < SLOTS:
            self.running.append((now + WORK_SECONDS, *self.waiting.popleft()))


class Gateway:
    """Places, queues and refuses by what it knows."""

    def __init__(self, replay: Replay, index: int) -> None:
        self.replay = replay
        self.fleet = Fleet()
        self.fleet.gateway_count, self.fleet.gateway_index = replay.gateway_count, index
        spec = ServiceSpec(SERVICE, "/", 100, 0.0, 0.0, None)
        self.fleet.set_services({SERVICE: spec})
        for number in range(replay.target_count):
            self.fleet.put(
                0.0,
                TargetEntry(
                    str(number), 1, SERVICE, "h", number, "z", SLOTS, False, 0.0
                ),
            )
        self.queue = FairQueue()
        self.departures = DepartureRate()
        self.pending: dict[int, Request] = {}

    def receive(self, now: float, request: Request) -> None:
        self.fleet.record_request(now, SERVICE, request.workspace)
        self.replay.count(request).asked += request.arrived >= WARM_UP_SECONDS
        if self._place(now, request):
            return
        seconds = self.fleet.find("0").service_time.estimate_alone(OBJECTIVE)
        spare = max(0.0, OBJECTIVE * PLAIN_OBJECTIVE_SHARE - seconds)
        longest = find_max_wait(OBJECTIVE, DEADLINE)
        if self.fleet.exceeds_part(now, SERVICE, request.workspace):
            before = self.queue.count_before(0, request.workspace)
            capacity = self.fleet.find_own_capacity(now, SERVICE)
            wait = self.departures.estimate_wait(now, before, capacity)
            if wait > min(spare, longest):
                self._refuse(request)
                return
        request.spare_until, request.leaves_at = now + spare, now + longest
        request.ticket = self.queue.add(0, request.workspace, request.spare_until)
        self.pending[request.ticket] = request
        self.departures.record_waiting(now, is_waiting=True)

    def advance(self, now: float) -> None:
        for ticket in self.queue.list_tickets(32, now):
            request = self.pending[ticket]
            if self._place(now, request):
                self._leave(now, request, served=True)
            elif now >= request.leaves_at:
                self._leave(now, request, served=False)
                self._refuse(request)

    def finish(
        self, now: float, request: Request, in_flight: InFlightRequest, sent_at: float
    ) -> None:
        self.fleet.record_answered(in_flight, now - sent_at)
        self.fleet.end(in_flight)
        counts = self.replay.count(request)
        if request.arrived < WARM_UP_SECONDS:
            return
        if now - request.arrived <= OBJECTIVE:
            counts.in_time += 1
        else:
            counts.late += 1

    def list_loads(self) -> dict[str, Load]:
        states = [self.fleet.find(name) for name in self.fleet.names]
        return {s.entry.name: Load(s.own_load.requests) for s in states}

    def _leave(self, now: float, request: Request, *, served: bool) -> None:
        self.queue.remove(request.ticket, served=served)
        del self.pending[request.ticket]
        if not len(self.queue):
            self.departures.record_waiting(now, is_waiting=False)

    def _place(self, now: float, request: Request) -> bool:
        demand = Demand(
            SERVICE,
            0,
            None,
            OBJECTIVE,
            seconds_left=request.arrived + OBJECTIVE - now,
            exceeds_part=self.fleet.exceeds_part(now, SERVICE, request.workspace),
        )
        generator = self.replay.random
        versions = WeightVersionRange()
        found = choose_target(now, self.fleet, demand, set(), versions, "z", generator)
        if found.state is None:
            return False
        self.departures.record_departure(now)
        in_flight = self.fleet.begin(now, found.state, None)
        target = self.replay.targets[int(found.state.entry.name)]
        target.waiting.append((self, request, in_flight, now))
        return True

    def _refuse(self, request: Request) -> None:
        self.replay.count(request).refused += request.arrived >= WARM_UP_SECONDS


class Replay:
    """Workspaces that ask for more than the targets carry."""

    def __init__(self, gateways: int, targets: int = 2, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.gateway_count, self.target_count = gateways, targets
        self.targets = [Target() for _ in range(targets)]
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        self.counts: dict[str, Counts] = {}
        self.seconds = 0.0
        # Loads, requests a second and those of workspaces that each gateway last told.
        self.told: dict[int, tuple[dict[str, Load], float, Counter[str]]] = {}

    @property
    def carried(self) -> float:
        """Return the requests that the targets carry in what is counted."""
        rate = self.target_count * SLOTS / WORK_SECONDS
        return rate * (self.seconds - WARM_UP_SECONDS)

    @property
    def in_time(self) -> int:
        return sum(counts.in_time for counts in self.counts.values())

    def count(self, request: Request) -> Counts:
        return self.counts.setdefault(request.workspace, Counts())

    def run(self, seconds: float, rates: dict[str, float], *, at_one: str = "") -> None:
        """Play the rates of workspaces; ``at_one`` sends to the first gateway only."""
        self.seconds = seconds
        for number in range(int(seconds / TICK_SECONDS)):
            now = number * TICK_SECONDS
            for target in self.targets:
                target.advance(now)
            for gateway in self.gateways:
                gateway.advance(now)
            for workspace, rate in rates.items():
                count = rate * TICK_SECONDS
                for _ in range(int(count) + (self.random.random() < count % 1)):
                    gateway = self.random.choice(self.gateways)
                    if workspace == at_one:
                        gateway = self.gateways[0]
                    gateway.receive(now, Request(workspace, now))
            self._exchange_hints(number, now)

    def _exchange_hints(self, number: int, now: float) -> None:
        """Let the gateways whose turn it is tell what they have in flight."""
        ticks = int(HINT_SECONDS / TICK_SECONDS)
        for index, gateway in enumerate(self.gateways):
            if (number + index * 7) % ticks == 0:
                demand = gateway.fleet.demand_shares.count_per_second(now, SERVICE)
                counts = gateway.fleet.workspace_demands.count_own(now, SERVICE)
                self.told[index] = gateway.list_loads(), demand, counts
        if number % 2:
            return
        totals = {name: Load() for name in self.gateways[0].fleet.names}
        for loads, _, _ in self.told.values():
            for name, load in loads.items():
                totals[name].add(load)
        asked: Counter[str] = Counter()
        for _, _, counts in self.told.values():
            asked.update(counts)
        for index, gateway in enumerate(self.gateways):
            own, _, counted = self.told.get(index, ({}, 0.0, Counter()))
            others = {
                name: Load(total.requests - own.get(name, Load()).requests)
                for name, total in totals.items()
            }
            gateway.fleet.set_other_loads(others)
            demands = [d for other, (_, d, _) in self.told.items() if other != index]
            gateway.fleet.demand_shares.set_others({SERVICE: demands})
            gateway.fleet.workspace_demands.set_others({SERVICE: asked - counted})
