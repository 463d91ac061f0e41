"""Tests of the relay of the configuration between gateways."""

from __future__ import annotations

import unittest
from unittest import mock

from bamboopier_objects.objects import StoredObject
from bamboopier_proxy.configuration_relay import ConfigurationRelay

MEGABYTE = 1_000_000
# Bandwidth of the weakest link, in bytes a second.
LINK = 625_000


class SendRateTests(unittest.TestCase):
    def test_copies_use_at_most_half_of_the_weakest_link(self) -> None:
        # Guards against several gateways that are rejected by the store and request a
        # megabyte each from the same gateway: its own callers would wait for seconds.
        loader = mock.Mock(stored=StoredObject("", 5, b"x" * MEGABYTE))
        active_configuration = mock.Mock()
        active_configuration.freshness.find_age.return_value = 0.5
        relay = ConfigurationRelay(loader, active_configuration, mock.Mock())
        given = 0
        module = "bamboopier_proxy.configuration_relay.read_clock"
        with mock.patch(module) as read_clock:
            for step in range(100):
                read_clock.return_value = 100.0 + step * 0.1
                answer = relay.answer(b"")
                given += answer.status == 200
        self.assertLessEqual(given * MEGABYTE, LINK / 2 * 10 + MEGABYTE)
        self.assertGreater(given, 1)


if __name__ == "__main__":
    unittest.main()
