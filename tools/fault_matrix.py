"""The faults and steps covered by the tests of at-most-once execution and "not run".

The tests share this table: those of a single claim partition, of the agent's claim
table with a fake platform, and of real processes on real sockets.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class CallFault(StrEnum):
    """The outcome of one call to the platform."""

    NONE = "none"
    # Refused without any effect.
    DOWN = "down"
    LOST_BEFORE_EFFECT = "lost before its effect"
    LOST_AFTER_EFFECT = "answer lost after its effect"
    # The response is lost, and the change takes effect later if its expected version
    # is still the current one.
    DELAYED = "answer lost, effect delayed"
    # It was retransmitted after it had taken effect, and the second call conflicted.
    RESENT = "took effect, sent again and refused"


class Hop(StrEnum):
    """A connection between two processes that serve one request."""

    GATEWAY_AGENT = "gateway-agent"
    AGENT_PLATFORM = "agent-platform"
    AGENT_TARGET = "agent-target"


class Step(StrEnum):
    """A point on a hop, identified by the bytes that a relay observes there."""

    CONNECT = "connect"
    # The request has left its sender and not reached its receiver.
    REQUEST_SENT = "request sent"
    # The receiver has the request.
    REQUEST_RECEIVED = "request received"
    # The response has left the receiver and not reached the sender.
    ANSWER_SENT = "answer sent"
    # A few bytes of the response have arrived.
    ANSWER_PART = "part of the answer received"


class Fault(StrEnum):
    """A fault that is injected at a step."""

    CUT = "connection cut"
    FREEZE = "connection frozen, thawed after the first answer"
    KILL_GATEWAY = "gateway killed"
    KILL_AGENT = "agent killed"
    KILL_TARGET = "target killed"
    STOP_GATEWAY = "gateway stopped, continued after the first answer"
    STOP_AGENT = "agent stopped, continued after the first answer"
    STOP_TARGET = "target stopped, continued after the first answer"
    CALLER_LEAVES = "caller leaves"
    LEAVE_AND_FREEZE = "caller leaves, connection frozen"
    RESEND = "caller resends to another gateway meanwhile"


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step; ``unreachable`` says why it cannot be injected."""

    hop: Hop
    step: Step
    fault: Fault
    unreachable: str = ""

    @property
    def name(self) -> str:
        """Return the name of the cell in reports and in the text of its request."""
        return f"{self.hop}, {self.step}: {self.fault}"


_ON_CONNECT = {Fault.CUT, Fault.FREEZE}


def list_cells() -> Iterator[Cell]:
    """Yield every fault at every step of every hop."""
    for hop, step, fault in itertools.product(Hop, Step, Fault):
        yield Cell(hop, step, fault, _find_unreachable_reason(hop, step, fault))


def _find_unreachable_reason(hop: Hop, step: Step, fault: Fault) -> str:
    if step is Step.CONNECT and fault not in _ON_CONNECT:
        return "the connection carries no request yet; same as 'request sent'"
    if step is Step.CONNECT and hop is Hop.GATEWAY_AGENT and fault is Fault.FREEZE:
        return "one connection carries all calls; frozen at 'request sent'"
    return ""
