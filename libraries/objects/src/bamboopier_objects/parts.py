"""Stored form of a configuration: a head that refers to content-addressed parts."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from bamboopier_configuration.model import (
    Configuration,
    Drains,
    Model,
    Service,
    Store,
    Workspace,
)

HEAD_KEY = "configuration/head"
PART_PREFIX = "configuration/parts/"
# Workspaces are distributed over this many parts. More parts make a change cheaper (one
# part is read again), fewer make a start cheaper (all parts are read). At 6,300
# workspaces of about 165 bytes, each of sixteen parts has 65 KB: 2,300 changes a day
# cost a reader 1.7 KB/s of its 22 KB/s, and the 214 nodes of a data centre that start
# together read some 4,000 parts, which is two seconds of the platform's capacity.
WORKSPACE_PARTS = 16


class Publication(msgspec.Struct, frozen=True, array_like=True):
    """An accepted publish, listed in later heads so that its publisher can find it."""

    generation: int
    publish_id: str


class RetiredPart(msgspec.Struct, frozen=True, array_like=True):
    """A part that no head has referred to since ``generation``."""

    digest: str
    generation: int


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The current generation and the digests of its parts by part name."""

    generation: int
    publish_id: str
    parts: dict[str, str]
    # The generations before this one, newest last, up to a limit.
    earlier: list[Publication] = []
    # Parts still stored for readers of older heads, oldest first.
    retired: list[RetiredPart] = []


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A slice of the configuration; immutable and stored under its digest."""

    services: list[Service] = []
    workspaces: list[Workspace] = []
    models: list[Model] = []
    stores: list[Store] = []
    drains: Drains | None = None


def digest_part(value: bytes) -> str:
    """Return the digest under which an encoded part is stored."""
    return hashlib.sha256(value).hexdigest()


def split_configuration(configuration: Configuration) -> dict[str, bytes]:
    """Return the encoded parts by part name."""
    parts: dict[str, Part] = {
        "services": Part(
            services=configuration.services,
            models=configuration.models,
            stores=configuration.stores,
        ),
        "drains": Part(drains=configuration.drains),
    }
    buckets: dict[int, list[Workspace]] = {}
    for workspace in configuration.workspaces:
        bucket = hashlib.sha256(workspace.name.encode()).digest()[0] % WORKSPACE_PARTS
        buckets.setdefault(bucket, []).append(workspace)
    for bucket, workspaces in buckets.items():
        parts[f"workspaces.{bucket}"] = Part(workspaces=workspaces)
    return {name: msgspec.json.encode(part) for name, part in parts.items()}


def join_parts(parts: list[Part]) -> Configuration:
    """Return the configuration that consists of ``parts``."""
    sections: dict[str, list[Any]] = {
        "services": [],
        "workspaces": [],
        "models": [],
        "stores": [],
    }
    drains = Drains()
    for part in parts:
        for section, items in sections.items():
            items.extend(getattr(part, section))
        drains = part.drains or drains
    return Configuration(**sections, drains=drains)
