"""Every fault at every step of one dispatch, on real processes and sockets.

A caller sends one dispatch under a key. At a named step a connection is cut or frozen,
a process is killed or stopped, or the caller leaves or resends. The caller then sends
the same dispatch to the other gateway, before and after the fault is healed, until it
has a final answer. Two agents lead to the one target. The target's own log must show
at most one run; "not run" must be true; and a dispatch that never ran must still be
possible, instead of being "outcome unknown" although nobody lost anything.
"""

from __future__ import annotations

import json
import os
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fault_matrix import Cell, Fault, Hop, Step, list_cells

from .order_lab import Order, OrderLab

if TYPE_CHECKING:
    from .builders import Answer
    from .relay import Trap

ONLY = os.environ.get("CELLS", "")
ACT_SECONDS = 5.0
_HELD_BACK = {
    Fault.FREEZE,
    Fault.LEAVE_AND_FREEZE,
    Fault.STOP_GATEWAY,
    Fault.STOP_AGENT,
    Fault.STOP_TARGET,
}


@dataclass
class Report:
    """What became of the cells of one hop."""

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    not_sprung: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)


class AtMostOnceTests(unittest.TestCase):
    def test_every_fault_at_every_step(self) -> None:
        with ThreadPoolExecutor(len(Hop)) as pool:
            reports = list(pool.map(run_hop, Hop))
        for hop, report in zip(Hop, reports, strict=True):
            done = len(report.passed) + len(report.failed)
            print(
                f"{hop}: {done} cells run, {len(report.passed)} passed,"
                f" {len(report.failed)} failed, {len(report.not_sprung)} not sprung,"
                f" {len(report.unreachable)} not reachable"
            )
            for line in report.failed + report.not_sprung + report.unreachable:
                print(f"  {line}")
        faults = [line for r in reports for line in r.failed + r.not_sprung]
        self.assertEqual(faults, [])


def run_hop(hop: Hop) -> Report:
    """Run all cells of one hop in an installation of its own."""
    report = Report()
    sent: list[tuple[Cell, Order, list[Answer | None]]] = []
    with OrderLab() as lab:
        for number, cell in enumerate(list_cells()):
            if cell.hop is not hop or ONLY not in cell.name:
                continue
            if cell.unreachable:
                report.unreachable.append(f"{cell.name}: {cell.unreachable}")
                continue
            order = Order(f"pillar-{number:04}", f"key-{number:04}")
            lab.warm_up()
            trap = lab.lay_trap(cell, order)
            answers = run_cell(lab, cell, order, trap)
            if not trap.sprung.is_set() and cell.step is not Step.CONNECT:
                report.not_sprung.append(f"{cell.name}: {describe(answers)}")
            sent.append((cell, order, answers))
        # A thawed process may act late: the log is read once all is over.
        for cell, order, answers in sent:
            fault = find_fault(cell, answers, lab.count_runs(order))
            if fault:
                report.failed.append(f"{cell.name}: {fault}: {describe(answers)}")
            else:
                report.passed.append(cell.name)
    return report


def run_cell(
    lab: OrderLab, cell: Cell, order: Order, trap: Trap
) -> list[Answer | None]:
    """Return what the caller received, send by send; the last is the final answer."""
    lab.resent = None
    answers = [lab.send("gateway-1", order)]
    if cell.step is not Step.CONNECT:
        # The answer may be here before the relay's thread has done its part.
        trap.acted.wait(ACT_SECONDS)
    if cell.fault is Fault.RESEND:
        answers.append(lab.resent)
    if cell.fault in _HELD_BACK:
        answers.append(lab.send("gateway-2", order))
    lab.heal()
    answers.append(lab.insist("gateway-2", order))
    return answers


def find_fault(cell: Cell, answers: list[Answer | None], runs: int) -> str:
    """Return what was wrong with a cell, or nothing."""
    if runs > 1:
        return f"ran {runs} times"
    whole = [answer for answer in answers if answer and answer.status == 201]
    if whole and runs == 0:
        return "answered without a run"
    if any(json.loads(answer.body)["path"] != "/vans" for answer in whole):
        return "answer of another request"
    final = answers[-1]
    earlier = [answer for answer in answers[:-1] if not _said_not_run(answer)]
    if runs and not earlier and (final is None or "X-Replayed" in final.headers):
        return "ran although every send was told that it had not"
    if final is None:
        return "no final answer"
    if final.status == 201:
        return ""
    if final.error["ran"] == "no":
        return "a dispatch that could run did not"
    return "" if _may_be_unknown(cell) else f"unknown after {runs} runs"


def _said_not_run(answer: Answer | None) -> bool:
    if answer is None or answer.status == 201:
        return False
    return bool(answer.error["ran"] == "no")


def _may_be_unknown(cell: Cell) -> bool:
    """Say whether the one process that knew the outcome was lost, or never heard it."""
    if cell.fault is Fault.KILL_AGENT:
        return True
    if cell.hop is Hop.AGENT_TARGET:
        return cell.fault in (Fault.CUT, Fault.KILL_TARGET)
    # The agent runs on meanwhile: the order may be on its way to the target.
    return cell.fault is Fault.KILL_TARGET and cell.step is Step.REQUEST_RECEIVED


def describe(answers: list[Answer | None]) -> str:
    """Return the answers in short."""
    return ", ".join(
        "none"
        if answer is None
        else f"{answer.status}"
        if answer.status == 201
        else f"{answer.status} {answer.error['code']} ran {answer.error['ran']}"
        for answer in answers
    )
