"""What holds right before a send, after a connection to the target was made.

A connection takes up to a second where a packet is lost, and longer where the gateway
is suspended meanwhile. What was checked before that may no longer hold.
"""

from __future__ import annotations

import unittest

from bamboopier_proxy.refusals import CallerError, ErrorCode, Ran

from .forwarder_builders import (
    KEY_SECONDS,
    MODEL,
    TIMEOUT_SECONDS,
    VERSION_SECONDS,
    ForwarderLab,
)


class SendTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.lab = ForwarderLab()

    def pass_seconds(self, seconds: float) -> None:
        """Let time pass while the connection is made."""

        def happen() -> None:
            self.lab.clock.now += seconds

        self.lab.happen = happen

    async def expect_refusal(self, **options: bool) -> CallerError:
        """Forward a request that gets no answer; nothing may be sent."""
        with self.assertRaises(CallerError) as caught:
            await self.lab.forward(**options)
        self.assertEqual(self.lab.pool.heads, [])
        self.assertEqual(self.lab.pool.unused, 1)
        self.assertEqual(self.lab.fleet.list_targets("desk", 0.0)[0].requests, 0)
        return caught.exception

    async def test_the_target_is_told_what_is_left_when_it_is_sent(self) -> None:
        # A packet is lost and the connection takes 0.9 s. The target was told of the
        # time that was left before it, and worked on 0.9 s after the caller had gone.
        self.pass_seconds(0.9)
        await self.lab.forward()
        left = TIMEOUT_SECONDS - 0.9
        self.assertIn(f"Seconds-Left: {left:.3f}", self.lab.pool.heads[0])

    async def test_nothing_is_sent_after_the_time_of_its_route(self) -> None:
        # The gateway is suspended while it connects. As it runs again the time is over
        # in which the caller was to have its answer, and the order went out all the
        # same: a van was dispatched for a caller who was told the end, or had left.
        self.pass_seconds(TIMEOUT_SECONDS + 1)
        error = await self.expect_refusal()
        self.assertIs(error.ran, Ran.NO)
        self.assertFalse(self.lab.breaks.note_break.called)
        standing = self.lab.fleet.list_targets("desk", 0.0)[0].circuit_breaker
        self.assertEqual(standing.failure_rate, 0.0)

    async def test_a_caller_is_not_told_to_return_before_there_is_room(self) -> None:
        # Guards against a caller that is refused a second time by a target in need: it
        # takes the next request in two seconds.
        state = self.lab.fleet.list_targets("desk", 0.0)[0]
        state.rate_limit.record_limit(self.lab.clock.now, 0.5)
        with self.assertRaises(CallerError) as caught:
            await self.lab.forward()
        self.assertIs(caught.exception.ran, Ran.NO)
        # Callers wait for a third of the time that they have at the most.
        least = min(2.0, 0.3 * TIMEOUT_SECONDS)
        self.assertGreaterEqual(caught.exception.retry_after, least)

    async def test_a_key_whose_proof_has_run_out_meanwhile_is_refused(self) -> None:
        # The configuration was confirmed 4.5 s ago, and keys may be relied on for five.
        # The connection takes 0.9 s: the key may be taken away by then, and its request
        # ran. One without a key is sent.
        self.lab.clock.now += KEY_SECONDS - 0.5
        self.pass_seconds(0.9)
        error = await self.expect_refusal()
        self.assertIs(error.code, ErrorCode.STALE_CONFIGURATION)
        self.assertIs(error.ran, Ran.NO)
        await self.lab.forward(keyed=False)
        self.assertEqual(len(self.lab.pool.heads), 1)

    async def test_weights_whose_time_is_over_meanwhile_get_nothing(self) -> None:
        # Newer weights were named long ago, and the target has the older ones for half
        # a second more. The connection takes 0.9 s, and a caller was answered on
        # weights that were to serve no longer.
        now = self.lab.clock.now
        self.lab.weights.record_published(MODEL, 2, now - VERSION_SECONDS + 2.6 + 0.5)
        self.pass_seconds(0.9)
        error = await self.expect_refusal(keyed=False, prompt=True)
        self.assertIs(error.ran, Ran.NO)


if __name__ == "__main__":
    unittest.main()
