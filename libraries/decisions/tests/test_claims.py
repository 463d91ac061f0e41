"""Claims of idempotency keys under every order of faults.

A caller repeatedly sends one dispatch under one key, to agents that do not communicate
with each other. Their conditional writes are refused, lost before or after they took
effect, or take effect long after a read showed them absent. In every order the targets
record at most one run of the key, and a key that never ran can still run.
"""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass, field

from fault_matrix import CallFault
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bamboopier_decisions.claims.partition import ClaimPartition, ClaimPlan
from bamboopier_decisions.claims.table import Claim, ClaimOutcome, ClaimStatus

LIFETIME = 1000.0
AGENTS = 3
KEYS = (b"k1", b"k2")
BODIES = (b"van to A46", b"van to M6")


@dataclass
class Agent:
    """One agent as the claim writer drives it: read, plan, write, report."""

    number: int
    partition: ClaimPartition
    waiting: list[Claim] = field(default_factory=list)
    # The claims that the plan's outcomes belong to, in order.
    planned: list[Claim] = field(default_factory=list)
    plan: ClaimPlan | None = None
    # Granted claims with the version that showed them.
    granted: list[tuple[Claim, int]] = field(default_factory=list)


class ClaimMachine(RuleBasedStateMachine):
    """Several agents, one partition object, and a platform that loses responses."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.version = 0
        self.stored: tuple[Claim, ...] = ()
        self.previous: tuple[int, tuple[Claim, ...]] = (0, ())
        self.delayed: list[ClaimPlan] = []
        self.count = 0
        # Claims that the targets ran, and ids of claims reported to callers as not run.
        self.runs: list[Claim] = []
        self.reported_not_run: set[str] = set()
        # Keys whose agent died with a claim: whether they ran is unknown.
        self.unknown_keys: set[bytes] = set()

    @initialize()
    def start(self) -> None:
        self.agents = [Agent(n, self.make_partition()) for n in range(AGENTS)]

    def make_partition(self) -> ClaimPartition:
        return ClaimPartition(LIFETIME, capacity=8)

    @rule(
        number=st.integers(0, AGENTS - 1),
        key=st.sampled_from(KEYS),
        body=st.sampled_from(BODIES),
    )
    def send(self, number: int, key: bytes, body: bytes) -> None:
        self.count += 1
        claim = Claim(key, body, f"c{self.count}", f"agent-{number}", self.now)
        self.agents[number].waiting.append(claim)

    @rule(number=st.integers(0, AGENTS - 1), lagging=st.booleans())
    def read_and_plan(self, number: int, lagging: bool) -> None:
        agent = self.agents[number]
        if agent.plan is not None:
            return
        agent.partition.apply_read(
            *(self.previous if lagging else (self.version, self.stored))
        )
        agent.planned = list(agent.waiting)
        plan = agent.partition.plan(agent.planned, self.now)
        if plan.needs_write:
            agent.plan = plan
        else:
            self.report_outcomes(agent, plan.outcomes)

    @rule(number=st.integers(0, AGENTS - 1), fault=st.sampled_from(CallFault))
    def write(self, number: int, fault: CallFault) -> None:
        agent = self.agents[number]
        plan, agent.plan = agent.plan, None
        if plan is None:
            return
        if fault is CallFault.DOWN:
            agent.partition.abort()
            self.abandon_claims(agent, agent.waiting)
        elif fault is CallFault.NONE:
            if self.apply(plan):
                agent.partition.commit(plan, self.version)
                self.report_outcomes(agent, plan.outcomes)
            else:
                agent.partition.abort()
        else:
            if fault in (CallFault.LOST_AFTER_EFFECT, CallFault.RESENT):
                self.apply(plan)
            elif fault is CallFault.DELAYED:
                self.delayed.append(plan)
            agent.partition.mark_uncertain(plan)

    @precondition(lambda self: self.delayed)
    @rule(data=st.data())
    def apply_delayed_write(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.delayed) - 1))
        self.apply(self.delayed.pop(index))

    @rule(number=st.integers(0, AGENTS - 1))
    def abandon_all(self, number: int) -> None:
        """The gateways disconnect, or the claim took too long, also during a write."""
        agent = self.agents[number]
        self.abandon_claims(agent, agent.waiting)

    @rule(number=st.integers(0, AGENTS - 1), reachable=st.booleans())
    def dispatch(self, number: int, reachable: bool) -> None:
        agent = self.agents[number]
        for claim, version in agent.granted:
            if reachable:
                self.runs.append(claim)
            else:
                self.reported_not_run.add(claim.claim_id)
                agent.partition.abandon(claim, version)
        agent.granted = []

    @rule(number=st.integers(0, AGENTS - 1))
    def replace(self, number: int) -> None:
        agent = self.agents[number]
        plans = [agent.plan] if agent.plan else []
        claims = [c for plan in plans + self.delayed for c in plan.claims]
        claims += self.stored
        self.unknown_keys |= {c.key for c in claims if c.holder == f"agent-{number}"}
        self.agents[number] = Agent(agent.number, self.make_partition())

    def apply(self, plan: ClaimPlan) -> bool:
        if plan.expected_version != self.version:
            return False
        self.previous = (self.version, self.stored)
        self.version += 1
        self.stored = plan.claims
        return True

    def report_outcomes(self, agent: Agent, outcomes: tuple[ClaimOutcome, ...]) -> None:
        # A claim that was abandoned or added during the write has no outcome in it.
        waiting = {claim.claim_id: claim for claim in agent.waiting}
        for claim, outcome in zip(agent.planned, outcomes, strict=True):
            if outcome.status is not ClaimStatus.GRANTED:
                continue
            if waiting.pop(claim.claim_id, None) is not None:
                agent.granted.append((claim, agent.partition.version))
            else:
                agent.partition.abandon(claim)
        self.abandon_claims(agent, list(waiting.values()))

    def abandon_claims(self, agent: Agent, claims: list[Claim]) -> None:
        for claim in claims:
            agent.partition.abandon(claim)
            self.reported_not_run.add(claim.claim_id)
        agent.waiting = []

    @invariant()
    def no_key_ran_twice(self) -> None:
        keys = [claim.key for claim in self.runs]
        assert len(keys) == len(set(keys)), f"ran twice: {self.runs}"

    @invariant()
    def not_run_is_true(self) -> None:
        ran = {claim.claim_id for claim in self.runs}
        assert not ran & self.reported_not_run, f"ran after 'not run': {self.runs}"

    def teardown(self) -> None:
        """Check that a key that never ran can run once the platform answers again."""
        if not hasattr(self, "agents"):
            return
        for agent in self.agents:
            self.finish_write(agent)
            self.settle(agent)
            self.runs += [claim for claim, _ in agent.granted]
        for plan in self.delayed:
            self.apply(plan)
        self.no_key_ran_twice()
        ran = {claim.key for claim in self.runs}
        for key in set(KEYS) - ran - self.unknown_keys:
            standing = [claim for claim in self.stored if claim.key == key]
            assert not standing, f"never ran and is claimed for ever: {standing}"

    def finish_write(self, agent: Agent) -> None:
        if agent.plan is None:
            return
        self.write(agent.number, CallFault.NONE)

    def settle(self, agent: Agent) -> None:
        self.abandon_claims(agent, agent.waiting)
        for _ in range(3):
            agent.partition.apply_read(self.version, self.stored)
            plan = agent.partition.plan([], self.now)
            if not plan.needs_write:
                break
            assert self.apply(plan)
            agent.partition.commit(plan, self.version)
        assert agent.partition.all_released


ClaimMachine.TestCase.settings = settings(
    derandomize=True, max_examples=250, stateful_step_count=30, deadline=None
)


class ClaimCellTests(unittest.TestCase):
    def test_every_pair_of_call_faults(self) -> None:
        """Two faults in a row, then the actions of the agent and of a second sender."""
        cells = itertools.product(
            CallFault,
            CallFault,
            ("answer", "leave", "restart partition"),
            ("run", "target unreachable"),
            (True, False),
            (True, False),
        )
        count = 0
        for cell in cells:
            with self.subTest(cell=cell):
                run_cell(*cell)
            count += 1
        print(f"claim cells: {count} run")


def run_cell(
    first: CallFault,
    second: CallFault,
    middle: str,
    end: str,
    lagging: bool,
    resend: bool,
) -> None:
    machine = ClaimMachine()
    machine.start()
    machine.send(0, b"k1", BODIES[0])
    machine.read_and_plan(0, False)
    machine.write(0, first)
    if middle == "leave":
        machine.abandon_all(0)
    machine.read_and_plan(0, lagging)
    machine.write(0, second)
    machine.no_key_ran_twice()
    if middle == "restart partition":
        # Its writer had nothing left to do and was dropped; the grant remains valid.
        agent = machine.agents[0]
        if agent.granted and agent.partition.all_released:
            agent.partition = machine.make_partition()
    machine.dispatch(0, end == "run")
    if resend:
        machine.send(1, b"k1", BODIES[0])
        machine.read_and_plan(1, False)
        machine.write(1, CallFault.NONE)
        machine.dispatch(1, True)
    machine.read_and_plan(0, lagging)
    machine.write(0, CallFault.NONE)
    machine.no_key_ran_twice()
    machine.not_run_is_true()
    machine.teardown()


class ClaimMachineTests(ClaimMachine.TestCase):  # type: ignore[name-defined, misc]
    pass


class LifetimeTests(unittest.TestCase):
    def test_a_key_is_recognised_for_its_lifetime_and_no_longer(self) -> None:
        first = Claim(b"k", b"body", "c1", "agent-1", 0.0)
        again = Claim(b"k", b"body", "c2", "agent-2", 0.0)
        other = Claim(b"k", b"other", "c3", "agent-2", 0.0)
        for now, claim, status in (
            (LIFETIME - 1, again, ClaimStatus.HELD),
            (LIFETIME - 1, other, ClaimStatus.REUSED),
            (LIFETIME, again, ClaimStatus.GRANTED),
        ):
            with self.subTest(now=now, claim=claim.claim_id):
                partition = ClaimPartition(LIFETIME, capacity=8)
                partition.apply_read(7, (first,))
                plan = partition.plan([claim], now)
                self.assertEqual(plan.outcomes[0].status, status)

    def test_a_full_partition_refuses_new_claims(self) -> None:
        partition = ClaimPartition(LIFETIME, capacity=1)
        partition.apply_read(7, (Claim(b"k", b"body", "c1", "agent-1", 0.0),))
        plan = partition.plan([Claim(b"n", b"body", "c2", "agent-2", 0.0)], 1.0)
        self.assertEqual(plan.outcomes[0].status, ClaimStatus.FULL)
        self.assertFalse(plan.needs_write)
