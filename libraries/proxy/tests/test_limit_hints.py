"""Tests of the exchange of target rate limits between gateways."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_proxy.hints import LoadHint, decode, encode
from bamboopier_proxy.limit_hints import MAX_TARGETS, REPEAT_SECONDS, LimitHints
from bamboopier_proxy.limit_updates import record_limit
from bamboopier_proxy.messages import ResponseMetadata

from .forwarder_builders import make_declared, make_entry

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.rate_limit import RateLimit


def make_fleet(names: list[str], now: float, born: int = 1) -> Fleet:
    """Return a fleet with targets of these names."""
    fleet = Fleet()
    fleet.set_services(make_declared().services)
    for name in names:
        entry = make_entry()
        changed = {"name": name, "started_ms": born}
        fields = {f: getattr(entry, f) for f in entry.__slots__}
        fleet.put(now, type(entry)(**{**fields, **changed}))
    return fleet


def find_limit(fleet: Fleet, name: str) -> RateLimit:
    """Return the limit recorded for a target."""
    state = fleet.find(name)
    assert state is not None
    return state.rate_limit


class LimitHintTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        for target in ("log", "read_clock"):
            patch = mock.patch(f"bamboopier_proxy.limit_updates.{target}")
            started = patch.start()
            started.return_value = self.now
            self.addCleanup(patch.stop)
        self.sent = make_fleet(["i-1"], self.now)
        self.sender = LimitHints(self.sent, random.Random(1))

    def send_hints(self, fleet: Fleet, now: float) -> None:
        """Deliver the hints sent at ``now``, encoded as on the network."""
        hint = LoadHint("g-1", 1, 1, [], [], self.sender.list_hints(now))
        received = decode(encode(hint))
        assert isinstance(received, LoadHint)
        LimitHints(fleet, random.Random(2)).apply(now, "g-1", received.limits)

    def test_a_limit_and_its_end_reach_other_gateways(self) -> None:
        other = make_fleet(["i-1"], self.now)
        find_limit(self.sent, "i-1").record_limit(100.0, 1.5)
        self.send_hints(other, 100.2)
        self.assertTrue(find_limit(other, "i-1").in_force)
        self.assertEqual(find_limit(other, "i-1").per_second, 1.5)
        find_limit(self.sent, "i-1").record_no_limit(101.0)
        self.send_hints(other, 101.2)
        self.assertFalse(find_limit(other, "i-1").in_force)

    def test_another_instance_of_the_target_has_no_limit(self) -> None:
        # Guards against a target that restarted under the same name and gets no
        # requests.
        other = make_fleet(["i-1"], self.now, born=2)
        find_limit(self.sent, "i-1").record_limit(100.0, 1.5)
        self.send_hints(other, 100.2)
        self.assertFalse(find_limit(other, "i-1").in_force)

    def test_only_limits_of_recent_responses_are_sent(self) -> None:
        other = make_fleet(["i-1"], self.now)
        find_limit(self.sent, "i-1").record_limit(100.0, 1.5)
        self.send_hints(other, 100.2)
        again = LimitHints(other, random.Random(3))
        self.assertEqual(again.list_hints(100.3), [])
        self.assertEqual(self.sender.list_hints(100.1 + REPEAT_SECONDS), [])

    def test_a_hint_of_many_targets_fits_a_datagram(self) -> None:
        names = [f"i-{n:010x}" for n in range(50)]
        fleet = make_fleet(names, self.now)
        for name in names:
            find_limit(fleet, name).record_limit(100.0, 1.5)
        hints = LimitHints(fleet, random.Random(1)).list_hints(100.1)
        self.assertEqual(len(hints), MAX_TARGETS)
        hint = LoadHint("g-1", 1, 1, [], [], hints)
        self.assertLess(len(encode(hint)), 500)

    def test_an_unreadable_limit_changes_nothing(self) -> None:
        state = self.sent.find("i-1")
        assert state is not None
        state.rate_limit.record_limit(99.0, 1.5)
        said = ResponseMetadata(
            "r", True, False, False, "i-1", 0, 0.0, reports_limit=True
        )
        record_limit(state, 99.5, said, "r")
        self.assertTrue(state.rate_limit.in_force)
        self.assertEqual(state.rate_limit.per_second, 1.5)


if __name__ == "__main__":
    unittest.main()
