"""Computes what a call requires of a target, and the metadata for its target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.demand import Demand, WeightVersionRange
from bamboopier_decisions.forwarding.target_capacity import PLAIN_OBJECTIVE_SHARE
from bamboopier_decisions.rollouts.traffic import VersionChoice

from .messages import AttemptMetadata

if TYPE_CHECKING:
    import random

    from bamboopier_decisions.forwarding.demand import Placement
    from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest
    from bamboopier_decisions.forwarding.part_store_index import (
        PartPlan,
        PartStoreIndex,
    )
    from bamboopier_decisions.forwarding.prompt import Prompt
    from bamboopier_decisions.forwarding.target_state import TargetState
    from bamboopier_decisions.forwarding.weight_versions import WeightVersions
    from bamboopier_decisions.rollouts.traffic import RolloutTraffic

    from .messages import Call

# The lowest priority: targets serve such requests last.
LAST_PRIORITY = 9


class AttemptPlanner:
    """Plans attempts by the allowed weight versions and the index of part stores."""

    def __init__(
        self,
        weights: WeightVersions,
        part_index: PartStoreIndex,
        fleet: Fleet,
        rollout_traffic: RolloutTraffic,
        random: random.Random,
    ) -> None:
        self._weights = weights
        self._part_index = part_index
        self._fleet = fleet
        self._rollout_traffic = rollout_traffic
        self._random = random

    def choose_versions(self, now: float, call: Call) -> VersionChoice:
        """Draw which software versions the next attempt of a call does without."""
        if not self._rollout_traffic.concerns(call.service):
            return VersionChoice()
        if call.software_version is not None:
            closed = self._rollout_traffic.list_closed(call.service)
            return VersionChoice(closed)
        targets = self._fleet.list_targets(call.service, now)
        return self._rollout_traffic.choose(
            now,
            call.service,
            {state.entry.software_version for state in targets},
            self._random,
            route=call.route.name,
            is_retry=bool(call.tried),
        )

    def is_closed(self, state: TargetState) -> bool:
        """Return whether a roll-out closes a target's software version."""
        closed = self._rollout_traffic.list_closed(state.entry.service)
        return state.entry.software_version in closed

    def make_demand(
        self, now: float, call: Call, excluded: frozenset[str] | None = None
    ) -> Demand:
        """Return what the call requires of a target.

        ``excluded`` are the software versions it does without; drawn if None.
        """
        if excluded is None:
            excluded = self.choose_versions(now, call).excluded
        fetched = self._count_fetched(now, call)
        objective = call.route.latency_objective
        return Demand(
            call.service,
            call.priority,
            call.prompt,
            objective,
            fetched,
            call.software_version,
            is_new=self._is_new(now, call),
            excluded_versions=excluded,
            seconds_left=call.arrived + objective - now,
            exceeds_part=self._exceeds_part(now, call),
        )

    def _exceeds_part(self, now: float, call: Call) -> bool:
        """Return whether a call's workspace asks for more than its part.

        Engines are not divided by workspace.
        """
        if call.prompt is not None:
            return False
        return self._fleet.exceeds_part(now, call.service, call.workspace_name)

    def find_spare_seconds(self, now: float, call: Call, placement: Placement) -> float:
        """Return for how long a call may wait and still be answered in time.

        Infinity for prompts, whose wait has a limit of its own, and without targets.
        """
        if call.prompt is not None or not placement.best:
            return math.inf
        objective = call.route.latency_objective
        seconds = placement.best[0].service_time.estimate_alone(objective)
        left = call.arrived + objective - now
        return max(0.0, left * PLAIN_OBJECTIVE_SHARE - seconds)

    def find_allowed_weights(self, now: float, call: Call) -> WeightVersionRange:
        """Return the weight versions with which the call may start."""
        if call.prompt is None:
            return WeightVersionRange()
        model = call.prompt.model
        return WeightVersionRange(
            self._weights.find_newest(model),
            self._weights.find_oldest_allowed(now, model),
        )

    def may_start(self, now: float, call: Call, in_flight: InFlightRequest) -> bool:
        """Return whether the call may start with the target's current weights."""
        if call.prompt is None:
            return True
        version = in_flight.state.versions.get(call.prompt.model, 0)
        return version >= self.find_allowed_weights(now, call).oldest

    def find_newest_age(self, now: float, call: Call) -> float | None:
        """Return the seconds since the newest weight version was published, if known.

        None if it was published before this process first read it.
        """
        if call.prompt is None:
            return None
        age = now - self._weights.find_published_at(call.prompt.model)
        return round(age, 3) if age < float("inf") else None

    def make_metadata(
        self, now: float, call: Call, in_flight: InFlightRequest
    ) -> AttemptMetadata:
        """Return the metadata that is sent in addition to the caller's headers."""
        entry = in_flight.state.entry
        workspace = call.workspace
        prompt = call.prompt
        version = in_flight.state.versions.get(prompt.model, 0) if prompt else 0
        scope = ""
        if prompt is not None:
            scope = make_cache_scope(call, version or entry.name)
        return AttemptMetadata(
            target=entry.name,
            remaining_seconds=max(0.001, min(call.timeout_at, call.deadline) - now),
            workspace=workspace.name if workspace else "",
            cache_scope=scope,
            priority=min(LAST_PRIORITY, call.priority) if prompt else None,
            weight_version=version,
            last_event=call.last_event,
            part_plan=self._plan_parts(now, scope, version, prompt),
        )

    def _count_fetched(self, now: float, call: Call) -> int:
        """Return the number of leading prompt tokens that a target could fetch."""
        prompt = call.prompt
        if prompt is None:
            return 0
        version = self._weights.find_newest(prompt.model)
        return self._part_index.count_fetched(
            now, make_cache_scope(call, version), _list_shared_parts(prompt)
        )

    def _is_new(self, now: float, call: Call) -> bool:
        """Return whether no target has computed the shared parts of the prompt yet."""
        prompt = call.prompt
        if prompt is None:
            return False
        version = self._weights.find_newest(prompt.model)
        scope = make_cache_scope(call, version)
        return self._part_index.is_new(now, scope, _list_shared_parts(prompt))

    def _plan_parts(
        self, now: float, scope: str, version: int, prompt: Prompt | None
    ) -> PartPlan | None:
        """Return where the target fetches and saves the prompt's shared parts.

        Returns None without a required weight version: the target could otherwise read
        a part that was computed with another version.
        """
        if prompt is None or not version or not prompt.shared_parts:
            return None
        own_parts = len(prompt.parts) - len(prompt.shared_parts)
        return self._part_index.plan(now, scope, _list_shared_parts(prompt), own_parts)


def make_cache_scope(call: Call, made_with: int | str) -> str:
    """Return the cache scope for parts of the call's prompt.

    Scopes separate the parts of different weight versions and of isolated workspaces.
    """
    workspace = call.workspace
    owner = workspace.name if workspace and workspace.isolated else ""
    return f"{owner}/{made_with}"


def _list_shared_parts(prompt: Prompt) -> list[tuple[str, int]]:
    return [(part.name, part.tokens) for part in prompt.shared_parts]
