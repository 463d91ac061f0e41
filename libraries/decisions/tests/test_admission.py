"""Each request gets one final decision, and no target exceeds its limit."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboopier_decisions.admission.concurrency_limit import ConcurrencyLimit
from bamboopier_decisions.admission.controller import AdmissionController
from bamboopier_decisions.admission.messages import (
    AdmissionRequested,
    FirstTokenReceived,
    Reject,
    RejectReason,
    RequestCancelled,
    RequestFinished,
    Start,
    StopRequested,
    TargetRestarted,
    Tick,
)

MAX_WAITING = 5


def make_work(
    number: int, now: float, workspace: str = "a", timeout: float = 60.0
) -> AdmissionRequested:
    return AdmissionRequested(
        now, f"r{number}", workspace, 1.0, 0, now + timeout, 800, max_tokens=64
    )


class AdmissionMachine(RuleBasedStateMachine):
    """Compares the controller with a model of the state of every request."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = AdmissionController(8, MAX_WAITING, Random(1))
        self.now = 0.0
        self.number = 0
        self.waiting: set[str] = set()
        self.running: list[str] = []
        self.stopped = False

    def handle(self, event: object) -> None:
        for decision in self.admission.handle(event):
            # A decision on a request that is not queued would be its second one.
            assert decision.request_id in self.waiting
            self.waiting.discard(decision.request_id)
            if isinstance(decision, Start):
                self.running.append(decision.request_id)
                assert len(self.running) <= self.admission.limit
            elif decision.reason is RejectReason.STOPPING:
                assert decision.retry_after == 0
            else:
                assert decision.retry_after > 0

    @rule(workspace=st.sampled_from("abc"), timeout=st.floats(0.1, 30))
    def arrive(self, workspace: str, timeout: float) -> None:
        self.number += 1
        self.waiting.add(f"r{self.number}")
        self.handle(make_work(self.number, self.now, workspace, timeout))

    @rule(index=st.integers(0, 7), prefill_tokens=st.integers(0, 800))
    def receive_first_token(self, index: int, prefill_tokens: int) -> None:
        if self.running:
            name = self.running[index % len(self.running)]
            self.handle(FirstTokenReceived(self.now, name, prefill_tokens))

    @rule(index=st.integers(0, 7), outcome=st.sampled_from("afc"))
    def end(self, index: int, outcome: str) -> None:
        if self.running:
            name = self.running.pop(index % len(self.running))
            ended = RequestFinished(
                self.now, name, outcome == "a", 30, cancelled=outcome == "c"
            )
            self.handle(ended)

    @rule(index=st.integers(0, 7))
    def cancel(self, index: int) -> None:
        if self.waiting:
            name = sorted(self.waiting)[index % len(self.waiting)]
            self.waiting.discard(name)
            self.handle(RequestCancelled(self.now, name))

    @rule(seconds=st.floats(0.01, 5.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.handle(Tick(self.now))

    @rule()
    def restart_target(self) -> None:
        self.handle(TargetRestarted(self.now))

    @rule()
    def stop(self) -> None:
        if self.number > 25:
            self.stopped = True
            self.handle(StopRequested(self.now))
            assert not self.waiting

    @invariant()
    def counts_match_model(self) -> None:
        assert self.admission.running == len(self.running)
        assert self.admission.waiting == len(self.waiting) <= MAX_WAITING
        assert not (self.stopped and self.waiting)


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=60, deadline=None
)


class QueueBoundTests(unittest.TestCase):
    def test_workspace_below_its_share_evicts_newest_of_largest_backlog(
        self,
    ) -> None:
        """Guards against rejecting a workspace below its share because of a full queue.

        Another workspace has filled the queue.
        """
        admission = AdmissionController(2, 4, Random(1))
        for number in range(6):
            admission.handle(make_work(number, number * 0.001, "hot"))
        decisions = admission.handle(make_work(6, 0.1, "other"))
        (rejected,) = decisions
        self.assertIsInstance(rejected, Reject)
        self.assertEqual(rejected.request_id, "r5")
        self.assertIs(rejected.reason, RejectReason.FAIR_SHARE)
        self.assertGreater(rejected.retry_after, 0)
        self.assertEqual(admission.waiting, 4)

    def test_retry_after_values_are_spread_out(self) -> None:
        """Guards against callers that are rejected together and also retry together."""
        admission = AdmissionController(2, 4, Random(1))
        retry_times = [
            decision.retry_after
            for number in range(46)
            for decision in admission.handle(make_work(number, 0.0))
            if isinstance(decision, Reject)
        ]
        self.assertEqual(len(retry_times), 40)
        for second in range(int(max(retry_times))):
            together = sum(
                second <= retry_time < second + 1 for retry_time in retry_times
            )
            self.assertLessEqual(together, 8)


class ConcurrencyLimitTests(unittest.TestCase):
    def record_successes(
        self, limit: ConcurrencyLimit, count: int, latency: float
    ) -> None:
        for _ in range(count):
            limit.record_success(limit.value, latency)

    def test_limit_starts_small_and_grows_with_successes(self) -> None:
        limit = ConcurrencyLimit(32)
        self.assertEqual(limit.value, 2)
        self.record_successes(limit, 60, 0.025)
        self.assertEqual(limit.value, 32)

    def test_limit_shrinks_when_the_batch_slows_responses(self) -> None:
        """Guards against a batch so large that the engine swaps.

        Each added request slows all of them. The time per token exceeds twice the best
        one, so the limit shrinks until it does not, although every request succeeds.
        """
        limit = ConcurrencyLimit(64)
        for _ in range(600):
            over = max(0, limit.value - 20)
            limit.record_success(limit.value, 0.025 * (1 + 0.2 * over))
        self.assertLessEqual(limit.value, 28)
        self.assertGreaterEqual(limit.value, 16)

    def test_slow_first_tokens_reset_the_limit(self) -> None:
        limit = ConcurrencyLimit(32)
        self.record_successes(limit, 60, 0.025)
        limit.record_first_token(6.0)
        limit.record_first_token(6.0)
        self.assertEqual(limit.value, 32)
        limit.record_first_token(6.0)
        self.assertEqual(limit.value, 2)

    def test_cancelled_requests_do_not_change_the_limit(self) -> None:
        """Guards against a limit that grows while a cold engine serves no one in time.

        The callers disconnect at their deadlines. Counted as successes, they would
        admit the load of the whole fleet before the engine is warm.
        """
        admission = AdmissionController(32, 64, Random(1))
        for number in range(100):
            admission.handle(make_work(number, float(number)))
            cancelled = RequestFinished(
                number + 0.5, f"r{number}", False, cancelled=True
            )
            admission.handle(cancelled)
        self.assertEqual(admission.limit, 2)


class CostEstimatorTests(unittest.TestCase):
    def serve(
        self, admission: AdmissionController, count: int, tokens: int, seconds: float
    ) -> None:
        for number in range(count):
            now = float(number * 10)
            name = f"r{number}"
            admission.handle(
                AdmissionRequested(
                    now, name, "a", 1.0, 0, now + 60, 8, max_tokens=tokens
                )
            )
            admission.handle(FirstTokenReceived(now + 0.02, name, 0))
            ended = RequestFinished(now + seconds, name, True, tokens)
            admission.handle(ended)

    def request_long(self, admission: AdmissionController, running: int) -> object:
        """Request 1,600 tokens in a minute while others run; return the decisions."""
        for number in range(running):
            admission.handle(make_work(1000 + number, 1e4, timeout=600.0))
        arrived = AdmissionRequested(
            1e4, "long", "a", 1.0, 0, 1e4 + 60, 800, max_tokens=1600
        )
        return admission.handle(arrived)

    def test_two_token_responses_do_not_inflate_long_estimates(self) -> None:
        """Guards against rejecting 1,600 tokens with a deadline that can be met.

        The target has served many responses of two tokens that took 0.1 s because of
        their overhead. Extrapolated, 1,600 tokens would take 80 s; they take 8 s.
        """
        admission = AdmissionController(8, 64, Random(1))
        self.serve(admission, 60, 2, 0.12)
        running = admission.limit + 1
        self.assertEqual(self.request_long(admission, running), [])
        self.assertEqual(admission.handle(Tick(1e4 + 1)), [])
        self.assertEqual(admission.waiting, 2)

    def test_simultaneous_long_requests_on_a_fresh_target_are_queued(self) -> None:
        """Guards against rejecting one of six long streams that start together.

        The target is new: its limit is two and no long response was measured yet. Each
        takes 8 s, so the last starts after 16 s of its minute.
        """
        admission = AdmissionController(32, 64, Random(1))
        self.serve(admission, 3, 2, 0.12)
        decisions = [
            decision
            for number in range(12)
            for decision in admission.handle(
                AdmissionRequested(
                    1e4, f"s{number}", "a", 1.0, 0, 1e4 + 60, 8, max_tokens=1600
                )
            )
        ]
        self.assertTrue(all(isinstance(d, Start) for d in decisions), decisions)
        self.assertEqual(admission.handle(Tick(1e4 + 5)), [])

    def test_free_slot_admits_regardless_of_the_estimate(self) -> None:
        admission = AdmissionController(8, 64, Random(1))
        self.serve(admission, 60, 64, 6.4)
        self.assertEqual(self.request_long(admission, 0), [Start("long")])

    def test_latency_of_long_responses_applies_to_queued_requests(self) -> None:
        """Guards against queueing a request that cannot finish by its deadline."""
        admission = AdmissionController(8, 64, Random(1))
        self.serve(admission, 60, 640, 64.0)
        (decision,) = self.request_long(admission, admission.limit + 1)
        self.assertIsInstance(decision, Reject)
        self.assertIs(decision.reason, RejectReason.DEADLINE)
