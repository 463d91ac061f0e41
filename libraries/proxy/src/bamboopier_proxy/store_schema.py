"""Where things lie in the store and how they are written; an adapter provides it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bamboopier_objects.objects import FollowedStore, ObjectStore

if TYPE_CHECKING:
    from result import Result

    from bamboopier_decisions.forwarding.specs import DeclaredConfiguration, TargetEntry


@dataclass(frozen=True, slots=True)
class PublishedWeights:
    """A weight version that the operator named for a model."""

    model: str
    version: int


class Store(ObjectStore, FollowedStore, Protocol):
    """The platform's store: conditional writes, lists and watches."""


class StoreSchema(Protocol):
    """Keys of what others write, and how it is decoded."""

    configuration_key: str
    targets_prefix: str
    weights_prefix: str
    # Each name below it is a data centre that gets nothing.
    drained_data_centres_prefix: str
    # Where gateways register themselves.
    gateways_prefix: str
    # Where the holders of targets' orders are written.
    leases_prefix: str
    # Where the places to load weights are held.
    load_slots_prefix: str
    # Where it is written when weights were named.
    publish_times_prefix: str
    # Where it is written what targets in need take.
    rate_limits_prefix: str

    def decode_configuration(self, value: bytes) -> Result[DeclaredConfiguration, str]:
        """Return a configuration, or what is wrong with it."""
        ...

    def decode_target(self, name: str, value: bytes) -> Result[TargetEntry, str]:
        """Return a target's entry, or why it names no target to use."""
        ...

    def decode_weights(self, value: bytes) -> Result[PublishedWeights, str]:
        """Return a named weight version, or what is wrong with it."""
        ...
