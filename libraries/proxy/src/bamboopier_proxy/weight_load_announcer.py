"""Tells the gateways what a target takes while it gets new weights."""

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

# Seconds for which a hint holds. It is told again in half of that while it is true, so
# that one lost datagram changes nothing, and an agent that dies is soon forgotten.
HINT_SECONDS = 1.5
REPEAT_SECONDS = HINT_SECONDS / 3
# Seconds for which the list of gateways is taken as it was read: one that was replaced
# since has another address.
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
        """Read the list of gateways unless that was done a moment ago."""
        now = read_clock()
        if now - self._read_at < GATEWAYS_SECONDS:
            return
        found = await list_gateways(self._store, self._prefix)
        if not isinstance(found, Err):
            self._gateways = found.ok_value
            self._read_at = now

    def announce_drain(self, target: str, model: str) -> None:
        """Tell that the target takes short answers only; repeated when it is due."""
        if self._is_due():
            self._send(WeightLoadHint(target, model, 0, 0, int(HINT_SECONDS * 1000)))

    def announce_load(self, target: str, model: str) -> None:
        """Tell that the target takes nothing; repeated when it is due."""
        if self._is_due():
            self._send(WeightLoadHint(target, model, 0, int(HINT_SECONDS * 1000)))

    def announce_end(self, target: str, model: str, version: int) -> None:
        """Tell that the target serves on ``version``."""
        self._send(WeightLoadHint(target, model, version, 0))

    def reset(self) -> None:
        """Make the next hint due at once: it says something else than the last."""
        self._sent_at = float("-inf")

    def _is_due(self) -> bool:
        return read_clock() - self._sent_at >= REPEAT_SECONDS

    def _send(self, hint: WeightLoadHint) -> None:
        self._sent_at = read_clock()
        for gateway in self._gateways.values():
            self._socket.send(hint, gateway.endpoint)
