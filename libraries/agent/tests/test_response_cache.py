"""Answers kept for repeated keys stay within their memory, also while they run."""

from __future__ import annotations

import unittest

from bamboopier_agent.response_cache import ENTRY_BYTES, KeptAnswers

CAPACITY = 4 * ENTRY_BYTES
PIECE = b"x" * 100


class KeptAnswersTests(unittest.TestCase):
    def setUp(self) -> None:
        self.kept = KeptAnswers(CAPACITY)

    def keep(self, key: bytes, pieces: int) -> None:
        answer = self.kept.begin(key, b"body")
        for _ in range(pieces):
            self.kept.add(answer, PIECE)
        self.kept.finish(key)

    def test_an_answer_larger_than_the_memory_is_not_kept(self) -> None:
        self.keep(b"huge", CAPACITY)
        self.assertIsNone(self.kept.find(b"huge"))
        self.keep(b"small", 1)
        small = self.kept.find(b"small")
        self.assertEqual(small and bytes(small.body), PIECE)

    def test_running_answers_share_the_memory(self) -> None:
        running = [self.kept.begin(bytes([n]), b"body") for n in range(3)]
        for _ in range(100):
            for answer in running:
                self.kept.add(answer, PIECE)
        self.assertLessEqual(sum(len(answer.body) for answer in running), CAPACITY)
        for answer in running:
            self.assertFalse(answer.overflowed and answer.body)

    def test_the_oldest_finished_answer_goes_first(self) -> None:
        for key in (b"1", b"2", b"3", b"4"):
            self.keep(key, 4)
        found = [key for key in (b"1", b"2", b"3", b"4") if self.kept.find(key)]
        self.assertEqual(found, [b"3", b"4"])

    def test_a_part_of_an_answer_is_never_replayed(self) -> None:
        answer = self.kept.begin(b"k", b"body")
        self.kept.add(answer, PIECE)
        self.kept.discard(b"k")
        self.assertIsNone(self.kept.find(b"k"))
