"""A request that crashes its engines' machines, which fall silent for some seconds."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path
from typing import TYPE_CHECKING

from stand_ins_2.deployment import (
    BROKEN,
    CONTACT_SECONDS,
    HEARTBEAT_SECONDS,
    HELD,
    NOT_RUN,
    PLAIN_SERVICE,
    Deployment,
    Program,
    Record,
    run_case,
)
from stand_ins_2.silent_engine import SilentMachine

if TYPE_CHECKING:
    from tests.engine_standin import Arrival, EngineStandIn

ENGINES = 4
SECONDS = 60.0
REPEAT_SECONDS, RESTART_SECONDS = 2.0, 3.0
RUN_SECONDS, WORK_SECONDS = 0.05, 0.09
CRASH_PATH = "/status/crash"
# The rule allows so many retries later than ``contactMs`` after the third crash.
CRASHES, MAX_RETRIES = 3, 3
HARMLESS_PER_SECOND = 20.0


class Case:
    """The requests, the crashes and the check."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment, self.record = deployment, record
        self.trouble = True
        # When the request reached an engine, and when engines crashed.
        self.reached: list[float] = []
        self.crashed: list[float] = []
        self.silent: set[str] = set()
        self.harmless = [0, 0]
        self.names = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    async def start_instance(self, port: int = 0) -> EngineStandIn:
        """Start an instance of an engine."""
        engine = await self.deployment.start_engine(
            f"i-{next(self.names)}",
            PLAIN_SERVICE,
            port=port,
            work_seconds=WORK_SECONDS,
        )
        engine.responder = self.respond
        return engine

    async def respond(
        self, engine: EngineStandIn, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, or crash."""
        if arrival.path == CRASH_PATH:
            self.reached.append(time.monotonic())
            self.record.add("run", engine=engine.name, path=arrival.path)
            if self.trouble and engine.name not in self.silent:
                arrival.ran = True
                await asyncio.sleep(RUN_SECONDS)
                self.crash(engine)
                return
        await asyncio.sleep(WORK_SECONDS)
        if engine.name not in self.silent:
            await engine.respond_normally(writer, arrival)

    def crash(self, engine: EngineStandIn) -> None:
        """End an engine; it is back later."""
        self.silent.add(engine.name)
        self.crashed.append(time.monotonic())
        self.record.add("engine crashed", engine=engine.name)
        engine.suspend()
        task = asyncio.create_task(self.restart(engine, SilentMachine(engine)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def restart(self, engine: EngineStandIn, machine: SilentMachine) -> None:
        """Start the engine again after a while."""
        await asyncio.sleep(RESTART_SECONDS)
        machine.end()
        new = await self.start_instance(engine.port)
        self.record.add("engine started", engine=new.name, port=new.port)
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_SECONDS - RESTART_SECONDS))
        await self.deployment.store.remove("servers", engine.name)

    async def ask_harmless(self, gateway: Program, number: int) -> None:
        """Send a request that harms nothing."""
        response = await self.deployment.send(
            gateway, f"/status/{number}", method="GET", body=b""
        )
        sound = response is not None and response.status == 200 and response.complete
        self.harmless[0 if sound else 1] += 1

    async def send_harmless(self, gateways: list[Program]) -> None:
        """Send such requests until cancelled."""
        for number in itertools.count():
            task = asyncio.create_task(
                self.ask_harmless(gateways[number % len(gateways)], number)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / HARMLESS_PER_SECOND)

    async def run(self, *, trouble: bool) -> int:
        """Run the case; return its status."""
        self.trouble = trouble
        for _ in range(ENGINES):
            await self.start_instance()
        gateways = await self.deployment.start_gateways(2)
        await asyncio.sleep(2.0)
        harmless = asyncio.create_task(self.send_harmless(gateways))
        ends_at = time.monotonic() + SECONDS
        for gateway in itertools.cycle(gateways):
            if time.monotonic() >= ends_at:
                break
            await self.deployment.send(gateway, CRASH_PATH, method="GET", body=b"")
            await asyncio.sleep(REPEAT_SECONDS)
        harmless.cancel()
        await asyncio.sleep(1.0)
        late = 0
        if len(self.crashed) >= CRASHES:
            latest = self.crashed[CRASHES - 1] + CONTACT_SECONDS
            late = sum(at > latest for at in self.reached)
        print(
            f"the request reached engines {len(self.reached)} times and crashed "
            f"{len(self.crashed)} engines; {late} times later than contactMs after "
            f"the third crash; harmless requests: {self.harmless[0]} answered, "
            f"{self.harmless[1]} not"
        )
        if not self.reached:
            return NOT_RUN
        return BROKEN if late > MAX_RETRIES else HELD


if __name__ == "__main__":
    run_case(Case, Path(__file__).parent)
