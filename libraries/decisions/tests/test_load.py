"""Responses that callers receive from a full, slow, cold or reduced fleet.

Each test runs the production router and admission controller in simulated time
(bench_load) with fixed seeds and checks the responses that callers received. Bounds are
in simulated seconds.
"""

from __future__ import annotations

import unittest
from functools import cache
from typing import TYPE_CHECKING

from bench_load.orders import Behaviour, Order
from bench_load.outcome import Outcome, evaluate
from bench_load.scenarios import (
    CAPACITY,
    WORKSPACES,
    Mix,
    OrderGenerator,
    Scenario,
    make_burst,
    make_cold_fleet,
    make_data_centre,
    make_heavy_hitter,
    make_hot_prefix,
    make_long_among_short,
    make_overload,
    make_slow_target,
)
from bench_load.table import BAMBOOPIER, LEAST_LOADED, ROUND_ROBIN, simulate

if TYPE_CHECKING:
    from bench_load.simulation import Simulation

OBEDIENT, EAGER = Behaviour.OBEDIENT, Behaviour.EAGER
TARGETS = 4


def run(scenario: Scenario, seed: int = 1) -> Outcome:
    return evaluate(
        simulate(BAMBOOPIER, scenario, seed), scenario, scenario.is_measured
    )


@cache
def run_at_capacity() -> Outcome:
    return run(make_overload(1.0, TARGETS, OBEDIENT, 35.0))


class OverloadTests(unittest.TestCase):
    def check_overload(self, factor: float, behaviour: Behaviour) -> Outcome:
        outcome = run(make_overload(factor, TARGETS, behaviour, 35.0))
        self.assertGreaterEqual(outcome.per_second, 0.9 * run_at_capacity().per_second)
        # All workspaces send the same load, so none may get much less than the mean.
        mean = outcome.in_time / WORKSPACES
        self.assertGreaterEqual(outcome.least, 0.7 * mean)
        self.assertEqual(outcome.unhinted, 0)
        self.assertEqual(outcome.falls, 0)
        return outcome

    def test_throughput_holds_at_five_times_capacity(self) -> None:
        """Guards against a fleet that is busy all the time but late for every caller.

        The load is five times the capacity. If all requests are queued, each starts
        only after its caller has disconnected.
        """
        outcome = self.check_overload(5.0, OBEDIENT)
        # Refusals are early, and few callers retry twice: the retry time was right.
        self.assertLess(outcome.refusal_p99, 2.0)
        self.assertLess(outcome.asks, 1.1 * outcome.orders)

    def test_throughput_holds_at_one_and_a_half_and_two_times_capacity(self) -> None:
        for factor in (1.5, 2.0):
            with self.subTest(factor=factor):
                self.check_overload(factor, OBEDIENT)

    def test_immediate_retries_do_not_reduce_throughput(self) -> None:
        """Guards against a retry storm: refused callers retry within 0.1 s.

        There are some twenty times as many requests as orders; the rate of responses in
        time must not drop.
        """
        outcome = self.check_overload(5.0, EAGER)
        self.assertGreater(outcome.asks, 10 * outcome.orders)
        self.assertLess(outcome.refusal_p99, 0.1)

    def test_throughput_exceeds_baselines_under_overload(self) -> None:
        scenario = make_overload(2.0, TARGETS, OBEDIENT, 35.0)
        per_second = run(scenario).per_second
        for policy in (ROUND_ROBIN, LEAST_LOADED):
            scenario = make_overload(2.0, TARGETS, OBEDIENT, 35.0)
            baseline = evaluate(simulate(policy, scenario), scenario).per_second
            self.assertGreater(per_second, 1.2 * baseline, policy.name)

    def test_burst_is_served_within_caller_timeouts(self) -> None:
        """Guards against refusing a burst that can be served within the timeouts."""
        outcome = run(make_burst(TARGETS))
        self.assertGreater(outcome.in_time, 0.73 * outcome.orders)
        self.assertEqual(outcome.unhinted, 0)


class HeavyHitterTests(unittest.TestCase):
    def test_heavy_hitter_hardly_delays_others(self) -> None:
        """Guards against late first tokens for all because of one workspace's load.

        It sends 100 times its share; the nine others send 70% of theirs. The p95 is
        averaged over three seeds, since a p95 of some hundred responses is coarse.
        """
        seeds = (1, 2, 3)
        for behaviour in (OBEDIENT, EAGER):
            seconds = 40.0 if behaviour is OBEDIENT else 25.0
            alone = [
                run(make_heavy_hitter(9, False, seconds=seconds), s) for s in seeds
            ]
            beside = [
                run(make_heavy_hitter(9, True, behaviour, seconds), s)
                for s in (seeds if behaviour is OBEDIENT else seeds[:1])
            ]
            usual = sum(o.first_p95 for o in alone) / len(alone)
            p95 = sum(o.first_p95 for o in beside) / len(beside)
            with self.subTest(behaviour=behaviour):
                self.assertLessEqual(p95, 1.2 * usual)
                for outcome in beside:
                    self.assertGreater(outcome.in_time, 0.99 * outcome.orders)

    def test_lone_heavy_hitter_gets_the_whole_fleet(self) -> None:
        generator = OrderGenerator(21)
        generator.add(2 * CAPACITY * TARGETS, 0.0, 35.0, workspace="hot")
        scenario = Scenario("alone", generator.orders, TARGETS, 15.0, 35.0)
        outcome = run(scenario)
        self.assertGreaterEqual(outcome.per_second, 0.9 * run_at_capacity().per_second)


class PrefixTests(unittest.TestCase):
    def test_a_hot_prefix_is_spread_and_seldom_recomputed(self) -> None:
        """Guards against a hot prefix overloading its owner or prefilled everywhere."""
        scenario = make_hot_prefix(9)
        simulation = simulate(BAMBOOPIER, scenario)
        outcome = evaluate(simulation, scenario)
        self.assertEqual(outcome.in_time, outcome.orders)
        self.assertLess(outcome.first_p95, 0.4)
        # Requests that arrive before the first prefill ends compute the prefix again.
        shared = sum(order.shared_tokens for order in scenario.orders)
        self.assertLess(outcome.recomputed, 0.06 * shared)
        used = {o.targets[-1] for o in scenario.orders if o.prefix}
        self.assertGreater(len(used), 1)


class SlowTargetAndLongRequestTests(unittest.TestCase):
    def test_slow_target_receives_few_requests(self) -> None:
        """Guards against slow responses for a ninth of the callers.

        One target in nine drops to a tenth of its speed. Its requests succeed, so it is
        not excluded as failed. Once detected as an outlier, it may receive no more than
        half of its ninth.
        """
        scenario = make_slow_target(9)
        simulation = simulate(BAMBOOPIER, scenario)
        measured = [o for o in scenario.orders if 20.0 <= o.arrival <= 45.0]
        share = sum("t0" in o.targets for o in measured) / len(measured)
        self.assertLess(share, 0.5 / 9)
        outcome = evaluate(simulation, scenario)
        self.assertGreater(outcome.in_time, 0.985 * outcome.orders)

    def test_short_requests_are_not_stuck_behind_long_ones(self) -> None:
        """Guards against short requests that wait for all earlier long ones.

        Long prompts demand more than the remaining capacity. With first come, first
        served, the p95 first token of the short ones is over ten seconds.
        """
        outcome = run(make_long_among_short(9))
        self.assertGreater(outcome.in_time, 0.8 * outcome.orders)
        self.assertLess(outcome.first_p95, 7.0)


class ColdTargetTests(unittest.TestCase):
    def test_cold_fleet_warms_up_without_crashes(self) -> None:
        """Guards against a cold fleet that crashes repeatedly under its full load."""
        scenario = make_cold_fleet(TARGETS)
        simulation = simulate(BAMBOOPIER, scenario)
        self.assertEqual(evaluate(simulation, scenario).falls, 0)
        late = [o for o in scenario.orders if o.arrival > 45.0]
        in_time = sum(order.in_time for order in late)
        self.assertGreater(in_time, 0.95 * len(late))

    def test_agent_restart_during_the_ramp_resets_the_limit(self) -> None:
        """Guards against overloading an engine that is still warming up.

        All agents restart at 6 s, when their engines have served a few requests, and
        lose the limits they had reached.
        """
        scenario = make_cold_fleet(TARGETS)
        limits: list[int] = []

        def restart_all(simulation: Simulation) -> None:
            for agent in simulation.agents.values():
                agent.restart_agent()
                limits.append(agent.admission.limit)

        scenario.prepare = lambda simulation: simulation.clock.call_at(
            6.0, lambda: restart_all(simulation)
        )
        simulation = simulate(BAMBOOPIER, scenario)
        self.assertEqual(limits, [2] * TARGETS)
        self.assertEqual(evaluate(simulation, scenario).falls, 0)

    def test_data_centre_outage_and_return_do_not_affect_callers(self) -> None:
        """Guards against failures when a third of the fleet leaves and returns cold.

        The rest serves 80% load meanwhile. Requests queued at the leaving targets move
        to others, and no returning target may be overloaded.
        """
        scenario = make_data_centre(9)
        simulation = simulate(BAMBOOPIER, scenario)
        outcome = evaluate(simulation, scenario)
        self.assertGreater(outcome.in_time, 0.985 * outcome.orders)
        self.assertEqual(outcome.falls, 0)
        removed = {"t0", "t1", "t2"}

        def is_sent_to_removed(order: Order) -> bool:
            return bool(order.targets) and order.targets[0] in removed

        out = [o for o in scenario.orders if 20.1 <= o.arrival < 40.0]
        back = [o for o in scenario.orders if o.arrival >= 60.0]
        self.assertEqual(sum(map(is_sent_to_removed, out)), 0)
        # Cold engines are slower, so they receive less than their third, but some.
        self.assertGreater(sum(map(is_sent_to_removed, back)), 0.05 * len(back))


class PriorityTests(unittest.TestCase):
    def test_urgent_requests_of_a_full_workspace_go_first(self) -> None:
        """Guards against urgent requests queued behind others of the same workspace.

        Together they exceed the capacity; the urgent tenth must hardly wait.
        """
        generator = OrderGenerator(22)
        mix = Mix(timeout_seconds=20.0)
        generator.add(1.5 * CAPACITY * TARGETS, 0.0, 35.0, mix, workspace="w")
        for order in generator.orders[::10]:
            order.priority = -1
        scenario = Scenario("priority", generator.orders, TARGETS, 15.0, 35.0)
        simulation = simulate(BAMBOOPIER, scenario)
        urgent = evaluate(simulation, scenario, lambda o: o.priority < 0)
        others = evaluate(simulation, scenario, lambda o: o.priority == 0)
        self.assertLess(urgent.first_p50, 0.5 * others.first_p50)
