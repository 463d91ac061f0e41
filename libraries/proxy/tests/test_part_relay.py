"""Tests of updates of part stores relayed from one gateway to another."""

from __future__ import annotations

import functools
import itertools
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Ok, Result

from bamboopier_decisions.forwarding.part_store_index import (
    SAVE_HOLD_OFF_SECONDS,
    UPDATE_VALID_SECONDS,
    PartChange,
    PartStoreIndex,
    PartUpdate,
)
from bamboopier_objects.http_client import HttpClient
from bamboopier_objects.reply import Reply
from bamboopier_proxy.part_relay import PartRelay
from bamboopier_proxy.settings import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_objects.errors import PlatformError

ADDRESS = "10.0.0.9:80"
SCOPE = "/1"
FIRST = Endpoint("10.0.0.1", 7000)
SECOND = Endpoint("10.0.0.2", 7000)


class DirectCaller(HttpClient):
    """Passes each call to another gateway's relay, after a delay."""

    def __init__(self) -> None:
        super().__init__("")
        self.other: PartRelay | None = None
        # Called before and after the other gateway responds.
        self.travel: Callable[[], None] = lambda: None
        self.sizes: list[int] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        first_byte_timeout: float | None = None,
    ) -> Result[Reply, PlatformError]:
        assert self.other is not None
        self.travel()
        response = self.other.answer(body or b"")
        self.travel()
        content = response.body
        assert isinstance(content, bytes)
        self.sizes.append(len(content))
        return Ok(Reply(response.status, content, {}))


class RelayTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch(
            "bamboopier_proxy.part_relay.read_clock", side_effect=lambda: self.now
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.caller = DirectCaller()
        self.direct, self.other = PartStoreIndex(), PartStoreIndex()
        for index in (self.direct, self.other):
            index.set_stores({ADDRESS: 1_000_000})
        self.caller.other = PartRelay(self.direct, self.caller)
        self.relay = PartRelay(self.other, self.caller)

    def respond(self, epoch: int, *changes: PartChange) -> None:
        """Apply a response of the store at the gateway that polls it."""
        store = self.direct.find(ADDRESS)
        assert store is not None
        store.apply_update(self.now, self.now, PartUpdate(epoch, 5000, changes))

    async def request(self) -> None:
        found = await self.relay.request(FIRST)
        self.assertEqual(found.ok_value, 1)

    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    def has(self, part: str) -> bool:
        store = self.other.find(ADDRESS)
        assert store is not None
        return store.is_current(self.now) and store.contains(SCOPE, part, 500)

    async def test_changes_are_relayed_once(self) -> None:
        self.respond(7, *(PartChange(SCOPE, f"p{n}", 500) for n in range(100)))
        await self.request()
        self.respond(7, PartChange(SCOPE, "new", 500), PartChange(SCOPE, "p1", 0))
        await self.request()
        self.assertTrue(self.has("new"))
        self.assertFalse(self.has("p1"))
        self.assertTrue(self.has("p2"))
        self.assertLess(self.caller.sizes[1], self.caller.sizes[0] / 10)

    async def test_validity_counts_from_the_response_of_the_store(self) -> None:
        # The store stops responding. The gateway that polls it continues to relay the
        # last update; no gateway may fetch from the store for longer than that one.
        self.respond(7, PartChange(SCOPE, "p", 500))
        self.now += 1.0
        await self.request()
        self.assertTrue(self.has("p"))
        self.now += UPDATE_VALID_SECONDS - 1.0
        self.assertFalse(self.has("p"))

    async def test_a_restarted_store_is_assumed_empty(self) -> None:
        self.respond(7, PartChange(SCOPE, "p", 500))
        await self.request()
        self.respond(8, PartChange(SCOPE, "q", 500))
        await self.request()
        self.assertFalse(self.has("p"))
        self.assertTrue(self.has("q"))

    async def test_a_new_gateway_may_save_in_a_store_known_to_others(self) -> None:
        # The store has been up for long, which a gateway that has just started cannot
        # know on its own. It must not save to a store that may have just restarted.
        self.respond(7)
        await self.request()
        store = self.other.find(ADDRESS)
        assert store is not None
        self.assertFalse(store.can_save(self.now, 500))
        self.now += SAVE_HOLD_OFF_SECONDS
        self.respond(7)
        self.other.set_stores({})
        self.other.set_stores({ADDRESS: 1_000_000})
        await self.request()
        store = self.other.find(ADDRESS)
        assert store is not None
        self.assertTrue(store.can_save(self.now, 500))

    async def test_an_instance_looks_no_older_than_first_observed(self) -> None:
        # Responses are delayed, both to the gateway that polls the store and to the one
        # that polls that gateway. Neither may save too early to a store that restarted
        # just before the first gateway observed it.
        direct, other = (k.find(ADDRESS) for k in (self.direct, self.other))
        assert direct is not None
        assert other is not None
        epoch = 7
        for late, way, rest in itertools.product(
            (0.0, 0.0007, 0.4, 1.2), (0.0, 0.0003, 0.1, 0.3), (0.0, 0.0011, 0.05)
        ):
            with self.subTest(late=late, way=way, rest=rest):
                epoch += 1
                self.caller.travel = functools.partial(self.pass_time, way)
                sent_at = self.now
                self.pass_time(late)
                direct.apply_update(sent_at, self.now, PartUpdate(epoch, 5000, ()))
                seen = self.now
                self.pass_time(rest)
                await self.request()
                for now in (
                    seen + SAVE_HOLD_OFF_SECONDS - 1e-6,
                    seen + SAVE_HOLD_OFF_SECONDS + 1,
                ):
                    # The same instance of the store still responds.
                    other.apply_update(now, now, PartUpdate(epoch, 5000, ()))
                    self.assertEqual(other.can_save(now, 500), now > seen + 3)

    async def test_later_updates_refine_the_age_of_an_instance(self) -> None:
        # The first update says little about how long the instance is known. Later
        # updates with less delay are more precise, and never exceed the true time.
        self.caller.travel = functools.partial(self.pass_time, 0.3)
        self.respond(7)
        seen = self.now
        await self.request()
        self.caller.travel = functools.partial(self.pass_time, 0.001)
        while self.now < seen + SAVE_HOLD_OFF_SECONDS - 0.1:
            self.respond(7)
            await self.request()
            self.pass_time(0.1)
        store = self.other.find(ADDRESS)
        assert store is not None
        self.assertFalse(store.can_save(seen + SAVE_HOLD_OFF_SECONDS - 1e-6, 500))
        self.assertTrue(store.can_save(seen + SAVE_HOLD_OFF_SECONDS + 0.01, 500))

    async def test_positions_are_specific_to_a_gateway(self) -> None:
        # The polled gateway is gone; another one has the same changes at other
        # positions. Its state replaces the previous one and is not added to it.
        self.respond(7, PartChange(SCOPE, "p", 500))
        await self.request()
        self.direct.set_stores({})
        self.direct.set_stores({ADDRESS: 1_000_000})
        self.respond(7, PartChange(SCOPE, "q", 500))
        found = await self.relay.request(Endpoint("10.0.0.2", 7000))
        self.assertEqual(found.ok_value, 1)
        self.assertFalse(self.has("p"))
        self.assertTrue(self.has("q"))

    async def test_what_cannot_be_read_is_refused(self) -> None:
        self.assertEqual(self.relay.answer(b"\xff").status, 400)


class FormerStartTests(unittest.IsolatedAsyncioTestCase):
    """Two gateways poll a store that restarts; a third one polls each of them."""

    async def asyncSetUp(self) -> None:
        self.now = 100.0
        patch = mock.patch(
            "bamboopier_proxy.part_relay.read_clock", side_effect=lambda: self.now
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.caller = DirectCaller()
        self.quick, self.slow, self.third = (
            PartStoreIndex(),
            PartStoreIndex(),
            PartStoreIndex(),
        )
        for index in (self.quick, self.slow, self.third):
            index.set_stores({ADDRESS: 1_000_000})
        self.relay = PartRelay(self.third, self.caller)
        # Epochs are specified to change at a restart, not to grow.
        self.former, self.latest = 7, 3
        for _ in range(10):
            self.now += 0.4
            self.respond(self.quick, self.former, PartChange(SCOPE, "lost", 500))
            self.respond(self.slow, self.former, PartChange(SCOPE, "lost", 500))
        await self.request(self.quick, FIRST)
        self.assertTrue(self.fetches("lost"))
        # The store restarts. One of the two gateways observes it, and relays it to the
        # third.
        self.now += 0.3
        self.respond(self.quick, self.latest)
        self.restarted_at = self.now
        await self.request(self.quick, FIRST)
        self.assertFalse(self.fetches("lost"))

    def respond(self, index: PartStoreIndex, epoch: int, *changes: PartChange) -> None:
        """Apply a response of the store at a gateway that polls it."""
        store = index.find(ADDRESS)
        assert store is not None
        clock_ms = int(self.now * 1000)
        store.apply_update(self.now, self.now, PartUpdate(epoch, clock_ms, changes))

    async def request(self, index: PartStoreIndex, gateway: Endpoint) -> None:
        """Poll one of the two gateways from the third."""
        self.now += 0.2
        self.caller.other = PartRelay(index, self.caller)
        found = await self.relay.request(gateway)
        self.assertEqual(found.ok_value, 1)

    def fetches(self, part: str) -> bool:
        plan = self.third.plan(self.now, SCOPE, [(part, 500)], 0)
        return plan is not None and bool(plan.fetch[0])

    def saves(self, part: str) -> bool:
        plan = self.third.plan(self.now, SCOPE, [(part, 500)], 0)
        return plan is not None and bool(plan.save[0])

    async def test_a_lost_part_is_not_fetched_after_an_outdated_update(self) -> None:
        # The gateway that relayed the restart is gone, so the third one polls the
        # other, which has not observed it yet. A prompt whose shared part the store
        # lost at its restart is sent with a fetch from that store: the engine finds
        # nothing, and its caller waits longer. The former instance would also be
        # assumed valid, and relayed, for as long after the response of the new one as
        # after its own.
        await self.request(self.slow, SECOND)
        self.assertFalse(self.fetches("lost"))

    async def test_nothing_is_saved_soon_after_a_known_restart(self) -> None:
        # As above. The former instance has been known for long, so the third gateway
        # lets engines write parts to the store at once, while others may still fetch
        # according to their state of that instance: they could read half a part, and a
        # response to a caller would be computed from it.
        await self.request(self.slow, SECOND)
        self.assertFalse(self.saves("new"))
        # From then on the age of the instance counts as from any response of it.
        while self.now < self.restarted_at + SAVE_HOLD_OFF_SECONDS:
            self.respond(self.slow, self.latest)
            await self.request(self.slow, SECOND)
            self.assertEqual(
                self.saves("new"), self.now >= self.restarted_at + SAVE_HOLD_OFF_SECONDS
            )

    async def test_an_instance_later_than_the_known_one_is_accepted(self) -> None:
        # The other gateway has newer updates by now, of another restart.
        self.now += 0.1
        self.respond(self.slow, self.former - 1, PartChange(SCOPE, "new", 500))
        await self.request(self.slow, SECOND)
        self.assertTrue(self.fetches("new"))

    async def test_changes_are_complete_after_a_rejected_update(self) -> None:
        # The other gateway observes the restart after it was polled once. All of its
        # state of the new instance is applied, and nothing of the former one.
        await self.request(self.slow, SECOND)
        self.respond(self.slow, self.latest, PartChange(SCOPE, "new", 500))
        await self.request(self.slow, SECOND)
        self.assertTrue(self.fetches("new"))
        self.assertFalse(self.fetches("lost"))


if __name__ == "__main__":
    unittest.main()
