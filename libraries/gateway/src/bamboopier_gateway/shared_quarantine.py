"""Shares the quarantine of requests among all gateways through a platform object."""

from __future__ import annotations

import asyncio
import hashlib
import time
from typing import TYPE_CHECKING

import msgspec
import structlog
from result import Err, Ok

from bamboopier_decisions.quarantine.quarantine import (
    Crash,
    Quarantine,
    QuarantineEntry,
)
from bamboopier_objects.errors import VersionConflictError
from bamboopier_objects.objects import ABSENT

if TYPE_CHECKING:
    import random

    from bamboopier_objects.objects import ObjectStore

    from .call import Call

OBJECT_KEY = "quarantine/requests"
# Duration of one long poll: 340 gateways send 11 calls a second.
WATCH_SECONDS = 30.0
RETRY_DELAY_SECONDS = (0.5, 3.0)
PUBLISH_INTERVAL_SECONDS = 1.0
# After a crash other gateways write at the same time; the next round tries again.
MAX_TRIES = 4
# 32 bytes each, so the object stays far below a megabyte; the oldest are removed first.
MAX_ENTRIES = 2000

log = structlog.get_logger()


class _StoredEntry(msgspec.Struct, array_like=True):
    """A refused request; ``until`` in wall-clock seconds, for all gateways alike."""

    fingerprint: bytes
    until: float


class SharedQuarantine:
    """One gateway's quarantine, synchronised with the other gateways'."""

    def __init__(self, objects: ObjectStore, random: random.Random) -> None:
        self._objects = objects
        self._random = random
        self._quarantine = Quarantine()
        self._shared_entries: list[QuarantineEntry] = []

    def find_wait(self, call: Call) -> float:
        """Return for how many seconds the call is refused; 0 if it is not."""
        return self._quarantine.find_wait(time.time(), make_fingerprint(call))

    def record_crash(self, call: Call, target: str, seconds: float) -> None:
        """Record that ``target`` crashed ``seconds`` after it was sent the call."""
        now = time.time()
        crash = Crash(make_fingerprint(call), target, now - seconds, now)
        self._quarantine.record_crash(now, crash)

    def record_completed(self, call: Call) -> None:
        """Record that a target completed the call."""
        self._quarantine.record_completed(time.time(), make_fingerprint(call))

    async def publish(self) -> None:
        """Publish the entries that this gateway adds, until cancelled."""
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_SECONDS)
            unpublished = self._quarantine.list_unpublished(time.time())
            if unpublished and await self._publish_entries(unpublished):
                self._quarantine.mark_published(unpublished)
                log.warning("requests quarantined", count=len(unpublished))

    async def follow(self) -> None:
        """Apply the entries of other gateways, until cancelled."""
        revision = 0
        while True:
            await self._refresh()
            match await self._objects.watch(OBJECT_KEY, revision, WATCH_SECONDS):
                case Ok(batch):
                    revision = batch.revision
                case Err(_):
                    revision = 0
                    await asyncio.sleep(self._random.uniform(*RETRY_DELAY_SECONDS))

    async def _publish_entries(self, unpublished: list[QuarantineEntry]) -> bool:
        for _ in range(MAX_TRIES):
            version = await self._refresh()
            if version is None:
                return False
            merged = {s.fingerprint: s.until for s in self._shared_entries} | {
                s.fingerprint: s.until for s in unpublished
            }
            now = time.time()
            entries = sorted(
                (
                    _StoredEntry(key, until)
                    for key, until in merged.items()
                    if until > now
                ),
                key=lambda stored: stored.until,
            )[-MAX_ENTRIES:]
            value = msgspec.msgpack.encode(entries)
            result = await self._objects.write(OBJECT_KEY, value, version)
            if isinstance(result, Ok):
                return True
            if not isinstance(result.err_value, VersionConflictError):
                return False
        return False

    async def _refresh(self) -> int | None:
        """Apply the object's content; return its version, None on failure."""
        result = await self._objects.read(OBJECT_KEY)
        if isinstance(result, Err):
            return None
        stored = result.ok_value
        if stored is None:
            self._shared_entries = []
            return ABSENT
        try:
            entries = msgspec.msgpack.decode(stored.value, type=list[_StoredEntry])
        except msgspec.MsgspecError:
            log.error("quarantine object is malformed", version=stored.version)
            return None
        self._shared_entries = [
            QuarantineEntry(e.fingerprint, e.until) for e in entries
        ]
        self._quarantine.set_shared_entries(self._shared_entries)
        log.info("quarantine updated", count=len(entries), version=stored.version)
        return stored.version


def make_fingerprint(call: Call) -> bytes:
    """Return the digest that identifies repeats of a request.

    It includes the workspace, so that no workspace can cause the refusal of another's
    requests.
    """
    hashed = hashlib.blake2b(digest_size=16)
    for part in (call.workspace.encode(), call.service.encode(), call.fingerprint):
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()
