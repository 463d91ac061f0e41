"""One request crashes each target that runs it, among many that do not.

Every request that a crashed target was running fails with it. The one that is sent
again and crashes the next target too must be refused, by every gateway; those that only
ran beside it, and all requests of a data centre that is lost, must not.
"""

from __future__ import annotations

import unittest

from bamboopier_decisions.quarantine.quarantine import (
    QUARANTINE_SECONDS,
    SETTLE_SECONDS,
    Quarantine,
    QuarantineEntry,
)

POISON, INNOCENT, OTHER = b"poison", b"innocent", b"other"
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
        "a data centre lost",
        [(OTHER, t) for t in "abcdef"] + [(INNOCENT, "e"), (INNOCENT, "f")],
        set(),
    ),
)


class QuarantineTests(unittest.TestCase):
    def test_who_is_refused(self) -> None:
        for name, crashes, expected in CASES:
            with self.subTest(name):
                quarantine = Quarantine()
                step = 0.1 if name == "a data centre lost" else 1.0
                for number, (fingerprint, target) in enumerate(crashes):
                    quarantine.record_crash(number * step, fingerprint, target)
                now = len(crashes) * step
                refused = {
                    fingerprint
                    for fingerprint in (POISON, INNOCENT, OTHER)
                    if quarantine.find_wait(now, fingerprint)
                }
                self.assertEqual(refused, expected)

    def test_entries_are_published_once_after_the_evidence_settled(self) -> None:
        quarantine = Quarantine()
        quarantine.record_crash(0.0, POISON, "a")
        quarantine.record_crash(1.0, POISON, "b")
        self.assertEqual(quarantine.list_unpublished(1.0), [])
        published = quarantine.list_unpublished(1.0 + SETTLE_SECONDS)
        self.assertEqual(published, [QuarantineEntry(POISON, 1.0 + QUARANTINE_SECONDS)])
        quarantine.mark_published(published)
        self.assertEqual(quarantine.list_unpublished(3.0), [])
        other = Quarantine()
        other.set_shared_entries(published)
        self.assertGreater(other.find_wait(3.0, POISON), 0)
        self.assertEqual(other.find_wait(3.0, INNOCENT), 0)

    def test_an_entry_expires(self) -> None:
        quarantine = Quarantine()
        quarantine.record_crash(0.0, POISON, "a")
        quarantine.record_crash(1.0, POISON, "b")
        quarantine.set_shared_entries([QuarantineEntry(OTHER, 5.0)])
        end = 1.0 + QUARANTINE_SECONDS
        self.assertEqual(quarantine.find_wait(end, POISON), 0)
        self.assertEqual(quarantine.find_wait(end, OTHER), 0)
