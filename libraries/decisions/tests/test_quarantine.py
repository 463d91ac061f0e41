"""One request crashes each target that runs it, among many that do not.

Every request that a crashed target was running fails with it. The one that is sent
again and crashes the next target too must be refused, by every gateway; those that only
ran beside it, and all requests of a data centre that is lost, must not.
"""

from __future__ import annotations

import unittest

from bamboopier_decisions.quarantine.quarantine import (
    CRASH_RETENTION_SECONDS,
    MIN_EXTENSION_SECONDS,
    QUARANTINE_SECONDS,
    SETTLE_SECONDS,
    Crash,
    Quarantine,
    QuarantineEntry,
)

POISON, INNOCENT, OTHER = b"poison", b"innocent", b"other"
# Seconds from the send of a request to the crash of its target.
RUN_SECONDS = 0.05
# Name, crashes as (request, target) a second apart, requests refused at the end.
CASES = (
    ("one crash", [(POISON, "a")], set()),
    ("the same target twice", [(POISON, "a"), (POISON, "a")], set()),
    ("two targets", [(POISON, "a"), (POISON, "b")], {POISON}),
    (
        "innocents at the first crash",
        [(INNOCENT, "a"), (OTHER, "a"), (POISON, "a"), (POISON, "b")],
        {POISON},
    ),
    (
        "an innocent retried onto the second crash",
        [(INNOCENT, "a"), (POISON, "a"), (INNOCENT, "b"), (POISON, "b")],
        set(),
    ),
    (
        "and cleared by the third",
        [(INNOCENT, "a"), (POISON, "a"), (INNOCENT, "b"), (POISON, "b"), (POISON, "c")],
        {POISON},
    ),
    (
        "two that always crash together",
        [(request, target) for target in "abc" for request in (POISON, OTHER)],
        {POISON, OTHER},
    ),
    (
        "an innocent that one of many crashes explains",
        [(POISON, "d"), *((r, t) for t in "abc" for r in (POISON, INNOCENT))],
        {POISON},
    ),
)


def make_crash(
    now: float, fingerprint: bytes, target: str, sent_at: float | None = None
) -> Crash:
    """Return a crash at ``now``, shortly after the request was sent."""
    sent_at = now - RUN_SECONDS if sent_at is None else sent_at
    return Crash(fingerprint, target, sent_at, now)


def record(quarantine: Quarantine, now: float, fingerprint: bytes, target: str) -> None:
    """Record a crash that was seen at ``now``."""
    quarantine.record_crash(now, make_crash(now, fingerprint, target))


class QuarantineTests(unittest.TestCase):
    def test_who_is_refused(self) -> None:
        for name, crashes, expected in CASES:
            with self.subTest(name):
                quarantine = Quarantine()
                for number, (fingerprint, target) in enumerate(crashes):
                    record(quarantine, float(number), fingerprint, target)
                refused = {
                    fingerprint
                    for fingerprint in (POISON, INNOCENT, OTHER)
                    if quarantine.find_wait(float(len(crashes)), fingerprint)
                }
                self.assertEqual(refused, expected)

    def test_a_lost_data_centre_makes_no_request_a_culprit(self) -> None:
        # Guards against a request that is refused since its repeats ran on targets
        # that end within a second, whatever their order and number.
        crashes = [(OTHER, t) for t in "abcdef"] + [(INNOCENT, "e"), (INNOCENT, "f")]
        for min_targets in (2, 3):
            with self.subTest(min_targets=min_targets):
                quarantine = Quarantine(min_targets)
                for number, (fingerprint, target) in enumerate(crashes):
                    now = number * 0.1
                    crash = make_crash(now, fingerprint, target, sent_at=-0.1)
                    quarantine.record_crash(now, crash)
                for fingerprint in (OTHER, INNOCENT):
                    self.assertEqual(quarantine.find_wait(1.0, fingerprint), 0)

    def test_a_retry_onto_a_target_that_has_just_ended_is_no_repeat(self) -> None:
        # Guards against a request that is refused since it was retried within the
        # milliseconds in which the ends of several targets are noticed.
        quarantine = Quarantine(3, 0.1)
        for number, target in enumerate("abc"):
            ended_at = 10.0 + number * 0.01
            crash = make_crash(ended_at, OTHER, target, sent_at=ended_at - 0.005)
            quarantine.record_crash(ended_at, crash)
        self.assertEqual(quarantine.find_wait(11.0, OTHER), 0)
        record(quarantine, 10.2, OTHER, "d")
        self.assertGreater(quarantine.find_wait(11.0, OTHER), 0)

    def test_crashes_in_a_rapid_series_are_no_outage(self) -> None:
        # Guards against evidence that is dropped since many targets crash, and against
        # a refused request that is allowed again by its next crash.
        for requests, seconds in ((1, 0.5), (1, 0.1), (2, 1.0), (3, 0.3)):
            with self.subTest(requests=requests, seconds=seconds):
                quarantine = Quarantine(3)
                fingerprints = [b"%d" % n for n in range(requests)]
                for step in range(24):
                    now = step * seconds
                    for fingerprint in fingerprints:
                        target = f"{fingerprint!r}-{step}"
                        record(quarantine, now, fingerprint, target)
                        wait = quarantine.find_wait(now, fingerprint)
                        is_refused = step >= 2
                        self.assertEqual(wait > 0, is_refused, step)

    def test_a_completed_request_is_no_suspect(self) -> None:
        # Guards against the refusal of a request that many callers send, and that runs
        # on most targets that crash.
        quarantine = Quarantine(3)
        for number in range(12):
            record(quarantine, float(number), OTHER, f"t-{number}")
            if number % 2:
                self.assertTrue(quarantine.record_completed(number + 0.5, OTHER))
            self.assertEqual(quarantine.find_wait(number + 0.6, OTHER), 0)
        # What was known before may be told again by others.
        self.assertFalse(quarantine.record_crash(12.0, make_crash(3.0, OTHER, "t-3")))
        until = 3.0 + QUARANTINE_SECONDS
        self.assertFalse(quarantine.add_shared_entry(QuarantineEntry(OTHER, until)))
        self.assertEqual(quarantine.find_wait(12.0, OTHER), 0)

    def test_a_crash_that_is_told_again_is_as_old_as_before(self) -> None:
        # Guards against a quarantine that never ends, since gateways repeat what others
        # told them.
        quarantine = Quarantine(3)
        for number, target in enumerate("abc"):
            record(quarantine, float(number), POISON, target)
        wait = quarantine.find_wait(10.0, POISON)
        quarantine.record_crash(10.0, make_crash(2.1, POISON, "c"))
        self.assertEqual(quarantine.find_wait(10.0, POISON), wait)
        other = Quarantine(3)
        self.assertTrue(other.add_shared_entry(QuarantineEntry(POISON, 100.0)))
        later = 100.0 + MIN_EXTENSION_SECONDS / 2
        self.assertFalse(other.add_shared_entry(QuarantineEntry(POISON, later)))
        self.assertEqual(other.find_wait(100.0, POISON), 0)

    def test_one_more_crash_renews_a_quarantine(self) -> None:
        # Guards against three more crashes whenever a quarantine ends.
        quarantine = Quarantine(3)
        for number, target in enumerate("abc"):
            record(quarantine, float(number), POISON, target)
        end = 2.0 + QUARANTINE_SECONDS
        self.assertLess(end, CRASH_RETENTION_SECONDS)
        self.assertEqual(quarantine.find_wait(end, POISON), 0)
        record(quarantine, end, POISON, "d")
        self.assertGreater(quarantine.find_wait(end, POISON), 0)

    def test_entries_are_published_once_after_the_evidence_settled(self) -> None:
        quarantine = Quarantine()
        record(quarantine, 0.0, POISON, "a")
        record(quarantine, 1.0, POISON, "b")
        self.assertEqual(quarantine.list_unpublished(1.0), [])
        published = quarantine.list_unpublished(1.0 + SETTLE_SECONDS)
        self.assertEqual(published, [QuarantineEntry(POISON, 1.0 + QUARANTINE_SECONDS)])
        self.assertEqual(quarantine.list_refused(2.0), published)
        quarantine.mark_published(published)
        self.assertEqual(quarantine.list_unpublished(3.0), [])
        other = Quarantine()
        other.set_shared_entries(published)
        self.assertGreater(other.find_wait(3.0, POISON), 0)
        self.assertEqual(other.find_wait(3.0, INNOCENT), 0)
        self.assertEqual(other.list_refused(3.0), published)

    def test_an_entry_expires(self) -> None:
        quarantine = Quarantine()
        record(quarantine, 0.0, POISON, "a")
        record(quarantine, 1.0, POISON, "b")
        quarantine.set_shared_entries([QuarantineEntry(OTHER, 5.0)])
        end = 1.0 + QUARANTINE_SECONDS
        self.assertEqual(quarantine.find_wait(end, POISON), 0)
        self.assertEqual(quarantine.find_wait(end, OTHER), 0)
        self.assertEqual(quarantine.list_refused(end), [])
