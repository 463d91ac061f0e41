"""What a call needs of a target, and what the chosen target is told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.placement import Demand, WeightVersionRange

from .messages import AttemptMetadata

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import InFlightRequest
    from bamboopier_decisions.forwarding.part_store_index import (
        PartPlan,
        PartStoreIndex,
    )
    from bamboopier_decisions.forwarding.prompt import Prompt
    from bamboopier_decisions.forwarding.weight_versions import WeightVersions

    from .messages import Call

# A target serves requests with this priority last.
LAST_PRIORITY = 9


class AttemptPlanner:
    """Knows which weights are wanted and where parts of prompts are kept."""

    def __init__(self, weights: WeightVersions, part_index: PartStoreIndex) -> None:
        self._weights = weights
        self._part_index = part_index

    def make_demand(self, now: float, call: Call) -> Demand:
        """Return what the call needs of a target."""
        fetched = self._count_fetched(now, call)
        return Demand(call.service, call.priority, call.prompt, fetched)

    def find_allowed_weights(self, now: float, call: Call) -> WeightVersionRange:
        """Return the weights on which the call may begin."""
        if call.prompt is None:
            return WeightVersionRange()
        model = call.prompt.model
        return WeightVersionRange(
            self._weights.find_newest(model),
            self._weights.find_oldest_allowed(now, model),
        )

    def may_start(self, now: float, call: Call, in_flight: InFlightRequest) -> bool:
        """Say whether the call may begin on the weights that the target has now."""
        if call.prompt is None:
            return True
        version = in_flight.state.versions.get(call.prompt.model, 0)
        return version >= self.find_allowed_weights(now, call).oldest

    def find_newest_age(self, now: float, call: Call) -> float | None:
        """Return the seconds for which the newest weights are taken to be named.

        None where that is not known: they were named before this process looked.
        """
        if call.prompt is None:
            return None
        age = now - self._weights.find_published_at(call.prompt.model)
        return round(age, 3) if age < float("inf") else None

    def make_metadata(
        self, now: float, call: Call, in_flight: InFlightRequest
    ) -> AttemptMetadata:
        """Return what the target is told beside the caller's own headers."""
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
        """Return the leading tokens of the prompt that a target could fetch."""
        prompt = call.prompt
        if prompt is None:
            return 0
        version = self._weights.find_newest(prompt.model)
        return self._part_index.count_fetched(
            now, make_cache_scope(call, version), _list_shared_parts(prompt)
        )

    def _plan_parts(
        self, now: float, scope: str, version: int, prompt: Prompt | None
    ) -> PartPlan | None:
        """Return where the target fetches and saves the prompt's shared parts.

        Without a version that the target must have, a part could be read that other
        weights made.
        """
        if prompt is None or not version or not prompt.shared_parts:
            return None
        own_parts = len(prompt.parts) - len(prompt.shared_parts)
        return self._part_index.plan(now, scope, _list_shared_parts(prompt), own_parts)


def make_cache_scope(call: Call, made_with: int | str) -> str:
    """Return the text under which parts of the call's prompt are cached.

    Parts made on other weights, or for a workspace that shares none, are never found.
    """
    workspace = call.workspace
    owner = workspace.name if workspace and workspace.isolated else ""
    return f"{owner}/{made_with}"


def _list_shared_parts(prompt: Prompt) -> list[tuple[str, int]]:
    return [(part.name, part.tokens) for part in prompt.shared_parts]
