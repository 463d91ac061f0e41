"""Applies what other gateways observe of targets that stop responding, and logs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bamboopier_decisions.forwarding.fleet import Fleet

    from .hints import TargetLoadHint

log = structlog.get_logger()


class StallReports:
    """What the hints of other gateways say about stalled targets."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stalled: set[str] = set()

    def apply(self, now: float, hints: Iterable[TargetLoadHint]) -> None:
        """Apply the observations of one gateway."""
        for hint in hints:
            state = self._fleet.find(hint.target)
            if state is None:
                continue
            detector = state.stall_detector
            if hint.byte_age_ms is not None:
                detector.record_remote_byte(now - hint.byte_age_ms / 1000)
            if hint.stalled_ms:
                detector.record_report(now, now - hint.stalled_ms / 1000)

    def log_changes(self, now: float) -> None:
        """Log the targets that have stopped responding, or respond again."""
        stalled = set()
        for name in self._fleet.names:
            state = self._fleet.find(name)
            if state is None or not state.stall_detector.is_stalled(now):
                continue
            stalled.add(name)
            if name not in self._stalled:
                detector = state.stall_detector
                log.warning(
                    "target stalled",
                    target=name,
                    silence=round(detector.find_silence(now), 3),
                    in_flight=detector.in_flight,
                    detected=detector.has_detected_stall(now),
                )
        for name in sorted(self._stalled - stalled):
            log.info("target no longer stalled", target=name)
        self._stalled = stalled
