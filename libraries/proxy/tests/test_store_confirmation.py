"""Tests of the confirmations that gateways and the store give each other."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from bamboopier_decisions.forwarding.confirmation_schedule import (
    RESPONSE_GRACE_SECONDS,
)
from bamboopier_proxy.hints import (
    FreshnessRequest,
    FreshnessResponse,
    ListConfirmation,
)
from bamboopier_proxy.metrics import ProxyMetrics
from bamboopier_proxy.settings import Endpoint
from bamboopier_proxy.store_availability import StoreAvailability
from bamboopier_proxy.store_confirmation import StoreConfirmation

NOW = 100.0
PEER = Endpoint("10.0.0.2", 7000)
PREFIX = "targets/"
# Of the list of targets at this gateway, and of another one.
FINGERPRINT, OTHER_FINGERPRINT = 77, 78


class StoreConfirmationTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.targets = mock.Mock(
            prefix=PREFIX,
            max_age=1.15,
            revision=5,
            changed_revision=5,
            fingerprint=FINGERPRINT,
            known_until=NOW - 0.5,
            check=mock.AsyncMock(),
        )
        self.configuration = mock.Mock(
            is_small=True, transfer_seconds=0.3, check=mock.AsyncMock()
        )
        self.availability = StoreAvailability()
        self.availability.record_response(NOW - 0.2, NOW - 0.2)
        self.active = mock.Mock(version=3)
        self.active.freshness.confirmed_at = NOW - 0.2
        self.active.freshness.max_denial_age = 4.0
        self.active.freshness.find_age = lambda now: now - NOW + 0.2
        self.peers = mock.Mock()
        self.peers.sample_peers.return_value = [PEER]
        self.on_newer = mock.Mock()
        self.metrics = ProxyMetrics()
        self.fleet = mock.Mock(gateway_count=1, gateway_index=0)
        self.confirmation = StoreConfirmation(
            "g-1",
            mock.Mock(
                active_configuration=self.active,
                availability=self.availability,
                fleet=self.fleet,
            ),
            mock.Mock(configuration=self.configuration, lists=[self.targets]),
            self.peers,
            self.on_newer,
            self.metrics,
            random.Random(1),
        )
        patch = mock.patch(
            "bamboopier_proxy.store_confirmation.read_clock", return_value=NOW
        )
        patch.start()
        self.addCleanup(patch.stop)

    def ask(self) -> int:
        """Let the gateway ask its peer; return the nonce."""
        self.confirmation.ask_peers(NOW)
        request = self.peers.send.call_args.args[0]
        self.assertIsInstance(request, FreshnessRequest)
        return request.nonce

    def answer(
        self,
        *lists: ListConfirmation,
        version: int = 3,
        store_age_ms: int | None = None,
    ) -> None:
        """Let the peer answer that it confirmed its version 50 ms ago."""
        nonce = self.ask()
        response = FreshnessResponse(nonce, version, 50, list(lists), store_age_ms)
        self.confirmation.receive(response, PEER)

    async def test_the_age_of_a_peers_list_counts_from_the_question(self) -> None:
        self.answer(ListConfirmation(PREFIX, 5, 40, FINGERPRINT))
        self.targets.confirm.assert_called_once_with(NOW - 0.04)
        self.active.confirm.assert_called_once_with(3, NOW - 0.05)

    async def test_a_list_with_an_unknown_change_confirms_nothing(self) -> None:
        self.answer(ListConfirmation(PREFIX, 6, 40, OTHER_FINGERPRINT))
        self.targets.confirm.assert_not_called()

    async def test_a_list_with_other_objects_confirms_nothing(self) -> None:
        """Guards against a removal of which the newest object says nothing."""
        self.answer(ListConfirmation(PREFIX, 5, 40, OTHER_FINGERPRINT))
        self.answer(ListConfirmation(PREFIX, 4, 40, OTHER_FINGERPRINT))
        self.targets.confirm.assert_not_called()
        self.assertEqual(self.count_answers("different"), 2)

    async def test_the_same_objects_are_confirmed_at_any_revision(self) -> None:
        """Guards against calls to the store whenever another gateway has listed."""
        self.answer(ListConfirmation(PREFIX, 900, 40, FINGERPRINT))
        self.targets.confirm.assert_called_once_with(NOW - 0.04)

    async def test_a_gateway_of_an_older_release_confirms_nothing(self) -> None:
        self.answer(ListConfirmation(PREFIX, 5, 40))
        self.targets.confirm.assert_not_called()

    def count_answers(self, outcome: str) -> float:
        """Return the number of answers on the list of targets."""
        labels = {"list": PREFIX, "outcome": outcome}
        registry = self.metrics.registry
        return registry.get_sample_value("bamboopier_list_answers_total", labels) or 0

    async def test_answers_on_a_list_are_counted(self) -> None:
        self.answer(ListConfirmation(PREFIX, 5, 40, FINGERPRINT))
        self.answer(ListConfirmation(PREFIX, 6, 40, OTHER_FINGERPRINT))
        self.answer(ListConfirmation(PREFIX, 6, 40, OTHER_FINGERPRINT))
        counts = [self.count_answers(x) for x in ("confirmed", "newer")]
        self.assertEqual(counts, [1, 2])

    async def test_an_answer_to_no_question_confirms_nothing(self) -> None:
        # Guards against an answer that lay in the socket of a suspended gateway.
        response = FreshnessResponse(
            7, 3, 50, [ListConfirmation(PREFIX, 5, 40, FINGERPRINT)]
        )
        self.confirmation.receive(response, PEER)
        self.targets.confirm.assert_not_called()
        self.active.confirm.assert_not_called()

    async def test_a_newer_configuration_confirms_nothing_and_is_requested(
        self,
    ) -> None:
        self.answer(version=4)
        self.active.confirm.assert_not_called()
        self.on_newer.assert_called_once_with(PEER)

    async def test_a_check_for_a_reported_change_expects_it(self) -> None:
        """Guards against a store that does not tell a change, which peers know."""
        self.targets.known_until = NOW - 1.2
        self.confirmation.check(NOW)
        await asyncio.sleep(0)
        self.targets.check.assert_awaited_once_with(expects_change=False)
        self.targets.check.reset_mock()
        self.answer(ListConfirmation(PREFIX, 6, 40, OTHER_FINGERPRINT))
        self.confirmation.check(NOW + RESPONSE_GRACE_SECONDS)
        await asyncio.sleep(0)
        self.targets.check.assert_awaited_once_with(expects_change=True)

    async def test_the_store_is_asked_if_no_peer_has_a_recent_confirmation(
        self,
    ) -> None:
        self.targets.known_until = NOW - 1.2
        self.confirmation.check(NOW)
        await asyncio.sleep(0)
        self.targets.check.assert_awaited_once()

    async def test_one_gateway_asks_before_the_others(self) -> None:
        """Guards against many that ask the store since all know equally little."""
        self.targets.known_until = NOW - 0.7
        self.fleet.gateway_count = 29
        asking = []
        for index in range(29):
            self.fleet.gateway_index = index
            self.targets.check.reset_mock()
            self.confirmation.check(NOW)
            await asyncio.sleep(0)
            if self.targets.check.await_count:
                asking.append(index)
        self.assertIn(len(asking), (1, 2))

    async def test_a_store_that_ends_watches_but_accepts_no_call_is_asked(self) -> None:
        # Guards against entries of targets that expire unnoticed in an outage: watches
        # that the store still ends would confirm the lists all the time.
        self.availability.last_accepted_at = NOW - 1.2
        self.active.freshness.confirmed_at = NOW
        self.confirmation.check(NOW)
        await asyncio.sleep(0)
        self.configuration.check.assert_awaited_once()

    async def test_a_large_configuration_is_confirmed_before_it_is_too_old(
        self,
    ) -> None:
        # Guards against callers with an unknown route who are told to return, since the
        # watches that confirm a large configuration leave their last second open.
        self.configuration.is_small = False
        self.active.freshness.confirmed_at = NOW - 1.7
        self.confirmation.check(NOW)
        await asyncio.sleep(0)
        self.configuration.check.assert_not_awaited()
        self.active.freshness.max_denial_age = 2.0
        self.confirmation.check(NOW)
        await asyncio.sleep(0)
        self.configuration.check.assert_awaited_once()

    async def test_a_call_that_the_store_accepted_from_a_peer_is_no_outage(
        self,
    ) -> None:
        # Guards against targets that get requests for two more seconds since a single
        # call of this gateway failed.
        self.availability.record_failure(NOW - 0.15)
        self.answer(store_age_ms=100)
        self.assertFalse(self.availability.is_recovering(NOW + 0.8))

    async def test_ages_are_rounded_up_in_an_answer(self) -> None:
        self.confirmation.receive(FreshnessRequest("g-2", 9), PEER)
        response = self.peers.send.call_args.args[0]
        self.assertGreater(response.age_ms, 200)
        self.assertGreater(response.lists[0].age_ms, 500)
        self.assertGreater(response.store_age_ms, 200)


if __name__ == "__main__":
    unittest.main()
