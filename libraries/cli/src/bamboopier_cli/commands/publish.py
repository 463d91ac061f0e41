"""``bamboopier publish``: make the collected files the next generation."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec
from result import Err

from bamboopier_cli.exits import CommandError
from bamboopier_platform.errors import VersionConflictError
from bamboopier_platform.generations import GenerationStore
from bamboopier_platform.http_platform import HttpPlatform

from .check import collect_or_fail

if TYPE_CHECKING:
    from bamboopier_configuration.model import Configuration


def publish(*roots: str, platform: str) -> str:
    """Check the files below ROOTS and publish them; drains in force are kept."""
    configuration = collect_or_fail(roots)
    return asyncio.run(_publish(configuration, platform))


async def _publish(configuration: Configuration, platform: str) -> str:
    async with HttpPlatform(platform) as objects:
        store = GenerationStore(objects)
        current = await store.read()
        if isinstance(current, Err):
            raise CommandError(f"nothing published: {current.err_value}")
        base = current.ok_value
        wanted = msgspec.structs.replace(
            configuration, drains=base.configuration.drains
        )
        answer = await store.publish(base, wanted, uuid.uuid4().hex)
        if isinstance(answer, Err):
            error = answer.err_value
            if isinstance(error, VersionConflictError):
                raise CommandError("another publisher came first; look and try again")
            raise CommandError(str(error))
        return f"published generation {answer.ok_value.number}"
