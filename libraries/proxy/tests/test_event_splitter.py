"""Streams are split only at event boundaries."""

from __future__ import annotations

import unittest

from bamboopier_proxy.event_splitter import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\nversion: 3\ndata: b id: 9\n\nid: 3\ndata: c\n\n"


class EventSplitterTests(unittest.TestCase):
    def test_any_chunk_size_gives_the_same_events(self) -> None:
        for size in range(1, len(STREAM)):
            with self.subTest(size):
                splitter = EventSplitter()
                pieces = [
                    splitter.feed(STREAM[at : at + size])
                    for at in range(0, len(STREAM), size)
                ]
                self.assertEqual(b"".join(pieces), STREAM)
                self.assertTrue(all(p.endswith(b"\n\n") for p in pieces if p))
                self.assertEqual((splitter.last_event, splitter.incomplete), ("3", b""))

    def test_an_incomplete_event_is_withheld(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(STREAM[:20]), b"id: 1\ndata: a\n\n")
        self.assertEqual(splitter.last_event, "1")
        self.assertEqual(splitter.incomplete, b"id: 2")


if __name__ == "__main__":
    unittest.main()
