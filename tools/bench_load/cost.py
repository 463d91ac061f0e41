"""Measures the CPU time and memory of decisions as the fleet and the queue grow.

The sizes that vary are the numbers of targets, workspaces and waiting requests.
"""

from __future__ import annotations

import hashlib
import math
import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING

import fire

from bamboopier_decisions.admission.controller import AdmissionController
from bamboopier_decisions.admission.messages import (
    AdmissionRequested,
    RequestFinished,
    Start,
    Tick,
)
from bamboopier_decisions.routing.messages import (
    AttemptEnded,
    Distance,
    ExecutionStatus,
    FirstByteReceived,
    FleetChanged,
    RequestArrived,
    Send,
    TargetLoad,
    TargetReported,
    TargetView,
)
from bamboopier_decisions.routing.router import Router

if TYPE_CHECKING:
    from collections.abc import Sequence

TARGET_COUNTS = (12, 730, 2900)
WORKSPACE_COUNTS = (10, 6300)
QUEUE_SIZES = (100, 1000, 10_000)
REQUESTS = 3000
TICKS = 200
# The minimum of these runs is reported: other load on the machine only adds time.
REPEATS = 5
# Requests per second of one gateway: the design size has 3,100 over 340 gateways;
# this leaves headroom.
GATEWAY_RATE = 20.0
MICROSECONDS = 1e6


def fit_exponent(sizes: Sequence[int], costs: Sequence[float]) -> float:
    """Return the least-squares slope of log cost over log size."""
    x = [math.log(size) for size in sizes]
    y = [math.log(cost) for cost in costs]
    mean_x, mean_y = sum(x) / len(x), sum(y) / len(y)
    covariance = sum((a - mean_x) * (b - mean_y) for a, b in zip(x, y, strict=True))
    return covariance / sum((a - mean_x) ** 2 for a in x)


def measure_routing(targets: int, workspaces: int) -> tuple[float, float]:
    """Return microseconds per request for the target choice and for all its events."""
    router = Router(Random(1))
    near = Distance.SAME_REGION
    views = tuple(TargetView(f"t{n}", "chat", near) for n in range(targets))
    router.handle(FleetChanged(0.0, views))
    load = TargetLoad(running=4, limit=16, prefill_rate=8000.0, start_id="1")
    choice_seconds = 0.0
    started = time.perf_counter()
    for number in range(REQUESTS):
        now = 100 + number / GATEWAY_RATE
        key = hashlib.blake2b(str(number % 997).encode(), digest_size=16).digest()
        workspace = f"w{number % workspaces}"
        request = RequestArrived(
            now, str(number), workspace, "chat", True, now + 60, 900, 100, (key, key)
        )
        before = time.perf_counter()
        sent = router.handle(request)
        choice_seconds += time.perf_counter() - before
        if not isinstance(sent, Send):
            raise AssertionError(sent)
        router.handle(TargetReported(now, sent.target, load))
        router.handle(FirstByteReceived(now, str(number), sent.target, 0.1))
        router.handle(
            AttemptEnded(now, str(number), sent.target, ExecutionStatus.EXECUTED)
        )
    total = time.perf_counter() - started
    scale = MICROSECONDS / REQUESTS
    return choice_seconds * scale, total * scale


def measure_fleet_change(targets: int) -> float:
    """Return milliseconds to remove one target; all targets are in one service."""
    router = Router(Random(1))
    near = Distance.SAME_REGION
    views = tuple(TargetView(f"t{n}", "chat", near) for n in range(targets + 1))
    router.handle(FleetChanged(0.0, views))
    started = time.perf_counter()
    router.handle(FleetChanged(1.0, views[:-1]))
    return (time.perf_counter() - started) * 1000


def measure_admission(waiting: int, workspaces: int) -> tuple[float, float, float]:
    """Return the cost of admission with ``waiting`` queued requests.

    The values are microseconds per arrival and end of a request, microseconds per
    tick, and bytes per waiting request.
    """
    tracemalloc.start()
    admission = AdmissionController(32, 1_000_000, Random(1))
    running: list[str] = []

    def arrive(number: int, now: float) -> None:
        workspace = f"w{number % workspaces}"
        work = AdmissionRequested(
            now, str(number), workspace, 1.0, 0, now + 1e6, 800 + number % 97, 256
        )
        for decision in admission.handle(work):
            if isinstance(decision, Start):
                running.append(decision.request_id)

    for number in range(waiting + 2):
        arrive(number, 0.0)
    size = tracemalloc.get_traced_memory()[0] / waiting
    tracemalloc.stop()
    started = time.perf_counter()
    for step in range(REQUESTS):
        # All steps are within 1 s, too short a time for the controller to detect a
        # standing queue, which it would shorten.
        now = step / REQUESTS
        arrive(waiting + 2 + step, now)
        ended = RequestFinished(now, running.pop(0), False, cancelled=True)
        running.extend(d.request_id for d in admission.handle(ended))
    per_request = (time.perf_counter() - started) / REQUESTS * MICROSECONDS
    started = time.perf_counter()
    for step in range(TICKS):
        admission.handle(Tick(1.0 + step / 1000))
    tick = (time.perf_counter() - started) / TICKS * MICROSECONDS
    return per_request, tick, size


def main() -> None:
    """Print the tables with the fitted exponents of growth."""
    print("| targets | workspaces | choice µs | all events µs | fleet change ms |")
    print("|---|---|---|---|---|")
    for workspaces in WORKSPACE_COUNTS:
        choices: list[float] = []
        totals: list[float] = []
        for targets in TARGET_COUNTS:
            runs = [measure_routing(targets, workspaces) for _ in range(REPEATS)]
            choice = min(run[0] for run in runs)
            total = min(run[1] for run in runs)
            choices.append(choice)
            totals.append(total)
            change = min(measure_fleet_change(targets) for _ in range(REPEATS))
            cells = f"{choice:.1f} | {total:.1f} | {change:.1f}"
            print(f"| {targets} | {workspaces} | {cells} |")
        exponents = (fit_exponent(TARGET_COUNTS, costs) for costs in (choices, totals))
        print("exponent in targets: " + ", ".join(f"{e:+.2f}" for e in exponents))
    print("| waiting | workspaces | arrival and end µs | tick µs | bytes a request |")
    print("|---|---|---|---|---|")
    for workspaces in WORKSPACE_COUNTS:
        costs: list[tuple[float, float, float]] = []
        for waiting in QUEUE_SIZES:
            samples = [measure_admission(waiting, workspaces) for _ in range(REPEATS)]
            per_request, tick, size = (
                min(column) for column in zip(*samples, strict=True)
            )
            costs.append((per_request, tick, size))
        for waiting, (per_request, tick, size) in zip(QUEUE_SIZES, costs, strict=True):
            print(
                f"| {waiting} | {workspaces} "
                f"| {per_request:.1f} | {tick:.1f} | {size:.0f} |"
            )
        exponents = (
            fit_exponent(QUEUE_SIZES, [cost[column] for cost in costs])
            for column in (0, 1)
        )
        print("exponent in waiting: " + ", ".join(f"{e:+.2f}" for e in exponents))


if __name__ == "__main__":
    fire.Fire(main)
