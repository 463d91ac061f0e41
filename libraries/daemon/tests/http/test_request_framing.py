"""Requests are cut at their ends, and refused at their limits, byte by byte."""

from __future__ import annotations

import unittest

from hypothesis import given, strategies as st

from bamboopier_daemon.http.limits import Problem
from bamboopier_daemon.http.request_framing import (
    FRAMING_FACTOR,
    FramingError,
    RequestFraming,
    Stage,
)

HEAD_BYTES, BODY_BYTES = 200, 1000
HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n\r\n"


def take_all(framing: RequestFraming, data: bytes) -> list[bytes]:
    """Return the pieces that can be taken once ``data`` was received."""
    framing.receive(data)
    pieces = []
    while piece := framing.take():
        pieces.append(piece)
        if framing.stage in (Stage.HEAD_TAKEN, Stage.COMPLETE):
            break
    return pieces


def find_problem(framing: RequestFraming, data: bytes) -> Problem | None:
    """Return why ``data`` is refused."""
    try:
        take_all(framing, data)
    except FramingError as error:
        return error.problem
    return None


def make_framing() -> RequestFraming:
    return RequestFraming(HEAD_BYTES, BODY_BYTES)


class HeadTests(unittest.TestCase):
    @given(st.lists(st.integers(0, 60), max_size=10), st.integers(0, 4))
    def test_a_head_is_taken_once_it_is_complete(
        self, cuts: list[int], empty_lines: int
    ) -> None:
        """Guards against a parser that holds parts of unfinished heads."""
        framing, start = make_framing(), 0
        data = b"\r\n" * empty_lines + HEAD
        for cut in sorted({c for c in cuts if c < len(data)}):
            self.assertEqual(take_all(framing, data[start:cut]), [])
            start = cut
        self.assertEqual(take_all(framing, data[start:]), [HEAD])
        self.assertEqual(framing.held_bytes, 0)

    def test_a_head_is_refused_at_its_limit(self) -> None:
        """Guards against heads without end, in any of their parts."""
        for data in (
            b"GET /" + b"a" * HEAD_BYTES,
            b"GET / HTTP/1.1\r\nA: " + b"b" * HEAD_BYTES,
            b"GET / HTTP/1.1\r\n" + b"a:\r\n" * (HEAD_BYTES // 4 + 1),
            b"\r\n" * HEAD_BYTES,
        ):
            with self.subTest(data[:20]):
                problem = find_problem(make_framing(), data)
                self.assertIs(problem, Problem.HEAD_TOO_LARGE)

    def test_a_head_inside_its_limit_is_taken(self) -> None:
        """Guards against a refusal of what the limit allows."""
        line = b"GET /" + b"a" * (HEAD_BYTES - 16) + b" HTTP/1.1\r\n"
        fields = b"a:\r\n" * (HEAD_BYTES // 4)
        self.assertEqual(len(line), HEAD_BYTES)
        taken = take_all(make_framing(), line + fields + b"\r\n")
        self.assertEqual(taken, [line + fields + b"\r\n"])

    def test_what_is_no_head_is_passed_on_at_once(self) -> None:
        """Guards against a client without HTTP that waits for the header timeout."""
        for data in (b"\x16\x03\x01\x02", b"GET / HTTP/1.1\nHost: x\n\n"):
            with self.subTest(data):
                self.assertEqual(take_all(make_framing(), data), [data])


class BodyTests(unittest.TestCase):
    def begin(self, length: int = 0, *, chunked: bool = False) -> RequestFraming:
        framing = make_framing()
        self.assertEqual(take_all(framing, HEAD), [HEAD])
        framing.begin_body(length, chunked=chunked)
        return framing

    def test_a_body_with_a_length_ends_after_it(self) -> None:
        framing = self.begin(5)
        self.assertEqual(take_all(framing, b"abc"), [b"abc"])
        self.assertEqual(take_all(framing, b"de" + HEAD), [b"de"])
        self.assertIs(framing.stage, Stage.COMPLETE)
        self.assertEqual(framing.take(), b"")
        framing.begin_request()
        self.assertEqual(framing.take(), HEAD)

    def test_small_chunks_are_passed_on_as_one(self) -> None:
        """Guards against the work of a parser that handles each of them."""
        framing = self.begin(chunked=True)
        self.assertEqual(take_all(framing, b"1\r\na\r\n1\r\nb\r\n"), [b"2\r\nab\r\n"])
        self.assertEqual(take_all(framing, b"0\r\n\r\n" + HEAD), [b"0\r\n\r\n"])
        self.assertIs(framing.stage, Stage.COMPLETE)
        self.assertEqual(framing.held_bytes, len(HEAD))

    def test_framing_without_end_is_refused(self) -> None:
        """Guards against what is no body and goes on for ever."""
        for data in (b"5;a=" + b"b" * 2000, b"0" * 2000, b"0\r\nA: " + b"b" * 2000):
            with self.subTest(data[:10]):
                framing = self.begin(chunked=True)
                problem = find_problem(framing, data)
                self.assertIs(problem, Problem.FRAMING_TOO_LARGE)

    def test_chunks_of_a_byte_are_no_framing_without_end(self) -> None:
        """Guards against a limit that a client inside the others meets."""
        framing = self.begin(chunked=True)
        self.assertIsNone(find_problem(framing, b"0001\r\nx\r\n" * BODY_BYTES))
        self.assertGreaterEqual(FRAMING_FACTOR, len(b"0001\r\n\r\n"))

    def test_garbage_behind_a_request_is_recognised(self) -> None:
        framing = self.begin()
        framing.receive(b"\x00")
        self.assertTrue(framing.precedes_garbage)
        framing = self.begin()
        framing.receive(b"\r\nGET")
        self.assertFalse(framing.precedes_garbage)


if __name__ == "__main__":
    unittest.main()
