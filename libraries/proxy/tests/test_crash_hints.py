"""What gateways tell each other of targets that ended with requests."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.quarantine.quarantine import Crash, Quarantine
from bamboopier_proxy.crash_hints import MAX_CRASHES, REPEAT_SECONDS, CrashHints

POISON = b"poison"
HARMLESS = [b"harmless-%d" % number for number in range(30)]
# Seconds between a request's send and the end of its target.
RUN_SECONDS = 0.05


def make_crash(now: float, fingerprint: bytes, target: str) -> Crash:
    """Return a crash that was just seen."""
    return Crash(fingerprint, target, now - RUN_SECONDS, now)


class CrashHintTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.gateways = [
            CrashHints(Quarantine(3), random.Random(number)) for number in range(3)
        ]

    def record(
        self, gateway: CrashHints, target: str, fingerprints: list[bytes]
    ) -> None:
        """Let a target end with all of these requests, seen by one gateway."""
        crashes = [make_crash(self.now, f, target) for f in fingerprints]
        gateway.record(self.now, crashes, "own")

    def tell(self, sender: CrashHints, receiver: CrashHints) -> None:
        """Send one hint."""
        crashes, refused = sender.list_crashes(self.now), sender.list_refused(self.now)
        receiver.apply(self.now, "peer", crashes, refused)

    def test_the_request_that_crashed_most_targets_is_told_first(self) -> None:
        # Guards against a hint that has no room for it, since its target ended with
        # dozens of harmless requests.
        first, second, third = self.gateways
        for sender, target in ((second, "b"), (third, "c")):
            self.record(sender, target, [POISON])
            self.tell(sender, first)
            self.now += 1.0
        self.record(first, "a", [*HARMLESS, POISON])
        self.assertIn(POISON, {h.fingerprint for h in first.list_crashes(self.now)})
        self.assertGreater(first.find_wait(self.now, POISON), 0)

    def test_all_crashes_are_told_in_turn(self) -> None:
        # Guards against a request whose crash no other gateway hears of.
        sender = self.gateways[0]
        self.record(sender, "a", HARMLESS)
        told: set[bytes] = set()
        for _ in range(-(-len(HARMLESS) // MAX_CRASHES)):
            told |= {hint.fingerprint for hint in sender.list_crashes(self.now)}
        self.assertEqual(told, set(HARMLESS))
        self.now += REPEAT_SECONDS
        self.assertEqual(sender.list_crashes(self.now), [])

    def test_evidence_of_several_gateways_adds_up(self) -> None:
        # Guards against a request that each gateway may send to three targets.
        for gateway, target in zip(self.gateways, "abc", strict=True):
            self.record(gateway, target, [POISON])
            self.now += 1.0
        for sender in self.gateways:
            for receiver in self.gateways:
                self.tell(sender, receiver)
        for gateway in self.gateways:
            self.assertGreater(gateway.find_wait(self.now, POISON), 0)

    def test_a_gateway_that_starts_later_hears_of_refused_requests(self) -> None:
        # Guards against three more crashes whenever a gateway restarts.
        sender, started, further = self.gateways
        for target in "abc":
            self.record(sender, target, [POISON])
            self.now += 1.0
        self.now += 10 * REPEAT_SECONDS
        self.tell(sender, started)
        self.tell(started, further)
        for gateway in (started, further):
            self.assertAlmostEqual(
                gateway.find_wait(self.now, POISON),
                sender.find_wait(self.now, POISON),
                places=2,
            )

    def test_a_completed_request_is_not_told_as_a_suspect(self) -> None:
        # Guards against a harmless request that other gateways suspect for longer.
        sender, receiver, _ = self.gateways
        self.record(sender, "a", HARMLESS[:2])
        sender.record_completed(self.now, HARMLESS[0])
        told = {hint.fingerprint for hint in sender.list_crashes(self.now)}
        self.assertEqual(told, {HARMLESS[1]})
        self.tell(sender, receiver)
        self.assertEqual(receiver.list_refused(self.now), [])


if __name__ == "__main__":
    unittest.main()
