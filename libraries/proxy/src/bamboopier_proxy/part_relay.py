"""Relays updates of part stores from the gateways that poll the stores.

Load pattern: a store holds only a few requests open at once and rejects others. With 21
gateways that each polled nine stores, most requests were rejected, and hardly any part
was fetched: 13.9 M tokens of shared parts were recomputed in a test day of 34 s. So a
few selected gateways poll the stores, and all others poll one of these, for all stores
at once.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.part_store_index import PartChange, PartUpdate
from bamboopier_objects.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.part_store_index import (
        PartStore,
        PartStoreIndex,
    )
    from bamboopier_objects.http_client import HttpClient

    from .settings import Endpoint

PATH = "/parts"
# Timeout of one call between gateways.
CALL_SECONDS = 0.6


class UpdatePosition(msgspec.Struct, array_like=True):
    """Position up to which the requesting gateway has the changes of a store."""

    address: str
    epoch: int
    position: int


class StoreUpdate(msgspec.Struct, array_like=True):
    """Changes of a store after the position, as the responding gateway has them."""

    address: str
    epoch: int
    position: int
    # Since the store's last response.
    response_age_ms: int
    # For how long the store's current instance had been known at that response; below 0
    # if it was first observed later.
    instance_known_ms: int
    clock_ms: int
    # Whether ``changes`` are all stored parts, not only those after the position.
    is_snapshot: bool
    # Scope, part, tokens; 0 tokens for a part that was removed.
    changes: list[tuple[str, str, int]]


_request_decoder = msgspec.msgpack.Decoder(list[UpdatePosition])
_response_decoder = msgspec.msgpack.Decoder(list[StoreUpdate])


class PartRelay:
    """Requests updates from other gateways, and answers their requests."""

    def __init__(self, index: PartStoreIndex, caller: HttpClient) -> None:
        self._index = index
        self._caller = caller
        # The other gateway's position for each store, by the store's address.
        self._positions: dict[str, int] = {}
        self._requested_gateway = ""

    def answer(self, body: bytes) -> web.Response:
        """Return the updates of all stores whose state is valid here."""
        try:
            positions = _request_decoder.decode(body)
        except DECODE_ERRORS as error:
            return web.Response(status=400, text=str(error))
        now = read_clock()
        positions_by_address = {q.address: q for q in positions}
        updates = [
            _make_update(now, store, positions_by_address.get(store.address))
            for store in self._index.stores
            if store.is_current(now)
        ]
        return web.Response(body=msgspec.msgpack.encode(updates))

    async def request(self, gateway: Endpoint) -> Result[int, str]:
        """Apply the updates of a gateway; return the number of stores in them."""
        if self._requested_gateway != str(gateway):
            # Positions are specific to a gateway.
            self._positions.clear()
            self._requested_gateway = str(gateway)
        positions = [
            UpdatePosition(s.address, s.epoch, self._positions.get(s.address, -1))
            for s in self._index.stores
        ]
        sent_at = read_clock()
        response = await self._caller.call(
            "POST",
            f"http://{gateway}{PATH}",
            msgspec.msgpack.encode(positions),
            first_byte_timeout=CALL_SECONDS,
        )
        if isinstance(response, Err):
            return Err(str(response.err_value))
        if response.ok_value.status != 200:
            return Err(f"status {response.ok_value.status}")
        try:
            updates = _response_decoder.decode(response.ok_value.body)
        except DECODE_ERRORS as error:
            return Err(str(error))
        read_at = read_clock()
        for found in updates:
            self._apply(sent_at, read_at, found)
        return Ok(len(updates))

    def _apply(self, sent_at: float, read_at: float, found: StoreUpdate) -> None:
        store = self._index.find(found.address)
        if store is None:
            return
        # Up to the creation of the response. Transfer time is not added: an instance
        # must not look older than it is.
        instance_known = (found.response_age_ms + found.instance_known_ms) / 1000
        update = PartUpdate(
            found.epoch,
            found.clock_ms,
            tuple(PartChange(*change) for change in found.changes),
            found.is_snapshot,
            max(0.0, instance_known),
        )
        if store.is_outdated(update):
            return
        store.apply_update(sent_at - found.response_age_ms / 1000, read_at, update)
        self._positions[found.address] = found.position


def _make_update(
    now: float, store: PartStore, position: UpdatePosition | None
) -> StoreUpdate:
    changes = None
    if position is not None and position.epoch == store.epoch:
        changes = store.list_changes(position.position)
    is_snapshot = changes is None
    listed = store.list_parts() if changes is None else changes
    return StoreUpdate(
        store.address,
        store.epoch,
        store.position,
        # Rounded up: the response must not look younger than it is.
        int(store.find_age(now) * 1000) + 1,
        # Rounded down, and reduced by the amount by which the age was rounded up: their
        # sum must not make the instance look older than it is.
        math.floor(store.epoch_known_seconds * 1000) - 1,
        store.clock_ms,
        is_snapshot,
        [(change.scope, change.part, change.tokens) for change in listed],
    )
