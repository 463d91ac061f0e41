"""What callers received, as figures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .orders import Order
    from .scenarios import Scenario
    from .simulation import Simulation


def find_percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of them lie; 0 when there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of the judged orders of one run. Times in simulated seconds."""

    orders: int
    # Whole answers by the deadline.
    in_time: int
    per_second: float
    # Seconds from the first ask to the first token, of those answered in time.
    first_p50: float
    first_p95: float
    first_p99: float
    # Asks that were refused, the longest wait for a refusal, and those without a hint.
    refused: int
    refusal_p99: float
    unhinted: int
    asks: int
    # Least and most answered in time among the workspaces.
    least: int
    most: int
    falls: int
    recomputed: int


def evaluate(
    simulation: Simulation,
    scenario: Scenario,
    is_measured: Callable[[Order], bool] = lambda _: True,
) -> Outcome:
    """Judge the orders that ``is_measured`` picks, less the warm-up and the tail."""
    end = scenario.seconds
    measured = [
        order
        for order in simulation.orders
        if scenario.measured_from <= order.arrival <= end and is_measured(order)
    ]
    answered = [order for order in measured if order.in_time]
    first = [order.first_token - order.arrival for order in answered]
    refusals = [seconds for order in measured for seconds in order.refusals]
    in_time_by_workspace: dict[str, int] = {order.workspace: 0 for order in measured}
    for order in answered:
        in_time_by_workspace[order.workspace] += 1
    engines = [agent.engine for agent in simulation.agents.values()]
    return Outcome(
        orders=len(measured),
        in_time=len(answered),
        per_second=len(answered) / (end - scenario.measured_from),
        first_p50=find_percentile(first, 0.5),
        first_p95=find_percentile(first, 0.95),
        first_p99=find_percentile(first, 0.99),
        refused=len(refusals),
        refusal_p99=find_percentile(refusals, 0.99),
        unhinted=sum(order.refusals_without_retry_after for order in measured),
        asks=sum(order.submissions for order in measured),
        least=min(in_time_by_workspace.values(), default=0),
        most=max(in_time_by_workspace.values(), default=0),
        falls=sum(engine.crashes for engine in engines),
        recomputed=sum(engine.recomputed for engine in engines),
    )
