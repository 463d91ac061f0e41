"""Loads of other gateways, as their hints arrive."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_proxy.hints import LoadHint, TargetLoadHint
from bamboopier_proxy.load_hints import STALE_SECONDS, LoadHints

from .forwarder_builders import make_entry

TARGET = make_entry().name


class LoadHintTests(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.put(0.0, make_entry())
        self.hints = LoadHints(self.fleet)

    def receive(self, now: float, sender: str, number: int, requests: int) -> bool:
        """Let a hint arrive that a gateway has requests in flight."""
        load = TargetLoadHint(TARGET, requests, 10 * requests, 5 * requests)
        return self.hints.record(now, LoadHint(sender, number, 1, [load], []))

    def count_requests(self) -> int:
        """Return the requests in flight at the only target."""
        state = self.fleet.find(TARGET)
        assert state is not None
        self.assertEqual(state.memory, 10 * state.requests)
        self.assertEqual(state.pending_prefill, 5 * state.requests)
        return state.requests

    def test_a_hint_counts_when_it_arrives(self) -> None:
        # Guards against a request that is refused after a wait shorter than the
        # interval between hints, though another gateway's requests have ended.
        self.receive(1.0, "g-1", 1, 8)
        self.receive(1.0, "g-2", 1, 3)
        self.assertEqual(self.count_requests(), 11)
        self.receive(1.1, "g-1", 2, 0)
        self.assertEqual(self.count_requests(), 3)

    def test_a_late_hint_counts_nothing(self) -> None:
        # Guards against loads of before that replace those of now.
        self.receive(1.0, "g-1", 2, 8)
        self.assertFalse(self.receive(1.1, "g-1", 1, 3))
        self.assertEqual(self.count_requests(), 8)

    def test_sums_stay_right_whatever_arrives(self) -> None:
        # Guards against sums that drift while hints arrive, expire, and come again.
        generator = random.Random(5)
        last: dict[str, tuple[float, int]] = {}
        for number in range(400):
            now = number * 0.1
            sender = f"g-{generator.randrange(6)}"
            requests = generator.randrange(9)
            self.receive(now, sender, number, requests)
            last[sender] = now, requests
            if number % 3:
                continue
            self.hints.apply(now)
            kept = [n for at, n in last.values() if now - at <= STALE_SECONDS]
            self.assertEqual(self.count_requests(), sum(kept))

    def test_a_target_that_is_listed_later_has_the_load_that_was_told(self) -> None:
        # Guards against a negative load at a target whose entry came after the hint.
        self.fleet.remove(1.0, TARGET)
        self.receive(1.0, "g-1", 1, 8)
        self.fleet.put(1.0, make_entry())
        self.receive(1.1, "g-1", 2, 2)
        self.assertEqual(self.count_requests(), 2)


if __name__ == "__main__":
    unittest.main()
