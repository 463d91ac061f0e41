"""Counts connections that are closed for what their clients do, and logs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from prometheus_client import Counter

from ..line_limit import LineLimit

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from .limits import Problem

log = structlog.get_logger()


def make_closed_counter(registry: CollectorRegistry) -> Counter:
    """Return the counter that all listeners of a process share."""
    return Counter(
        "bamboopier_closed_connections",
        "Clients' connections that were closed or refused, by listener and reason",
        ["listener", "reason"],
        registry=registry,
    )


class ClosedConnections:
    """The closed connections of one listener, by reason."""

    def __init__(self, listener: str, counter: Counter | None = None) -> None:
        self._listener = listener
        self._counter = counter
        self._lines = LineLimit()

    def add(self, problem: Problem, *, held_bytes: int, answered: int) -> None:
        """Count a connection, and log it unless a line of its reason is recent.

        ``held_bytes`` is what it held of its request, ``answered`` the number of its
        earlier requests.
        """
        if self._counter is not None:
            self._counter.labels(self._listener, problem.value).inc()
        count = self._lines.count(problem)
        if count:
            log.info(
                "connections closed",
                listener=self._listener,
                reason=problem.value,
                count=count,
                held_bytes=held_bytes,
                answered=answered,
            )
