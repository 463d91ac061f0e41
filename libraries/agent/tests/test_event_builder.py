"""Events of a response."""

from __future__ import annotations

import unittest

from bamboopier_agent.event_builder import EventBuilder
from bamboopier_daemon.headers import decode_header
from bamboopier_protocol import agent_pb2 as pb


class HeadTests(unittest.TestCase):
    def test_a_targets_header_that_is_no_text_is_passed_on_as_text(self) -> None:
        """Guards against a response that ends as unknown for a byte of its head."""
        headers = [("X-Note", decode_header(b"caf\xe9")), ("X-Other", "caf\u00e9")]
        event = EventBuilder("1", pb.LoadReport).make_head(200, headers, "")
        values = [header.value for header in event.head.headers]
        self.assertEqual(values, ["caf\u00e9", "caf\u00e9"])


if __name__ == "__main__":
    unittest.main()
