"""The response cache stays within its capacity, also with responses in flight."""

from __future__ import annotations

import unittest

from bamboopier_agent.response_cache import ENTRY_BYTES, ResponseCache

CAPACITY = 4 * ENTRY_BYTES
CHUNK = b"x" * 100


class ResponseCacheTests(unittest.TestCase):
    def setUp(self) -> None:
        self.cache = ResponseCache(CAPACITY)

    def store(self, key: bytes, chunks: int) -> None:
        response = self.cache.start(key, b"body")
        for _ in range(chunks):
            self.cache.add(response, CHUNK)
        self.cache.finish(key)

    def test_a_response_larger_than_the_cache_is_not_kept(self) -> None:
        self.store(b"huge", CAPACITY)
        self.assertIsNone(self.cache.find(b"huge"))
        self.store(b"small", 1)
        small = self.cache.find(b"small")
        self.assertEqual(small and bytes(small.body), CHUNK)

    def test_running_responses_share_the_capacity(self) -> None:
        running = [self.cache.start(bytes([n]), b"body") for n in range(3)]
        for _ in range(100):
            for response in running:
                self.cache.add(response, CHUNK)
        self.assertLessEqual(sum(len(response.body) for response in running), CAPACITY)
        for response in running:
            self.assertFalse(response.overflowed and response.body)

    def test_the_oldest_finished_response_is_evicted_first(self) -> None:
        for key in (b"1", b"2", b"3", b"4"):
            self.store(key, 4)
        found = [key for key in (b"1", b"2", b"3", b"4") if self.cache.find(key)]
        self.assertEqual(found, [b"3", b"4"])

    def test_a_partial_response_is_never_replayed(self) -> None:
        response = self.cache.start(b"k", b"body")
        self.cache.add(response, CHUNK)
        self.cache.discard(b"k")
        self.assertIsNone(self.cache.find(b"k"))
