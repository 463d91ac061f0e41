"""Publishing and following under faults, checked against the stored objects."""

from __future__ import annotations

import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from bamboopier_objects.errors import (
    PlatformOutcomeUnknownError,
    VersionConflictError,
)
from bamboopier_objects.objects import StoredObject
from bamboopier_objects.parts import PART_PREFIX
from bamboopier_objects.publisher import Publisher

from .builders import (
    KEPT_GENERATIONS,
    MemoryObjects,
    Node,
    build_configuration,
    build_publisher,
    finish,
)

FAULTS = st.lists(st.sampled_from(["", "lose", "drop", "hold"]), max_size=6)
OPERATORS = 3
NODES = 3


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent publishers while the platform loses, delays and lags.

    Guards against nodes that revert to an older generation, which would bring back a
    drained data centre or an old weight version, and against a publish that is reported
    as accepted but is not in force.
    """

    def __init__(self) -> None:
        super().__init__()
        self.objects = MemoryObjects()
        self.operators = [
            Publisher(self.objects, self._sleep, KEPT_GENERATIONS)
            for _ in range(OPERATORS)
        ]
        self.bases = [finish(o.read()).ok_value for o in self.operators]
        self.nodes = [Node(self.objects) for _ in range(NODES)]
        for node in self.nodes:
            node.peers = [peer for peer in self.nodes if peer is not node]
        self.contents: dict[str, object] = {}
        self.refused: list[str] = []
        self.accepted: list[str] = []

    @rule(operator=st.integers(0, OPERATORS - 1))
    def read_base(self, operator: int) -> None:
        response = finish(self.operators[operator].read())
        if isinstance(response, Ok):
            self.bases[operator] = response.ok_value

    @rule(
        operator=st.integers(0, OPERATORS - 1),
        number=st.integers(0, 2),
        faults=FAULTS,
        part_faults=FAULTS,
        stale=st.integers(0, 2),
    )
    def publish(
        self,
        operator: int,
        number: int,
        faults: list[str],
        part_faults: list[str],
        stale: int,
    ) -> None:
        publish_id = f"publish-{len(self.contents)}"
        self.contents[publish_id] = build_configuration(number)
        self.objects.faults, self.objects.part_faults = faults, part_faults
        base = self.bases[operator]
        # The replica lags until the publisher has waited.
        self.objects.stale = stale
        response = finish(
            self.operators[operator].publish(
                base, self.contents[publish_id], publish_id
            )
        )
        self.objects.stale = 0
        self.objects.faults, self.objects.part_faults = [], []
        if isinstance(response, Ok):
            self.accepted.append(publish_id)
            self.bases[operator] = response.ok_value
        elif isinstance(response.err_value, VersionConflictError):
            self.refused.append(publish_id)
        else:
            assert not isinstance(response.err_value, PlatformOutcomeUnknownError)
            self.refused.append(publish_id)

    async def _sleep(self, _: float) -> None:
        self.objects.stale = max(0, self.objects.stale - 1)
        if len(self.objects.held) > 1:
            self.objects.deliver_held()

    @rule()
    def land_delayed_writes(self) -> None:
        self.objects.deliver_held()

    @rule(down=st.booleans())
    def change_outage(self, down: bool) -> None:
        self.objects.down = down

    @rule(node=st.integers(0, NODES - 1), stale=st.integers(0, 2))
    def refresh(self, node: int, stale: int) -> None:
        self.objects.stale = stale
        finish(self.nodes[node].follower.refresh())
        self.objects.stale = 0

    @rule(
        node=st.integers(0, NODES - 1),
        peer=st.integers(0, NODES - 1),
        down=st.booleans(),
    )
    def receive_peer_generation(self, node: int, peer: int, down: bool) -> None:
        """A message announces the generation in force at a peer."""
        announced = self.nodes[peer].generation
        self.objects.down = down
        self.nodes[node].follower.record_announced(announced)
        finish(self.nodes[node].follower.refresh())
        assert self.nodes[node].generation >= announced

    @rule(node=st.integers(0, NODES - 1))
    def restart_node(self, node: int) -> None:
        fresh = Node(self.objects)
        for other in self.nodes:
            other.peers = [fresh if p is self.nodes[node] else p for p in other.peers]
        fresh.peers = self.nodes[node].peers
        self.nodes[node] = fresh

    @invariant()
    def no_node_reverts_or_applies_an_unaccepted_generation(self) -> None:
        heads = {head.generation: head for head in self.objects.heads}
        assert sorted(heads) == list(range(1, len(self.objects.heads) + 1))
        for node in self.nodes:
            numbers = [directory.generation for directory in node.applied]
            assert numbers == sorted(set(numbers))
            for directory in node.applied:
                publish_id = heads[directory.generation].publish_id
                assert directory.configuration == self.contents[publish_id]

    @invariant()
    def publish_results_match_the_stored_heads(self) -> None:
        ids = [head.publish_id for head in self.objects.heads]
        assert len(ids) == len(set(ids))
        assert set(self.accepted) <= set(ids)
        assert not set(self.refused) & set(ids)

    @invariant()
    def parts_of_recent_heads_are_stored_and_others_bounded(self) -> None:
        heads = self.objects.heads
        stored = {
            key.removeprefix(PART_PREFIX)
            for key in self.objects.objects
            if key.startswith(PART_PREFIX)
        }
        for head in heads[-KEPT_GENERATIONS - 1 :]:
            assert set(head.parts.values()) <= stored

    def teardown(self) -> None:
        """Once the platform has recovered, the last accepted generation is in force."""
        self.objects.down = False
        self.objects.deliver_held()
        self.publish_results_match_the_stored_heads()
        for node in self.nodes:
            finish(node.follower.refresh())
            assert node.generation == len(self.objects.heads)


ConfigurationMachine.TestCase.settings = settings(
    max_examples=600, stateful_step_count=30, derandomize=True, deadline=None
)
ConfigurationTests = ConfigurationMachine.TestCase


class GenerationStoreTests(unittest.TestCase):
    def test_truncated_missing_and_swapped_parts_are_never_applied(self) -> None:
        """A replica returns a truncated part, none, or the content of another part.

        Guards against a configuration without some workspaces, whose callers would all
        be refused.
        """
        objects = MemoryObjects()
        publisher = build_publisher(objects)
        base = finish(publisher.read()).ok_value
        finish(publisher.publish(base, build_configuration(1), "first"))
        node = Node(objects)
        keys = [key for key in objects.objects if key.startswith(PART_PREFIX)]
        originals = dict(objects.objects)
        for broken in (
            b"",
            originals[keys[0]].value[:-9],
            originals[keys[1]].value,
            b"{}",
        ):
            objects.objects[keys[0]] = StoredObject(keys[0], 1, broken)
            self.assertFalse(finish(node.follower.refresh()))
        del objects.objects[keys[0]]
        self.assertFalse(finish(node.follower.refresh()))
        self.assertEqual(node.applied, [])
        objects.objects.update(originals)
        self.assertTrue(finish(node.follower.refresh()))
        self.assertEqual(node.applied[0].configuration, build_configuration(1))


class PublisherTests(unittest.TestCase):
    def setUp(self) -> None:
        self.objects = MemoryObjects()
        self.publisher = build_publisher(self.objects)

    def publish(self, number: int, publish_id: str) -> None:
        base = finish(self.publisher.read()).ok_value
        response = finish(
            self.publisher.publish(base, build_configuration(number), publish_id)
        )
        self.assertIsInstance(response, Ok)

    def test_a_publish_with_a_lost_response_is_found_after_a_later_one(self) -> None:
        """The response to a publish is lost, then another operator publishes on top.

        Guards against reporting the first publish as unknown or as not published
        although it was in force; the head's list of earlier publishes prevents that.
        """
        base = finish(self.publisher.read()).ok_value
        self.objects.faults = ["lose"]

        async def overtake() -> None:
            other = build_publisher(self.objects)
            on_top = (await other.read()).ok_value
            await other.publish(on_top, build_configuration(2), "second")

        async def pass_by() -> None:
            pass

        self.objects.before_head_write = [pass_by, overtake]
        response = finish(self.publisher.publish(base, build_configuration(1), "first"))
        self.assertEqual(
            [h.publish_id for h in self.objects.heads], ["first", "second"]
        )
        self.assertEqual(response.ok_value.number, 1)

    def test_unknown_only_when_the_platform_stays_down(self) -> None:
        """The write is lost and the platform stays down: the outcome is unknown."""
        base = finish(self.publisher.read()).ok_value
        self.objects.faults = ["lose"]

        async def go_down() -> None:
            self.objects.down = True

        async def pass_by() -> None:
            pass

        self.objects.before_head_write = [pass_by]
        publisher = build_publisher(self.objects)
        publisher._sleep = lambda _: go_down()
        response = finish(publisher.publish(base, build_configuration(1), "first"))
        self.assertIsInstance(response, Err)
        self.assertIsInstance(response.err_value, PlatformOutcomeUnknownError)

    def test_old_parts_are_removed(self) -> None:
        """Guards against a part left in the store by each of 2,300 changes a day."""
        for number in range(12):
            self.publish(number, f"publish-{number}")
        parts = [key for key in self.objects.objects if key.startswith(PART_PREFIX)]
        # Three parts a generation: the current one, those kept and those just removed.
        self.assertLessEqual(len(parts), 3 * (KEPT_GENERATIONS + 1))

    def test_a_part_named_again_while_it_is_removed_stays(self) -> None:
        """One publisher removes old parts while another publishes their content again.

        Guards against a head of the second publisher that refers to a part which the
        first one then deletes; no node could read that generation.
        """
        for number in (0, 1, 2, 3):
            self.publish(number, f"publish-{number}")
        first = build_publisher(self.objects)
        base = finish(first.read()).ok_value
        original = first._remove

        async def publish_between(expired: dict[str, int]) -> None:
            # These parts were last referred to three generations ago.
            self.publish(1, "returns")
            await original(expired)

        first._remove = publish_between  # type: ignore[method-assign]
        finish(first.publish(base, build_configuration(4), "removes"))
        node = Node(self.objects)
        finish(node.follower.refresh())
        self.assertEqual(node.generation, len(self.objects.heads))
