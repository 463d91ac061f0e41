"""Load patterns: the orders that arrive and the events in the fleet."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from .orders import Behaviour, Order

if TYPE_CHECKING:
    from collections.abc import Callable

    from .engine import EngineShape
    from .simulation import Simulation

# Responses per second of one warm engine of the default shape under ``USUAL``.
CAPACITY = 5.5
WORKSPACES = 10


@dataclass(frozen=True, slots=True)
class Mix:
    """Distribution of orders.

    Prompt and output tokens are means of exponential distributions, which are capped
    at four times the mean.
    """

    prompt_tokens: int = 800
    output_tokens: int = 60
    max_tokens: int = 256
    # Seconds that a caller waits for the complete response.
    timeout_seconds: float = 12.0


USUAL = Mix()
LONG = Mix(
    prompt_tokens=16_000, output_tokens=240, max_tokens=960, timeout_seconds=60.0
)


@dataclass(slots=True)
class Scenario:
    """A load pattern and the fleet that it runs on; times are in seconds."""

    name: str
    orders: list[Order]
    targets: int
    # Orders that arrive earlier are not measured: the fleet warms up.
    measured_from: float = 10.0
    seconds: float = 60.0
    cold: bool = False
    shape: EngineShape | None = None
    prepare: Callable[[Simulation], None] = field(default=lambda _: None)
    # Selects the orders that are measured.
    is_measured: Callable[[Order], bool] = field(default=lambda _: True)


class OrderGenerator:
    """Generates orders; all draws come from one seeded generator."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.orders: list[Order] = []

    def add(
        self,
        rate: float,
        start: float,
        end: float,
        mix: Mix = USUAL,
        workspace: str = "",
        behaviour: Behaviour = Behaviour.OBEDIENT,
        prefix: str = "",
        shared_tokens: int = 0,
        sources: int = WORKSPACES,
    ) -> OrderGenerator:
        """Add Poisson arrivals at ``rate`` per second from ``start`` to ``end``.

        Without a workspace they are spread evenly over ``sources`` workspaces.
        """
        draw = self._random
        now = start + draw.expovariate(rate)
        while now < end:
            source = workspace or f"w{draw.randrange(sources)}"
            prompt = self._draw_tokens(mix.prompt_tokens)
            order = Order(
                order_id=len(self.orders),
                workspace=source,
                arrival=now,
                prompt_tokens=prompt + shared_tokens,
                output_tokens=self._draw_tokens(mix.output_tokens),
                deadline=now + mix.timeout_seconds,
                max_tokens=mix.max_tokens,
                prefix=prefix,
                shared_tokens=shared_tokens,
                behaviour=behaviour,
            )
            self.orders.append(order)
            now += draw.expovariate(rate)
        return self

    def _draw_tokens(self, mean: int) -> int:
        return 1 + int(min(4 * mean, self._random.expovariate(1 / mean)))


def make_overload(
    factor: float, targets: int, behaviour: Behaviour, seconds: float = 60.0
) -> Scenario:
    """Return a constant load of ``factor`` times the fleet's capacity."""
    generator = OrderGenerator(11)
    rate = factor * CAPACITY * targets
    generator.add(rate, 0.0, seconds, behaviour=behaviour)
    name = f"overload x{factor:g} {behaviour.value}"
    return Scenario(name, generator.orders, targets, 15.0, seconds)


def make_burst(targets: int) -> Scenario:
    """Return a load of half the capacity with a burst for three seconds.

    The burst adds six times the capacity.
    """
    generator = OrderGenerator(12)
    capacity = CAPACITY * targets
    generator.add(0.5 * capacity, 0.0, 50.0)
    generator.add(6 * capacity, 20.0, 23.0)
    return Scenario("burst", generator.orders, targets, 15.0, 50.0)


def make_heavy_hitter(
    targets: int,
    hot: bool,
    behaviour: Behaviour = Behaviour.OBEDIENT,
    seconds: float = 45.0,
) -> Scenario:
    """Return nine workspaces at 70% of their shares and a tenth at 100 times its share.

    The tenth sends only if ``hot`` is set, and its orders are not measured.
    """
    generator = OrderGenerator(13)
    share = CAPACITY * targets / WORKSPACES
    generator.add(0.7 * share * (WORKSPACES - 1), 0.0, seconds, sources=WORKSPACES - 1)
    name = "hot caller: others without it"
    if hot:
        name = f"hot caller: others with it, {behaviour.value}"
        generator.add(100 * share, 0.0, seconds, workspace="hot", behaviour=behaviour)
    scenario = Scenario(name, generator.orders, targets, 15.0, seconds)
    scenario.is_measured = lambda order: order.workspace != "hot"
    return scenario


def make_hot_prefix(targets: int) -> Scenario:
    """Return a load of which half the orders share a prefix of 6,000 tokens.

    These orders exceed the capacity of a single target.
    """
    generator = OrderGenerator(14)
    capacity = CAPACITY * targets
    generator.add(0.4 * capacity, 0.0, 45.0)
    short = Mix(prompt_tokens=200, output_tokens=40, max_tokens=160)
    hot = 0.4 * capacity
    generator.add(hot, 0.0, 45.0, short, prefix="catalogue", shared_tokens=6000)
    return Scenario("hot prefix", generator.orders, targets, 15.0, 45.0)


def make_slow_target(targets: int) -> Scenario:
    """Return a load of 60% of capacity; one target slows down to a tenth for 30 s."""
    generator = OrderGenerator(15)
    generator.add(0.6 * CAPACITY * targets, 0.0, 60.0)

    def prepare(simulation: Simulation) -> None:
        engine = simulation.agents["t0"].engine
        simulation.clock.call_at(15.0, lambda: engine.set_speed(0.1))
        simulation.clock.call_at(45.0, lambda: engine.set_speed(1.0))

    return Scenario(
        "slow target", generator.orders, targets, 15.0, 60.0, prepare=prepare
    )


def make_long_among_short(targets: int) -> Scenario:
    """Return short orders at 60% of capacity and long ones that fill the rest.

    Only the short ones are measured.
    """
    generator = OrderGenerator(16)
    generator.add(0.6 * CAPACITY * targets, 0.0, 60.0)
    generator.add(0.08 * CAPACITY * targets, 0.0, 60.0, LONG)
    scenario = Scenario("long among short", generator.orders, targets, 15.0, 60.0)
    scenario.is_measured = lambda order: order.max_tokens == USUAL.max_tokens
    return scenario


def make_cold_fleet(targets: int) -> Scenario:
    """Return a load of 80% of the warm capacity on a fleet that starts cold."""
    generator = OrderGenerator(17)
    generator.add(0.8 * CAPACITY * targets, 0.0, 60.0)
    return Scenario("cold fleet", generator.orders, targets, 0.0, 60.0, cold=True)


def make_sudden_cold(targets: int) -> Scenario:
    """Return a load of 60%; a third of the engines turn cold without a new start id."""
    generator = OrderGenerator(19)
    generator.add(0.6 * CAPACITY * targets, 0.0, 60.0)
    cold_targets = [f"t{n}" for n in range(targets // 3)]

    def prepare(simulation: Simulation) -> None:
        for name in cold_targets:
            simulation.clock.call_at(20.0, simulation.agents[name].engine.reset_warmup)

    return Scenario(
        "sudden cold", generator.orders, targets, 15.0, 60.0, prepare=prepare
    )


def make_data_centre(targets: int) -> Scenario:
    """Return a load; a third of the fleet leaves at 20 s and returns cold at 40 s.

    The load is 80% of the capacity of the remaining two thirds.
    """
    generator = OrderGenerator(18)
    generator.add(0.8 * CAPACITY * targets * 2 / 3, 0.0, 80.0)
    names = [f"t{n}" for n in range(targets)]
    leaving = names[: targets // 3]

    def remove_targets(simulation: Simulation) -> None:
        simulation.update_fleet(names[targets // 3 :])
        for name in leaving:
            simulation.agents[name].stop()

    def restore_targets(simulation: Simulation) -> None:
        for name in leaving:
            simulation.agents[name].restart_cold()
        simulation.update_fleet(names)

    def prepare(simulation: Simulation) -> None:
        simulation.clock.call_at(20.0, lambda: remove_targets(simulation))
        simulation.clock.call_at(40.0, lambda: restore_targets(simulation))

    return Scenario(
        "data centre", generator.orders, targets, 15.0, 80.0, prepare=prepare
    )


def list_scenarios(targets: int = 9) -> list[Scenario]:
    """Return every load pattern of the table."""
    obedient, eager = Behaviour.OBEDIENT, Behaviour.EAGER
    return [
        make_overload(1.0, targets, obedient),
        make_overload(1.5, targets, obedient),
        make_overload(2.0, targets, obedient),
        make_overload(5.0, targets, obedient),
        make_overload(1.0, targets, eager),
        make_overload(5.0, targets, eager),
        make_burst(targets),
        make_heavy_hitter(targets, hot=False),
        make_heavy_hitter(targets, hot=True),
        make_heavy_hitter(targets, True, eager),
        make_hot_prefix(targets),
        make_slow_target(targets),
        make_long_among_short(targets),
        make_cold_fleet(targets),
        make_sudden_cold(targets),
        make_data_centre(targets),
    ]
