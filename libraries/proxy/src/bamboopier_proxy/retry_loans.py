"""Borrows retries from other gateways for requests that would fail without one.

Load pattern: a gateway that has just started has saved no retries, and one that got
many callers at once has used up its own, while others have some left.
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
# Seconds for which a service's retries are not asked for after nobody lent one: in a
# failure of all targets each request would ask.
PAUSE_SECONDS = 0.25
# Seconds within which a borrowed retry is sent. The lender paid for it in its own
# window, which must not end long before.
LOAN_SECONDS = 0.3

log = structlog.get_logger()


class _Question:
    """A question to other gateways that may still be answered."""

    __slots__ = ("answered", "lenders", "service")

    def __init__(self, service: str) -> None:
        self.service = service
        self.answered = asyncio.Event()
        # A grant that the network delivers twice counts once.
        self.lenders: set[str] = set()


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
        # When borrowed retries expire, by service.
        self._borrowed: dict[str, deque[float]] = {}
        # Until when nobody is asked, by service.
        self._paused_until: dict[str, float] = {}

    async def borrow(self, service: str) -> bool:
        """Borrow one retry; return whether another gateway has paid for one."""
        if self._take(service):
            return True
        now = read_clock()
        peers = self._peers.sample_peers(ASKED_PEERS)
        if now < self._paused_until.get(service, 0.0) or not peers:
            return False
        nonce = next(self._nonces)
        question = self._questions[nonce] = _Question(service)
        for peer in peers:
            self._peers.send(RetryRequest(self._name, nonce, service), peer)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await question.answered.wait()
        except TimeoutError:
            self._paused_until[service] = read_clock() + PAUSE_SECONDS
        finally:
            del self._questions[nonce]
        return self._take(service)

    def receive(self, hint: Hint, sender: Endpoint) -> None:
        """Handle a message of another gateway, if it concerns retries."""
        match hint:
            case RetryRequest():
                if self._budgets.find(hint.service).lend(read_clock()):
                    grant = RetryGrant(self._name, hint.nonce, hint.service)
                    self._peers.send(grant, sender)
                    log.info("retry lent", service=hint.service, to=hint.sender)
            case RetryGrant():
                self._apply(hint)
            case _:
                pass

    def _apply(self, grant: RetryGrant) -> None:
        question = self._questions.get(grant.nonce)
        if question is None or grant.sender in question.lenders:
            return
        question.lenders.add(grant.sender)
        borrowed = self._borrowed.setdefault(question.service, deque())
        borrowed.append(read_clock() + LOAN_SECONDS)
        question.answered.set()

    def _take(self, service: str) -> bool:
        borrowed = self._borrowed.get(service)
        now = read_clock()
        while borrowed and borrowed[0] <= now:
            borrowed.popleft()
        if not borrowed:
            return False
        borrowed.popleft()
        return True
