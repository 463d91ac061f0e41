"""Routing decisions after rejections, crashes and outdated reports."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from bamboopier_decisions.routing.messages import (
    ExclusionReason,
    ExecutionStatus,
    FirstByteReceived,
    Refuse,
    RefuseReason,
    Send,
    TargetLoad,
    TargetReported,
)
from bamboopier_decisions.routing.wait_bound import UNBOUNDED

from .routing_builders import make_end, make_fleet, make_request, make_router

if TYPE_CHECKING:
    from bamboopier_decisions.routing.router import Router


class ExecutionStatusTests(unittest.TestCase):
    def test_unknown_stays_unknown_when_the_next_target_rejects(self) -> None:
        """Guards against reporting "not run" for a request that may have been executed.

        The first target crashes with the request in flight, the second rejects it for
        load. The second one's "not run" is true for its own attempt only.
        """
        router = make_router(2)
        first = router.handle(make_request("r"))
        self.assertIsInstance(first, Send)
        second = router.handle(
            make_end("r", first.target, ExecutionStatus.UNKNOWN, broken=True)
        )
        self.assertIsInstance(second, Send)
        end = make_end(
            "r", second.target, ExecutionStatus.NOT_EXECUTED, retry_after=1.0
        )
        refusal = router.handle(end)
        self.assertIsInstance(refusal, Refuse)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    def test_an_unknown_outcome_of_a_non_idempotent_request_is_final(self) -> None:
        router = make_router(2)
        request = make_request("r", idempotent=False)
        sent = router.handle(request)
        refusal = router.handle(
            make_end("r", sent.target, ExecutionStatus.UNKNOWN, broken=True)
        )
        self.assertIsInstance(refusal, Refuse)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)


class LeavingTargetTests(unittest.TestCase):
    def test_rejections_by_leaving_targets_do_not_use_the_retry_budget(self) -> None:
        """Guards against refusing the queued requests of a data centre that leaves.

        Its targets reject all queued requests without executing them. Fifty requests
        need another target at once, five times the saved retries, with no overload.
        """
        router = make_router(4)
        sent = [router.handle(make_request(f"r{n}")) for n in range(50)]
        for number, first in enumerate(sent):
            again = router.handle(
                make_end(f"r{number}", first.target, ExecutionStatus.NOT_EXECUTED)
            )
            self.assertIsInstance(again, Send, number)
            self.assertNotEqual(again.target, first.target)

    def test_last_remaining_target_gets_an_unbounded_wait(self) -> None:
        """Guards against refusals while one of two targets is stopped.

        The other one is busy for a moment. With a wait bound of 0.1 s it would reject
        the request, and callers would receive "overloaded" until the first is back.
        """
        router = make_router(2)
        first = router.handle(make_request("r0"))
        self.assertLess(first.max_wait, UNBOUNDED)
        again = router.handle(
            make_end("r0", first.target, ExecutionStatus.NOT_EXECUTED, broken=True)
        )
        self.assertEqual(again.max_wait, UNBOUNDED)
        # The stopped target is excluded for its back-off time.
        alone = router.handle(make_request("r1"))
        self.assertEqual(alone.target, again.target)
        self.assertEqual(alone.max_wait, UNBOUNDED)

    def test_refusal_lists_exclusion_reasons(self) -> None:
        """Guards against refusals whose cause cannot be found.

        One target drains, and the other one crashed a moment ago. Callers receive
        "overloaded" for a second although no target is overloaded: only the exclusion
        reasons logged with the refusal distinguish this from load.
        """
        router = make_router(2)
        first = router.handle(make_request("r0"))
        again = router.handle(
            make_end("r0", first.target, ExecutionStatus.UNKNOWN, broken=True)
        )
        router.handle(make_end("r0", again.target, ExecutionStatus.EXECUTED))
        sent = router.handle(make_request("r1"))
        self.assertEqual(sent.target, again.target)
        refusal = router.handle(
            make_end("r1", sent.target, ExecutionStatus.NOT_EXECUTED)
        )
        self.assertIs(refusal.reason, RefuseReason.OVERLOADED)
        excluded = {p.target: p.reason for p in refusal.excluded}
        self.assertEqual(
            excluded,
            {first.target: ExclusionReason.BROKEN, sent.target: ExclusionReason.TRIED},
        )

    def test_rejections_for_load_use_the_retry_budget(self) -> None:
        """With every target full, retries stay a small share of the requests sent."""
        router = make_router(40)
        retries = 0
        for number in range(200):
            decision = router.handle(make_request(f"r{number}", workspace=f"w{number}"))
            while isinstance(decision, Send):
                end = make_end(
                    f"r{number}",
                    decision.target,
                    ExecutionStatus.NOT_EXECUTED,
                    retry_after=1.0,
                )
                decision = router.handle(end)
                retries += isinstance(decision, Send)
        self.assertLessEqual(retries, 10)

    def test_attempts_are_bounded_when_the_whole_fleet_leaves(self) -> None:
        router = make_router(100)
        decision = router.handle(make_request("r"))
        sends = 0
        while isinstance(decision, Send):
            sends += 1
            decision = router.handle(
                make_end("r", decision.target, ExecutionStatus.NOT_EXECUTED)
            )
        self.assertEqual(sends, 8)
        self.assertIs(decision.reason, RefuseReason.ATTEMPTS)


class StaleReportTests(unittest.TestCase):
    def test_non_accepting_target_is_tried_again(self) -> None:
        """Guards against a target that stays excluded after it has recovered.

        An engine restarts; its agent's report with the last response says that it
        accepts no requests. Reports come only with responses, so no later one corrects
        it, and callers would receive no-target forever.
        """
        router = make_router(1)
        load = TargetLoad(accepting=False)
        router.handle(TargetReported(1.0, "t0", load))
        at_once = router.handle(make_request("r1", now=1.1))
        self.assertIsInstance(at_once, Refuse)
        later = router.handle(make_request("r2", now=4.0))
        self.assertIsInstance(later, Send)

    def test_sent_counts_decay_while_the_gateway_is_idle(self) -> None:
        """Guards against avoiding a prompt's owner because of old requests.

        The gateway sent it many prompts in a busy minute and received no report since;
        all of them have been completed long ago.
        """
        router = make_router(9)
        keys = (b"a" * 16, b"b" * 16)
        owner = router.handle(make_request("r", keys=keys)).target
        for number in range(40):
            router.handle(make_request(f"r{number}", now=1.0, keys=keys))
        later = router.handle(make_request("later", now=30.0, keys=keys))
        self.assertEqual(later.target, owner)


class WorkspaceBackoffTests(unittest.TestCase):
    def test_full_target_receives_only_probes_from_a_rejected_workspace(self) -> None:
        """Guards against sending every immediate retry of a caller to a full target.

        Only one probe per half second is sent until the time to retry; the gateway
        refuses all other requests at once, with the remaining time.
        """
        router = make_router(1)
        sends = 0
        for number in range(100):
            now = number * 0.05
            decision = router.handle(make_request(f"r{number}", now=now))
            if isinstance(decision, Send):
                sends += 1
                end = make_end(
                    f"r{number}",
                    "t0",
                    ExecutionStatus.NOT_EXECUTED,
                    now,
                    retry_after=10.0 - now,
                )
                decision = router.handle(end)
            self.assertIsInstance(decision, Refuse)
            self.assertGreater(decision.retry_after, 0)
        self.assertLessEqual(sends, 11)
        self.assertGreaterEqual(sends, 9)

    def test_rejection_applies_to_one_workspace_only(self) -> None:
        router = make_router(1)
        router.handle(make_request("r1", workspace="hot"))
        router.handle(
            make_end("r1", "t0", ExecutionStatus.NOT_EXECUTED, retry_after=10.0)
        )
        decision = router.handle(make_request("r2", workspace="other"))
        self.assertIsInstance(decision, Send)


class OutlierDetectionTests(unittest.TestCase):
    """One of six targets takes a second longer to the first byte than the others."""

    def serve(self, router: Router, start: float, slow: set[str]) -> list[str]:
        """Serve 400 requests over 40 s; return the targets they were sent to."""
        targets: list[str] = []
        for number in range(400):
            now = start + number / 10
            name = f"{now}"
            sent = router.handle(make_request(name, now))
            targets.append(sent.target)
            seconds = 1.2 if sent.target in slow else 0.1
            router.handle(FirstByteReceived(now + 0.05, name, sent.target, seconds))
            router.handle(
                make_end(name, sent.target, ExecutionStatus.EXECUTED, now + 0.05)
            )
        return targets

    def test_slow_target_is_ejected_and_readmitted_when_fast(self) -> None:
        router = make_router(6)
        self.serve(router, 0.0, {"t0"})
        slow = self.serve(router, 40.0, {"t0"})
        self.assertLess(slow.count("t0"), 8)
        self.serve(router, 80.0, set())
        readmitted = self.serve(router, 120.0, set())
        self.assertGreater(readmitted.count("t0"), 40)

    def test_at_most_a_third_of_targets_is_ejected(self) -> None:
        """Guards against overloading the rest when a rollout slows half the targets."""
        router = make_router(6)
        slow = {"t0", "t1"}
        self.serve(router, 0.0, slow)
        both = self.serve(router, 40.0, slow | {"t2"})
        self.assertGreater(both.count("t2"), 40)


class RampTests(unittest.TestCase):
    def test_new_targets_receive_their_share_gradually(self) -> None:
        """Guards against sending cold targets their whole share in the first second.

        Four targets are in use and four more appear, as when a data centre returns.
        Their share must grow to a half over the ramp.
        """
        router = make_router(4)
        router.handle(make_fleet(8, now=100.0))
        new = {"t4", "t5", "t6", "t7"}

        def measure_share(now: float) -> float:
            sent = [router.handle(make_request(f"{now}.{n}", now)) for n in range(400)]
            return sum(decision.target in new for decision in sent) / len(sent)

        self.assertLess(measure_share(100.5), 0.15)
        self.assertGreater(measure_share(111.0), 0.4)
