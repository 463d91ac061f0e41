"""Borrows retries from other gateways for requests that would fail without one.

Load pattern: a gateway that has just started has saved no retries, and one that got
many callers at once has used up its own, while others have some left. After a start of
all of them, each has earned a part of a retry only.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

from .hints import RetryGrant, RetryRequest

if TYPE_CHECKING:
    import random

    from bamboopier_decisions.forwarding.shared_retry_budget import SharedRetryBudgets

    from .hints import Hint
    from .peers import Peers
    from .settings import Endpoint

# Seconds for which an answer is awaited: a few round trips within a region.
ANSWER_SECONDS = 0.02
# Number of other gateways that are asked at once.
ASKED_PEERS = 3
# Seconds for which a service's retries are not asked for after too little was lent: in
# a failure of all targets each request would ask.
PAUSE_SECONDS = 0.25
# Seconds within which a borrowed retry is sent. The lender paid for it in its own
# window, which must not end long before.
LOAN_SECONDS = 0.3
# Absorbs rounding errors of sums of parts.
TOLERANCE = 1e-6

log = structlog.get_logger()


class _Question:
    """A question to other gateways that may still be answered."""

    __slots__ = ("answered", "lenders", "lent", "missing", "service")

    def __init__(self, service: str, missing: float) -> None:
        self.service = service
        self.missing = missing
        self.answered = asyncio.Event()
        # A grant that the network delivers twice counts once.
        self.lenders: set[str] = set()
        # Parts of retries that were granted.
        self.lent = 0.0


class RetryLoans:
    """Asks for retries, and lends what is left of this gateway's budgets."""

    def __init__(
        self,
        name: str,
        budgets: SharedRetryBudgets,
        peers: Peers,
        random: random.Random,
    ) -> None:
        self._name = name
        self._budgets = budgets
        self._peers = peers
        self._nonces = itertools.count(random.getrandbits(32))
        self._questions: dict[int, _Question] = {}
        # What was borrowed and not sent yet, by service: when it expires, and the
        # parts of retries.
        self._borrowed: dict[str, deque[tuple[float, float]]] = {}
        # Until when nobody is asked, by service.
        self._paused_until: dict[str, float] = {}

    async def borrow(self, service: str) -> bool:
        """Borrow what is missing of a retry; return whether others have paid for it."""
        if self._take(service):
            return True
        now = read_clock()
        peers = self._peers.sample_peers(ASKED_PEERS)
        if now < self._paused_until.get(service, 0.0) or not peers:
            return False
        missing = self._budgets.find(service).find_missing(now)
        question = _Question(service, missing)
        await self._ask(question, peers)
        if self._take(service):
            return True
        self._keep_parts(service)
        self._paused_until[service] = read_clock() + PAUSE_SECONDS
        return False

    async def _ask(self, question: _Question, peers: list[Endpoint]) -> None:
        """Ask the gateways for the parts, and wait until they suffice or for long."""
        nonce = next(self._nonces)
        self._questions[nonce] = question
        least = question.missing / len(peers)
        request = RetryRequest(
            self._name, nonce, question.service, question.missing, least
        )
        for peer in peers:
            self._peers.send(request, peer)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await question.answered.wait()
        except TimeoutError:
            # Too little was lent in time; the caller sees what there is.
            pass
        finally:
            del self._questions[nonce]

    def receive(self, hint: Hint, sender: Endpoint) -> None:
        """Handle a message of another gateway, if it concerns retries."""
        match hint:
            case RetryRequest():
                self._lend(hint, sender)
            case RetryGrant():
                self._apply(hint)
            case _:
                pass

    def _lend(self, request: RetryRequest, sender: Endpoint) -> None:
        budget = self._budgets.find(request.service)
        part = budget.lend(read_clock(), request.missing, request.least)
        if part <= 0.0:
            return
        grant = RetryGrant(self._name, request.nonce, request.service, part)
        self._peers.send(grant, sender)
        log.info(
            "retry lent",
            service=request.service,
            to=request.sender,
            part=round(part, 2),
            missing=round(request.missing, 2),
        )

    def _apply(self, grant: RetryGrant) -> None:
        question = self._questions.get(grant.nonce)
        if question is None or grant.sender in question.lenders:
            return
        question.lenders.add(grant.sender)
        question.lent += grant.part
        borrowed = self._borrowed.setdefault(question.service, deque())
        borrowed.append((read_clock() + LOAN_SECONDS, grant.part))
        if question.lent >= question.missing - TOLERANCE:
            question.answered.set()

    def _take(self, service: str) -> bool:
        """Take a retry, of what was borrowed first; return whether there was one."""
        borrowed = self._drop_expired(service)
        rest = 1.0 - sum(part for _, part in borrowed)
        if not borrowed:
            return False
        budget, now = self._budgets.find(service), read_clock()
        if rest > TOLERANCE and budget.lend(now, rest, rest) == 0.0:
            return False
        needed = 1.0
        while borrowed and needed > TOLERANCE:
            expires_at, part = borrowed.popleft()
            if part > needed:
                borrowed.appendleft((expires_at, part - needed))
            needed -= min(part, needed)
        return True

    def _keep_parts(self, service: str) -> None:
        """Save the parts that did not make a retry: whoever lent them paid."""
        borrowed = self._drop_expired(service)
        budget, now = self._budgets.find(service), read_clock()
        while borrowed:
            _, part = borrowed.popleft()
            budget.deposit(now, part)

    def _drop_expired(self, service: str) -> deque[tuple[float, float]]:
        borrowed = self._borrowed.setdefault(service, deque())
        now = read_clock()
        while borrowed and borrowed[0][0] <= now:
            borrowed.popleft()
        return borrowed
