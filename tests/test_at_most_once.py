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

from .dispatch_harness import Dispatch, DispatchHarness

if TYPE_CHECKING:
    from .builders import Response
    from .relay import FaultTrigger

CELL_FILTER = os.environ.get("CELLS", "")
ACTION_TIMEOUT_SECONDS = 5.0
_RETRIED_BEFORE_RESTORE = {
    Fault.FREEZE,
    Fault.LEAVE_AND_FREEZE,
    Fault.STOP_GATEWAY,
    Fault.STOP_AGENT,
    Fault.STOP_TARGET,
}


@dataclass
class HopResults:
    """What became of the cells of one hop."""

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    not_triggered: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)


class AtMostOnceTests(unittest.TestCase):
    def test_every_fault_at_every_step(self) -> None:
        with ThreadPoolExecutor(len(Hop)) as pool:
            hop_results = list(pool.map(run_hop, Hop))
        for hop, results in zip(Hop, hop_results, strict=True):
            done = len(results.passed) + len(results.failed)
            print(
                f"{hop}: {done} cells run, {len(results.passed)} passed,"
                f" {len(results.failed)} failed, {len(results.not_triggered)} not sprung,"
                f" {len(results.unreachable)} not reachable"
            )
            for line in results.failed + results.not_triggered + results.unreachable:
                print(f"  {line}")
        failures = [line for r in hop_results for line in r.failed + r.not_triggered]
        self.assertEqual(failures, [])


def run_hop(hop: Hop) -> HopResults:
    """Run all cells of one hop in an installation of its own."""
    results = HopResults()
    sent: list[tuple[Cell, Dispatch, list[Response | None]]] = []
    with DispatchHarness() as harness:
        for number, cell in enumerate(list_cells()):
            if cell.hop is not hop or CELL_FILTER not in cell.name:
                continue
            if cell.unreachable:
                results.unreachable.append(f"{cell.name}: {cell.unreachable}")
                continue
            dispatch = Dispatch(f"pillar-{number:04}", f"key-{number:04}")
            harness.warm_up()
            trigger = harness.arm_fault(cell, dispatch)
            responses = run_cell(harness, cell, dispatch, trigger)
            if not trigger.fired.is_set() and cell.step is not Step.CONNECT:
                results.not_triggered.append(f"{cell.name}: {describe(responses)}")
            sent.append((cell, dispatch, responses))
        # A thawed process may act late: the log is read once all is over.
        for cell, dispatch, responses in sent:
            violation = find_violation(cell, responses, harness.count_runs(dispatch))
            if violation:
                results.failed.append(
                    f"{cell.name}: {violation}: {describe(responses)}"
                )
            else:
                results.passed.append(cell.name)
    return results


def run_cell(
    harness: DispatchHarness, cell: Cell, dispatch: Dispatch, trigger: FaultTrigger
) -> list[Response | None]:
    """Return what the caller received, send by send; the last is the final answer."""
    harness.resent = None
    responses = [harness.send("gateway-1", dispatch)]
    if cell.step is not Step.CONNECT:
        # The answer may be here before the relay's thread has done its part.
        trigger.action_done.wait(ACTION_TIMEOUT_SECONDS)
    if cell.fault is Fault.RESEND:
        responses.append(harness.resent)
    if cell.fault in _RETRIED_BEFORE_RESTORE:
        responses.append(harness.send("gateway-2", dispatch))
    harness.restore()
    responses.append(harness.send_with_retries("gateway-2", dispatch))
    return responses


def find_violation(cell: Cell, responses: list[Response | None], runs: int) -> str:
    """Return what was wrong with a cell, or nothing."""
    if runs > 1:
        return f"ran {runs} times"
    completed = [
        response for response in responses if response and response.status == 201
    ]
    if completed and runs == 0:
        return "answered without a run"
    if any(json.loads(response.body)["path"] != "/vans" for response in completed):
        return "answer of another request"
    final = responses[-1]
    earlier = [
        response for response in responses[:-1] if not _reports_not_run(response)
    ]
    if runs and not earlier and (final is None or "X-Replayed" in final.headers):
        return "ran although every send was told that it had not"
    if final is None:
        return "no final answer"
    if final.status == 201:
        return ""
    if final.error["ran"] == "no":
        return "a dispatch that could run did not"
    return "" if _may_be_unknown(cell) else f"unknown after {runs} runs"


def _reports_not_run(response: Response | None) -> bool:
    if response is None or response.status == 201:
        return False
    return bool(response.error["ran"] == "no")


def _may_be_unknown(cell: Cell) -> bool:
    """Say whether the one process that knew the outcome was lost, or never heard it."""
    if cell.fault is Fault.KILL_AGENT:
        return True
    if cell.hop is Hop.AGENT_TARGET:
        return cell.fault in (Fault.CUT, Fault.KILL_TARGET)
    # The agent runs on meanwhile: the order may be on its way to the target.
    return cell.fault is Fault.KILL_TARGET and cell.step is Step.REQUEST_RECEIVED


def describe(responses: list[Response | None]) -> str:
    """Return the answers in short."""
    return ", ".join(
        "none"
        if response is None
        else f"{response.status}"
        if response.status == 201
        else f"{response.status} {response.error['code']} ran {response.error['ran']}"
        for response in responses
    )
