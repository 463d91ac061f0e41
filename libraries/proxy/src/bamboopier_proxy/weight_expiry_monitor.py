"""Takes back requests that wait at a target until its weights may serve no more.

Failure answered: a request leaves while older weights may still serve, and its target
is suspended or full for seconds. It would begin when their time is over, and its caller
be answered on weights that were replaced. What has not begun by then is taken back: its
connection is reset, and a target that goes on finds nobody to work for.

Load pattern: as many requests as are under way without a first answer, some tens.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bamboopier_decisions.forwarding.weight_versions import WeightVersions

    from .messages import Call, AttemptMetadata
    from .target_connection import TargetConnection

# Seconds between two looks at what waits.
LOOK_SECONDS = 0.1

log = structlog.get_logger()


@dataclass(eq=False, slots=True)
class Wait:
    """A request at a target whose answer has not begun."""

    call: Call
    marks: AttemptMetadata
    connection: TargetConnection
    taken_back: bool = False


class BeginWatch:
    """Knows the requests that wait at targets, and ends those that wait too long."""

    def __init__(self, weights: WeightVersions) -> None:
        self._weights = weights
        self._waiting: set[Wait] = set()

    @contextmanager
    def watch(
        self, call: Call, marks: AttemptMetadata, connection: TargetConnection
    ) -> Iterator[Wait]:
        """Watch a request from its sending to its end, or until it has begun."""
        wait = Wait(call, marks, connection)
        if call.prompt is not None:
            self._waiting.add(wait)
        try:
            yield wait
        finally:
            self.note_begun(wait)

    def note_begun(self, wait: Wait) -> None:
        """Take in that the target's answer has begun."""
        self._waiting.discard(wait)

    def look(self, now: float) -> None:
        """Take back what may not begin any more."""
        for wait in list(self._waiting):
            prompt = wait.call.prompt
            if prompt is None:
                continue
            oldest = self._weights.find_oldest_waiting(now, prompt.model)
            if wait.marks.weight_version >= oldest:
                continue
            self._waiting.discard(wait)
            wait.taken_back = True
            wait.connection.abort()
            log.info(
                "request taken back",
                request_id=wait.call.request_id,
                target=wait.marks.target,
                weight_version=wait.marks.weight_version,
                oldest_version=oldest,
            )

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            self.look(read_clock())
