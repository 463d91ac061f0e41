"""Which requests are aborted at targets with older weights."""

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
PUBLISHED_AT = 100.0
# Time from which requests may no longer wait for the older weights.
END = PUBLISHED_AT + ALLOWED_SECONDS - WAIT_MARGIN_SECONDS


class WeightExpiryMonitorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.weights = WeightVersions(ALLOWED_SECONDS)
        self.weights.record_published(MODEL, 2, PUBLISHED_AT)
        self.expiry_monitor = WeightExpiryMonitor(self.weights)

    def start_pending(self, version: int, *, prompt: bool = True) -> PendingRequest:
        """Let a request wait at a target with this weight version."""
        call = mock.Mock(prompt=mock.Mock(model=MODEL) if prompt else None)
        metadata = mock.Mock(weight_version=version, target="i-1")
        tracking = self.expiry_monitor.watch(call, metadata, mock.Mock())
        self.addCleanup(tracking.__exit__, None, None, None)
        return tracking.__enter__()

    def is_aborted(self, pending: PendingRequest) -> bool:
        connection = pending.connection
        assert isinstance(connection, mock.Mock)
        return bool(connection.abort.called)

    def test_requests_not_started_in_time_are_aborted(self) -> None:
        # Guards against a response from expired weights: an engine is suspended with a
        # request, and resumes after its weights expired. The request is reset half a
        # second before.
        pending = self.start_pending(version=1)
        self.expiry_monitor.abort_expired(END - 0.1)
        self.assertFalse(self.is_aborted(pending))
        self.expiry_monitor.abort_expired(END)
        self.assertTrue(self.is_aborted(pending))
        self.assertTrue(pending.aborted)

    def test_started_requests_continue(self) -> None:
        pending = self.start_pending(version=1)
        self.expiry_monitor.record_started(pending)
        self.expiry_monitor.abort_expired(END + 1.0)
        self.assertFalse(self.is_aborted(pending))

    def test_requests_with_the_newest_weights_or_none_are_kept(self) -> None:
        requests = (
            self.start_pending(version=2),
            self.start_pending(version=0, prompt=False),
        )
        self.expiry_monitor.abort_expired(END + 1.0)
        self.assertEqual(
            [self.is_aborted(pending) for pending in requests], [False, False]
        )

    def test_weights_published_after_the_send_count(self) -> None:
        # Newer weights are published after the request was sent to the newest ones.
        pending = self.start_pending(version=2)
        self.weights.record_published(MODEL, 3, END)
        self.expiry_monitor.abort_expired(END + ALLOWED_SECONDS)
        self.assertTrue(self.is_aborted(pending))


if __name__ == "__main__":
    unittest.main()
