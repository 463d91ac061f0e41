"""Decides which software versions of a service may get a request.

Load pattern: hundreds of gateways send to a service while a version is on trial that
may be bad. Each draws for its own requests, so that the version gets its share of all
of them, whatever the number of gateways and whichever of them are cut off.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from .order import RolloutState
from .route_mix import RouteMix

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping, Set

    from .order import Rollout

# Maximum age of what is known of a roll-out for a version on trial to get requests:
# what is confirmed by gateways four times a second is older only if it is cut off.
MAX_AGE_SECONDS = 1.5


class VersionChoice(msgspec.Struct, frozen=True):
    """Which software versions one request does without."""

    # No request may be sent there, whatever is left.
    closed: frozenset[str] = frozenset()
    # Versions that this request avoids.
    avoided: frozenset[str] = frozenset()
    # It may still be sent to the avoided ones if the others are full.
    may_fall_back: bool = False

    @property
    def excluded(self) -> frozenset[str]:
        """Return all versions that the request is not sent to at first."""
        return self.closed | self.avoided


class RolloutTraffic:
    """The roll-outs that this gateway knows, and the versions it has seen."""

    def __init__(
        self, find_known_until: Callable[[], float] = lambda: math.inf
    ) -> None:
        # Returns the time until which all changes of roll-outs are known.
        self.find_known_until = find_known_until
        self._rollouts: dict[str, Rollout] = {}
        # Versions whose order was withdrawn before it was carried out, by service.
        self._withdrawn: dict[str, set[str]] = {}
        # When versions that appeared later than others were first seen, by service.
        self._appeared: dict[str, dict[str, float]] = {}
        # Requests of the services with a running roll-out.
        self._mixes: dict[str, RouteMix] = {}

    @property
    def rollouts(self) -> Mapping[str, Rollout]:
        """Return all known roll-outs by service."""
        return self._rollouts

    def set_rollout(self, name: str, rollout: Rollout) -> None:
        """Apply a roll-out that was ordered or has changed."""
        self._rollouts[name] = rollout

    def remove(self, name: str) -> None:
        """Apply that an order was withdrawn."""
        rollout = self._rollouts.pop(name, None)
        if rollout is None:
            return
        status = rollout.own_status
        if status is None or status.state is not RolloutState.COMPLETED:
            self._withdrawn.setdefault(name, set()).add(rollout.order.version)

    def replace(self, rollouts: Mapping[str, Rollout]) -> None:
        """Apply the complete list of roll-outs."""
        for name in [n for n in self._rollouts if n not in rollouts]:
            self.remove(name)
        self._rollouts.update(rollouts)

    def update_versions(self, now: float, versions: Mapping[str, Set[str]]) -> None:
        """Record the software versions that the targets of each service have now."""
        for service, listed in versions.items():
            seen = self._appeared.get(service)
            if seen is None:
                # All that were there first: no order for them was missed.
                self._appeared[service] = dict.fromkeys(listed, -math.inf)
                continue
            for version in [v for v in seen if v not in listed]:
                del seen[version]
            for version in listed:
                seen.setdefault(version, now if seen else -math.inf)
            withdrawn = self._withdrawn.get(service)
            if withdrawn is not None:
                withdrawn &= listed

    def list_closed(self, service: str) -> frozenset[str]:
        """Return the versions to which no request may be sent, whatever is left."""
        rollout = self._rollouts.get(service)
        closed = frozenset(self._withdrawn.get(service, ()))
        if rollout is None:
            return closed
        closed -= {rollout.order.version}
        status = rollout.status
        if status is None:
            return closed
        match status.state:
            case RolloutState.ROLLED_BACK:
                return closed | {status.version}
            case RolloutState.COMPLETED:
                return closed | frozenset(status.former)
            case RolloutState.RUNNING if status.version != rollout.order.version:
                return closed | {status.version}
            case _:
                return closed

    def concerns(self, service: str) -> bool:
        """Return whether any version of a service may have to be avoided."""
        if service in self._rollouts or self._withdrawn.get(service):
            return True
        known_until = self.find_known_until()
        return any(at > known_until for at in self._appeared.get(service, {}).values())

    def choose(
        self,
        now: float,
        service: str,
        versions: Iterable[str],
        random: random.Random,
        *,
        route: str = "",
        is_retry: bool = False,
    ) -> VersionChoice:
        """Draw which versions one new request does without.

        ``versions`` are those of the targets that the service can use now. A retry
        avoids the version on trial.
        """
        closed = self.list_closed(service)
        usable = frozenset(versions) - closed
        rollout = self._rollouts.get(service)
        if rollout is None or not rollout.is_running:
            avoided = self._list_unconfirmed(service, usable)
            return VersionChoice(closed, avoided if usable - avoided else frozenset())
        version = rollout.order.version
        others = usable - {version}
        if version not in usable or not others:
            return VersionChoice(closed)
        status = rollout.own_status
        share = status.share if status is not None else 0.0
        mix = self._mixes.setdefault(service, RouteMix())
        if not is_retry:
            mix.record(route)
        if share >= 1:
            return VersionChoice(closed, others)
        is_known = now - self.find_known_until() <= MAX_AGE_SECONDS
        share_of_route = mix.find_share(route, share)
        if is_known and not is_retry and random.random() < share_of_route:
            return VersionChoice(closed, others, may_fall_back=True)
        return VersionChoice(closed, frozenset({version}))

    def _list_unconfirmed(
        self, service: str, versions: frozenset[str]
    ) -> frozenset[str]:
        """Return versions for which an order may exist that has not arrived.

        An order is written before its targets start, so it is known once the roll-outs
        are confirmed as of a time after the version appeared.
        """
        seen = self._appeared.get(service, {})
        known_until = self.find_known_until()
        return frozenset(v for v in versions if seen.get(v, -math.inf) > known_until)
