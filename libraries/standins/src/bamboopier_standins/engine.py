"""Stand-in for a model engine: prefix cache, streaming, export and import of context.

Speeds are options. Each word of a prompt is one token. ``GET /log`` lists every
request that was run, in order, which is what tests of at-most-once execution read.
A block's bytes are determined by the weight version and the words up to the block's
end, and ``GET /imports`` lists each import with its digest, so that tests detect a
wrong import.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
import uuid
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import fire
from aiohttp import web

from .server import MAX_BODY_BYTES, run

# Time for running requests to finish after a stop; new connections are refused.
STOP_GRACE_SECONDS = 10.0
VERSION_HEADER = "Weight-Version"
# Bytes of exported context per token; real engines need some hundred times more.
BYTES_PER_TOKEN = 64


@dataclass
class EngineOptions:
    """Options of an engine. Rates are in tokens per second, capacity in blocks."""

    prefill_rate: float = 20_000.0
    decode_rate: float = 200.0
    slots: int = 8
    capacity: int = 64
    block_tokens: int = 100
    version: str = "v1"
    checks_fencing: bool = True
    load_seconds: float = 0.2
    # Seconds after a load during which the state still shows the previous version.
    report_lag: float = 0.0
    # Number of next load orders that fail.
    failing_loads: int = 0
    # A request whose prompt contains this word makes the engine crash and restart.
    crash_word: str = "!crash!"


@dataclass(frozen=True)
class CachedBlock:
    """One block of context: the weight version that computed it, and its bytes."""

    version: str
    content: bytes


@dataclass
class EngineStandIn:
    """One engine, with its prefix cache and its log."""

    options: EngineOptions
    start_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    cache: OrderedDict[tuple[str, str], CachedBlock] = field(
        default_factory=OrderedDict
    )
    events: list[dict[str, Any]] = field(default_factory=list)
    log: list[dict[str, Any]] = field(default_factory=list)
    imports: list[dict[str, str]] = field(default_factory=list)
    fence: int = 0
    running: int = 0

    # Version before the last load, and until when the state still shows it.
    previous_version: str = ""
    previous_version_until: float = 0.0

    def __post_init__(self) -> None:
        self.slots = asyncio.Semaphore(self.options.slots)
        self.version = self.options.version

    def make_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.post("/v1/completions", self.complete),
                web.post("/v1/chat/completions", self.complete),
                web.get("/state", self.report_state),
                web.get("/events", self.list_events),
                web.post("/orders/load", self.load_weights),
                web.get("/context/{key}", self.export_block),
                web.put("/context/{key}", self.import_block),
                web.post("/evict", self.evict),
                web.post("/options", self.set_options),
                web.get("/log", self.list_log),
                web.get("/imports", self.list_imports),
            ]
        )
        return application

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion or chat request, streamed or in one piece."""
        body = await request.json()
        prompt = render_prompt(body)
        entry = {"request_id": body.get("request_id", ""), "ended": "", "cached": 0}
        entry |= {"started": time.monotonic(), "version": self.version}
        self.log.append(entry)
        if self.options.crash_word in prompt.split():
            self._crash(request)
        try:
            async with self.slots:
                version = self.version
                entry["version"] = version
                self.running += 1
                try:
                    response = await self._run(request, body, prompt, version, entry)
                finally:
                    self.running -= 1
        except (asyncio.CancelledError, ConnectionError):
            entry["ended"] = "cancelled"
            raise
        entry["ended"] = "finished"
        return response

    def _crash(self, request: web.Request) -> None:
        """Clear the cache and cut the connection, as a crash with a restart would."""
        self.cache.clear()
        self.start_id = uuid.uuid4().hex
        if request.transport is not None:
            request.transport.abort()

    async def _run(
        self,
        request: web.Request,
        body: dict[str, Any],
        prompt: str,
        version: str,
        entry: dict[str, Any],
    ) -> web.StreamResponse:
        tokens = len(prompt.split())
        salt = body.get("cache_salt", "")
        keys = body.get("block_keys", [])
        cached = self._count_cached(salt, keys, version) * self.options.block_tokens
        entry["cached"] = cached
        await asyncio.sleep((tokens - cached) / self.options.prefill_rate)
        self._cache_prompt(salt, keys, version, prompt.split())
        count = min(int(body.get("max_tokens", 16)), 4096)
        usage = {
            "prompt_tokens": tokens,
            "completion_tokens": count,
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        words = make_words(prompt, count)
        if body.get("stream"):
            response = await self._stream(request, words, usage, version)
        else:
            await asyncio.sleep(count / self.options.decode_rate)
            completion = {"choices": [make_choice(" ".join(words))], "usage": usage}
            response = web.json_response(completion, headers={VERSION_HEADER: version})
        return response

    async def _stream(
        self,
        request: web.Request,
        words: list[str],
        usage: dict[str, Any],
        version: str,
    ) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", VERSION_HEADER: version}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for word in words:
            await self._send(response, {"choices": [make_choice(word + " ")]})
            await asyncio.sleep(1 / self.options.decode_rate)
        await self._send(response, {"choices": [], "usage": usage})
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _send(self, response: web.StreamResponse, event: dict[str, Any]) -> None:
        await response.write(b"data: " + json.dumps(event).encode() + b"\n\n")

    def _count_cached(self, salt: str, keys: list[str], version: str) -> int:
        count = 0
        for key in keys:
            block = self.cache.get((salt, key))
            if block is None or block.version != version:
                break
            self.cache.move_to_end((salt, key))
            count += 1
        return count

    def _cache_prompt(
        self, salt: str, keys: list[str], version: str, words: list[str]
    ) -> None:
        for number, key in enumerate(keys, 1):
            block = self.cache.get((salt, key))
            if block is None or block.version != version:
                end = number * self.options.block_tokens
                content = make_block(version, words[:end], self.options.block_tokens)
                block = CachedBlock(version, content)
            self._cache_block(salt, key, block)

    def _cache_block(self, salt: str, key: str, block: CachedBlock) -> None:
        if (salt, key) not in self.cache:
            self.events.append({"kind": "stored", "key": key})
        self.cache[salt, key] = block
        self.cache.move_to_end((salt, key))
        while len(self.cache) > self.options.capacity:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        (_, key), _ = self.cache.popitem(last=False)
        self.events.append({"kind": "evicted", "key": key})

    async def report_state(self, request: web.Request) -> web.Response:
        """Respond with the start id, the weight version and the load."""
        state = {
            "start_id": self.start_id,
            "version": self._get_reported_version(),
            "running": self.running,
            "block_tokens": self.options.block_tokens,
        }
        return web.json_response(state)

    def _get_reported_version(self) -> str:
        is_lagging = time.monotonic() < self.previous_version_until
        return self.previous_version if is_lagging else self.version

    async def set_options(self, request: web.Request) -> web.Response:
        """Change options by name (test control)."""
        for name, value in (await request.json()).items():
            setattr(self.options, name, value)
        return web.Response()

    async def list_events(self, request: web.Request) -> web.Response:
        """Respond with the cache events from the position ``after``."""
        after = int(request.query.get("after", "0"))
        body = {
            "start_id": self.start_id,
            "next": len(self.events),
            "events": self.events[after:],
        }
        return web.json_response(body)

    async def load_weights(self, request: web.Request) -> web.Response:
        """Load another weight version; refuse an old fencing token if checked."""
        order = await request.json()
        fence = int(order["fence"])
        if self.options.checks_fencing and fence < self.fence:
            return web.json_response({"fence": self.fence}, status=409)
        self.fence = max(fence, self.fence)
        entry = {"order": "load", "version": order["version"], "fence": fence}
        entry["started"] = time.monotonic()
        self.log.append(entry)
        await asyncio.sleep(self.options.load_seconds)
        entry["ended"] = time.monotonic()
        if self.options.failing_loads > 0:
            self.options.failing_loads -= 1
            return web.json_response({"version": self.version}, status=500)
        self.previous_version = self.version
        self.previous_version_until = time.monotonic() + self.options.report_lag
        self.version = order["version"]
        return web.json_response({"version": self.version})

    async def export_block(self, request: web.Request) -> web.Response:
        """Respond with a block's bytes if it is in the cache."""
        identity = (request.query.get("salt", ""), request.match_info["key"])
        block = self.cache.get(identity)
        if block is None:
            return web.Response(status=404)
        return web.Response(body=block.content, headers={VERSION_HEADER: block.version})

    async def import_block(self, request: web.Request) -> web.Response:
        """Put a block into the cache; refuse one of another weight version."""
        content = await request.read()
        salt, key = request.query.get("salt", ""), request.match_info["key"]
        version = request.headers[VERSION_HEADER]
        if version != self.version:
            return web.Response(status=409)
        digest = hashlib.sha256(content).hexdigest()
        entry = {"salt": salt, "key": key, "version": version, "digest": digest}
        self.imports.append(entry)
        self._cache_block(salt, key, CachedBlock(version, content))
        return web.Response()

    async def evict(self, request: web.Request) -> web.Response:
        """Evict all blocks from the cache (test control)."""
        while self.cache:
            self._evict_oldest()
        return web.Response()

    async def list_log(self, request: web.Request) -> web.Response:
        """Respond with every request and order that this engine received."""
        return web.json_response(self.log)

    async def list_imports(self, request: web.Request) -> web.Response:
        """Respond with every block that this engine imported."""
        return web.json_response(self.imports)


def make_block(version: str, words: list[str], block_tokens: int) -> bytes:
    """Return the bytes of a block that ends with the last of ``words``."""
    text = " ".join([version, *words]).encode()
    size = block_tokens * BYTES_PER_TOKEN
    return hashlib.shake_256(text).digest(size)


def render_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a request as text, with chat messages joined."""
    if "messages" in body:
        return "\n".join(f"<{m['role']}> {m['content']}" for m in body["messages"])
    return str(body.get("prompt", ""))


def make_words(prompt: str, count: int) -> list[str]:
    """Return output that depends on the prompt, so that tests detect swapped ones."""
    seed = prompt.split()[-1] if prompt.split() else "empty"
    return [f"{seed}.{number}" for number in range(count)]


def make_choice(text: str) -> dict[str, Any]:
    """Return a choice that is valid for both completion and chat requests."""
    return {"index": 0, "text": text, "delta": {"content": text}}


def main(port: int = 0, **options: Any) -> None:
    """Run an engine stand-in; ``options`` are fields of ``EngineOptions``."""

    async def make_application() -> web.Application:
        return EngineStandIn(EngineOptions(**options)).make_application()

    run(make_application, port, STOP_GRACE_SECONDS)


if __name__ == "__main__":
    fire.Fire(main)
