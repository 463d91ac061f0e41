"""Log lines are limited, and a pipe that is not read does not block the process."""

from __future__ import annotations

import os
import unittest

from bamboopier_daemon.log_sink import BURST_LINES, LINES_PER_SECOND, LogSink


class LogSinkTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.now = 0.0
        self.sink = LogSink(self.writer, lambda: self.now)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def read(self) -> bytes:
        found = b""
        try:
            while data := os.read(self.reader, 65536):
                found += data
        except BlockingIOError:
            pass
        return found

    def test_lines_pass_unchanged(self) -> None:
        self.sink.write("one\n")
        self.sink.write("two\n")
        self.assertEqual(self.read(), b"one\ntwo\n")

    def test_a_pipe_that_is_not_read_does_not_block(self) -> None:
        # Guards against a blocked log collector that stops the process. Lines that do
        # not fit into the pipe are dropped completely; one line reports their number
        # once the collector reads again.
        line = "x" * 500 + "\n"
        for _ in range(400):
            self.sink.write(line)
        self.assertGreater(self.sink.dropped, 0)
        first = self.read()
        self.sink.write("after\n")
        rest = self.read()
        lines = (first + rest).split(b"\n")
        reported = [found for found in lines if b"log lines dropped" in found]
        self.assertEqual(len(reported), 1)
        complete = [found for found in lines if found == b"x" * 500]
        self.assertEqual(len(complete) + self.sink.dropped, 400)

    def test_lines_beyond_the_rate_are_dropped(self) -> None:
        for _ in range(int(BURST_LINES) + 500):
            self.sink.write("a\n")
            self.read()
        self.assertEqual(self.sink.dropped, 500)
        self.now = 1.0
        for _ in range(int(LINES_PER_SECOND)):
            self.sink.write("a\n")
            self.read()
        self.assertEqual(self.sink.dropped, 500)

    def test_a_closed_pipe_raises_no_error(self) -> None:
        reader, writer = os.pipe()
        sink = LogSink(writer)
        os.close(reader)
        sink.write("nobody reads\n")
        os.close(writer)
        self.assertEqual(sink.dropped, 1)


if __name__ == "__main__":
    unittest.main()
