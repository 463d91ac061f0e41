"""Which requests are taken back from targets with older weights."""

from __future__ import annotations

import unittest
from unittest import mock

from bamboopier_decisions.forwarding.weight_versions import (
    WAIT_MARGIN_SECONDS,
    WeightVersions,
)
from bamboopier_proxy.begin_watch import BeginWatch, Wait

MODEL = "m1"
ALLOWED_SECONDS = 12.0
NAMED = 100.0
# The time of older weights is nearly over.
END = NAMED + ALLOWED_SECONDS - WAIT_MARGIN_SECONDS


class BeginWatchTests(unittest.TestCase):
    def setUp(self) -> None:
        self.weights = WeightVersions(ALLOWED_SECONDS)
        self.weights.record_published(MODEL, 2, NAMED)
        self.begins = BeginWatch(self.weights)

    def wait(self, version: int, *, prompt: bool = True) -> Wait:
        """Let a request wait at a target with these weights."""
        call = mock.Mock(prompt=mock.Mock(model=MODEL) if prompt else None)
        marks = mock.Mock(weight_version=version, target="i-1")
        watching = self.begins.watch(call, marks, mock.Mock())
        self.addCleanup(watching.__exit__, None, None, None)
        return watching.__enter__()

    def is_reset(self, wait: Wait) -> bool:
        connection = wait.connection
        assert isinstance(connection, mock.Mock)
        return bool(connection.abort.called)

    def test_what_has_not_begun_in_time_is_taken_back(self) -> None:
        # An engine is suspended with a caller's request, and wakes when the time of its
        # weights is over. The request was reset half a second before.
        wait = self.wait(version=1)
        self.begins.look(END - 0.1)
        self.assertFalse(self.is_reset(wait))
        self.begins.look(END)
        self.assertTrue(self.is_reset(wait))
        self.assertTrue(wait.taken_back)

    def test_what_has_begun_goes_on(self) -> None:
        wait = self.wait(version=1)
        self.begins.note_begun(wait)
        self.begins.look(END + 1.0)
        self.assertFalse(self.is_reset(wait))

    def test_requests_on_the_newest_weights_or_on_none_wait_on(self) -> None:
        waits = self.wait(version=2), self.wait(version=0, prompt=False)
        self.begins.look(END + 1.0)
        self.assertEqual([self.is_reset(wait) for wait in waits], [False, False])

    def test_weights_named_while_it_waits_count(self) -> None:
        # Newer weights are named after the request was sent, on what was newest then.
        wait = self.wait(version=2)
        self.weights.record_published(MODEL, 3, END)
        self.begins.look(END + ALLOWED_SECONDS)
        self.assertTrue(self.is_reset(wait))


if __name__ == "__main__":
    unittest.main()
