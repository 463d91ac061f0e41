"""What a caller is told when one thing fails, and whether it is true.

A dispatch meets one cut or frozen connection. "ran: no" may be said only when the
target never had the order, whatever thaws later; "unknown" is right, and no more,
once the order may have reached it; neither answer is held back past the deadline.
"""

from __future__ import annotations

import json
import unittest
from dataclasses import replace

from fault_matrix import Cell, Fault, Hop, Step

from .order_lab import Order, OrderLab

GATEWAY, PLATFORM, TARGET = Hop.GATEWAY_AGENT, Hop.AGENT_PLATFORM, Hop.AGENT_TARGET
UNKNOWN = (502, "outcome_unknown", "unknown")
NO_CLAIM = (503, "claim_unavailable", "no")
REFUSED = (503, "overloaded", "no")
DONE = (201, "", "yes")
# Hop, step, fault, whether the order has a key, what the caller is told first.
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

# What the caller gets in the end, once the platform is back.
SECOND_FAULTS = (
    (GATEWAY, Step.REQUEST_SENT, Fault.CUT, 201),
    (GATEWAY, Step.REQUEST_SENT, Fault.FREEZE, 201),
    (GATEWAY, Step.ANSWER_SENT, Fault.KILL_GATEWAY, 201),
    (PLATFORM, Step.REQUEST_SENT, Fault.KILL_GATEWAY, 201),
    (TARGET, Step.ANSWER_SENT, Fault.FREEZE, 201),
    (TARGET, Step.ANSWER_SENT, Fault.CUT, 502),
    (TARGET, Step.ANSWER_SENT, Fault.KILL_AGENT, 502),
)
ACT_SECONDS = 5.0


class OutcomeTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.lab = cls.enterClassContext(OrderLab())

    def test_what_the_caller_is_told_is_true(self) -> None:
        not_run: list[tuple[Order, object]] = []
        for number, (hop, step, fault, keyed, expected) in enumerate(CASES):
            cell = Cell(hop, step, fault)
            order = Order(f"case-{number:04}", f"case-{number}" if keyed else "")
            with self.subTest(cell=cell.name, keyed=keyed):
                self.lab.warm_up()
                self.lab.lay_trap(cell, order)
                told = self._send(order)
                self.lab.heal()
                self.assertEqual(told, expected)
                self.assertLessEqual(self.lab.count_runs(order), 1)
                if told[2] == "no":
                    not_run.append((order, cell.name))
        # What thawed late has had time to act by now.
        for order, name in not_run:
            self.assertEqual(self.lab.count_runs(order), 0, name)

    def test_a_call_whose_caller_left_runs_on_and_is_answered_to_its_resend(
        self,
    ) -> None:
        # The target has the order and answers slowly; the caller gives up and asks
        # again at the other gateway, first while it runs, then when it is done.
        order = Order("left-behind", "left-behind")
        self.lab.warm_up()
        self.lab.lay_trap(Cell(TARGET, Step.ANSWER_SENT, Fault.LEAVE_AND_FREEZE), order)
        self.assertIsNone(self.lab.send("gateway-1", order))
        running = self.lab.send("gateway-2", order)
        assert running is not None
        self.assertEqual(running.error["code"], "idempotency_key_in_progress")
        self.lab.heal()
        answer = self.lab.insist("gateway-2", order)
        assert answer is not None
        self.assertEqual((answer.status, answer.headers["X-Replayed"]), (201, "true"))
        self.assertIn(order.pillar, json.loads(answer.body)["body"])
        self.assertEqual(self.lab.count_runs(order), 1)

    def test_the_platform_is_down_at_the_same_time(self) -> None:
        # The first fault takes the answer, and the platform is gone when the caller
        # resends: refused at once, or answered from what was kept; never run again.
        for number, (hop, step, fault, final) in enumerate(SECOND_FAULTS):
            cell = Cell(hop, step, fault)
            order = Order(f"second-{number:04}", f"second-{number}")
            with self.subTest(cell=cell.name):
                self.lab.warm_up()
                trap = self.lab.lay_trap(cell, order)
                self.lab.send("gateway-1", order)
                trap.acted.wait(ACT_SECONDS)
                self.lab.installation.set_faults({"down": True})
                again = replace(order, send_name="again")
                resent = self.lab.send("gateway-2", again)
                # The first send may reach the target only now: its agent had its claim
                # before the platform went, and does not know yet that its gateway died.
                self.assertNotIn("again", self.lab.list_sends_run(order))
                self.lab.installation.set_faults({})
                self.lab.heal()
                answer = self.lab.insist("gateway-2", order)
                assert resent is not None and answer is not None
                self.assertIn(resent.status, (409, 502, 503))
                self.assertEqual(answer.status, final)
                self.assertLessEqual(self.lab.count_runs(order), 1)

    def _send(self, order: Order) -> tuple[int, str, str]:
        answer = self.lab.send("gateway-1", order)
        if answer is None:
            return (0, "", "")
        if answer.status == 201:
            return (201, "", "yes")
        return (answer.status, answer.error["code"], answer.error["ran"])
