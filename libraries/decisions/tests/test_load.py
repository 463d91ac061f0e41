"""What callers receive when the fleet is full, slow, cold or smaller than it was.

Each test runs the unchanged router and admission under simulated time (bench_load)
with fixed seeds, and judges what callers received. Bounds are in simulated seconds.
"""

from __future__ import annotations

import unittest
from functools import cache
from typing import TYPE_CHECKING

from bench_load.orders import Behaviour, Order
from bench_load.outcome import Outcome, judge
from bench_load.scenarios import (
    CAPACITY,
    WORKSPACES,
    Mix,
    OrderMaker,
    Scenario,
    make_burst,
    make_cold_fleet,
    make_data_centre,
    make_hot_caller,
    make_hot_prefix,
    make_long_among_short,
    make_overload,
    make_slow_target,
)
from bench_load.table import LEAST_LOADED, OURS, ROUND_ROBIN, simulate

if TYPE_CHECKING:
    from bench_load.simulation import Simulation

OBEDIENT, EAGER = Behaviour.OBEDIENT, Behaviour.EAGER
TARGETS = 4


def run(scenario: Scenario, seed: int = 1) -> Outcome:
    return judge(simulate(OURS, scenario, seed), scenario, scenario.wanted)


@cache
def run_at_capacity() -> Outcome:
    return run(make_overload(1.0, TARGETS, OBEDIENT, 35.0))


class OverloadTests(unittest.TestCase):
    def check_overload(self, factor: float, behaviour: Behaviour) -> Outcome:
        outcome = run(make_overload(factor, TARGETS, behaviour, 35.0))
        self.assertGreaterEqual(outcome.per_second, 0.9 * run_at_capacity().per_second)
        # All ask alike, so none may get much less than the mean.
        mean = outcome.in_time / WORKSPACES
        self.assertGreaterEqual(outcome.least, 0.7 * mean)
        self.assertEqual(outcome.unhinted, 0)
        self.assertEqual(outcome.falls, 0)
        return outcome

    def test_throughput_holds_at_five_times_capacity(self) -> None:
        """Nobody is answered in time although every engine works all the time.

        Five times what the fleet carries is asked for. If all of it waits, each
        request's turn comes after its caller has left.
        """
        outcome = self.check_overload(5.0, OBEDIENT)
        # Those given up learn it soon, and few ask twice: the hint was right.
        self.assertLess(outcome.refusal_p99, 2.0)
        self.assertLess(outcome.asks, 1.1 * outcome.orders)

    def test_throughput_holds_at_one_and_a_half_and_two_times_capacity(self) -> None:
        for factor in (1.5, 2.0):
            with self.subTest(factor=factor):
                self.check_overload(factor, OBEDIENT)

    def test_immediate_retries_do_not_reduce_throughput(self) -> None:
        """A retry storm: each refused caller is back within a tenth of a second.

        The asks are some twenty times the orders; answers in time must not suffer.
        """
        outcome = self.check_overload(5.0, EAGER)
        self.assertGreater(outcome.asks, 10 * outcome.orders)
        self.assertLess(outcome.refusal_p99, 0.1)

    def test_throughput_exceeds_baselines_under_overload(self) -> None:
        scenario = make_overload(2.0, TARGETS, OBEDIENT, 35.0)
        ours = run(scenario).per_second
        for policy in (ROUND_ROBIN, LEAST_LOADED):
            scenario = make_overload(2.0, TARGETS, OBEDIENT, 35.0)
            theirs = judge(simulate(policy, scenario), scenario).per_second
            self.assertGreater(ours, 1.2 * theirs, policy.name)

    def test_burst_is_served_within_caller_timeouts(self) -> None:
        """A burst is refused although its turn would come before callers leave."""
        outcome = run(make_burst(TARGETS))
        self.assertGreater(outcome.in_time, 0.73 * outcome.orders)
        self.assertEqual(outcome.unhinted, 0)


class HeavyHitterTests(unittest.TestCase):
    def test_heavy_hitter_hardly_delays_others(self) -> None:
        """Everybody's first token is late since one workspace asks too much.

        It asks for 100 times its share; the nine others for 70% of theirs. Sums over
        three seeds, as a p95 of some hundred answers is coarse.
        """
        seeds = (1, 2, 3)
        for behaviour in (OBEDIENT, EAGER):
            seconds = 40.0 if behaviour is OBEDIENT else 25.0
            alone = [run(make_hot_caller(9, False, seconds=seconds), s) for s in seeds]
            beside = [
                run(make_hot_caller(9, True, behaviour, seconds), s)
                for s in (seeds if behaviour is OBEDIENT else seeds[:1])
            ]
            usual = sum(o.first_p95 for o in alone) / len(alone)
            p95 = sum(o.first_p95 for o in beside) / len(beside)
            with self.subTest(behaviour=behaviour):
                self.assertLessEqual(p95, 1.2 * usual)
                for outcome in beside:
                    self.assertGreater(outcome.in_time, 0.99 * outcome.orders)

    def test_lone_heavy_hitter_gets_the_whole_fleet(self) -> None:
        maker = OrderMaker(21)
        maker.add(2 * CAPACITY * TARGETS, 0.0, 35.0, workspace="hot")
        scenario = Scenario("alone", maker.orders, TARGETS, 15.0, 35.0)
        outcome = run(scenario)
        self.assertGreaterEqual(outcome.per_second, 0.9 * run_at_capacity().per_second)


class PrefixTests(unittest.TestCase):
    def test_a_hot_prefix_is_spread_and_seldom_recomputed(self) -> None:
        """A popular catalogue makes its one owner slow, or is prefilled by everyone."""
        scenario = make_hot_prefix(9)
        simulation = simulate(OURS, scenario)
        outcome = judge(simulation, scenario)
        self.assertEqual(outcome.in_time, outcome.orders)
        self.assertLess(outcome.first_p95, 0.4)
        # Those that arrive before the first prefill ends recompute it beside it.
        shared = sum(order.shared_tokens for order in scenario.orders)
        self.assertLess(outcome.recomputed, 0.06 * shared)
        used = {o.targets[-1] for o in scenario.orders if o.prefix}
        self.assertGreater(len(used), 1)


class SlowTargetAndLongRequestTests(unittest.TestCase):
    def test_slow_target_receives_few_requests(self) -> None:
        """One target in nine falls to a tenth of its speed and a ninth of callers wait.

        It answers, so nothing fails. Once its slowness shows it may get no more than
        half of its ninth.
        """
        scenario = make_slow_target(9)
        simulation = simulate(OURS, scenario)
        judged = [o for o in scenario.orders if 20.0 <= o.arrival <= 45.0]
        share = sum("t0" in o.targets for o in judged) / len(judged)
        self.assertLess(share, 0.5 / 9)
        outcome = judge(simulation, scenario)
        self.assertGreater(outcome.in_time, 0.985 * outcome.orders)

    def test_short_requests_are_not_stuck_behind_long_ones(self) -> None:
        """Short requests wait as long as the long ones that came first.

        Long prompts ask for more than the rest of the fleet. First come, first served
        leaves the short ones a p95 first token of over ten seconds.
        """
        outcome = run(make_long_among_short(9))
        self.assertGreater(outcome.in_time, 0.8 * outcome.orders)
        self.assertLess(outcome.first_p95, 7.0)


class ColdTargetTests(unittest.TestCase):
    def test_cold_fleet_warms_up_without_crashes(self) -> None:
        """The whole fleet starts, meets its full load and falls over time and again."""
        scenario = make_cold_fleet(TARGETS)
        simulation = simulate(OURS, scenario)
        self.assertEqual(judge(simulation, scenario).falls, 0)
        late = [o for o in scenario.orders if o.arrival > 45.0]
        in_time = sum(order.in_time for order in late)
        self.assertGreater(in_time, 0.95 * len(late))

    def test_agent_restart_during_the_ramp_resets_the_limit(self) -> None:
        """An engine half warm is flooded since its new agent has forgotten that.

        All agents restart at 6 s, when their engines have answered a few requests.
        """
        scenario = make_cold_fleet(TARGETS)
        agents: list[int] = []

        def restart_all(simulation: Simulation) -> None:
            for agent in simulation.agents.values():
                agent.restart_agent()
                agents.append(agent.admission.limit)

        scenario.prepare = lambda simulation: simulation.clock.call_at(
            6.0, lambda: restart_all(simulation)
        )
        simulation = simulate(OURS, scenario)
        self.assertEqual(agents, [2] * TARGETS)
        self.assertEqual(judge(simulation, scenario).falls, 0)

    def test_data_centre_outage_and_return_do_not_affect_callers(self) -> None:
        """Callers notice that a third of the fleet leaves, or that it returns cold.

        The rest carries 80% load meanwhile. What waits at the leaving targets moves
        on, none of the returning ones may be flooded.
        """
        scenario = make_data_centre(9)
        simulation = simulate(OURS, scenario)
        outcome = judge(simulation, scenario)
        self.assertGreater(outcome.in_time, 0.985 * outcome.orders)
        self.assertEqual(outcome.falls, 0)
        gone = {"t0", "t1", "t2"}

        def is_sent_to_gone(order: Order) -> bool:
            return bool(order.targets) and order.targets[0] in gone

        out = [o for o in scenario.orders if 20.1 <= o.arrival < 40.0]
        back = [o for o in scenario.orders if o.arrival >= 60.0]
        self.assertEqual(sum(map(is_sent_to_gone, out)), 0)
        # Cold engines are slower, so less than their third, but not forgotten.
        self.assertGreater(sum(map(is_sent_to_gone, back)), 0.05 * len(back))


class PriorityTests(unittest.TestCase):
    def test_urgent_requests_of_a_full_workspace_go_first(self) -> None:
        """A dispatch waits behind the same workspace's drafts.

        Both ask for more than there is; the urgent tenth must hardly wait.
        """
        maker = OrderMaker(22)
        patient = Mix(patience=20.0)
        maker.add(1.5 * CAPACITY * TARGETS, 0.0, 35.0, patient, workspace="w")
        for order in maker.orders[::10]:
            order.priority = -1
        scenario = Scenario("priority", maker.orders, TARGETS, 15.0, 35.0)
        simulation = simulate(OURS, scenario)
        urgent = judge(simulation, scenario, lambda o: o.priority < 0)
        others = judge(simulation, scenario, lambda o: o.priority == 0)
        self.assertLess(urgent.first_p50, 0.5 * others.first_p50)
