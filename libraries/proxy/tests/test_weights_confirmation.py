"""Tests of an agent that has gateways confirm the published weights."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from bamboopier_proxy.hints import (
    FreshnessRequest,
    FreshnessResponse,
    ListConfirmation,
    LoadQuery,
)
from bamboopier_proxy.settings import Endpoint
from bamboopier_proxy.weights_confirmation import MAX_GATEWAYS, WeightsConfirmation

NOW = 100.0
GATEWAY = Endpoint("10.0.0.2", 7000)
PREFIX = "weights/"
# Of the list at this agent, and of another one.
FINGERPRINT, OTHER_FINGERPRINT = 77, 78


class WeightsConfirmationTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.follower = mock.Mock(
            prefix=PREFIX,
            revision=5,
            fingerprint=FINGERPRINT,
            known_until=NOW - 2.0,
            check=mock.AsyncMock(),
        )
        self.send = mock.Mock()
        self.confirmation = WeightsConfirmation(
            "a-1", self.follower, self.send, random.Random(1)
        )
        patch = mock.patch(
            "bamboopier_proxy.weights_confirmation.read_clock", return_value=NOW + 0.01
        )
        patch.start()
        self.addCleanup(patch.stop)

    def hear(self, gateway: Endpoint = GATEWAY) -> None:
        """Let a gateway ask for the load of the target."""
        query = LoadQuery("g-1", 1, "i-1")
        self.confirmation.receive(query, (gateway.host, gateway.port))

    def ask(self) -> int:
        """Let the agent ask; return the nonce."""
        self.confirmation.ask_gateway(NOW)
        request, to = self.send.call_args.args
        self.assertIsInstance(request, FreshnessRequest)
        self.assertEqual(to, GATEWAY)
        return request.nonce

    def answer(self, nonce: int, found: ListConfirmation) -> None:
        response = FreshnessResponse(nonce, 3, 50, [found], None)
        self.confirmation.receive(response, (GATEWAY.host, GATEWAY.port))

    async def test_a_gateway_that_was_heard_confirms_the_list(self) -> None:
        """Guards against one call to the store every few seconds from each agent."""
        self.hear()
        self.answer(self.ask(), ListConfirmation(PREFIX, 5, 400, FINGERPRINT))
        self.follower.confirm.assert_called_once_with(NOW - 0.4)
        await self.confirmation.check(NOW)
        self.follower.check.assert_not_awaited()

    async def test_a_change_that_the_watch_does_not_bring_is_asked_for(self) -> None:
        """Guards against a silent watch that hides new weights for 25 s."""
        self.hear()
        self.answer(self.ask(), ListConfirmation(PREFIX, 6, 400, OTHER_FINGERPRINT))
        self.follower.confirm.assert_not_called()
        await self.confirmation.check(NOW + 1.0)
        self.follower.check.assert_awaited_once()

    async def test_an_agent_without_gateways_asks_the_store(self) -> None:
        self.confirmation.ask_gateway(NOW)
        self.send.assert_not_called()
        self.follower.known_until = NOW - 4.1
        await self.confirmation.check(NOW)
        self.follower.check.assert_awaited_once()

    async def test_other_answers_confirm_nothing(self) -> None:
        """Guards against an answer that lay in the socket of a suspended agent."""
        self.hear()
        nonce = self.ask()
        self.answer(nonce + 1, ListConfirmation(PREFIX, 5, 400, FINGERPRINT))
        self.answer(nonce, ListConfirmation("targets/", 5, 400, FINGERPRINT))
        self.follower.confirm.assert_not_called()

    async def test_only_the_last_gateways_are_asked(self) -> None:
        self.hear()
        for number in range(MAX_GATEWAYS):
            self.hear(Endpoint(f"10.0.1.{number}", 7000))
        self.confirmation.ask_gateway(NOW)
        self.assertNotEqual(self.send.call_args.args[1], GATEWAY)


if __name__ == "__main__":
    unittest.main()
