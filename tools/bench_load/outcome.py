"""Summary figures of the responses that callers received."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .orders import Order
    from .scenarios import Scenario
    from .simulation import Simulation


def find_percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of the measured orders of one run; times are in simulated seconds."""

    orders: int
    # Complete responses by the deadline.
    in_time: int
    per_second: float
    # Seconds from arrival to the first token, for the orders answered in time.
    first_p50: float
    first_p95: float
    first_p99: float
    # Refused submissions, the 99th percentile of the seconds until a refusal, and the
    # refusals without a retry time.
    refused: int
    refusal_p99: float
    unhinted: int
    # Submissions of all measured orders, retries included.
    asks: int
    # Minimum and maximum per workspace of the orders answered in time.
    least: int
    most: int
    # Engine crashes, and shared prefix tokens that were prefilled again.
    falls: int
    recomputed: int


def evaluate(
    simulation: Simulation,
    scenario: Scenario,
    is_measured: Callable[[Order], bool] = lambda _: True,
) -> Outcome:
    """Return the figures of the orders that ``is_measured`` selects.

    Orders that arrive during the warm-up or after the scenario's end are left out.
    """
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
