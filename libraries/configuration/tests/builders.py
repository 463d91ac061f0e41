"""Builds settings and operators' files for tests."""

from __future__ import annotations

from typing import Any

DIGEST = "ab" * 32


def make_settings(**changes: Any) -> dict[str, Any]:
    """Return a gateway's settings as its file has them."""
    settings = {
        "vm": "gateway-1",
        "data_centre": "dc-east",
        "region": "midlands",
        "listen": {"host": "127.0.0.1", "port": 8080},
        "admin": {"host": "127.0.0.1", "port": 9080},
        "platform_url": "http://127.0.0.1:7000",
        "block_secret": "5a" * 32,
    }
    return {**settings, **changes}


def make_service(**changes: Any) -> dict[str, Any]:
    """Return a plain service."""
    return {"name": "desk", "kind": "plain", **changes}


def make_workspace(**changes: Any) -> dict[str, Any]:
    """Return a workspace without services of its own."""
    workspace = {"name": "shop", "api_key_digests": [DIGEST], "services": ["desk"]}
    return {**workspace, **changes}
