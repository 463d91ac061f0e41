"""What holds right before a send, after a connection to the target was made.

A connection takes up to a second where a packet is lost, and longer where the gateway
is suspended meanwhile. What was checked before that may no longer hold.
"""

from __future__ import annotations

import unittest

from bamboopier_proxy.refusals import CallerError, ErrorCode, ExecutionStatus

from .forwarder_builders import (
    KEY_SECONDS,
    MODEL,
    TIMEOUT_SECONDS,
    VERSION_SECONDS,
    ForwarderHarness,
)


class AttemptTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.harness = ForwarderHarness()

    def advance_while_connecting(self, seconds: float) -> None:
        """Let time pass while the connection is made."""

        def on_connect() -> None:
            self.harness.clock.now += seconds

        self.harness.on_connect = on_connect

    async def expect_refusal(self, **options: bool) -> CallerError:
        """Forward a request that gets no answer; nothing may be sent."""
        with self.assertRaises(CallerError) as caught:
            await self.harness.forward(**options)
        self.assertEqual(self.harness.pool.heads, [])
        self.assertEqual(self.harness.pool.unused, 1)
        self.assertEqual(self.harness.fleet.list_targets("desk", 0.0)[0].requests, 0)
        return caught.exception

    async def test_the_target_gets_the_time_remaining_at_the_send(self) -> None:
        # A packet is lost and the connection takes 0.9 s. The target was told of the
        # time that was left before it, and worked on 0.9 s after the caller had gone.
        self.advance_while_connecting(0.9)
        await self.harness.forward()
        remaining = TIMEOUT_SECONDS - 0.9
        self.assertIn(f"Seconds-Left: {remaining:.3f}", self.harness.pool.heads[0])

    async def test_nothing_is_sent_after_the_route_timeout(self) -> None:
        # The gateway is suspended while it connects. As it runs again the time is over
        # in which the caller was to have its answer, and the order went out all the
        # same: a van was dispatched for a caller who was told the end, or had left.
        self.advance_while_connecting(TIMEOUT_SECONDS + 1)
        error = await self.expect_refusal()
        self.assertIs(error.ran, ExecutionStatus.NOT_EXECUTED)
        self.assertFalse(self.harness.quarantine.record_crash.called)
        standing = self.harness.fleet.list_targets("desk", 0.0)[0].circuit_breaker
        self.assertEqual(standing.failure_rate, 0.0)

    async def test_retry_after_is_not_before_there_is_capacity(self) -> None:
        # Guards against a caller that is refused a second time by a target in need: it
        # takes the next request in two seconds.
        state = self.harness.fleet.list_targets("desk", 0.0)[0]
        state.rate_limit.record_limit(self.harness.clock.now, 0.5)
        with self.assertRaises(CallerError) as caught:
            await self.harness.forward()
        self.assertIs(caught.exception.ran, ExecutionStatus.NOT_EXECUTED)
        # Callers wait for a third of the time that they have at the most.
        min_retry_after = min(2.0, 0.3 * TIMEOUT_SECONDS)
        self.assertGreaterEqual(caught.exception.retry_after, min_retry_after)

    async def test_a_key_is_refused_when_the_configuration_gets_stale(self) -> None:
        # The configuration was confirmed 4.5 s ago, and keys may be relied on for five.
        # The connection takes 0.9 s: the key may be taken away by then, and its request
        # ran. One without a key is sent.
        self.harness.clock.now += KEY_SECONDS - 0.5
        self.advance_while_connecting(0.9)
        error = await self.expect_refusal()
        self.assertIs(error.code, ErrorCode.STALE_CONFIGURATION)
        self.assertIs(error.ran, ExecutionStatus.NOT_EXECUTED)
        await self.harness.forward(keyed=False)
        self.assertEqual(len(self.harness.pool.heads), 1)

    async def test_nothing_is_sent_to_a_target_whose_weights_expired(self) -> None:
        # Newer weights were named long ago, and the target has the older ones for half
        # a second more. The connection takes 0.9 s, and a caller was answered on
        # weights that were to serve no longer.
        now = self.harness.clock.now
        self.harness.weights.record_published(
            MODEL, 2, now - VERSION_SECONDS + 2.6 + 0.5
        )
        self.advance_while_connecting(0.9)
        error = await self.expect_refusal(keyed=False, prompt=True)
        self.assertIs(error.ran, ExecutionStatus.NOT_EXECUTED)


if __name__ == "__main__":
    unittest.main()
