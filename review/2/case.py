"""One deeply nested entry of another writer ends every process, again and again."""

# ruff: noqa: TID251 -- the banned modules are banned for the library decisions
from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from lab import CONTACT_SECONDS, PLAIN_SERVICE, CannotRunError, Lab, run

# A writer that puts the entry which it read into the one that it writes, once a beat.
BEATS = 1500
WATCHED_SECONDS = 30.0
# What the rule allows on a machine.
MAX_ENDS = 2


def make_entry() -> dict[str, Any]:
    """Return an entry whose field ``service`` is of another type, many levels deep."""
    entry: Any = PLAIN_SERVICE
    for _ in range(BEATS):
        entry = {"service": entry}
    return {**entry, "address": "127.0.0.1:9", "zone": "m6-north", "state": "ready"}


async def case(lab: Lab, trouble: bool) -> bool:
    """Return whether two machines' processes ended by themselves three times."""
    # This process is the store, which has to write the entry as JSON.
    sys.setrecursionlimit(20_000)
    for name in ("i-1", "i-2"):
        await lab.start_engine(name)
    gateways = await lab.start_gateways(2)
    await asyncio.sleep(CONTACT_SECONDS + 1)
    before = [(await lab.ask(g, "/status/1")).status for g in gateways for _ in "12345"]
    if before.count(200) < len(before) * 0.9:
        raise CannotRunError("requests are not served before the disruption")
    if trouble:
        await lab.store.put("servers", "i-9", make_entry())
        lab.record.write("another writer's entry i-9 has fields of another type")
    until = time.monotonic() + WATCHED_SECONDS
    statuses = []
    while time.monotonic() < until:
        answers = await asyncio.gather(*(lab.ask(g, "/status/2") for g in gateways))
        statuses += [answer.status for answer in answers]
        await asyncio.sleep(0.25)
    counts = {s: statuses.count(s) for s in sorted(set(statuses))}
    ends = {g.name: len(g.own_ends) for g in gateways}
    lab.record.write(f"answers (0: none): {counts}; ends of processes: {ends}")
    return sum(n > MAX_ENDS for n in ends.values()) >= 2


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
