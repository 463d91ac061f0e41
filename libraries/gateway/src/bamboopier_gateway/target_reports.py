"""The last report of each target that this gateway may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bamboopier_decisions.routing.messages import TargetView
    from bamboopier_protocol import agent_pb2 as pb


class TargetReports:
    """Knows which targets serve which version and which have to be asked again."""

    def __init__(self) -> None:
        # By target, in the order in which they were last asked.
        self._reports: dict[str, pb.LoadReport | None] = {}
        self._by_service: dict[str, list[str]] = {}
        self._wanted: dict[str, frozenset[str]] = {}
        # Targets that have reported at least once, whatever came of them since.
        self._heard: set[str] = set()
        self._ask_closed = False

    def change(
        self, views: Iterable[TargetView], wanted: Mapping[str, frozenset[str]]
    ) -> None:
        """Take the usable targets and the configured versions by service."""
        self._by_service = {}
        self._wanted = {}
        for view in views:
            self._by_service.setdefault(view.service, []).append(view.target)
            self._wanted[view.target] = wanted.get(view.service, frozenset())
        # The order stays, or those asked last would be asked first after each change.
        known = {t: r for t, r in self._reports.items() if t in self._wanted}
        self._reports = known | {t: None for t in self._wanted if t not in known}
        self._heard &= self._wanted.keys()

    def note(self, target: str, report: pb.LoadReport | None) -> None:
        """Take a report; None when the target could not be reached."""
        if target not in self._reports:
            return
        self._reports[target] = report
        if report is not None:
            self._heard.add(target)

    def list_versions(self, service: str) -> list[str]:
        """Return the weight version of each target of a service that takes work."""
        reports = (self._reports[t] for t in self._by_service.get(service, ()))
        return [r.weight_version for r in reports if r is not None and r.accepting]

    def count_unheard(self, service: str) -> int:
        """Return how many targets of a service have never reported here."""
        targets = self._by_service.get(service, ())
        return sum(target not in self._heard for target in targets)

    def find_next(self) -> str | None:
        """Return the target to ask next, of those that get no requests by themselves.

        Targets that are closed or unknown take turns with those that serve another
        version than the configured one: neither many of the one kind nor many of the
        other keep the gateway from noticing a target that opens again.
        """
        self._ask_closed = not self._ask_closed
        closed = [t for t, report in self._reports.items() if _is_closed(report)]
        others = [t for t in self._reports if self._serves_another(t)]
        order = (closed, others) if self._ask_closed else (others, closed)
        target = next((targets[0] for targets in order if targets), None)
        if target is not None:
            self._reports[target] = self._reports.pop(target)
        return target

    def _serves_another(self, target: str) -> bool:
        report = self._reports[target]
        if report is None or not report.accepting or not report.weight_version:
            return False
        return report.weight_version not in self._wanted[target]


def _is_closed(report: pb.LoadReport | None) -> bool:
    return report is None or not report.accepting
