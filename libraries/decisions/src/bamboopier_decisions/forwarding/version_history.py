"""Tells which software versions may have begun a stream of a service.

Load pattern: mostly one version serves, and each stream goes on at any target of its
service, whichever gateway began it. A second version appears within seconds while
streams of the first are in flight. That one version is listed now shows nothing about a
stream that began before: the list may be old, or may have been read since.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

# Seconds for which a version counts at least; longer where a route's timeout is.
STREAM_SECONDS = 30.0
# Gap in the changes of the list from which a version that came and went may be missed.
MAX_LIST_AGE_SECONDS = 5.0
# Age that the list reaches while its watch works: two of its waits. A version that
# appeared later than an older list may have begun streams at other gateways.
MAX_WATCHED_AGE_SECONDS = 1.5

# For a version that is listed now.
LISTED = float("inf")
# For a time before all others.
NEVER = float("-inf")


class ServiceVersions(msgspec.Struct, frozen=True):
    """What is known of one service. Times are in seconds on the caller's clock."""

    # Since when no change was missed.
    complete_since: float
    listed: frozenset[str]
    # When versions that are not listed any more were last listed.
    former: dict[str, float]


class VersionHistory:
    """Software versions that targets of each service had, as this process saw them."""

    def __init__(self, *, first_start: bool = False) -> None:
        # For how long versions that are not listed any more are kept.
        self._retention = STREAM_SECONDS
        # Since when no change of the list was missed; None before the first list. If
        # the whole system starts for the first time, no stream can be older.
        self._complete_since = -STREAM_SECONDS if first_start else None
        # The same by service, where it was known before this process started.
        self._restored_since: dict[str, float] = {}
        # By service and version, when it was last listed.
        self._last_listed: dict[str, dict[str, float]] = {}

    def set_longest_stream(self, seconds: float) -> None:
        """Set how long streams may last by the timeouts of their routes."""
        self._retention = max(STREAM_SECONDS, seconds)

    def record_list(self, now: float, known_until: float) -> None:
        """Record that a complete list was read.

        All changes until ``known_until`` have been reported; minus infinity before the
        first list. A version that came and went in a long gap was missed.
        """
        if known_until == NEVER:
            if self._complete_since is None:
                self._complete_since = now
        elif now - known_until > MAX_LIST_AGE_SECONDS:
            self._complete_since = now
            self._restored_since.clear()

    def update(self, now: float, listed: Mapping[str, Set[str]]) -> None:
        """Record which versions the listed targets of each service have."""
        for service, versions in listed.items():
            last_listed = self._last_listed.setdefault(service, {})
            last_listed.update(dict.fromkeys(versions, LISTED))
        for service, last_listed in self._last_listed.items():
            listed_now = listed.get(service, frozenset())
            for version, last in list(last_listed.items()):
                if last == LISTED and version not in listed_now:
                    last_listed[version] = now
                elif now - last >= self._retention:
                    del last_listed[version]

    def restore(self, service: str, record: ServiceVersions) -> None:
        """Add what gateways knew of a service before this process started."""
        self._restored_since[service] = record.complete_since
        last_listed = self._last_listed.setdefault(service, {})
        for version, last in record.former.items():
            last_listed[version] = max(last, last_listed.get(version, last))
        # The next update finds out whether they still are.
        last_listed.update(dict.fromkeys(record.listed, LISTED))

    def list_records(self, now: float) -> dict[str, ServiceVersions]:
        """Return what is known of each service, for gateways that start later."""
        records = {}
        for service, last_listed in self._last_listed.items():
            since = self._find_complete_since(service)
            if since is None:
                continue
            listed = frozenset(v for v, last in last_listed.items() if last == LISTED)
            former = {
                version: last
                for version, last in last_listed.items()
                if last != LISTED and now - last < self._retention
            }
            records[service] = ServiceVersions(since, listed, former)
        return records

    def find_recent(
        self,
        now: float,
        service: str,
        list_age: float,
        stream_seconds: float = STREAM_SECONDS,
    ) -> frozenset[str] | None:
        """Return the versions that may have begun a stream; None if not certain.

        ``list_age`` is the time for which changes of the list may be missing, and
        ``stream_seconds`` how long the stream may last, both in seconds.
        """
        longest = max(STREAM_SECONDS, stream_seconds)
        since = self._find_complete_since(service)
        if since is None or list_age > MAX_WATCHED_AGE_SECONDS:
            return None
        if now - since < longest:
            return None
        last_listed = self._last_listed.get(service, {})
        return frozenset(
            version for version, last in last_listed.items() if now - last < longest
        )

    def _find_complete_since(self, service: str) -> float | None:
        if self._complete_since is None:
            return None
        restored = self._restored_since.get(service, self._complete_since)
        return min(restored, self._complete_since)
