"""Tests of the pace at which a gateway uses targets that it knows little of."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.forwarding.gateway_headroom import GatewayHeadroom

TICK_SECONDS = 0.01


class PaceTests(unittest.TestCase):
    def setUp(self) -> None:
        self.headroom = GatewayHeadroom()
        self.random = random.Random(1)
        self.now = 0.0

    def count_sent(self, rate: float, seconds: float) -> int:
        """Return how many requests are sent if some wait all the time."""
        sent = 0
        end = self.now + seconds
        while self.now < end:
            if self.headroom.allows_at_pace(self.now, rate, self.random):
                self.headroom.record_sent(self.now, 0, 0)
                sent += 1
            self.now += TICK_SECONDS
        return sent

    def test_requests_are_sent_at_the_rate(self) -> None:
        self.assertAlmostEqual(self.count_sent(0.5, 60.0), 30, delta=2)

    def test_an_idle_gateway_saves_one_turn(self) -> None:
        """Guards against a burst of gateways that all become busy together."""
        self.count_sent(0.5, 1.0)
        self.now += 60.0
        self.assertLessEqual(self.count_sent(0.5, 1.0), 2)

    def test_gateways_begin_at_different_moments(self) -> None:
        first = []
        for seed in range(40):
            self.setUp()
            self.random = random.Random(seed)
            while not self.headroom.allows_at_pace(self.now, 0.5, self.random):
                self.now += TICK_SECONDS
            first.append(self.now)
        self.assertLess(min(first), 0.4)
        self.assertGreater(max(first), 1.6)

    def test_what_is_sent_otherwise_counts(self) -> None:
        """Guards against a gateway that exceeds its pace by what is within a part."""
        sent = 0
        for _ in range(30):
            self.headroom.record_sent(self.now, 0, 0)
            sent += self.count_sent(0.5, 1.0)
        self.assertLessEqual(sent, 2)


if __name__ == "__main__":
    unittest.main()
