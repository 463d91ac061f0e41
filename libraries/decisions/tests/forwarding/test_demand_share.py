"""Shares of a limited target while callers move from one gateway to another."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.demand_share import DemandShares
from bamboopier_decisions.forwarding.rate_limit import NEVER, LimitUpdate, RateLimit

SERVICE = "vans"
GATEWAYS = 4
PER_SECOND = 15.0
# Requests a second of all callers: two thirds of what the target accepts.
DEMAND = 10.0
STEP = 0.02
# What a gateway knows of the others is so old.
HINT_DELAY_STEPS = 20
# Requests that a target may receive in any window: this factor of its limit, and so
# many more.
WINDOW, FACTOR, SLACK = 4.0, 1.5, 5.0
# Time within which a gateway has to serve callers that came to it.
MOVE_SECONDS = 3.0


class MovingCallers:
    """Gateways before one limited target; callers come to one of them, or to all."""

    def __init__(self) -> None:
        self.now = 100.0
        self.shares = [DemandShares() for _ in range(GATEWAYS)]
        self.limits = [RateLimit() for _ in range(GATEWAYS)]
        for limit in self.limits:
            limit.apply_update(self.now, LimitUpdate(PER_SECOND, self.now, NEVER, 0.0))
        self._told: list[list[float]] = []
        self._due = 0.0
        self._turn = 0
        self.sent: list[float] = []

    def run(self, seconds: float, gateways: list[int]) -> float:
        """Let callers come to these gateways; return the share that is served."""
        served = asked = 0
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            self._tell()
            self._due += DEMAND * STEP
            while self._due >= 1:
                self._due -= 1
                asked += 1
                served += self._ask(gateways[self._turn % len(gateways)])
                self._turn += 1
        return served / asked

    def _ask(self, gateway: int) -> bool:
        shares, limit = self.shares[gateway], self.limits[gateway]
        shares.record_request(self.now, SERVICE)
        share = shares.find_share(self.now, SERVICE, GATEWAYS)
        if not limit.may_send(self.now, GATEWAYS, gateway, share):
            return False
        limit.record_sent(self.now)
        self.sent.append(self.now)
        return True

    def _tell(self) -> None:
        self._told.append([s.count_per_second(self.now, SERVICE) for s in self.shares])
        if len(self._told) <= HINT_DELAY_STEPS:
            return
        told = self._told[-HINT_DELAY_STEPS]
        for number, shares in enumerate(self.shares):
            others = [rate for n, rate in enumerate(told) if n != number]
            shares.set_others({SERVICE: others})

    def count_most(self) -> int:
        """Return the maximum number of requests in one window."""
        return max(sum(s <= t < s + WINDOW for t in self.sent) for s in self.sent)


class DemandShareTests(unittest.TestCase):
    def test_a_gateway_that_gets_all_callers_serves_them(self) -> None:
        # Guards against most requests that are refused, while the other gateways'
        # shares of the target are idle.
        callers = MovingCallers()
        everyone = list(range(GATEWAYS))
        before = callers.run(5.0, everyone)
        self.assertGreater(before, 0.9)
        callers.run(MOVE_SECONDS, [0])
        self.assertGreaterEqual(callers.run(5.0, [0]), 0.75 * before)
        callers.run(MOVE_SECONDS, [1])
        self.assertGreaterEqual(callers.run(5.0, [1]), 0.75 * before)
        callers.run(MOVE_SECONDS, everyone)
        self.assertGreaterEqual(callers.run(5.0, everyone), 0.75 * before)

    def test_the_limit_holds_while_callers_move(self) -> None:
        # Guards against shares that add up to more than the target accepts.
        callers = MovingCallers()
        for number in range(12):
            everyone = list(range(GATEWAYS))
            callers.run(2.0, [number % GATEWAYS] if number % 3 else everyone)
        allowed = FACTOR * PER_SECOND * WINDOW + SLACK
        self.assertLessEqual(callers.count_most(), allowed)

    def test_shares_are_equal_until_others_have_told_theirs(self) -> None:
        # Guards against a gateway that takes all since it knows of no other.
        shares = DemandShares()
        shares.record_request(1.0, SERVICE)
        self.assertEqual(shares.find_share(1.0, SERVICE, GATEWAYS), 1 / GATEWAYS)
        shares.set_others({SERVICE: [0.0, 0.0, 0.0]})
        self.assertGreater(shares.find_share(1.0, SERVICE, GATEWAYS), 0.8)
        self.assertEqual(shares.find_share(9.0, SERVICE, GATEWAYS), 1 / GATEWAYS)


if __name__ == "__main__":
    unittest.main()
