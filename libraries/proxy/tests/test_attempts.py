"""Checks right before a send, after the connection to the target was made.

Connecting takes up to a second if a packet is lost, and longer if the gateway is
suspended meanwhile. Checks made before it may be outdated.
"""

from __future__ import annotations

import unittest

from bamboopier_proxy.refusals import CallerError, ErrorCode, ExecutionStatus
from bamboopier_proxy.target_pool import ConnectError, TargetRefusedError

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
        """Forward a request that is refused; nothing may be sent."""
        with self.assertRaises(CallerError) as caught:
            await self.harness.forward(**options)
        self.assertEqual(self.harness.pool.heads, [])
        self.assertEqual(self.harness.pool.unused, 1)
        self.assertEqual(self.harness.fleet.list_targets("desk", 0.0)[0].requests, 0)
        return caught.exception

    async def test_the_target_gets_the_time_remaining_at_the_send(self) -> None:
        # Guards against a target that works for 0.9 s after its caller disconnected: a
        # lost packet delays the connection by 0.9 s, and the target was sent the time
        # that remained before the delay.
        self.advance_while_connecting(0.9)
        await self.harness.forward()
        remaining = TIMEOUT_SECONDS - 0.9
        self.assertIn(f"Seconds-Left: {remaining:.3f}", self.harness.pool.heads[0])

    async def test_nothing_is_sent_after_the_route_timeout(self) -> None:
        # Guards against an order that runs after its caller got a timeout error or
        # disconnected: the gateway is suspended while it connects, and resumes after
        # the timeout of the route.
        self.advance_while_connecting(TIMEOUT_SECONDS + 1)
        error = await self.expect_refusal()
        self.assertIs(error.ran, ExecutionStatus.NOT_EXECUTED)
        self.assertFalse(self.harness.crash_monitor.record_unfinished.called)
        breaker = self.harness.fleet.list_targets("desk", 0.0)[0].circuit_breaker
        self.assertEqual(breaker.failure_rate, 0.0)

    async def test_retry_after_is_not_before_there_is_capacity(self) -> None:
        # Guards against a caller that retries too early and is refused again: the
        # target is rate-limited, and accepts the next request in two seconds.
        state = self.harness.fleet.list_targets("desk", 0.0)[0]
        state.rate_limit.record_limit(self.harness.clock.now, 0.5)
        with self.assertRaises(CallerError) as caught:
            await self.harness.forward()
        self.assertIs(caught.exception.ran, ExecutionStatus.NOT_EXECUTED)
        # Retry-After is at most a third of the caller's remaining time.
        min_retry_after = min(2.0, 0.3 * TIMEOUT_SECONDS)
        self.assertGreaterEqual(caught.exception.retry_after, min_retry_after)

    async def test_nothing_is_sent_to_a_target_that_asks_for_rest_meanwhile(
        self,
    ) -> None:
        # Guards against requests whose connections are being made while the target
        # asks another request for rest.
        state = self.harness.fleet.list_targets("desk", 0.0)[0]
        self.harness.on_connect = lambda: state.rest.record_rest(
            self.harness.clock.now, 2.0
        )
        error = await self.expect_refusal()
        self.assertIs(error.ran, ExecutionStatus.NOT_EXECUTED)
        self.assertGreaterEqual(error.retry_after, 2.0)

    async def test_nothing_is_sent_of_a_request_that_is_quarantined_meanwhile(
        self,
    ) -> None:
        # Guards against a request that waits or connects while the evidence against it
        # arrives, and that crashes one more target.
        monitor = self.harness.crash_monitor

        def quarantine() -> None:
            monitor.find_wait.return_value = 30.0

        self.harness.on_connect = quarantine
        error = await self.expect_refusal()
        self.assertIs(error.ran, ExecutionStatus.NOT_EXECUTED)
        self.assertEqual(error.retry_after, 30.0)

    async def test_a_response_is_complete_only_if_its_target_did_not_end_with_it(
        self,
    ) -> None:
        # Guards against a truncated response that looks complete: it has neither a
        # length nor chunks, and its target closed the connection by ending.
        self.harness.pool.unframed = True
        delivery = await self.harness.forward()
        delivery.send.assert_awaited_once()
        monitor = self.harness.crash_monitor
        self.assertTrue(monitor.record_completed.called)
        for error in (TargetRefusedError("refused"), ConnectError("silent")):
            with self.subTest(error=error):
                self.harness.pool.check_error = error
                monitor.reset_mock()
                with self.assertRaises(CallerError) as caught:
                    await self.harness.forward()
                self.assertIs(caught.exception.ran, ExecutionStatus.UNKNOWN)
                self.assertFalse(monitor.record_completed.called)
                self.assertTrue(monitor.record_unfinished.call_args.kwargs["broken"])

    async def test_a_response_that_ends_in_a_pause_is_not_complete(self) -> None:
        # Guards against a truncated response that looks complete: its target ended and
        # was replaced at its address, both while this process was suspended.
        self.harness.pool.unframed = True
        self.harness.clock.now += 1.0
        self.assertGreater(self.harness.pauses.record_tick(self.harness.clock.now), 0)
        with self.assertRaises(CallerError) as caught:
            await self.harness.forward()
        self.assertIs(caught.exception.ran, ExecutionStatus.UNKNOWN)

    async def test_a_key_is_refused_when_the_configuration_gets_stale(self) -> None:
        # Guards against running the request of a revoked key: the configuration was
        # confirmed 4.5 s ago and may be used for keys for 5 s, and connecting takes
        # 0.9 s. A request without a key is sent.
        self.harness.clock.now += KEY_SECONDS - 0.5
        self.advance_while_connecting(0.9)
        error = await self.expect_refusal()
        self.assertIs(error.code, ErrorCode.STALE_CONFIGURATION)
        self.assertIs(error.ran, ExecutionStatus.NOT_EXECUTED)
        await self.harness.forward(keyed=False)
        self.assertEqual(len(self.harness.pool.heads), 1)

    async def test_nothing_is_sent_to_a_target_whose_weights_expired(self) -> None:
        # Guards against a response from expired weights: the target's older weights
        # expire in half a second, and connecting takes 0.9 s.
        now = self.harness.clock.now
        self.harness.weights.record_published(
            MODEL, 2, now - VERSION_SECONDS + 2.6 + 0.5
        )
        self.advance_while_connecting(0.9)
        error = await self.expect_refusal(keyed=False, prompt=True)
        self.assertIs(error.ran, ExecutionStatus.NOT_EXECUTED)


if __name__ == "__main__":
    unittest.main()
