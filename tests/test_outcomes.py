"""Tests that the outcome reported to a caller after one fault is true.

A dispatch meets a cut or frozen connection or a killed or stopped process. "ran: no"
may be reported only if the target never received the dispatch, whatever is resumed
later. Once the dispatch may have reached the target, the outcome is "unknown". Neither
response is delayed past the deadline.
"""

from __future__ import annotations

import json
import unittest
from dataclasses import replace

from fault_matrix import Cell, Fault, Hop, Step

from .dispatch_harness import Dispatch, DispatchHarness

GATEWAY, PLATFORM, TARGET = Hop.GATEWAY_AGENT, Hop.AGENT_PLATFORM, Hop.AGENT_TARGET
UNKNOWN = (502, "outcome_unknown", "unknown")
NO_CLAIM = (503, "claim_unavailable", "no")
REFUSED = (503, "overloaded", "no")
DONE = (201, "", "yes")
# Hop, step, fault, whether the dispatch has a key, first result for the caller.
CASES = (
    (GATEWAY, Step.CONNECT, Fault.CUT, True, REFUSED),
    (GATEWAY, Step.CONNECT, Fault.CUT, False, REFUSED),
    (GATEWAY, Step.REQUEST_SENT, Fault.CUT, True, UNKNOWN),
    (GATEWAY, Step.REQUEST_SENT, Fault.CUT, False, UNKNOWN),
    (GATEWAY, Step.REQUEST_SENT, Fault.FREEZE, True, UNKNOWN),
    (GATEWAY, Step.REQUEST_SENT, Fault.FREEZE, False, UNKNOWN),
    (GATEWAY, Step.REQUEST_SENT, Fault.STOP_AGENT, False, UNKNOWN),
    (GATEWAY, Step.REQUEST_RECEIVED, Fault.CUT, False, UNKNOWN),
    (GATEWAY, Step.REQUEST_SENT, Fault.KILL_AGENT, False, UNKNOWN),
    (PLATFORM, Step.CONNECT, Fault.CUT, True, NO_CLAIM),
    (PLATFORM, Step.REQUEST_SENT, Fault.CUT, True, DONE),
    (PLATFORM, Step.REQUEST_RECEIVED, Fault.CUT, True, DONE),
    (PLATFORM, Step.ANSWER_SENT, Fault.CUT, True, DONE),
    (TARGET, Step.CONNECT, Fault.CUT, True, REFUSED),
    (TARGET, Step.CONNECT, Fault.CUT, False, REFUSED),
    (TARGET, Step.REQUEST_SENT, Fault.CUT, True, UNKNOWN),
    (TARGET, Step.REQUEST_SENT, Fault.CUT, False, UNKNOWN),
    (TARGET, Step.REQUEST_RECEIVED, Fault.CUT, False, UNKNOWN),
    (TARGET, Step.REQUEST_SENT, Fault.STOP_TARGET, False, UNKNOWN),
    (TARGET, Step.ANSWER_SENT, Fault.CUT, False, UNKNOWN),
)

# Hop, step, fault, final status after the platform has recovered.
PLATFORM_OUTAGE_CASES = (
    (GATEWAY, Step.REQUEST_SENT, Fault.CUT, 201),
    (GATEWAY, Step.REQUEST_SENT, Fault.FREEZE, 201),
    (GATEWAY, Step.ANSWER_SENT, Fault.KILL_GATEWAY, 201),
    (PLATFORM, Step.REQUEST_SENT, Fault.KILL_GATEWAY, 201),
    (TARGET, Step.ANSWER_SENT, Fault.FREEZE, 201),
    (TARGET, Step.ANSWER_SENT, Fault.CUT, 502),
    (TARGET, Step.ANSWER_SENT, Fault.KILL_AGENT, 502),
)
ACTION_TIMEOUT_SECONDS = 5.0


class OutcomeTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.harness = cls.enterClassContext(DispatchHarness())

    def test_what_the_caller_is_told_is_true(self) -> None:
        not_run: list[tuple[Dispatch, object]] = []
        for number, (hop, step, fault, keyed, expected) in enumerate(CASES):
            cell = Cell(hop, step, fault)
            dispatch = Dispatch(f"case-{number:04}", f"case-{number}" if keyed else "")
            with self.subTest(cell=cell.name, keyed=keyed):
                self.harness.warm_up()
                self.harness.arm_fault(cell, dispatch)
                result = self._send(dispatch)
                self.harness.restore()
                self.assertEqual(result, expected)
                self.assertLessEqual(self.harness.count_runs(dispatch), 1)
                if result[2] == "no":
                    not_run.append((dispatch, cell.name))
        # Processes resumed late have had time to act by now.
        for dispatch, name in not_run:
            self.assertEqual(self.harness.count_runs(dispatch), 0, name)

    def test_a_dispatch_runs_on_after_a_disconnect_and_its_retry_gets_the_response(
        self,
    ) -> None:
        # The target has the dispatch and responds slowly. The caller disconnects and
        # retries at the other gateway, first while it runs, then when it has finished.
        dispatch = Dispatch("left-behind", "left-behind")
        self.harness.warm_up()
        self.harness.arm_fault(
            Cell(TARGET, Step.ANSWER_SENT, Fault.LEAVE_AND_FREEZE), dispatch
        )
        self.assertIsNone(self.harness.send("gateway-1", dispatch))
        running = self.harness.send("gateway-2", dispatch)
        assert running is not None
        self.assertEqual(running.error["code"], "idempotency_key_in_progress")
        self.harness.restore()
        response = self.harness.send_with_retries("gateway-2", dispatch)
        assert response is not None
        self.assertEqual(
            (response.status, response.headers["X-Replayed"]), (201, "true")
        )
        self.assertIn(dispatch.pillar, json.loads(response.body)["body"])
        self.assertEqual(self.harness.count_runs(dispatch), 1)

    def test_a_retry_during_a_platform_outage_does_not_run(self) -> None:
        # The first fault loses the response, and the platform is down when the caller
        # retries. The retry is refused at once or answered from the stored response,
        # and never run.
        for number, (hop, step, fault, final) in enumerate(PLATFORM_OUTAGE_CASES):
            cell = Cell(hop, step, fault)
            dispatch = Dispatch(f"second-{number:04}", f"second-{number}")
            with self.subTest(cell=cell.name):
                self.harness.warm_up()
                trigger = self.harness.arm_fault(cell, dispatch)
                self.harness.send("gateway-1", dispatch)
                trigger.action_done.wait(ACTION_TIMEOUT_SECONDS)
                self.harness.installation.set_faults({"down": True})
                retry = replace(dispatch, attempt_name="again")
                resent = self.harness.send("gateway-2", retry)
                # The first attempt may reach the target only now: its agent acquired
                # the claim before the outage and has not yet detected that the gateway
                # died.
                self.assertNotIn("again", self.harness.list_recorded_attempts(dispatch))
                self.harness.installation.set_faults({})
                self.harness.restore()
                response = self.harness.send_with_retries("gateway-2", dispatch)
                assert resent is not None and response is not None
                self.assertIn(resent.status, (409, 502, 503))
                self.assertEqual(response.status, final)
                self.assertLessEqual(self.harness.count_runs(dispatch), 1)

    def _send(self, dispatch: Dispatch) -> tuple[int, str, str]:
        response = self.harness.send("gateway-1", dispatch)
        if response is None:
            return (0, "", "")
        if response.status == 201:
            return (201, "", "yes")
        return (response.status, response.error["code"], response.error["ran"])
