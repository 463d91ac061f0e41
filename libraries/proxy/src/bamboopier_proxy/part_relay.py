"""Hands on what the stores of kept parts said, from gateways that ask them.

Load pattern: a store holds few waiting questions at once and turns others away. With
21 gateways that each ask nine stores, most questions were turned away, and hardly any
part was fetched: 13.9 M tokens of shared parts were read again in a day of 34 s. So
the first few gateways ask the stores, and all others ask one of these, for all stores
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

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.part_store_index import PartStoreIndex, PartStore
    from bamboopier_objects.http_caller import HttpCaller

    from .settings import Endpoint

PATH = "/parts"
# Seconds for one call between gateways.
CALL_SECONDS = 0.6


class NewsPosition(msgspec.Struct, array_like=True):
    """Up to where the asking gateway knows the changes of a store."""

    address: str
    epoch: int
    position: int


class StoreNews(msgspec.Struct, array_like=True):
    """What the answering gateway knows of a store beyond the position."""

    address: str
    epoch: int
    position: int
    # Since the store answered last.
    heard_ms: int
    # For how long this start of it had been known then; below 0 if it was seen later.
    known_ms: int
    clock_ms: int
    # ``changes`` are all parts there, not those after the position.
    whole: bool
    # Scope, part, tokens; 0 tokens for one that is gone.
    changes: list[tuple[str, str, int]]


_questions = msgspec.msgpack.Decoder(list[NewsPosition])
_answers = msgspec.msgpack.Decoder(list[StoreNews])


class PartRelay:
    """Both sides of a call for news."""

    def __init__(self, kept: PartStoreIndex, caller: HttpCaller) -> None:
        self._kept = kept
        self._caller = caller
        # The other side's position for each store, by its address.
        self._positions: dict[str, int] = {}
        self._asked = ""

    def answer(self, body: bytes) -> web.Response:
        """Return the news of all stores that are trusted here."""
        try:
            questions = _questions.decode(body)
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=str(error))
        now = read_clock()
        known = {q.address: q for q in questions}
        news = [
            _describe(now, store, known.get(store.address))
            for store in self._kept.stores
            if store.is_current(now)
        ]
        return web.Response(body=msgspec.msgpack.encode(news))

    async def ask(self, gateway: Endpoint) -> Result[int, str]:
        """Take the news that a gateway has; return how many stores it trusts."""
        if self._asked != str(gateway):
            # Each gateway counts changes in its own way.
            self._positions.clear()
            self._asked = str(gateway)
        questions = [
            NewsPosition(s.address, s.epoch, self._positions.get(s.address, -1))
            for s in self._kept.stores
        ]
        asked_at = read_clock()
        answer = await self._caller.call(
            "POST",
            f"http://{gateway}{PATH}",
            msgspec.msgpack.encode(questions),
            patience=CALL_SECONDS,
        )
        if isinstance(answer, Err):
            return Err(str(answer.err_value))
        if answer.ok_value.status != 200:
            return Err(f"status {answer.ok_value.status}")
        try:
            news = _answers.decode(answer.ok_value.body)
        except msgspec.MsgspecError as error:
            return Err(str(error))
        read_at = read_clock()
        for found in news:
            self._take(asked_at, read_at, found)
        return Ok(len(news))

    def _take(self, asked_at: float, read_at: float, found: StoreNews) -> None:
        store = self._kept.find(found.address)
        if store is None:
            return
        # Until the answer was made. The way here is not added: a start must not look
        # older than it is.
        known = (found.heard_ms + found.known_ms) / 1000
        news = PartUpdate(
            found.epoch,
            found.clock_ms,
            tuple(PartChange(*change) for change in found.changes),
            found.whole,
            max(0.0, known),
        )
        if store.is_outdated(news):
            return
        store.apply_update(asked_at - found.heard_ms / 1000, read_at, news)
        self._positions[found.address] = found.position


def _describe(now: float, store: PartStore, known: NewsPosition | None) -> StoreNews:
    changes = None
    if known is not None and known.epoch == store.epoch:
        changes = store.list_changes(known.position)
    whole = changes is None
    listed = store.list_parts() if changes is None else changes
    return StoreNews(
        store.address,
        store.epoch,
        store.position,
        # Rounded up: the answer must not look younger than it is.
        int(store.find_age(now) * 1000) + 1,
        # Rounded down, and by what the age was rounded up: their sum must not make the
        # start look older than it is.
        math.floor(store.epoch_known_seconds * 1000) - 1,
        store.clock_ms,
        whole,
        [(change.scope, change.part, change.tokens) for change in listed],
    )
