"""Tests every fault at every step of one dispatch, on real processes and sockets.

A caller sends a dispatch with an idempotency key. At one step a connection is cut or
frozen, a process is killed or stopped, or the caller disconnects or resends. The caller
then retries at the other gateway, before and after the fault is removed, until it gets
a final response. Two agents serve the one target. Guards against a second run in the
target's log, a "not run" that is false, and "outcome unknown" for a dispatch that never
ran although no process lost state.
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
    """The results of the cells of one hop."""

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
                f" {len(results.failed)} failed,"
                f" {len(results.not_triggered)} not triggered,"
                f" {len(results.unreachable)} not reachable"
            )
            for line in results.failed + results.not_triggered + results.unreachable:
                print(f"  {line}")
        failures = [line for r in hop_results for line in r.failed + r.not_triggered]
        self.assertEqual(failures, [])


def run_hop(hop: Hop) -> HopResults:
    """Run all cells of one hop in a separate installation."""
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
        # A resumed process may act late, so the log is read after all cells.
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
    """Return the response of each attempt; the last one is the final response."""
    harness.resent = None
    responses = [harness.send("gateway-1", dispatch)]
    if cell.step is not Step.CONNECT:
        # The response may arrive before the relay's thread has run the action.
        trigger.action_done.wait(ACTION_TIMEOUT_SECONDS)
    if cell.fault is Fault.RESEND:
        responses.append(harness.resent)
    if cell.fault in _RETRIED_BEFORE_RESTORE:
        responses.append(harness.send("gateway-2", dispatch))
    harness.restore()
    responses.append(harness.send_with_retries("gateway-2", dispatch))
    return responses


def find_violation(cell: Cell, responses: list[Response | None], runs: int) -> str:
    """Return the guarantee that a cell violated, or an empty string."""
    if runs > 1:
        return f"ran {runs} times"
    completed = [
        response for response in responses if response and response.status == 201
    ]
    if completed and runs == 0:
        return "success response without a run"
    if any(json.loads(response.body)["path"] != "/vans" for response in completed):
        return "response of another request"
    final = responses[-1]
    earlier = [
        response for response in responses[:-1] if not _reports_not_run(response)
    ]
    if runs and not earlier and (final is None or "X-Replayed" in final.headers):
        return "ran although every attempt was reported as not run"
    if final is None:
        return "no final response"
    if final.status == 201:
        return ""
    if final.error["ran"] == "no":
        return "dispatch did not run although it could"
    return "" if _may_be_unknown(cell) else f"unknown after {runs} runs"


def _reports_not_run(response: Response | None) -> bool:
    if response is None or response.status == 201:
        return False
    return bool(response.error["ran"] == "no")


def _may_be_unknown(cell: Cell) -> bool:
    """Return whether the only process with the outcome died or never received it."""
    if cell.fault is Fault.KILL_AGENT:
        return True
    if cell.hop is Hop.AGENT_TARGET:
        return cell.fault in (Fault.CUT, Fault.KILL_TARGET)
    # The agent continues, so the dispatch may be in flight to the target.
    return cell.fault is Fault.KILL_TARGET and cell.step is Step.REQUEST_RECEIVED


def describe(responses: list[Response | None]) -> str:
    """Return a summary of the responses."""
    return ", ".join(
        "none"
        if response is None
        else f"{response.status}"
        if response.status == 201
        else f"{response.status} {response.error['code']} ran {response.error['ran']}"
        for response in responses
    )
