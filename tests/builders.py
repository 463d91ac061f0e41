"""Builds small installations and requests for the system tests."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

if TYPE_CHECKING:
    from processes import Installation

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
FOSSE_KEY = "fosse-demo-key"
DESK = "desk-1"
VANS = "vans-1"


@dataclass
class Response:
    """The HTTP response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """Return the typed error of the body."""
        return dict(json.loads(self.body)["error"])


def build_small_installation(installation: Installation, gateways: int = 1) -> None:
    """Start one engine, one plain target and gateways with Fosse's configuration."""
    installation.start_platform()
    installation.start_store("store-1", "fault-desk-context", "dc-east")
    engine = {"block_tokens": 2000, "capacity": 16}
    installation.start_target(DESK, "engine", "fault-desk", "dc-east", **engine)
    installation.start_target(VANS, "plain", "dispatch", "dc-west")
    for number in range(gateways):
        installation.start_gateway(f"gateway-{number + 1}", "dc-east")
    publish_examples(installation)
    installation.wait_until_ready()


def publish_examples(installation: Installation) -> None:
    """Publish Fosse's example configuration."""
    done = installation.run_command(
        "publish", str(EXAMPLES / "fosse"), "--platform", installation.platform_url
    )
    assert done.returncode == 0, done.stderr


def call(
    url: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    key: str = FOSSE_KEY,
) -> Response:
    """Make one HTTP call with an API key and return the response."""
    connection = http.client.HTTPConnection(urlsplit(url).netloc, timeout=30)
    sent = {"Authorization": f"Bearer {key}", **(headers or {})}
    data = json.dumps(body) if body is not None else None
    try:
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        return Response(response.status, dict(response.headers), response.read())
    finally:
        connection.close()


def dispatch_van(url: str, key: str, pillar: str = "A46-117") -> Response:
    """Send one van dispatch with an idempotency key."""
    headers = {"Idempotency-Key": key}
    return call(url, "POST", "/services/dispatch/vans", {"pillar": pillar}, headers)
