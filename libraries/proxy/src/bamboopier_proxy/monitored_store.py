"""The store as followers see it; what each call says of its health is noted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from result import Result

    from bamboopier_objects.errors import PlatformError
    from bamboopier_objects.objects import ChangeBatch, FollowedStore, Listing

    from .store_health import StoreHealth


class MonitoredStore:
    """Lists and watches of ``store``, heard by ``health``."""

    def __init__(self, store: FollowedStore, health: StoreHealth) -> None:
        self._store = store
        self._health = health

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects whose key starts with ``prefix``."""
        sent_at = read_clock()
        self._health.note_asked(sent_at)
        answer = await self._store.list(prefix)
        if isinstance(answer, Err):
            self._health.note_failure(sent_at)
        else:
            self._health.note_answer(sent_at, read_clock())
        return answer

    async def watch_values(
        self, prefix: str, after: int, timeout: float
    ) -> Result[ChangeBatch, PlatformError]:
        """Wait up to ``timeout`` seconds for changes later than revision ``after``.

        A watch that fails was made long ago and says nothing of now: its connection may
        have gone silent alone. The list that follows at once tells.
        """
        sent_at = read_clock()
        answer = await self._store.watch_values(prefix, after, timeout)
        if not isinstance(answer, Err):
            self._health.note_answer(sent_at, sent_at)
        return answer
