"""Answers gateways that ask an agent for the load of its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.load_ledger import LoadLedger
from bamboopier_decisions.forwarding.target_state import Load

from .hints import LoadQuery, OwnLoadHint, TargetLoadAnswer
from .settings import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from .hints import Hint

    Send = Callable[[TargetLoadAnswer, Endpoint], None]

# Instances of the target that are kept apart: gateways learn of a restart at different
# times.
MAX_INSTANCES = 3


class LoadAnswers:
    """The ledgers of the last instances of the target beside this process."""

    def __init__(self, send: Send) -> None:
        self._send = send
        # By name of the instance, oldest first.
        self._ledgers: dict[str, LoadLedger] = {}

    def receive(self, hint: Hint, sender: tuple[str, int]) -> None:
        """Handle a message of a gateway, if it concerns loads."""
        match hint:
            case OwnLoadHint():
                load = Load(hint.requests, hint.memory, hint.pending_prefill)
                order = hint.started_ms, hint.number
                ledger = self._find_ledger(hint.target)
                ledger.record(read_clock(), hint.sender, order, load)
            case LoadQuery():
                ledger = self._find_ledger(hint.target)
                load = ledger.find_load(read_clock(), hint.sender)
                answer = TargetLoadAnswer(
                    hint.nonce,
                    hint.target,
                    load.requests,
                    load.memory,
                    load.pending_prefill,
                )
                self._send(answer, Endpoint(*sender))
            case _:
                pass

    def _find_ledger(self, target: str) -> LoadLedger:
        ledger = self._ledgers.setdefault(target, LoadLedger())
        if len(self._ledgers) > MAX_INSTANCES:
            del self._ledgers[next(iter(self._ledgers))]
        return ledger
