"""Stand-in for a store VM: named blocks in limited space, with torn writes.

A write whose connection is cut stores the bytes received so far. ``POST /faults`` sets
how many of the next reads have a fault: ``flip`` a bit, ``truncate``, ``swap`` for
another block, ``splice`` (space is reused during the read), ``hang``, ``drip`` (the
response head only). ``cut`` ends each write after that many bytes, ``full`` refuses
every write, ``frozen`` responds to no request. ``GET /log`` lists the requests, which
tests count.
"""

from __future__ import annotations

import asyncio
import json
from collections import OrderedDict
from typing import Any

import fire
from aiohttp import web

from .server import MAX_BODY_BYTES, run

# Longer than any test; the client disconnects earlier.
HANG_SECONDS = 60.0


class StoreStandIn:
    """Blocks by name, oldest first, in ``capacity`` bytes."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: OrderedDict[str, bytearray] = OrderedDict()
        self.faults: dict[str, int] = {}
        self.log: list[dict[str, Any]] = []
        # Number of reads in progress, and its maximum so far.
        self.concurrent_reads = 0
        self.max_concurrent_reads = 0

    @property
    def used(self) -> int:
        """Return the total size of all blocks, in bytes."""
        return sum(len(block) for block in self.blocks.values())

    def make_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._log_call]
        )
        application.add_routes(
            [
                web.get("/blocks/{name}", self.read),
                web.put("/blocks/{name}", self.write),
                web.delete("/blocks/{name}", self.delete),
                web.get("/blocks", self.list),
                web.get("/stats", self.report),
                web.get("/log", self.list_log),
                web.post("/faults", self.set_faults),
            ]
        )
        return application

    @web.middleware
    async def _log_call(self, request: web.Request, handler: Any) -> Any:
        if not request.path.startswith("/blocks"):
            return await handler(request)
        name = request.match_info.get("name", "")
        entry = {"method": request.method, "name": name, "status": 0}
        self.log.append(entry)
        if self.faults.get("frozen"):
            await asyncio.sleep(HANG_SECONDS)
        self.concurrent_reads += request.method == "GET"
        self.max_concurrent_reads = max(
            self.max_concurrent_reads, self.concurrent_reads
        )
        try:
            response = await handler(request)
        finally:
            self.concurrent_reads -= request.method == "GET"
        entry["status"] = response.status
        return response

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Respond with the bytes stored under the name, complete or not."""
        block = self.blocks.get(request.match_info["name"])
        if block is None:
            return web.Response(status=404)
        if request.method == "HEAD":
            return web.Response(body=bytes(block))
        # Yields to other requests, so that concurrent reads are counted as such.
        await asyncio.sleep(0.01)
        if self._use_fault("hang"):
            await asyncio.sleep(HANG_SECONDS)
        if self._use_fault("drip"):
            response = web.StreamResponse(headers={"Content-Length": str(len(block))})
            await response.prepare(request)
            await asyncio.sleep(HANG_SECONDS)
        return web.Response(body=self._damage(bytes(block)))

    def _damage(self, block: bytes) -> bytes:
        middle = len(block) // 2
        others = [bytes(b) for b in self.blocks.values() if bytes(b) != block]
        if self._use_fault("flip"):
            return block[:middle] + bytes([block[middle] ^ 1]) + block[middle + 1 :]
        if self._use_fault("truncate"):
            return block[:middle]
        if self._use_fault("swap"):
            return others[0] if others else b""
        if self._use_fault("splice"):
            return block[:middle] + (others[0] if others else b"")[middle:]
        return block

    def _use_fault(self, name: str) -> bool:
        if self.faults.get(name, 0) <= 0:
            return False
        self.faults[name] -= 1
        return True

    async def write(self, request: web.Request) -> web.Response:
        """Store bytes as they arrive; a full store responds with 507."""
        name = request.match_info["name"]
        size = request.content_length or 0
        replaced_bytes = len(self.blocks.get(name, b""))
        if self.faults.get("full") or self.used - replaced_bytes + size > self.capacity:
            return web.Response(status=507)
        self.blocks.pop(name, None)
        block = bytearray()
        self.blocks[name] = block
        cut = self.faults.get("cut")
        async for piece in request.content.iter_any():
            block.extend(piece)
            if cut is not None and len(block) >= cut:
                del block[cut:]
                if request.transport is not None:
                    request.transport.abort()
                break
        return web.Response()

    async def delete(self, request: web.Request) -> web.Response:
        """Remove a block."""
        self.blocks.pop(request.match_info["name"], None)
        return web.Response()

    async def list(self, request: web.Request) -> web.Response:
        """Respond with the names, oldest first."""
        return web.json_response(list(self.blocks))

    async def report(self, request: web.Request) -> web.Response:
        """Respond with the used space, the capacity and the number of blocks."""
        body = {
            "used": self.used,
            "capacity": self.capacity,
            "blocks": len(self.blocks),
        }
        return web.json_response(body)

    async def list_log(self, request: web.Request) -> web.Response:
        """Respond with every call under ``/blocks``."""
        return web.json_response(self.log)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the faults of the next calls (test control)."""
        self.faults = json.loads(await request.read())
        return web.Response()


def main(port: int = 0, **options: Any) -> None:
    """Run a store VM stand-in; ``capacity`` is in bytes."""

    async def make_application() -> web.Application:
        return StoreStandIn(options.get("capacity", 1 << 26)).make_application()

    run(make_application, port)


if __name__ == "__main__":
    fire.Fire(main)
