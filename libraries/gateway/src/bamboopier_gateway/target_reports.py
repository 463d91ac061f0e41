"""Stores the last report of each target that this gateway may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bamboopier_decisions.routing.messages import TargetView
    from bamboopier_protocol import agent_pb2 as pb


class TargetReports:
    """Tracks which targets serve which weight version and which to poll next."""

    def __init__(self) -> None:
        # By target, in the order in which they were last polled.
        self._reports: dict[str, pb.LoadReport | None] = {}
        self._by_service: dict[str, list[str]] = {}
        self._configured_versions: dict[str, frozenset[str]] = {}
        # Targets that have reported at least once, whatever their state since.
        self._reported: set[str] = set()
        self._poll_closed = False

    def set_targets(
        self,
        views: Iterable[TargetView],
        configured_versions: Mapping[str, frozenset[str]],
    ) -> None:
        """Set the usable targets and the configured versions by service."""
        self._by_service = {}
        self._configured_versions = {}
        for view in views:
            self._by_service.setdefault(view.service, []).append(view.target)
            self._configured_versions[view.target] = configured_versions.get(
                view.service, frozenset()
            )
        # The order is retained; otherwise the last polled would be polled first again.
        retained = {
            t: r for t, r in self._reports.items() if t in self._configured_versions
        }
        self._reports = retained | {
            t: None for t in self._configured_versions if t not in retained
        }
        self._reported &= self._configured_versions.keys()

    def record(self, target: str, report: pb.LoadReport | None) -> None:
        """Record a report; None when the target could not be reached."""
        if target not in self._reports:
            return
        self._reports[target] = report
        if report is not None:
            self._reported.add(target)

    def list_versions(self, service: str) -> list[str]:
        """Return the weight version of each accepting target of a service."""
        reports = (self._reports[t] for t in self._by_service.get(service, ()))
        return [r.weight_version for r in reports if r is not None and r.accepting]

    def count_unreported(self, service: str) -> int:
        """Return how many targets of a service have never reported to this gateway."""
        targets = self._by_service.get(service, ())
        return sum(target not in self._reported for target in targets)

    def find_poll_target(self) -> str | None:
        """Return the target to poll next, of those that receive no requests.

        Targets that are closed or unreported alternate with those that serve another
        version than the configured one, so that many targets of one group do not delay
        the detection of a target of the other group that accepts requests again.
        """
        self._poll_closed = not self._poll_closed
        closed = [t for t, report in self._reports.items() if _is_closed(report)]
        others = [t for t in self._reports if self._serves_other_version(t)]
        groups = (closed, others) if self._poll_closed else (others, closed)
        target = next((targets[0] for targets in groups if targets), None)
        if target is not None:
            self._reports[target] = self._reports.pop(target)
        return target

    def _serves_other_version(self, target: str) -> bool:
        report = self._reports[target]
        if report is None or not report.accepting or not report.weight_version:
            return False
        return report.weight_version not in self._configured_versions[target]


def _is_closed(report: pb.LoadReport | None) -> bool:
    return report is None or not report.accepting
