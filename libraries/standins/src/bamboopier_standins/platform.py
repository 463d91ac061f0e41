"""Stand-in for the platform: versioned objects with watches, and the VM list.

Faults are set by ``POST /faults``: ``down`` responds with 503, ``delay`` (seconds)
slows each call, ``lose_answers`` applies that many changes and then cuts the connection
instead of responding, ``lag`` makes that many reads return the previous version of an
object.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
from collections import Counter
from typing import Any

import fire
from aiohttp import web

from .server import MAX_BODY_BYTES, run

VERSION_HEADER = "Object-Version"
EXPECTED_VERSION_HEADER = "Expected-Version"
# Changes stored for watches; a watch from before them gets 410 and must read again.
MAX_HISTORY_ENTRIES = 10_000


class PlatformStandIn:
    """Objects, their change history, the VM list and the active faults."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.previous: dict[str, tuple[int, bytes]] = {}
        self.history: list[tuple[int, str, int]] = []
        self.vms: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {}
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Condition()

    def make_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._inject_faults]
        )
        application.add_routes(
            [
                web.get("/v1/objects/{key:.+}", self.read),
                web.put("/v1/objects/{key:.+}", self.write),
                web.delete("/v1/objects/{key:.+}", self.delete),
                web.get("/v1/list", self.list),
                web.get("/v1/watch", self.watch),
                web.get("/v1/vms", self.list_vms),
                web.put("/vms", self.set_vms),
                web.post("/faults", self.set_faults),
                web.get("/calls", self.report_calls),
            ]
        )
        return application

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> Any:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        kind = f"{request.method} {request.path.split('/')[2]}"
        self.calls[kind] += 1
        self.calls[f"bytes {kind}"] += request.content_length or 0
        if self.faults.get("delay"):
            await asyncio.sleep(self.faults["delay"])
        if self.faults.get("down"):
            return web.Response(status=503)
        response = await handler(request)
        self.calls[f"bytes {kind}"] += len(response.body or b"")
        is_change = request.method in ("PUT", "DELETE")
        if is_change and self.faults.get("lose_answers", 0) > 0:
            self.faults["lose_answers"] -= 1
            if request.transport is not None:
                request.transport.close()
        return response

    async def read(self, request: web.Request) -> web.Response:
        """Respond with the object's value, and its version in a header."""
        key = request.match_info["key"]
        stored = self.objects.get(key)
        if self.faults.get("lag", 0) > 0 and key in self.previous:
            self.faults["lag"] -= 1
            stored = self.previous[key]
        if stored is None:
            return web.Response(status=404)
        return web.Response(body=stored[1], headers={VERSION_HEADER: str(stored[0])})

    async def write(self, request: web.Request) -> web.Response:
        """Replace the object if its version is the expected one."""
        return await self._change(request, await request.read())

    async def delete(self, request: web.Request) -> web.Response:
        """Remove the object if its version is the expected one."""
        return await self._change(request, None)

    async def _change(self, request: web.Request, value: bytes | None) -> web.Response:
        key = request.match_info["key"]
        expected = int(request.headers[EXPECTED_VERSION_HEADER])
        found = self.objects.get(key, (0, b""))[0]
        if found != expected:
            return web.Response(status=412, headers={VERSION_HEADER: str(found)})
        self.revision += 1
        if key in self.objects:
            self.previous[key] = self.objects[key]
        if value is None:
            self.objects.pop(key, None)
        else:
            self.objects[key] = (self.revision, value)
        version = self.revision if value is not None else 0
        self.history.append((self.revision, key, version))
        del self.history[:-MAX_HISTORY_ENTRIES]
        async with self.changed:
            self.changed.notify_all()
        return web.Response(headers={VERSION_HEADER: str(self.revision)})

    async def list(self, request: web.Request) -> web.Response:
        """Respond with all objects whose keys have a prefix."""
        prefix = request.query["prefix"]
        found = [
            {"key": key, "version": v, "value": base64.b64encode(value).decode()}
            for key, (v, value) in sorted(self.objects.items())
            if key.startswith(prefix)
        ]
        return web.json_response(found)

    async def watch(self, request: web.Request) -> web.Response:
        """Respond once an object under the prefix changes, or at the timeout."""
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        timeout = float(request.query["timeout"])
        oldest = self.history[0][0] if self.history else 1
        if 0 < after < oldest - 1:
            return web.Response(status=410)
        changes: list[tuple[int, str, int]] = []

        def find_changes() -> bool:
            changes[:] = [
                change
                for change in self.history
                if change[0] > after and change[1].startswith(prefix)
            ]
            return bool(changes) or after == 0

        try:
            async with self.changed, asyncio.timeout(timeout):
                await self.changed.wait_for(find_changes)
        except TimeoutError:
            pass
        body = {
            "revision": self.revision,
            "changes": [{"key": key, "version": v} for _, key, v in changes],
        }
        return web.json_response(body)

    async def list_vms(self, request: web.Request) -> web.Response:
        """Respond with the VM list, or with 304 if the client's copy is current."""
        body = json.dumps(self.vms).encode()
        tag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        headers = {"ETag": tag, "Content-Type": "application/json"}
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers=headers)
        return web.Response(body=body, headers=headers)

    async def set_vms(self, request: web.Request) -> web.Response:
        """Replace the VM list (test control)."""
        self.vms = json.loads(await request.read())
        return web.Response()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the active faults (test control)."""
        self.faults = json.loads(await request.read())
        return web.Response()

    async def report_calls(self, request: web.Request) -> web.Response:
        """Respond with the number of calls, and of bytes, by kind of call."""
        return web.json_response(dict(self.calls))


async def make_application() -> web.Application:
    """Return the HTTP application of a new, empty platform."""
    return PlatformStandIn().make_application()


def main(port: int = 0) -> None:
    """Run a platform stand-in."""
    run(make_application, port)


if __name__ == "__main__":
    fire.Fire(main)
