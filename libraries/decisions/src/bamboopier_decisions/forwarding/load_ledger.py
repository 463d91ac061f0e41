"""Adds up what all gateways have in flight at one target.

Load pattern: tens to hundreds of gateways send to the same engines, each a few requests
a second, of very different sizes. A prompt of 20,000 tokens occupies an engine for a
fifth of a second. What gateways tell each other of their loads arrives later than that,
and grows with their number. The process beside the engine hears from every gateway when
a request is sent, prefilled and ended, so its sums are a millisecond old, and its work
grows with the requests of its engine only.

Each report replaces the last one of its gateway: a datagram that is lost is made up for
by the next. What a gateway reported expires soon, since the gateway may be gone.
"""

from __future__ import annotations

import msgspec

from .target_state import Load

# Seconds for which a report is valid: gateways repeat it more than twice in that time.
REPORT_SECONDS = 1.5


class _Report(msgspec.Struct, frozen=True):
    received_at: float
    # Start time of the gateway and number of the report: a late one is dropped.
    order: tuple[int, int]
    load: Load


class LoadLedger:
    """The last reports of all gateways about one target."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def record(
        self, now: float, gateway: str, order: tuple[int, int], load: Load
    ) -> None:
        """Record what a gateway has in flight now."""
        known = self._reports.get(gateway)
        if known is not None and order <= known.order:
            return
        self._reports[gateway] = _Report(now, order, load)

    def find_load(self, now: float, asking: str) -> Load:
        """Return what all gateways but the asking one have in flight."""
        self._remove_expired(now)
        total = Load()
        for gateway, report in self._reports.items():
            if gateway != asking:
                total.add(report.load)
        return total

    def _remove_expired(self, now: float) -> None:
        expired = [
            gateway
            for gateway, report in self._reports.items()
            if now - report.received_at >= REPORT_SECONDS
        ]
        for gateway in expired:
            del self._reports[gateway]
