"""Confirms that an agent knows all published weights, with the help of gateways.

Load pattern: there is an agent for each engine. If each had the store confirm every few
seconds that its watch hides nothing, many calls to the store would come from agents.
The gateways confirm the same list for each other, and those that send requests to the
engine are known here by what they tell of its load.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.confirmation_schedule import ConfirmationSchedule

from .hints import FreshnessRequest, FreshnessResponse, LoadQuery, OwnLoadHint
from .settings import Endpoint
from .store_confirmation import ANSWER_SECONDS, ANSWER_TIMEOUT_SECONDS, apply_list

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from bamboopier_objects.object_follower import ObjectFollower

    from .hints import Hint

# Maximum seconds for which nobody confirms the list: new weights have to be known
# within five seconds.
MAX_AGE_SECONDS = 4.0
# Interval between two decisions to ask, drawn up to this.
TICK_SECONDS = 1.0
# Number of gateways that are remembered, the last ones that were heard.
MAX_GATEWAYS = 8


class WeightsConfirmation:
    """Asks a gateway, and the store if no gateway knows."""

    def __init__(
        self,
        name: str,
        follower: ObjectFollower,
        send: Callable[[FreshnessRequest, Endpoint], None],
        random: random.Random,
    ) -> None:
        self._name = name
        self._follower = follower
        self._send = send
        self._random = random
        self._schedule = ConfirmationSchedule(MAX_AGE_SECONDS, random)
        # Gateways, the last one heard at the end.
        self._gateways: dict[Endpoint, None] = {}
        self._nonces = itertools.count(random.getrandbits(32))
        # Nonce of the last question, and when it was sent.
        self._asked: tuple[int, float] | None = None

    async def run(self) -> None:
        """Ask whenever that is due, until cancelled."""
        while True:
            pause = TICK_SECONDS * self._random.uniform(0.8, 1.0)
            await asyncio.sleep(pause - ANSWER_SECONDS)
            self.ask_gateway(read_clock())
            await asyncio.sleep(ANSWER_SECONDS)
            await self.check(read_clock())

    def receive(self, hint: Hint, sender: tuple[str, int]) -> None:
        """Remember a gateway that tells of loads, or apply its answer."""
        match hint:
            case OwnLoadHint() | LoadQuery():
                gateway = Endpoint(*sender)
                self._gateways.pop(gateway, None)
                self._gateways[gateway] = None
                if len(self._gateways) > MAX_GATEWAYS:
                    del self._gateways[next(iter(self._gateways))]
            case FreshnessResponse():
                self._apply(read_clock(), hint)
            case _:
                pass

    def ask_gateway(self, now: float) -> None:
        """Ask one of the gateways if the last confirmation is not recent."""
        if not self._schedule.is_query_due(now, self._follower.known_until):
            return
        if not self._gateways:
            return
        nonce = next(self._nonces)
        self._asked = nonce, now
        gateway = self._random.choice(list(self._gateways))
        self._send(FreshnessRequest(self._name, nonce), gateway)

    async def check(self, now: float) -> None:
        """Have the store confirm the list if that is due."""
        follower = self._follower
        if self._schedule.is_check_due(now, follower.known_until, follower.revision):
            self._schedule.record_check()
            expects_change = self._schedule.expects_change(follower.revision)
            await follower.check(expects_change=expects_change)

    def _apply(self, now: float, response: FreshnessResponse) -> None:
        if self._asked is None or self._asked[0] != response.nonce:
            return
        sent_at = self._asked[1]
        if now - sent_at > ANSWER_TIMEOUT_SECONDS:
            return
        for found in response.lists:
            if found.prefix == self._follower.prefix:
                apply_list(now, sent_at, self._follower, self._schedule, found)
