"""Stand-in for a store VM: bytes under a key, in limited space, with torn writes.

A write whose connection is cut leaves what arrived. ``POST /faults`` with ``flip``,
``truncate`` or ``swap`` damages that many of the next reads.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from typing import Any

import fire
from aiohttp import web

from .server import MAX_BODY_BYTES, run


class StoreStandIn:
    """Blocks by key, oldest first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self.blocks: OrderedDict[str, bytearray] = OrderedDict()
        self.faults: dict[str, int] = {}

    def make_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.get("/blocks/{key}", self.read),
                web.put("/blocks/{key}", self.write),
                web.delete("/blocks/{key}", self.delete),
                web.get("/blocks", self.list),
                web.get("/stats", self.report),
                web.post("/faults", self.set_faults),
            ]
        )
        return application

    async def read(self, request: web.Request) -> web.Response:
        """Answer with whatever stands under the key."""
        block = self.blocks.get(request.match_info["key"])
        if block is None:
            return web.Response(status=404)
        return web.Response(body=self._damage(bytes(block)))

    def _damage(self, block: bytes) -> bytes:
        if self._use_fault("flip"):
            middle = len(block) // 2
            return block[:middle] + bytes([block[middle] ^ 1]) + block[middle + 1 :]
        if self._use_fault("truncate"):
            return block[: len(block) // 2]
        if self._use_fault("swap"):
            others = [bytes(b) for b in self.blocks.values() if bytes(b) != block]
            return others[0] if others else block
        return block

    def _use_fault(self, name: str) -> bool:
        if self.faults.get(name, 0) <= 0:
            return False
        self.faults[name] -= 1
        return True

    async def write(self, request: web.Request) -> web.Response:
        """Store bytes as they arrive; a full store answers 507."""
        key = request.match_info["key"]
        size = request.content_length or 0
        if self.used + size > self.capacity:
            return web.Response(status=507)
        self._remove(key)
        block = bytearray()
        self.blocks[key] = block
        async for piece in request.content.iter_any():
            block.extend(piece)
            self.used += len(piece)
        return web.Response()

    async def delete(self, request: web.Request) -> web.Response:
        """Free a key's space."""
        self._remove(request.match_info["key"])
        return web.Response()

    def _remove(self, key: str) -> None:
        block = self.blocks.pop(key, None)
        if block is not None:
            self.used -= len(block)

    async def list(self, request: web.Request) -> web.Response:
        """Answer with the keys, oldest first."""
        return web.json_response(list(self.blocks))

    async def report(self, request: web.Request) -> web.Response:
        """Answer with the space used and the number of blocks."""
        body = {
            "used": self.used,
            "capacity": self.capacity,
            "blocks": len(self.blocks),
        }
        return web.json_response(body)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the faults of the next reads (test control)."""
        self.faults = json.loads(await request.read())
        return web.Response()


def main(port: int = 0, **options: Any) -> None:
    """Run a store VM stand-in; ``capacity`` is in bytes."""

    async def make_application() -> web.Application:
        return StoreStandIn(options.get("capacity", 1 << 26)).make_application()

    run(make_application, port)


if __name__ == "__main__":
    fire.Fire(main)
