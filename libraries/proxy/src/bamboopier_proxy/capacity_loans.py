"""Borrows other gateways' shares of cold targets for callers that wait.

Load pattern: all gateways and engines restart together. The load balancer sends every
caller to the first gateway that is ready, whose share of the cold engines is used up at
once, while the shares of the others are idle until callers reach them.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.cold_start_limit import LOAN_SECONDS

from .hints import CapacityGrant, CapacityRequest, ColdTarget, encode

if TYPE_CHECKING:
    import random

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.target_state import TargetState

    from .peers import Peers
    from .request_queues import RequestQueues
    from .settings import Endpoint

# Interval between requests for capacity while callers wait.
REQUEST_INTERVAL_SECONDS = 0.05
# Maximum number of targets in one request, so that it fits a datagram.
MAX_TARGETS = 24
# Maximum rate of requests: what load hints leave of the 22 KB a second that a node may
# use for control traffic.
BYTES_PER_SECOND = 7_000

log = structlog.get_logger()


class _SentRequest:
    """When a request was sent, and who has answered it.

    A grant that the network delivers twice is lent only once.
    """

    __slots__ = ("lenders", "sent_at")

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.lenders: set[str] = set()


class CapacityLoans:
    """Requests capacity for waiting callers, and lends what its own callers leave."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        request_queues: RequestQueues,
        peers: Peers,
        random: random.Random,
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._request_queues = request_queues
        self._peers = peers
        self._nonces = itertools.count(random.getrandbits(32))
        # Requests that may still be answered, by nonce.
        self._requests: dict[int, _SentRequest] = {}

    async def run(self) -> None:
        """Request capacity until cancelled."""
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
            self.request(read_clock())

    def request(self, now: float) -> None:
        """Request capacity for the callers that wait, if any do."""
        self._requests = {
            nonce: sent
            for nonce, sent in self._requests.items()
            if now - sent.sent_at < LOAN_SECONDS
        }
        wanted = self._list_wanted(now)
        if not wanted:
            return
        nonce = next(self._nonces)
        self._requests[nonce] = _SentRequest(now)
        request = CapacityRequest(self._name, nonce, wanted)
        allowed = BYTES_PER_SECOND * REQUEST_INTERVAL_SECONDS / len(encode(request))
        for peer in self._peers.sample_peers(max(1, int(allowed))):
            self._peers.send(request, peer)

    def answer(self, now: float, request: CapacityRequest, sender: Endpoint) -> None:
        """Lend what is left of this gateway's shares."""
        granted = []
        for wanted in request.targets:
            state = self._find(wanted)
            if state is None or self._request_queues.count(state.service.name):
                continue
            count = state.cold_start.lend(
                now,
                state.service.cold_per_second,
                self._fleet.gateway_count,
                wanted.requests,
            )
            if count:
                granted.append(ColdTarget(wanted.target, wanted.started_ms, count))
        if not granted:
            return
        log.info(
            "cold capacity lent",
            to=request.sender,
            targets={g.target: g.requests for g in granted},
        )
        self._peers.send(CapacityGrant(self._name, request.nonce, granted), sender)

    def apply(self, now: float, grant: CapacityGrant) -> None:
        """Use what another gateway lends for the callers that wait."""
        request = self._requests.get(grant.nonce)
        if request is None or grant.sender in request.lenders:
            return
        request.lenders.add(grant.sender)
        services = set()
        for granted in grant.targets:
            state = self._find(granted)
            if state is None:
                continue
            if state.cold_start.borrow(now, request.sent_at, granted.requests):
                services.add(state.service.name)
        log.info(
            "cold capacity borrowed",
            sender=grant.sender,
            targets={g.target: g.requests for g in grant.targets},
            seconds=round(now - request.sent_at, 4),
        )
        for service in services:
            self._request_queues.wake(service)

    def _list_wanted(self, now: float) -> list[ColdTarget]:
        """Return what the waiting callers need of each cold target."""
        wanted = []
        for service in self._request_queues.list_waiting():
            states = self._fleet.list_targets(service, now)
            cold = [state for state in states if self._may_borrow(now, state)]
            if not cold:
                continue
            each = -(-self._request_queues.count(service) // len(cold))
            wanted += [ColdTarget(s.entry.name, s.entry.started_ms, each) for s in cold]
        return wanted[:MAX_TARGETS]

    def _may_borrow(self, now: float, state: TargetState) -> bool:
        """Return whether other gateways may have something to lend.

        With more gateways than a target handles requests a second, none has.
        """
        per_second = state.service.cold_per_second
        return state.cold_start.is_cold(now) and per_second >= self._fleet.gateway_count

    def _find(self, wanted: ColdTarget) -> TargetState | None:
        state = self._fleet.find(wanted.target)
        if state is None or state.entry.started_ms != wanted.started_ms:
            return None
        return state
