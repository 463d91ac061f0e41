"""Safeguards of published configuration."""

from __future__ import annotations

from mutations import Mutation

MUTATIONS = (
    Mutation(
        "a follower never returns to an older generation",
        "libraries/objects/src/bamboopier_objects/follower.py",
        "        if found.number <= self.directory.generation:\n            return\n",
        "        if found.number == self.directory.generation:\n            return\n",
        "libraries/objects",
        "tests.test_generations.ConfigurationTests",
    ),
    Mutation(
        "the outcome of a publish with a lost response is determined",
        "libraries/objects/src/bamboopier_objects/publisher.py",
        "                is_unknown = True\n",
        "                return response\n",
        "libraries/objects",
        "tests.test_generations.ConfigurationTests",
    ),
    Mutation(
        "a conflict is checked for the publisher's own earlier write",
        "libraries/objects/src/bamboopier_objects/publisher.py",
        "                outcome = await self._find_publish(base, head)\n",
        "                outcome = Err(error)\n",
        "libraries/objects",
        "tests.test_generations.ConfigurationTests",
    ),
    Mutation(
        "a lagging replica does not determine the outcome of a publish",
        "libraries/objects/src/bamboopier_objects/publisher.py",
        "        if stored.version <= base.head_version:\n            return None  # A",
        "        if False:\n            return None  # A",
        "libraries/objects",
        "tests.test_generations.ConfigurationTests",
    ),
    Mutation(
        "a publish superseded by a later one is found",
        "libraries/objects/src/bamboopier_objects/publisher.py",
        "        if Publication(head.generation, head.publish_id) in found.earlier:\n",
        "        if False:\n",
        "libraries/objects",
        "tests.test_generations.PublisherTests."
        "test_a_publish_with_a_lost_response_is_found_after_a_later_one",
    ),
    Mutation(
        "a part named again during its removal stays",
        "libraries/objects/src/bamboopier_objects/publisher.py",
        "                expected = error.found\n",
        "                return Ok(None)\n",
        "libraries/objects",
        "tests.test_generations.PublisherTests."
        "test_a_part_named_again_while_it_is_removed_stays",
    ),
    Mutation(
        "old parts are removed",
        "libraries/objects/src/bamboopier_objects/publisher.py",
        "            if version != ABSENT:\n",
        "            if False:\n",
        "libraries/objects",
        "tests.test_generations.PublisherTests.test_old_parts_are_removed",
    ),
    Mutation(
        "parts of recent generations are retained",
        "libraries/objects/src/bamboopier_objects/publisher.py",
        "            if part.generation <= limit and",
        "            if",
        "libraries/objects",
        "tests.test_generations.ConfigurationTests",
    ),
    Mutation(
        "a part whose digest does not match is not applied",
        "libraries/objects/src/bamboopier_objects/generations.py",
        "        if value is None or digest_part(value) != digest:\n",
        "        if value is None:\n",
        "libraries/objects",
        "tests.test_generations.GenerationStoreTests",
    ),
    Mutation(
        "a generation announced during a read is not missed",
        "libraries/objects/src/bamboopier_objects/follower.py",
        "        return current and not self.is_behind\n",
        "        return current\n",
        "libraries/objects",
        "tests.test_follower.FollowerTests."
        "test_an_announcement_during_a_read_is_not_lost",
    ),
    Mutation(
        "a gap in the watch is followed by a watch from the present",
        "libraries/objects/src/bamboopier_objects/follower.py",
        "                    return 0\n",
        "                    return 10**9\n",
        "libraries/objects",
        "tests.test_follower.FollowerTests."
        "test_a_gap_in_the_watch_is_followed_by_a_read",
    ),
    Mutation(
        "a replica behind the announced version is read again",
        "libraries/objects/src/bamboopier_objects/follower.py",
        "            current = found.head_version >= self._awaited_version\n",
        "            current = True\n",
        "libraries/objects",
        "tests.test_follower.FollowerTests."
        "test_a_replica_behind_the_watch_is_read_again",
    ),
    Mutation(
        "a node started in an outage reads from its peers",
        "libraries/objects/src/bamboopier_objects/follower.py",
        "        elif self._peers is not None and self.directory.generation == 0:\n"
        "            await self._read_from_peers(self._peers)\n",
        "",
        "libraries/objects",
        "tests.test_follower.FollowerTests.test_a_node_started_in_an_outage_reads_from_a_peer",
    ),
    Mutation(
        "a node that is behind reads from its peers in an outage",
        "libraries/objects/src/bamboopier_objects/follower.py",
        "        if self.is_behind and self._peers is not None:\n"
        "            await self._read_from_peers(self._peers)\n",
        "",
        "libraries/objects",
        "tests.test_follower.FollowerTests."
        "test_a_node_resumed_in_an_outage_applies_a_peers_generation",
    ),
    Mutation(
        "a resumed gateway reads the generation from an agent",
        "libraries/objects/src/bamboopier_objects/peers.py",
        "        addresses = sorted("
        "{*self._seeds, *self._vms.list_agent_addresses()})\n",
        "        addresses: list[str] = []\n",
        ".",
        "tests.test_drain.DrainTests."
        "test_the_agent_refuses_requests_of_a_gateway_with_stale_configuration",
    ),
    Mutation(
        "a gateway started in an outage reads the VM list from a peer",
        "libraries/objects/src/bamboopier_objects/peers.py",
        "            self._vms.apply_peer_list(reply.ok_value.vms)\n",
        "",
        ".",
        "tests.test_configuration.ConfigurationTests."
        "test_a_gateway_started_in_an_outage_serves",
    ),
    Mutation(
        "an unreachable node counts as behind",
        "libraries/cli/src/bamboopier_cli/node_status.py",
        "        behind = [status for status in statuses if "
        "status.generation < generation]\n",
        "        behind = [s for s in statuses if s.reachable and "
        "s.generation < generation]\n",
        ".",
        "tests.test_configuration.ConfigurationTests."
        "test_an_unreachable_node_fails_publish_wait",
    ),
)
