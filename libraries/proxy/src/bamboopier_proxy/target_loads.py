"""Exchanges loads with the processes beside targets: fresh sums of all gateways.

Before a request is sent, the best few targets by what is known are asked, and the
request goes to the best of them by the answers. Asking takes one round trip within a
region, or longer while a crowd fills this machine's link. Only processes that have
answered before are waited for: a target beside which none runs, or whose machine is
gone, is chosen by older knowledge.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.contention.answer_timeout import (
    MAX_SAMPLE_SECONDS,
    AnswerTimeout,
)
from bamboopier_decisions.forwarding.target_state import Load

from .hints import LoadQuery, OwnLoadHint, TargetLoadAnswer
from .settings import Endpoint

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.target_state import TargetState

    from .hints import Hint
    from .peers import Peers

# Seconds within which a target is not asked again by another request.
ASK_PAUSE_SECONDS = 0.015
# Interval at which loads are reported again, so that they stay valid.
REPEAT_SECONDS = 0.5
# Consecutive questions without an answer after which a process is not waited for until
# it answers again: a single datagram may be lost.
MAX_UNANSWERED = 2
# Interval at which a process that did not answer is asked whether it does now: short at
# first, since datagrams are lost on a full link, then twice as long each time.
FIRST_PROBE_SECONDS, PROBE_SECONDS = 0.1, 1.0
# Number of processes that are asked so at each interval of the reports.
MAX_PROBES = 16

log = structlog.get_logger()


class _Contact:
    """Whether the process beside one target answers."""

    __slots__ = ("answers", "asked_at", "has_answered", "probe_after", "unanswered")

    def __init__(self) -> None:
        self.asked_at = float("-inf")
        # Whether it is waited for, and whether it has ever answered.
        self.answers = False
        self.has_answered = False
        # Seconds after which it is asked again while it is not waited for.
        self.probe_after = PROBE_SECONDS
        # Consecutive questions without an answer.
        self.unanswered = 0


class _Question:
    """Targets that were asked together, and whose answers have not come."""

    __slots__ = ("answered", "asked_at", "is_awaited", "left")

    def __init__(self, now: float, targets: Iterable[str], *, is_awaited: bool) -> None:
        self.asked_at = now
        self.left = set(targets)
        self.is_awaited = is_awaited
        self.answered = asyncio.Event()


class TargetLoads:
    """Reports this gateway's load at targets, and asks for that of the others."""

    def __init__(
        self,
        name: str,
        started_ms: int,
        port: int,
        fleet: Fleet,
        peers: Peers,
        on_answer: Callable[[str], None],
        random: random.Random,
    ) -> None:
        self._name = name
        self._started_ms = started_ms
        # First port of the range for messages: the same on all machines.
        self._port = port
        self._fleet = fleet
        self._peers = peers
        # Called with the service of a target whose load has become known.
        self._on_answer = on_answer
        self._random = random
        self._numbers = itertools.count(1)
        self._nonces = itertools.count(1 + random.getrandbits(32))
        self._contacts: dict[str, _Contact] = {}
        # By nonce, oldest first.
        self._questions: dict[int, _Question] = {}
        self._timeout = AnswerTimeout()
        fleet.load_listeners.append(self._report)

    async def run(self) -> None:
        """Report the loads in flight at intervals until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            registered = set(self._fleet.names)
            for name in self._contacts.keys() - registered:
                del self._contacts[name]
            states = [s for s in map(self._fleet.find, registered) if s is not None]
            for state in states:
                if state.own_load.requests:
                    self._report(state)
            self._probe_some(states)

    async def refresh(self, states: Iterable[TargetState]) -> bool:
        """Ask for the loads of these targets, and wait for the answers.

        Return False if none of them can be asked.
        """
        now = read_clock()
        asked = self._list_answering(now, states)
        if not asked:
            return False
        question = self._ask(now, asked, is_awaited=True)
        try:
            async with asyncio.timeout(self._timeout.seconds):
                await question.answered.wait()
        except TimeoutError:
            self._record_unanswered(question.left)
        finally:
            question.is_awaited = False
        return True

    def ask(self, states: Iterable[TargetState]) -> bool:
        """Ask for the loads of these targets without waiting.

        Return False if none of them can be asked.
        """
        now = read_clock()
        found = self._list_answering(now, states)
        pause = max(ASK_PAUSE_SECONDS, self._timeout.seconds)
        due = [s for s in found if now - self._find_contact(s).asked_at >= pause]
        if due:
            self._ask(now, due, is_awaited=False)
        return bool(found)

    def receive(self, hint: Hint, _: Endpoint) -> None:
        """Handle a message, if it is an answer."""
        if not isinstance(hint, TargetLoadAnswer):
            return
        state = self._fleet.find(hint.target)
        if state is None:
            return
        question = self._questions.get(hint.nonce)
        if question is None:
            return
        contact = self._find_contact(state)
        contact.unanswered = 0
        contact.has_answered = True
        if not contact.answers:
            contact.answers = True
            log.info("agent answers", target=hint.target)
        now = read_clock()
        seconds = now - question.asked_at
        max_seconds = self._timeout.seconds
        self._timeout.record_answer(seconds)
        if seconds > max_seconds:
            # The process may have been suspended with the answer in its socket.
            return
        load = Load(hint.requests, hint.memory, hint.pending_prefill)
        # The sum was made on the way, halfway as far as is known.
        state.record_measured_load(now - seconds / 2, load)
        question.left.discard(hint.target)
        if not question.is_awaited:
            self._on_answer(state.entry.service)
        elif not question.left:
            question.answered.set()

    def _list_answering(
        self, now: float, states: Iterable[TargetState]
    ) -> list[TargetState]:
        """Return the targets whose process answers; probe the others now and then."""
        found = []
        for state in states:
            contact = self._find_contact(state)
            if contact.answers:
                found.append(state)
            elif state.service.engine and now - contact.asked_at >= contact.probe_after:
                contact.probe_after = min(PROBE_SECONDS, 2 * contact.probe_after)
                self._ask(now, [state], is_awaited=False)
        return found

    def _probe_some(self, states: list[TargetState]) -> None:
        """Ask some of those that have not answered yet, before a request needs them."""
        unknown = [s for s in states if not self._find_contact(s).answers]
        count = min(len(unknown), MAX_PROBES)
        self._list_answering(read_clock(), self._random.sample(unknown, count))

    def _find_contact(self, state: TargetState) -> _Contact:
        return self._contacts.setdefault(state.entry.name, _Contact())

    def _ask(
        self, now: float, states: list[TargetState], *, is_awaited: bool
    ) -> _Question:
        self._remove_old_questions(now)
        nonce = next(self._nonces)
        names = [state.entry.name for state in states]
        question = _Question(now, names, is_awaited=is_awaited)
        self._questions[nonce] = question
        for state in states:
            self._find_contact(state).asked_at = now
            query = LoadQuery(self._name, nonce, state.entry.name)
            self._peers.send(query, self._find_address(state))
        return question

    def _remove_old_questions(self, now: float) -> None:
        """Forget the questions whose answers would no longer tell anything."""
        while self._questions:
            oldest = next(iter(self._questions))
            if now - self._questions[oldest].asked_at <= MAX_SAMPLE_SECONDS:
                return
            del self._questions[oldest]

    def _record_unanswered(self, targets: Iterable[str]) -> None:
        for name in targets:
            contact = self._contacts.setdefault(name, _Contact())
            contact.unanswered += 1
            if contact.answers and contact.unanswered >= MAX_UNANSWERED:
                contact.answers = False
                contact.probe_after = FIRST_PROBE_SECONDS
                state = self._fleet.find(name)
                if state is not None:
                    state.record_unanswered()
                log.info("agent silent", target=name, unanswered=contact.unanswered)

    def _report(self, state: TargetState) -> None:
        # Also to one that is not waited for now: the other gateways ask it.
        if not self._find_contact(state).has_answered:
            return
        own = state.own_load
        hint = OwnLoadHint(
            self._name,
            self._started_ms,
            next(self._numbers),
            state.entry.name,
            own.requests,
            own.memory,
            own.pending_prefill,
        )
        self._peers.send(hint, self._find_address(state))

    def _find_address(self, state: TargetState) -> Endpoint:
        return Endpoint(state.entry.host, self._port)
