"""Selects the listed targets that may be sent new requests.

Load pattern: operators drain a data centre or a target while the VM list still shows it
as live, and VMs leave that no operator has named. A target must be excluded as soon as
either source excludes it, and included again only when neither does.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .leaving import LeavingVmTracker

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as the VM list shows it."""

    name: str
    data_centre: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class DrainedSet:
    """The data centres and targets that operators have drained."""

    data_centres: frozenset[str] = frozenset()
    targets: frozenset[str] = frozenset()

    def contains(self, target: str, data_centre: str) -> bool:
        """Return whether the target or its data centre is drained."""
        return target in self.targets or data_centre in self.data_centres


class FleetView:
    """Combines successive VM lists with the operators' drains."""

    __slots__ = ("_leaving",)

    def __init__(self) -> None:
        self._leaving = LeavingVmTracker()

    def select(
        self, now: float, listed: Iterable[ListedTarget], drained: DrainedSet
    ) -> frozenset[str]:
        """Return the names of the targets that may be sent new requests."""
        targets = list(listed)
        leaving = self._leaving.update(now, {t.name: t.leaving for t in targets})
        return frozenset(
            target.name
            for target in targets
            if target.name not in leaving
            and not drained.contains(target.name, target.data_centre)
        )
