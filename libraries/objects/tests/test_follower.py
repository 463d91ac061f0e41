"""The loop of the follower: announcements, watch gaps and lagging replicas."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from bamboopier_objects.follower import IN_FORCE_SECONDS

from .builders import (
    MemoryObjects,
    Node,
    build_configuration,
    build_publisher,
    finish,
)


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.objects = MemoryObjects()
        self.node = Node(self.objects)
        quick = mock.patch("bamboopier_objects.follower.INITIAL_RETRY_SECONDS", 0.001)
        self.enterContext(quick)
        self.publish(1)

    def publish(self, number: int) -> None:
        publisher = build_publisher(self.objects)
        base = finish(publisher.read()).ok_value
        finish(publisher.publish(base, build_configuration(number), f"id-{number}"))

    async def test_an_announcement_during_a_read_is_not_lost(self) -> None:
        """Generation 2 is announced while a read of the head returns generation 1.

        Guards against a follower that clears the announcement before it waits: it would
        stay on generation 1 until its watch ends.
        """
        self.objects.silent = True
        original = self.objects.read

        async def read_slowly(key: str) -> object:
            response = await original(key)
            self.objects.read = original  # type: ignore[method-assign]
            self.publish(2)
            self.node.follower.record_announced(2)
            return response

        self.objects.read = read_slowly  # type: ignore[method-assign,assignment]
        await self.node.follow_until(2)

    async def test_a_generation_is_current_for_a_limited_time(self) -> None:
        # Guards against keys and services that are denied because they were published
        # while the platform, or a read of it, showed an older generation.
        follower = self.node.follower
        self.assertFalse(follower.is_current)
        self.node.now = 5.0
        await follower.refresh()
        self.node.now += IN_FORCE_SECONDS
        self.assertTrue(follower.is_current)
        self.node.now += 0.1
        self.assertFalse(follower.is_current)
        await follower.refresh()
        self.assertTrue(follower.is_current)
        follower.record_announced(2)
        self.assertFalse(follower.is_current)

    async def test_a_gap_in_the_watch_is_followed_by_a_read(self) -> None:
        """The platform no longer has the changes since the node's last watch."""
        task = asyncio.create_task(self.node.follow_until(3))
        await self.objects.waiting.wait()
        self.objects.oldest_change = self.objects.revision + 1
        self.publish(2)
        await self.node.wait_for(2)
        self.publish(3)
        await task

    async def test_a_replica_behind_the_watch_is_read_again(self) -> None:
        """A watch reports a change, and the reads after it return the old head.

        Guards against a node that treats the old head as current and waits for a
        further change.
        """
        self.publish(2)
        self.objects.stale = 1
        reads = 0
        original = self.objects.read

        async def count_reads(key: str) -> object:
            nonlocal reads
            reads += key == "configuration/head"
            self.objects.stale = 0 if reads > 3 else 1
            return await original(key)

        self.objects.read = count_reads  # type: ignore[method-assign,assignment]
        await self.node.follow_until(2)

    async def test_a_node_resumed_in_an_outage_applies_a_peers_generation(
        self,
    ) -> None:
        """A paused gateway resumes on generation 1 while the platform is unavailable.

        Generation 2 is announced to it. Guards against a gateway that stays on
        generation 1 and sends work to targets that operators have drained.
        """
        peer = Node(self.objects)
        await self.node.follower.refresh()
        self.publish(2)
        await peer.follower.refresh()
        self.objects.down = True
        self.node.peers = [peer]
        self.node.follower.record_announced(2)
        await self.node.follow_until(2)

    async def test_a_node_started_in_an_outage_reads_from_a_peer(self) -> None:
        """A gateway starts while the platform is down; API keys must be valid."""
        peer = Node(self.objects)
        await peer.follower.refresh()
        self.objects.down = True
        self.node.peers = [peer]
        await self.node.follow_until(1)
