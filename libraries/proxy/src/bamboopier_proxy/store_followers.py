"""Keeps the state of a gateway in line with the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_daemon.clock import read_clock
from bamboopier_objects.object_follower import CHANGE_PAUSE_SECONDS, ObjectFollower

from .configuration_follower import ConfigurationFollower
from .monitored_store import MonitoredStore
from .observers import DrainObserver, TargetObserver, WeightsObserver
from .publish_times import PublishTimes, follow_weights
from .rollouts.observer import RolloutObserver

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine
    from typing import Any

    from bamboopier_objects.object_follower import ObjectObserver

    from .gateway_state import GatewayState
    from .store_schema import PublishedWeights, Store, StoreSchema

# Maximum seconds for which the list of targets is not confirmed by any gateway. Guards
# against a watch whose connection stalls while a target drains: until that is noticed,
# requests are still sent to the target, which must get no more within two seconds.
TARGETS_AGE_SECONDS = 1.15
# The same for weights and for drained data centres, of which changes have to be known
# within five seconds.
MAX_AGE_SECONDS = 2.5
# Pause after a changed roll-out: a version that is taken back gets requests for as long
# as the change is not received.
ROLLOUT_PAUSE_SECONDS = 0.1


class StoreFollowers:
    """Followers of the configuration, targets, weights and drained data centres."""

    def __init__(
        self,
        state: GatewayState,
        store: Store,
        schema: StoreSchema,
        random: random.Random,
        watch_seconds: float,
        *,
        follows_rollouts: bool = False,
    ) -> None:
        self._watch_seconds = watch_seconds
        self._store = MonitoredStore(store, state.availability)
        self._schema = schema
        self._random = random
        self._publish_times = PublishTimes(
            store, schema.publish_times_prefix, state.weights, random
        )
        self.configuration = ConfigurationFollower(
            store, schema, state.loader, state.availability, random, watch_seconds
        )
        self._targets = self._follow(
            schema.targets_prefix,
            TargetObserver(
                schema,
                state.fleet,
                state.availability,
                state.version_history,
                state.handle_changed_targets,
            ),
            TARGETS_AGE_SECONDS,
        )
        state.fleet.find_list_age = self.find_targets_age
        self._weights = self._follow(
            schema.weights_prefix,
            WeightsObserver(schema, state.weights, state.pauses, self._on_published),
        )
        self._drained_data_centres = self._follow(
            schema.drained_data_centres_prefix, DrainObserver(schema, state.fleet)
        )
        # None where operators order no roll-outs.
        self._rollouts = self._follow_rollouts(state) if follows_rollouts else None

    @property
    def lists(self) -> list[ObjectFollower]:
        """Return the followers of lists of objects."""
        lists = [self._targets, self._weights, self._drained_data_centres]
        return lists if self._rollouts is None else [*lists, self._rollouts]

    @property
    def loaded(self) -> bool:
        """Return whether targets, weights and roll-outs were read at least once."""
        needed = [self._targets, self._weights, self._rollouts]
        return all(follower is None or follower.loaded.is_set() for follower in needed)

    def find_targets_age(self) -> float:
        """Return for how many seconds changes of the targets may be missing."""
        return read_clock() - self._targets.known_until

    def list_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that have to run until the gateway stops."""
        rollouts = [] if self._rollouts is None else [self._rollouts.run()]
        return [
            self.configuration.run(),
            self._targets.run(),
            follow_weights(self._publish_times, self._weights),
            self._drained_data_centres.run(),
            *rollouts,
        ]

    def _follow_rollouts(self, state: GatewayState) -> ObjectFollower:
        observer = RolloutObserver(
            self._schema, state.rollout_traffic, state.handle_changed_targets
        )
        follower = self._follow(
            self._schema.rollouts_prefix,
            observer,
            TARGETS_AGE_SECONDS,
            ROLLOUT_PAUSE_SECONDS,
        )
        state.rollout_traffic.find_known_until = lambda: follower.known_until
        return follower

    def _follow(
        self,
        prefix: str,
        observer: ObjectObserver,
        max_age: float = MAX_AGE_SECONDS,
        change_pause: float = CHANGE_PAUSE_SECONDS,
    ) -> ObjectFollower:
        return ObjectFollower(
            self._store,
            prefix,
            observer,
            self._watch_seconds,
            self._random,
            read_clock,
            max_age,
            change_pause,
        )

    def _on_published(self, published: PublishedWeights, since: float) -> None:
        self._publish_times.record_published(published.model, published.version, since)
