"""Which requests are taken back from targets with older weights."""

from __future__ import annotations

import unittest
from unittest import mock

from bamboopier_decisions.forwarding.weight_versions import (
    WAIT_MARGIN_SECONDS,
    WeightVersions,
)
from bamboopier_proxy.weight_expiry_monitor import PendingRequest, WeightExpiryMonitor

MODEL = "m1"
ALLOWED_SECONDS = 12.0
NAMED = 100.0
# The time of older weights is nearly over.
END = NAMED + ALLOWED_SECONDS - WAIT_MARGIN_SECONDS


class WeightExpiryMonitorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.weights = WeightVersions(ALLOWED_SECONDS)
        self.weights.record_published(MODEL, 2, NAMED)
        self.expiry_monitor = WeightExpiryMonitor(self.weights)

    def wait(self, version: int, *, prompt: bool = True) -> PendingRequest:
        """Let a request wait at a target with these weights."""
        call = mock.Mock(prompt=mock.Mock(model=MODEL) if prompt else None)
        metadata = mock.Mock(weight_version=version, target="i-1")
        watching = self.expiry_monitor.watch(call, metadata, mock.Mock())
        self.addCleanup(watching.__exit__, None, None, None)
        return watching.__enter__()

    def is_aborted(self, wait: PendingRequest) -> bool:
        connection = wait.connection
        assert isinstance(connection, mock.Mock)
        return bool(connection.abort.called)

    def test_requests_not_started_in_time_are_aborted(self) -> None:
        # An engine is suspended with a caller's request, and wakes when the time of its
        # weights is over. The request was reset half a second before.
        wait = self.wait(version=1)
        self.expiry_monitor.abort_expired(END - 0.1)
        self.assertFalse(self.is_aborted(wait))
        self.expiry_monitor.abort_expired(END)
        self.assertTrue(self.is_aborted(wait))
        self.assertTrue(wait.aborted)

    def test_started_requests_continue(self) -> None:
        wait = self.wait(version=1)
        self.expiry_monitor.record_started(wait)
        self.expiry_monitor.abort_expired(END + 1.0)
        self.assertFalse(self.is_aborted(wait))

    def test_requests_with_the_newest_weights_or_none_are_kept(self) -> None:
        waits = self.wait(version=2), self.wait(version=0, prompt=False)
        self.expiry_monitor.abort_expired(END + 1.0)
        self.assertEqual([self.is_aborted(wait) for wait in waits], [False, False])

    def test_weights_published_after_the_send_count(self) -> None:
        # Newer weights are named after the request was sent, on what was newest then.
        wait = self.wait(version=2)
        self.weights.record_published(MODEL, 3, END)
        self.expiry_monitor.abort_expired(END + ALLOWED_SECONDS)
        self.assertTrue(self.is_aborted(wait))


if __name__ == "__main__":
    unittest.main()
