"""Reads the blocks that an engine lacks, with one read at a time for each block."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from result import Err, Result

from .store_errors import StoreError, TransferTimeoutError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bamboopier_decisions.context.block_name import BlockName

    from .store_link import StoreLink

# Concurrent reads of one request: enough to use the full bandwidth of a link with a few
# milliseconds of latency, and few enough that a missing block wastes little.
MAX_PARALLEL_READS = 4
# Bytes in concurrent reads of one request: one large block uses the full bandwidth, and
# four of them would exhaust the agent's memory.
MAX_PARALLEL_BYTES = 64 * 1024 * 1024


class _PendingRead:
    """A read in progress and the number of requests that wait for it."""

    __slots__ = ("deadline", "task", "waiters")

    def __init__(
        self, task: asyncio.Task[Result[bytes, StoreError]], deadline: float
    ) -> None:
        self.task = task
        # Time on the monotonic clock at which the read ends at the latest.
        self.deadline = deadline
        self.waiters = 0


class BlockFetcher:
    """Reads sequences of blocks; concurrent requests for a block share one read."""

    def __init__(self, link: StoreLink) -> None:
        self._link = link
        self._pending_reads: dict[bytes, _PendingRead] = {}

    def open(
        self, names: Sequence[BlockName], secret: bytes, version: str, deadline: float
    ) -> BlockReader:
        """Return a reader of ``names`` in order, an asynchronous context manager."""
        return BlockReader(self, names, secret, version, deadline)

    def get_read_ahead(self) -> int:
        """Return how many concurrent reads one request may have."""
        size = self._link.estimate_block_bytes()
        return max(1, min(MAX_PARALLEL_READS, int(MAX_PARALLEL_BYTES / max(1.0, size))))

    def join(
        self, name: BlockName, secret: bytes, version: str, deadline: float
    ) -> _PendingRead:
        """Return the read of a block in progress; start one if there is none."""
        # The key is a keyed hash of workspace, model and version. Equal keys are the
        # same block of the same workspace, so a shared read reveals nothing to others.
        pending_read = self._pending_reads.get(name.key)
        if pending_read is None:
            read = self._link.read_verified(name, secret, version, deadline)
            task = asyncio.get_running_loop().create_task(read)
            pending_read = _PendingRead(task, deadline)
            self._pending_reads[name.key] = pending_read
            task.add_done_callback(lambda done: self._remove(name.key, done))
        pending_read.waiters += 1
        return pending_read

    def release(self, key: bytes, pending_read: _PendingRead) -> None:
        """Remove one waiting request; cancel the read if it was the last one."""
        pending_read.waiters -= 1
        if pending_read.waiters == 0 and not pending_read.task.done():
            # Removed first, so that no new request joins a read that is cancelled.
            self._remove(key, pending_read.task)
            pending_read.task.cancel()

    def _remove(self, key: bytes, task: asyncio.Task[Any]) -> None:
        pending_read = self._pending_reads.get(key)
        if pending_read is not None and pending_read.task is task:
            del self._pending_reads[key]


class BlockReader:
    """Reads one request's blocks in order, with a read-ahead of a few blocks."""

    def __init__(
        self,
        fetcher: BlockFetcher,
        names: Sequence[BlockName],
        secret: bytes,
        version: str,
        deadline: float,
    ) -> None:
        self._fetcher = fetcher
        self._names = names
        self._secret = secret
        self._version = version
        self._deadline = deadline
        self._pending_reads: list[_PendingRead] = []
        self._next = 0
        self._read_ahead = fetcher.get_read_ahead()

    async def __aenter__(self) -> BlockReader:
        return self

    async def __aexit__(self, *_: object) -> None:
        for name, pending_read in zip(self._names, self._pending_reads, strict=False):
            self._fetcher.release(name.key, pending_read)

    async def read_next(self) -> Result[bytes, StoreError]:
        """Return the next block's payload."""
        self._start_reads()
        pending_read = self._pending_reads[self._next]
        self._next += 1
        timeout = None
        if pending_read.deadline > self._deadline:
            # The read was started by a request with a later deadline.
            timeout = max(0.0, self._deadline - time.monotonic())
        await asyncio.wait({pending_read.task}, timeout=timeout)
        if not pending_read.task.done():
            return Err(TransferTimeoutError())
        return pending_read.task.result()

    def _start_reads(self) -> None:
        ahead = self._names[len(self._pending_reads) : self._next + self._read_ahead]
        for name in ahead:
            self._pending_reads.append(
                self._fetcher.join(name, self._secret, self._version, self._deadline)
            )
