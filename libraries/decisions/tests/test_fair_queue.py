"""The queue neither loses nor duplicates requests and preserves fair shares."""

from __future__ import annotations

import unittest

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboopier_decisions.admission.fair_queue import FairQueue, QueuedRequest

WORKSPACES = ("a", "b", "c")
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 1.0}
COSTS = st.floats(0.1, 4.0)


def make_queued(
    number: int, workspace: str, cost: float = 1.0, deadline: float = 1e6
) -> QueuedRequest:
    weight = WEIGHTS.get(workspace, 1.0)
    return QueuedRequest(
        str(number), workspace, weight, 0, float(number), deadline - cost, cost
    )


class FairQueueMachine(RuleBasedStateMachine):
    """Compares the queue with a plain dict of the requests it must hold."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue()
        self.model: dict[str, QueuedRequest] = {}
        self.number = 0

    @rule(workspace=st.sampled_from(WORKSPACES), cost=COSTS, timeout=COSTS)
    def push(self, workspace: str, cost: float, timeout: float) -> None:
        self.number += 1
        deadline = self.number + cost + timeout
        queued = make_queued(self.number, workspace, cost, deadline)
        self.queue.push(queued)
        self.model[queued.request_id] = queued

    @rule()
    def pop(self) -> None:
        popped = self.queue.pop()
        if popped is None:
            assert not self.model
            return
        assert self.model.pop(popped.request_id) is popped
        own = [
            w.sort_key for w in self.model.values() if w.workspace == popped.workspace
        ]
        assert all(popped.sort_key <= sort_key for sort_key in own)

    @rule(excluded=st.sampled_from(WORKSPACES))
    def pop_all_but(self, excluded: str) -> None:
        popped = self.queue.pop(lambda first: first.workspace != excluded)
        if popped is None:
            assert all(w.workspace == excluded for w in self.model.values())
            return
        assert popped.workspace != excluded
        assert self.model.pop(popped.request_id) is popped

    @rule(offset=st.integers(0, 50))
    def remove(self, offset: int) -> None:
        name = str(self.number - offset)
        assert self.queue.remove(name) is self.model.pop(name, None)

    @rule(workspace=st.sampled_from(WORKSPACES), seconds=st.floats(-3.0, 3.0))
    def charge(self, workspace: str, seconds: float) -> None:
        self.queue.charge(workspace, seconds)

    @rule(ahead=st.floats(-3.0, 3.0))
    def remove_expired(self, ahead: float) -> None:
        now = self.number + ahead
        expired = {w.request_id for w in self.queue.remove_expired(now)}
        expected = {i for i, w in self.model.items() if w.latest_start < now}
        assert expired == expected
        for name in expired:
            del self.model[name]

    @invariant()
    def matches_model(self) -> None:
        assert {w.request_id for w in self.queue.list_all()} == set(self.model)
        assert abs(self.queue.cost - sum(w.cost for w in self.model.values())) < 1e-6
        loads: dict[str, float] = {}
        for workspace in WORKSPACES:
            own = [w for w in self.model.values() if w.workspace == workspace]
            assert self.queue.count(workspace) == len(own)
            if own:
                loads[workspace] = len(own) / WEIGHTS[workspace]
                newest = max(own, key=lambda w: w.arrival)
                assert self.queue.find_newest(workspace) is newest
        longest = self.queue.find_largest_backlog()
        assert (longest[1] if longest else None) == (
            max(loads.values()) if loads else None
        )


TestFairQueueMachine = FairQueueMachine.TestCase
TestFairQueueMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


class FairnessTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.data())
    def test_backlogged_workspaces_stay_within_one_request_of_their_share(
        self, data: st.DataObject
    ) -> None:
        """Two workspaces with a constant backlog are served in proportion to weight.

        Start-time fair queueing bounds the difference of cost per weight by one request
        of each.
        """
        queue = FairQueue()
        for number in range(60):
            for workspace in ("a", "b"):
                cost = data.draw(COSTS)
                queue.push(make_queued(number, f"{workspace}", cost))
                # Request ids are unique across both workspaces.
                number += 1000
        served = {"a": 0.0, "b": 0.0}
        while queue.count("a") and queue.count("b"):
            popped = queue.pop()
            served[popped.workspace] += popped.cost / popped.weight
            bound = 4.0 / WEIGHTS["a"] + 4.0 / WEIGHTS["b"]
            self.assertLessEqual(abs(served["a"] - served["b"]), bound)

    def test_idle_workspace_accumulates_no_credit(self) -> None:
        queue = FairQueue()
        for number in range(100):
            queue.push(make_queued(number, "a"))
        for _ in range(50):
            queue.pop()
        for number in range(100, 150):
            queue.push(make_queued(number, "c"))
        first = [queue.pop().workspace for _ in range(20)]
        self.assertLessEqual(abs(first.count("a") - first.count("c")), 1)
