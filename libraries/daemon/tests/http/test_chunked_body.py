"""Chunked bodies are decoded and end where they end, however they are cut."""

from __future__ import annotations

import unittest

from hypothesis import given, strategies as st

from bamboopier_daemon.http.chunked_body import ChunkedBody, InvalidChunkError

BODY = b"0\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n"
NEXT = b"POST / HTTP/1.1\r\n\r\n"


def encode(body: bytes, size: int, trailers: bytes = b"") -> bytes:
    """Return a body in chunks of ``size`` bytes."""
    pieces = [body[n : n + size] for n in range(0, len(body), size)]
    chunks = b"".join(b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in pieces)
    return chunks + b"0\r\n" + trailers + b"\r\n"


def decode(data: bytes, cuts: list[int]) -> tuple[bytes, bytes, ChunkedBody]:
    """Return the body, what follows it, and the decoder, of bytes cut into pieces."""
    chunks = ChunkedBody()
    body, rest, start = b"", b"", 0
    for end in [*sorted({min(cut, len(data)) for cut in cuts}), len(data)]:
        piece, start = data[start:end], end
        if chunks.complete:
            rest += piece
            continue
        decoded, rest = chunks.decode(piece)
        body += decoded
    return body, rest, chunks


class ChunkedBodyTests(unittest.TestCase):
    @given(
        st.integers(1, 40),
        st.sampled_from([b"", b"A: b\r\n", b"A: \r\nC: d\r\n"]),
        st.lists(st.integers(0, 300), max_size=30),
    )
    def test_the_end_is_found_wherever_the_bytes_are_cut(
        self, size: int, trailers: bytes, cuts: list[int]
    ) -> None:
        """Guards against a body that is cut, or takes bytes of the next request."""
        encoded = encode(BODY, size, trailers)
        body, rest, chunks = decode(encoded + NEXT, cuts)
        self.assertEqual((body, rest), (BODY, NEXT))
        self.assertTrue(chunks.complete)
        self.assertEqual(chunks.body_bytes, len(BODY))
        self.assertEqual(chunks.wire_bytes, len(encoded))

    def test_a_body_without_its_end_is_not_complete(self) -> None:
        body, rest, chunks = decode(encode(BODY, 7)[:-1], [])
        self.assertEqual((body, rest, chunks.complete), (BODY, b"", False))

    def test_what_is_no_chunk_is_invalid(self) -> None:
        """Guards against bytes that two parsers read differently."""
        for data in (b"zz\r\n", b"5\r\nabcdefg\r\n", b"-1\r\n", b"5\nabcde\n0\n\n"):
            with self.subTest(data), self.assertRaises(InvalidChunkError):
                ChunkedBody().decode(data)


if __name__ == "__main__":
    unittest.main()
