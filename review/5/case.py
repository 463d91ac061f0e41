"""A gateway's connections to the store go silent while the other one restarts."""

# ruff: noqa: TID251 -- the banned modules are banned for the library decisions
from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from pathlib import Path

from lab import CONTACT_SECONDS, DRAIN_SECONDS, CannotRunError, Lab, Process, run

MAX_ROUNDS = 6
ORDERS_PER_SECOND = 40
# From the end of the other gateway's process to the removal of the engine's entry.
REMOVAL_SECONDS = 0.1
# Work of an order.
WORK_SECONDS = 0.09
# For which an engine serves after its entry was removed.
SERVED_SECONDS = DRAIN_SECONDS + 1.6
# For which engines have been registered before anything else happens.
CALM_SECONDS = 1.0
# For which a gateway takes no orders after it was told to stop, at least.
STOP_SECONDS = 10.0


async def send_orders(lab: Lab, gateway: Process, statuses: list[int]) -> None:
    """Send orders to a gateway at a steady rate until cancelled."""
    tasks = []
    with suppress(asyncio.CancelledError):
        while True:
            request = lab.ask(gateway, f"/orders/{len(tasks)}")
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / ORDERS_PER_SECOND)
    statuses += [answer.status for answer in await asyncio.gather(*tasks)]


async def case(lab: Lab, trouble: bool) -> bool:
    """Return whether an order reached an engine that had left."""
    link = await lab.open_link()
    other, watched = await lab.start_gateways(2, {1: link})
    await asyncio.sleep(CONTACT_SECONDS)
    late = 0
    statuses: list[int] = []
    await lab.start_engine("i-0", work_seconds=WORK_SECONDS)
    for number in range(MAX_ROUNDS):
        old, new = f"i-{number}", f"i-{number + 1}"
        await lab.start_engine(new, work_seconds=WORK_SECONDS)
        orders = asyncio.create_task(send_orders(lab, watched, statuses))
        await asyncio.sleep(CALM_SECONDS)
        # Planned: the other gateway restarts, and an engine leaves without a word.
        other.begin_restart()
        async with asyncio.timeout(STOP_SECONDS):
            await other.ended.wait()
        silent_at = time.monotonic()
        if trouble:
            count = link.silence()
            lab.record.write(f"{count} connections of {watched.name} are silent")
        await asyncio.sleep(REMOVAL_SECONDS)
        await lab.store.remove("servers", old)
        removed_at = time.monotonic()
        lab.record.write(f"the entry of {old} is removed")
        await asyncio.sleep(SERVED_SECONDS)
        engine = lab.engines[old]
        in_touch_at = silent_at + CONTACT_SECONDS
        from_then = max(removed_at + DRAIN_SECONDS, in_touch_at)
        for arrival in (a for a in engine.arrivals if a.at > from_then):
            late += 1
            seconds = arrival.at - removed_at
            name = arrival.headers["request-id"]
            lab.record.write(f"{name} reached {old} {seconds:.3f} s after that")
        lab.record.write(f"{old} ends with {len(engine.running)} orders")
        engine.crash()
        orders.cancel()
        await orders
        await lab.wait_until_ready(other)
        if late:
            break
    if statuses.count(200) < len(statuses) * 0.5:
        raise CannotRunError("orders are not served")
    lab.record.write("a 502 or 504 is an order that was lost")
    counts = {s: statuses.count(s) for s in sorted(set(statuses))}
    lab.record.write(f"answers (0: none): {counts}")
    lab.record.write(f"{late} orders came later than drainMs after an engine had left")
    return late > 0


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
