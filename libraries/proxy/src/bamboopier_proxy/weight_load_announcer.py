"""Announces to the gateways which requests a target accepts during a weight load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from bamboopier_daemon.clock import read_clock

from .gateway_registry import list_gateways
from .hints import WeightLoadHint

if TYPE_CHECKING:
    from .gateway_registry import GatewayEntry
    from .hint_socket import HintSocket
    from .store_schema import Store

# Time for which a hint is valid. While it is true it is repeated in less than half of
# that time, so that one lost datagram has no effect, and the hint of an agent that died
# expires soon.
HINT_SECONDS = 1.5
REPEAT_SECONDS = HINT_SECONDS / 3
# Time for which the list of gateways is cached: a replaced gateway has another address.
GATEWAYS_SECONDS = 5.0


class WeightLoadAnnouncer:
    """Sends hints to all registered gateways."""

    def __init__(self, store: Store, prefix: str, socket: HintSocket) -> None:
        self._store = store
        self._prefix = prefix
        self._socket = socket
        self._gateways: dict[str, GatewayEntry] = {}
        self._read_at = float("-inf")
        self._sent_at = float("-inf")

    async def refresh(self) -> None:
        """Read the list of gateways unless the cached list is recent."""
        now = read_clock()
        if now - self._read_at < GATEWAYS_SECONDS:
            return
        found = await list_gateways(self._store, self._prefix, stale=True)
        if not isinstance(found, Err):
            self._gateways = found.ok_value
            self._read_at = now

    def announce_drain(self, target: str, model: str) -> None:
        """Announce, when due, that the target serves only short responses."""
        if self._is_due():
            self._send(WeightLoadHint(target, model, 0, 0, int(HINT_SECONDS * 1000)))

    def announce_load(self, target: str, model: str) -> None:
        """Announce, when due, that the target accepts no requests."""
        if self._is_due():
            self._send(WeightLoadHint(target, model, 0, int(HINT_SECONDS * 1000)))

    def announce_end(self, target: str, model: str, version: int) -> None:
        """Announce that the target serves with ``version``."""
        self._send(WeightLoadHint(target, model, version, 0))

    def reset(self) -> None:
        """Make the next hint due at once, because its content differs from the last."""
        self._sent_at = float("-inf")

    def _is_due(self) -> bool:
        return read_clock() - self._sent_at >= REPEAT_SECONDS

    def _send(self, hint: WeightLoadHint) -> None:
        self._sent_at = read_clock()
        for gateway in self._gateways.values():
            self._socket.send(hint, gateway.endpoint)
