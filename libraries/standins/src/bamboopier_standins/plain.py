"""Stand-in for a plain service, with calls that are or are not safe to repeat."""

from __future__ import annotations

import asyncio
import json
import os
from typing import Any

import fire
from aiohttp import web

from .server import MAX_BODY_BYTES, run


class PlainStandIn:
    """Counts and logs every call that reaches it."""

    def __init__(self, delay: float, log_path: str) -> None:
        self.delay = delay
        # File that survives a kill of this process; empty for none.
        self.log_path = log_path
        self.log: list[dict[str, Any]] = []

    def make_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.get("/log", self.list_log),
                web.get("/state", self.report_state),
                web.route("*", "/{path:.*}", self.call),
            ]
        )
        return application

    async def call(self, request: web.Request) -> web.Response:
        """Log the call, wait ``delay`` seconds and echo the request."""
        body = (await request.read()).decode(errors="replace")
        entry = {
            "method": request.method,
            "path": request.path,
            "raw_path": request.raw_path,
            "headers": [list(header) for header in request.headers.items()],
            "body": body,
        }
        self._log_call(entry)
        await asyncio.sleep(self.delay)
        echo = {name: entry[name] for name in ("method", "path", "body")}
        response = {"call": len(self.log), **echo}
        return web.json_response(response, status=201 if body else 200)

    def _log_call(self, entry: dict[str, Any]) -> None:
        self.log.append(entry)
        if self.log_path:
            with open(self.log_path, "a") as file:
                file.write(json.dumps(entry) + "\n")

    async def report_state(self, request: web.Request) -> web.Response:
        """Respond with a start id."""
        return web.json_response({"start_id": str(os.getpid()), "version": ""})

    async def list_log(self, request: web.Request) -> web.Response:
        """Respond with every call that reached this service."""
        return web.json_response(self.log)


def main(port: int = 0, delay: float = 0.0, log_path: str = "") -> None:
    """Run a plain service stand-in; ``delay`` is in seconds.

    With ``log_path``, calls are also appended to that file as JSON lines.
    """

    async def make_application() -> web.Application:
        return PlainStandIn(delay, log_path).make_application()

    run(make_application, port)


if __name__ == "__main__":
    fire.Fire(main)
