"""Tests of what follows from the settings of a process."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.shared_retry_budget import RetryBudgetLimits
from bamboopier_proxy.settings import Endpoint, ProxySettings


def make_settings(history_seconds: float) -> ProxySettings:
    endpoint = Endpoint("10.0.0.1", 80)
    limits = RetryBudgetLimits(0.1, 3.0, 10.0)
    return ProxySettings(
        vm="g-1",
        data_centre="a",
        region="r",
        host="10.0.0.1",
        callers=None,
        readiness=None,
        metrics=endpoint,
        first_port=7000,
        target=None,
        target_service="",
        key_seconds=None,
        in_force_seconds=5.0,
        grace_seconds=5.0,
        version_seconds=5.0,
        lease_seconds=3.0,
        retries=limits,
        memory_bytes=1,
        history_seconds=history_seconds,
    )


class WatchTests(unittest.TestCase):
    def test_a_watch_ends_before_the_history_is_dropped(self) -> None:
        """Guards against a list read again after each watch without a change."""
        for history in (4.0, 20.0, 30.0, 3600.0):
            with self.subTest(history=history):
                seconds = make_settings(history).watch_seconds
                self.assertLess(seconds, min(30.0, history))
                self.assertGreater(seconds, min(20.0, history / 2))


if __name__ == "__main__":
    unittest.main()
