"""A request is not queued at a busy target while others may be idle."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.admission.controller import AdmissionController
from bamboopier_decisions.admission.messages import (
    AdmissionRequested,
    Reject,
    RejectReason,
    RequestFinished,
    Start,
)
from bamboopier_decisions.routing.messages import (
    AttemptEnded,
    Distance,
    ExecutionStatus,
    FleetChanged,
    RequestArrived,
    Send,
    TargetView,
)
from bamboopier_decisions.routing.router import Router
from bamboopier_decisions.routing.wait_bound import BOUNDED_WAIT_SECONDS, UNBOUNDED

TARGETS = 6
# More than the retries that a retry budget can save.
REQUESTS = 200


def build_work(number: int, max_wait: float) -> AdmissionRequested:
    """Return a request that takes the target some seconds."""
    name = f"r{number}"
    return AdmissionRequested(0.0, name, "w", 1.0, 0, 60.0, 4000, 400, max_wait)


class WaitBoundTests(unittest.TestCase):
    def test_busy_target_rejects_requests_beyond_their_wait_bound(self) -> None:
        # The target is full. A request that may wait 0.1 s is rejected as "not run"
        # without a time to retry, since another target may have capacity; a request
        # without a bound is queued.
        admission = AdmissionController(2, 10, random.Random(1))
        admission.handle(build_work(0, UNBOUNDED))
        admission.handle(RequestFinished(3.0, "r0", succeeded=True, output_tokens=100))
        for number in (1, 2):
            started = admission.handle(build_work(number, BOUNDED_WAIT_SECONDS))
            self.assertEqual(started, [Start(f"r{number}")])
        busy = admission.handle(build_work(3, BOUNDED_WAIT_SECONDS))
        self.assertEqual(busy, [Reject("r3", RejectReason.BUSY, 0.0)])
        self.assertEqual(admission.handle(build_work(4, UNBOUNDED)), [])
        self.assertEqual(admission.waiting, 1)

    def test_third_attempt_waits_without_a_bound(self) -> None:
        # Every target that the gateway tries is busier than last reported. The third
        # attempt is unbounded; none is refused for lack of retry budget.
        router = Router(random.Random(2))
        views = [TargetView(f"t{n}", "s", Distance.SAME_REGION) for n in range(TARGETS)]
        router.handle(FleetChanged(0.0, tuple(views)))
        for number in range(REQUESTS):
            name = f"r{number}"
            request = RequestArrived(100.0, name, "w", "s", False, 160.0, 100)
            decision = router.handle(request)
            tried: list[tuple[str, float]] = []
            for _ in range(3):
                assert isinstance(decision, Send), decision
                tried.append((decision.target, decision.max_wait))
                ended = AttemptEnded(
                    100.0, name, decision.target, ExecutionStatus.NOT_EXECUTED
                )
                decision = router.handle(ended)
            self.assertEqual(len({target for target, _ in tried}), 3)
            bounds = [bound for _, bound in tried]
            self.assertEqual(
                bounds, [BOUNDED_WAIT_SECONDS, BOUNDED_WAIT_SECONDS, UNBOUNDED]
            )
            router.abandon(name)
