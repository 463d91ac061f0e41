"""Headers that are not forwarded, and bytes that are no text."""

from __future__ import annotations

import unittest

from bamboopier_daemon.headers import (
    decode_header,
    drop_hop_headers,
    encode_header,
    make_text,
)


class HeaderTests(unittest.TestCase):
    def test_hop_headers_and_those_named_by_connection_are_dropped(self) -> None:
        headers = [
            ("Connection", "close, X-Named"),
            ("x-named", "1"),
            ("Keep-Alive", "timeout=5"),
            ("Transfer-Encoding", "chunked"),
            ("Set-Cookie", "a=1"),
            ("Set-Cookie", "b=2"),
        ]
        passed = drop_hop_headers(headers)
        self.assertEqual(passed, (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2")))

    def test_bytes_that_are_no_text_return_unchanged(self) -> None:
        for value in (b"caf\xc3\xa9", b"caf\xe9", b"\xff\xfe", b"\xed\xa0\x80"):
            with self.subTest(value):
                self.assertEqual(encode_header(decode_header(value)), value)

    def test_only_bytes_that_are_no_text_are_made_text(self) -> None:
        """Guards against a character that is dropped, or encoded twice."""
        self.assertEqual(make_text(decode_header(b"caf\xc3\xa9")), "caf\u00e9")
        self.assertEqual(make_text(decode_header(b"caf\xe9")), "caf\u00e9")
