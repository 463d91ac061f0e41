"""A small deployment: the project's programs as processes, and stand-ins around them.

The store and the engines are the project's own stand-ins of its platform. The programs
are started with the commands of the deploy file, on loopback addresses of their own.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol, Self

from tests.engine_standin import EngineStandIn
from tests.lab import CallerResponse, is_ready, read_response
from tests.store_standin import StoreStandIn

ROOT = Path(__file__).resolve().parents[2]
# Exit statuses of a case; whatever else a process may end with is none of them.
HELD, BROKEN, NOT_RUN = 10, 11, 12
NETWORK = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}"
STAND_IN_HOST = f"{NETWORK}.1"
CALLER_PORT, READY_PORT, FIRST_PORT = 18080, 18081, 17260
HOST_NAME, KEY, MODEL = "desk.example", "key-of-one-tenant", "m0"
MODEL_SERVICE, PLAIN_SERVICE = "models", "orders"
# Bounds of the sheets of fosse-callpoint and prydderch-formes, in which both agree.
CONTACT_SECONDS, HEARTBEAT_SECONDS, COLD_SECONDS = 3.0, 1.2, 3.0
VERSION_SECONDS, VERSION_ALL_SECONDS, LOAD_SECONDS = 12.0, 17.0, 1.3
START_SECONDS = 20.0
SETTINGS = """
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
ip = "{host}"
zone = "z1"
region = "r1"
portRange = [17260, 17275]
bootstrap = true
discovery = "platform"
heartbeatMs = 1200
{own}
[listen]
{listen}
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 300
maxFds = 4100
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configMs = 2000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
coldOver = 1.5
coldSlack = 5
evacMs = 5000
fencingRequired = false
leaseMs = 3000
versionMs = 12000
versionAllMs = 17000
{bounds}
[provider]
address = "{store}"
form = "objects"
historyS = 20
"""


def make_route(prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    route = {
        "name": prefix.strip("/"),
        "hostname": HOST_NAME,
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "public": False,
        "sticky": False,
    }
    return {**route, **changes}


def make_configuration() -> dict[str, Any]:
    """Return a configuration with a service of model engines and a plain one."""
    stream = {"kind": "stream", "sticky": True, "gapAimMs": 400}
    return {
        "version": 1,
        "routes": [
            make_route("/draft/", MODEL_SERVICE, timeoutMs=12000, **stream),
            make_route("/status/", PLAIN_SERVICE, attempts=2),
        ],
        "services": [
            {"name": PLAIN_SERVICE, "healthPath": "/healthz", "maxConnections": 110},
            {
                "name": MODEL_SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 620,
                "coldStartS": COLD_SECONDS,
                "coldPerS": 18.0,
                "engine": {
                    "slots": 64,
                    "kvTokens": 169_742,
                    "models": [{"name": MODEL}],
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "one", "apiKeys": [KEY]}],
    }


class Store(StoreStandIn):
    """The project's stand-in; a write that changes nothing makes no event."""

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object."""
        found = self.kinds.get(kind, {}).get(name)
        if found is not None and found.spec == spec:
            return found.revision
        return await super().put(kind, name, spec)


class Program:
    """One program of the deploy file on a machine with an address of its own."""

    def __init__(self, role: str, name: str, host: str, folder: Path) -> None:
        self.role, self.name, self.host = role, name, host
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split(" ")
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env=kept
                | {
                    "BAMBOOPIER_CONFIG": str(self.settings),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )

    async def kill(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def count_lines(self, event: str) -> int:
        """Return how many log lines it has written of an event."""
        return self.log.read_text().count(f'"event":"{event}"')


class Record:
    """What was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._started_at = time.monotonic()

    def add(self, what: str, **fields: Any) -> None:
        """Add a line with the seconds since the start."""
        at = round(time.monotonic() - self._started_at, 3)
        self._lines.append(json.dumps({"at": at, "what": what} | fields))

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Case(Protocol):
    """One case of the review."""

    async def run(self, *, trouble: bool) -> int:
        """Return ``HELD``, ``BROKEN`` or ``NOT_RUN``."""
        ...


class Deployment:
    """Store, engines and programs; all of them end with the context."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(STAND_IN_HOST)
        self.programs: list[Program] = []
        self.engines: list[EngineStandIn] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self._hosts = itertools.count(2)
        self._ids = itertools.count(1)

    async def __aenter__(self) -> Self:
        await self.store.__aenter__()
        await self.store.put("config", "main", make_configuration())
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(program.kill() for program in self.programs))
        for engine in self.engines:
            engine.crash()
        with suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.store.__aexit__(None, None, None), 3)
        shutil.rmtree(self._folder, ignore_errors=True)

    async def start_engine(
        self, name: str, service: str, *, listed: bool = True, **options: Any
    ) -> EngineStandIn:
        """Start an engine; it registers itself if ``listed``."""
        if service == MODEL_SERVICE:
            options.setdefault("versions", {MODEL: 1})
        engine = EngineStandIn(name, STAND_IN_HOST, **options)
        await engine.__aenter__()
        self.engines.append(engine)
        if listed:
            await self.register(engine, service)
        return engine

    async def register(
        self, engine: EngineStandIn, service: str, **changes: Any
    ) -> None:
        """Write an engine's entry."""
        changes.setdefault("slots", 64 if service == MODEL_SERVICE else 6)
        entry = engine.describe(service, **changes)
        await self.store.put("servers", engine.name, entry)

    async def register_cold(
        self, engine: EngineStandIn, service: str, **changes: Any
    ) -> None:
        """Write the entry of an engine that started during traffic; it warms up."""
        await self.register(engine, service, coldMs=int(COLD_SECONDS * 1000), **changes)
        await asyncio.sleep(COLD_SECONDS)
        if engine.is_listening:
            await self.register(engine, service, coldMs=0, **changes)

    async def start_gateways(self, count: int, bounds: str = "") -> list[Program]:
        """Start gateways, and wait until they are ready and have counted each other.

        ``bounds`` are lines of the settings besides those of all.
        """
        lines = f'front = "{{host}}:{CALLER_PORT}"\nready = "{{host}}:{READY_PORT}"'
        gateways = [
            await self._start("gateway", "front", listen=lines, bounds=bounds)
            for _ in range(count)
        ]
        async with asyncio.timeout(START_SECONDS):
            for gateway in gateways:
                while not await is_ready(gateway.host):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            counted = f'"gateways":{count},'
            while not all(counted in g.log.read_text() for g in gateways):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        return gateways

    async def start_agent(self, engine: EngineStandIn) -> Program:
        """Start the agent beside an engine."""
        own = f'app = "{engine.address}"\nservice = "{MODEL_SERVICE}"'
        agent = await self._start("agent", "side", own=own)
        async with asyncio.timeout(START_SECONDS):
            while not agent.count_lines("agent started"):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        return agent

    async def _start(
        self,
        role: str,
        machine_class: str,
        listen: str = "",
        own: str = "",
        bounds: str = "",
    ) -> Program:
        host = f"{NETWORK}.{next(self._hosts)}"
        for port in (CALLER_PORT, READY_PORT, FIRST_PORT):
            with socket.socket() as probe:
                probe.bind((host, port))
        name = f"{machine_class}-{host.rpartition('.')[2]}"
        program = Program(role, name, host, self._folder)
        program.settings.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                machine_class=machine_class,
                host=host,
                store=self.store.address,
                listen=listen.format(host=host),
                own=own,
                bounds=bounds,
            )
        )
        self.programs.append(program)
        await program.start()
        return program

    async def send(
        self,
        gateway: Program,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        deadline_ms: int = 3000,
        prompt: str | None = None,
    ) -> CallerResponse | None:
        """Send one client attempt on a new connection; None without a response."""
        request_id = f"{next(self._ids):016x}"
        lines = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
            "Content-Length": str(len(body)),
        }
        if prompt is not None:
            tokens = sum(int(part.split(":")[1]) for part in prompt.split(","))
            lines |= {
                "Model": MODEL,
                "Token-Count": f"{tokens},80",
                "Prompt-Prefix": prompt,
            }
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        response = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    gateway.host, CALLER_PORT
                )
                try:
                    writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode())
                    writer.write(body)
                    response = await read_response(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            pass
        self.record.add(
            "answered",
            id=request_id,
            path=path,
            gateway=gateway.name,
            status=response.status if response else None,
            complete=response.complete if response else False,
            events=response.body.count(b"id:") if response else 0,
        )
        return response


MakeCase = Callable[[Deployment, Record], Case]


async def _run(make_case: MakeCase, record: Record) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # The programs that were started end with the case, however it ends.
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with Deployment(record) as deployment:
        case = make_case(deployment, record)
        return await case.run(trouble=os.environ.get("TROUBLE") != "0")


def run_case(make_case: MakeCase, folder: Path) -> None:
    """Run a case, write its record, and exit; ``run.sh`` translates the status."""
    record = Record(folder / "record.txt")
    try:
        status = asyncio.run(_run(make_case, record))
    except asyncio.CancelledError:
        status = NOT_RUN
    finally:
        record.write()
    sys.exit(status)
