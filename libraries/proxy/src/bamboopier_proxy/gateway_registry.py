"""Registers gateways in the store and tracks which of them are active.

Each gateway registers once, and all read the list periodically. Entries in the store do
not expire, so an entry outlives a machine that was removed. A gateway is counted until
it has been silent for a long time: counting one too many reduces each gateway's share
of a limit, which is the safe side.

Guards against gateways that are suspended for a long time and resume together. None has
received hints of the others meanwhile; if it assumed them gone, they would get no hints
either, and each gateway would send a cold target, or retry, as much as all may
together. Therefore silence is counted only while this process runs: hints missed during
its own pause say nothing about the others.

Guards against a long network partition between gateways. Each sends hints only to those
it counts, so none would ever receive a hint of another again, and each would use whole
limits from then on. Therefore registered gateways that are silent get a hint after each
read of the list: the receiver counts the sender and sends hints to it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog
from result import Err, Ok, Result

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.routing.hash_ring import HashRing, compute_points
from bamboopier_decisions.routing.rendezvous import rank
from bamboopier_objects.decoding import DECODE_ERRORS, BoundedInt
from bamboopier_objects.errors import PlatformError, VersionConflictError
from bamboopier_objects.invalid_entries import open_invalid_entries
from bamboopier_objects.objects import ABSENT

from .settings import Endpoint, is_endpoint

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.pause_tracker import PauseTracker

    from .store_schema import Store

# Interval between reads of the list: gateways start and stop a few times an hour.
READ_SECONDS = 8.0
# Maximum rate of entries read, with some 200 bytes each: a tenth of what a node may use
# for control traffic.
ENTRIES_PER_SECOND = 10.0
RETRY_SECONDS = 0.4
# Silence, without own pauses, after which a gateway is no longer counted.
SILENT_SECONDS = 20.0

log = structlog.get_logger()


class GatewayEntry(msgspec.Struct):
    """The address at which a gateway receives hints."""

    host: str
    port: int
    # Start time of the gateway in milliseconds since 1970.
    born: BoundedInt

    def __post_init__(self) -> None:
        """Reject what no datagram can be sent to."""
        if not is_endpoint(self.host, self.port):
            raise ValueError(f"no IP and port: {self.host[:40]!r}, {self.port}")

    @property
    def endpoint(self) -> Endpoint:
        """Return the address that receives hints."""
        return Endpoint(self.host, self.port)


async def list_gateways(
    store: Store, prefix: str, *, stale: bool = False
) -> Result[dict[str, GatewayEntry], PlatformError]:
    """Read all gateways that ever registered, by name.

    With ``stale``, those that registered within the last seconds may be missing.
    """
    listing = await (store.list_stale(prefix) if stale else store.list(prefix))
    if isinstance(listing, Err):
        return listing
    entries: dict[str, GatewayEntry] = {}
    for found in listing.ok_value.objects:
        name = found.key.removeprefix(prefix)
        try:
            entries[name] = msgspec.json.decode(found.value, type=GatewayEntry)
        except DECODE_ERRORS as error:
            open_invalid_entries().report(found.key, str(error))
    return Ok(entries)


class GatewayRegistry:
    """The registered gateways, without this one."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        random: random.Random,
        on_count_changed: Callable[[int, int], None],
        pauses: PauseTracker,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._random = random
        # Called with the number of gateways and this one's index in the order of names.
        self._on_count_changed = on_count_changed
        self._pauses = pauses
        self._own: str | None = None
        self._peers: dict[str, Endpoint] = {}
        # When each was first read or last sent a hint, on the clock of running time.
        self._last_hint_at: dict[str, float] = {}
        # Registered gateways that were silent at the last read and have got no hint
        # yet.
        self._silent: list[Endpoint] = []
        self._reported_count = (0, 0)
        # All registered gateways, this one included, on a ring that is the same at all
        # gateways: those that are silent are skipped when it is searched.
        self._ring_names: list[str] = []
        self._ring = HashRing([])
        # Whether the list was read at least once: before that only the gateways that
        # sent a hint are known, which may not be all.
        self._has_list = False

    @property
    def peers(self) -> dict[str, Endpoint]:
        """Return the other gateways that are not silent, by name."""
        self._drop_silent()
        return self._peers

    def pop_silent(self) -> list[Endpoint]:
        """Return the registered gateways that are silent, once after each read."""
        silent, self._silent = self._silent, []
        return silent

    def select_gateways(self, key: str, count: int) -> list[str]:
        """Select ``count`` gateways for ``key`` by rendezvous hashing.

        All gateways, this one included, select the same ones.
        """
        names = [*self.peers, self._own or ""]
        return rank(key.encode(), names, count)

    def select_peers(self, key: bytes, count: int) -> list[Endpoint]:
        """Select ``count`` of the other gateways for ``key`` by consistent hashing."""
        peers = self.peers
        if len(peers) <= count:
            return list(peers.values())
        selected: dict[str, Endpoint] = {}
        for index in self._ring.walk(key):
            name = self._ring_names[index]
            if name in peers:
                selected[name] = peers[name]
            if len(selected) == count:
                break
        return list(selected.values())

    def is_own(self, name: str) -> bool:
        """Return whether ``name`` is the name of this gateway."""
        return name == self._own

    def has_host(self, host: str) -> bool:
        """Return whether another gateway that is not silent has this address."""
        return any(peer.host == host for peer in self.peers.values())

    def record_hint(self, name: str, host: str, port: int) -> None:
        """Record that a gateway sent a hint from this address."""
        if name != self._own:
            self._peers[name] = Endpoint(host, port)
            self._last_hint_at[name] = self._read_run_time()
            self._report_count()

    async def register(self, name: str, entry: GatewayEntry) -> None:
        """Write this gateway's entry, retrying until the store accepts it."""
        self._own = name
        key = self._prefix + name
        value = msgspec.json.encode(entry)
        version = ABSENT
        while True:
            written = await self._store.write(key, value, version)
            if not isinstance(written, Err):
                log.info("gateway registered", gateway=name)
                return
            error = written.err_value
            if isinstance(error, VersionConflictError):
                version = error.found
                continue
            await asyncio.sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.0))

    async def read(self) -> bool:
        """Read the list once; return False if that failed.

        After a start it must be complete: with too small a number of gateways each
        would take too large a share of what all may send. Later ones send hints.
        """
        entries = await list_gateways(self._store, self._prefix, stale=self._has_list)
        if isinstance(entries, Err):
            return False
        now = self._read_run_time()
        for name, entry in entries.ok_value.items():
            self._add(name, entry, now)
        self._silent = [
            entry.endpoint
            for name, entry in entries.ok_value.items()
            if name != self._own and name not in self._peers
        ]
        self._has_list = True
        self._update_ring(sorted(entries.ok_value))
        self._report_count()
        return True

    async def run(self) -> None:
        """Read at intervals until cancelled."""
        while True:
            pause = self._find_pause() if await self.read() else RETRY_SECONDS
            await asyncio.sleep(pause * self._random.uniform(0.8, 1.0))
            self._drop_silent()

    def _update_ring(self, names: list[str]) -> None:
        if names != self._ring_names:
            self._ring_names = names
            self._ring = HashRing([compute_points(name) for name in names])

    def _find_pause(self) -> float:
        return max(READ_SECONDS, len(self._peers) / ENTRIES_PER_SECOND)

    def _add(self, name: str, entry: GatewayEntry, now: float) -> None:
        if name == self._own or name in self._peers:
            return
        if now - self._last_hint_at.setdefault(name, now) < SILENT_SECONDS:
            self._peers[name] = entry.endpoint

    def _drop_silent(self) -> None:
        now = self._read_run_time()
        silent = [
            n for n in self._peers if now - self._last_hint_at[n] >= SILENT_SECONDS
        ]
        for name in silent:
            del self._peers[name]
            log.info("gateway silent", gateway=name)
        if silent:
            self._report_count()

    def _read_run_time(self) -> float:
        return self._pauses.read_running_clock(read_clock())

    def _report_count(self) -> None:
        own = self._own or ""
        counted = len(self._peers) + 1, sum(name < own for name in self._peers)
        if self._has_list and counted != self._reported_count:
            self._reported_count = counted
            self._on_count_changed(*counted)
