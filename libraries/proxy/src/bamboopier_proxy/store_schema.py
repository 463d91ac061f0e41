"""Interface to the keys and the encoding of stored objects; an adapter provides it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from bamboopier_objects.objects import FollowedStore, ObjectStore

if TYPE_CHECKING:
    from result import Result

    from bamboopier_decisions.forwarding.specs import DeclaredConfiguration, TargetEntry
    from bamboopier_decisions.rollouts.order import Rollout, RolloutStatus
    from bamboopier_objects.errors import PlatformError
    from bamboopier_objects.objects import Listing


class PublishedWeights(msgspec.Struct, frozen=True):
    """A weight version that the operator published for a model."""

    model: str
    version: int


class Store(ObjectStore, FollowedStore, Protocol):
    """The platform's object store, with conditional writes, lists and watches."""

    async def list_stale(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects below ``prefix`` as they were some seconds ago at most.

        Costs the store less than ``list``, and does not count towards its rate.
        """
        ...

    async def write_status(
        self, key: str, status: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Replace the status of an object if it still has ``expected_version``.

        Return its new version.
        """
        ...


class StoreSchema(Protocol):
    """Keys of the objects in the store, and how they are decoded."""

    configuration_key: str
    targets_prefix: str
    weights_prefix: str
    # Each key below it names a data centre that gets no requests.
    drained_data_centres_prefix: str
    # Orders to roll out a software version, by service; the status is ours.
    rollouts_prefix: str
    # Registrations of gateways.
    gateways_prefix: str
    # Leases of the agents that may update a target.
    leases_prefix: str
    # Slots that bound the number of concurrent weight loads.
    load_slots_prefix: str
    # Times at which weight versions were published.
    publish_times_prefix: str
    # Rate limits that targets report.
    rate_limits_prefix: str
    # Requests that are refused since they crash targets.
    quarantine_prefix: str
    # Parts of prompts that are refused since they crash targets.
    crashing_parts_prefix: str
    # Software versions that targets of each service had.
    software_versions_prefix: str

    def decode_configuration(self, value: bytes) -> Result[DeclaredConfiguration, str]:
        """Return a configuration, or why it is invalid."""
        ...

    def decode_target(self, name: str, value: bytes) -> Result[TargetEntry, str]:
        """Return a target's entry, or why the target cannot be used."""
        ...

    def decode_weights(self, name: str, value: bytes) -> Result[PublishedWeights, str]:
        """Return a published weight version, or why it is invalid."""
        ...

    def decode_rollout(
        self, name: str, value: bytes, status: bytes, version: int
    ) -> Result[Rollout, str]:
        """Return an order with its status, or why it is invalid.

        ``version`` is that of the stored object.
        """
        ...

    def encode_rollout_status(self, status: RolloutStatus) -> bytes:
        """Return the status as it is stored beside the order."""
        ...
