"""A store whose availability is derived from the outcome of each call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_objects.errors import RESPONSE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from result import Result

    from bamboopier_objects.errors import PlatformError
    from bamboopier_objects.objects import ChangeBatch, FollowedStore, Listing

    from .store_availability import StoreAvailability

# Longest watch whose response is due at once.
MAX_CHECK_SECONDS = 0.1


class MonitoredStore:
    """Lists and watches ``store``, and records the outcome in ``availability``."""

    def __init__(self, store: FollowedStore, availability: StoreAvailability) -> None:
        self._store = store
        self._availability = availability

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects whose key starts with ``prefix``."""
        sent_at = read_clock()
        self._availability.record_sent(sent_at)
        response = await self._store.list(prefix)
        if _shows_failure(response):
            self._availability.record_failure(sent_at)
        else:
            self._availability.record_response(sent_at, read_clock())
        return response

    async def watch_values(
        self,
        prefix: str,
        after: int,
        timeout: float,
        on_response: Callable[[], None] | None = None,
    ) -> Result[ChangeBatch, PlatformError]:
        """Wait up to ``timeout`` seconds for changes later than revision ``after``.

        A short watch is a check, and recorded like a list. The failure of a longer one
        is not recorded: it was sent long ago, and perhaps only its own connection
        stalled. The list that follows immediately shows whether the store is available.
        """
        sent_at = read_clock()
        is_check = timeout <= MAX_CHECK_SECONDS
        if is_check:
            self._availability.record_sent(sent_at)
        response = await self._store.watch_values(prefix, after, timeout, on_response)
        if not _shows_failure(response):
            accepted_at = read_clock() if is_check else sent_at
            self._availability.record_response(sent_at, accepted_at)
        elif is_check:
            self._availability.record_failure(sent_at)
        return response


def _shows_failure(response: Result[Any, PlatformError]) -> bool:
    """Return whether the store may not have served the call.

    An unreadable response is one: entries cannot expire while the store serves.
    """
    return isinstance(response, Err) and not isinstance(
        response.err_value, RESPONSE_ERRORS
    )
