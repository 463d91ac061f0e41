"""A small deployment for the cases: store and engines as stand-ins, roles as processes.

The roles are started with the commands of the deploy file, each on a loopback address
of its own. A process that ends by itself is started again after a short delay, as the
platform does it.
"""

# ruff: noqa: TID251 -- the banned modules are banned for the library decisions
from __future__ import annotations

import asyncio
import itertools
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

from engine_standin import EngineStandIn
from store_standin import StoreStandIn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent.parent
# Bounds of the site file that the cases name, in seconds.
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
CONFIG_SECONDS = 2.0
REVOKE_SECONDS = 5.0
LOST_SECONDS = 0.2
GRACE_SECONDS = 8.0
# Delay after which the platform starts a process again that ended by itself.
RESTART_SECONDS = 0.2
READY_SECONDS = 20.0
HOST_NAME = "desk.example"
KEY = "key-of-midlands"
MODEL = "m1"
PLAIN_SERVICE, MODEL_SERVICE = "dispatch-app", "ticket-models"
ZONE = "m6-north"

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{machine_class}"]
ip = "{host}"
zone = "m6-north"
region = "west-midlands"
portRange = [{first_port}, {last_port}]
seeds = []
bootstrap = false
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream",\
"engine","tenants","places","platform"]
{app}
[zones]
m6-north = "west-midlands"
[listen]
{listen}
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
coldOver = 1.5
coldSlack = 5
evacMs = 5000
recoverS = 12
passMs = 120
againS = 20
fencingRequired = false
leaseMs = 3000
thawMs = 300
versionMs = 12000
versionAllMs = 17000
[provider]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class CannotRunError(Exception):
    """The case could not run: nothing is known of the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Answer:
    """What a client saw of one request."""

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    # 0 without a response head.
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Why there is no complete answer; empty if there is one.
    fault: str = ""


class Process:
    """One role on one machine, started again when it ends by itself."""

    def __init__(self, lab: Lab, role: str, name: str, host: str, text: str) -> None:
        self.lab = lab
        self.role = role
        self.name = name
        self.host = host
        self.settings = lab.folder / f"{name}.toml"
        self.settings.write_text(text)
        self.log = lab.folder / f"{name}.log"
        self.started_at = 0.0
        # Times at which it ended without having been told to.
        self.own_ends: list[float] = []
        # Whether it was told to end, and is to be started again after that.
        self.is_stopping = False
        self.ended = asyncio.Event()
        self.process: asyncio.subprocess.Process | None = None
        # Called after each start.
        self.on_start: Callable[[Process], Awaitable[None]] | None = None
        self._expected = False
        self._watch: asyncio.Task[None] | None = None
        # Held while it is started, so that no process is left that nobody knows.
        self._starting = asyncio.Lock()

    async def start(self) -> None:
        """Start it, and watch it."""
        await self._spawn()
        self._watch = asyncio.create_task(self._keep())

    async def stop(self) -> None:
        """End it, and do not start it again."""
        self._expected = True
        async with self._starting:
            if self._watch is not None:
                self._watch.cancel()
        if self._watch is not None:
            await asyncio.wait({self._watch})
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.lab.record.write(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    def begin_restart(self) -> None:
        """Send SIGTERM; the platform starts the process again once it has ended."""
        self.is_stopping = True
        self.ended.clear()
        self.send(signal.SIGTERM)

    async def _spawn(self) -> None:
        command = self.lab.commands[self.role].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BAMBOOPIER_CONFIG": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=output, stderr=output, env=environment, cwd=ROOT
            )
        self.started_at = time.monotonic()
        self.lab.record.write(f"{self.name} started")

    async def _keep(self) -> None:
        while True:
            if self.on_start is not None:
                await self.on_start(self)
            assert self.process is not None
            code = await self.process.wait()
            if self._expected:
                return
            if self.is_stopping:
                self.lab.record.write(f"{self.name} ended after SIGTERM")
            else:
                self.own_ends.append(time.monotonic())
                self.lab.record.write(f"{self.name} ended by itself with {code}")
            self.is_stopping = False
            self.ended.set()
            await asyncio.sleep(RESTART_SECONDS)
            async with self._starting:
                if self._expected:
                    return
                await self._spawn()


class Link:
    """A relay between one machine and the store, whose connections can go silent."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self._host = host
        self._target = target
        self._server: asyncio.Server | None = None
        # Of the open connections; cleared for those that carry nothing any more.
        self._carries: set[asyncio.Event] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    def silence(self) -> int:
        """Let all open connections carry nothing any more; new ones work."""
        for event in self._carries:
            event.clear()
        silenced, self._carries = self._carries, set()
        return len(silenced)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        carries = asyncio.Event()
        carries.set()
        self._carries.add(carries)
        self._writers |= {writer, far_writer}
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._carry(source, sink, carries))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        carries: asyncio.Event,
    ) -> None:
        with suppress(ConnectionError):
            while data := await source.read(65536):
                await carries.wait()
                sink.write(data)
                await sink.drain()
        await carries.wait()
        sink.close()


class Lab:
    """Store, engines and processes; all of them end with the context."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path()
        self.processes: list[Process] = []
        self.engines: dict[str, EngineStandIn] = {}
        self._stack = AsyncExitStack()
        self._ids = itertools.count(1)
        self._hosts = itertools.count(2)
        number = os.getpid()
        self.network = f"127.{1 + number % 250}.{1 + number // 250 % 250}"
        self.store = StoreStandIn(f"{self.network}.1")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {n: r["run"] for n, r in deploy["roles"].items()}
        self.port, self.ready_port, self.first_port = find_ports(f"{self.network}.2")

    async def __aenter__(self) -> Self:
        folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._stack.enter_context(folder))
        await self._stack.enter_async_context(self.store)
        await self.store.put("config", "main", make_configuration())
        return self

    async def __aexit__(self, *_: object) -> None:
        stops = (process.stop() for process in self.processes)
        await asyncio.gather(*stops, return_exceptions=True)
        await self._stack.aclose()

    async def start_engine(
        self, name: str, service: str = PLAIN_SERVICE, **options: Any
    ) -> EngineStandIn:
        """Start an engine that registers itself."""
        if service == MODEL_SERVICE:
            options.setdefault("versions", {MODEL: 1})
        engine = EngineStandIn(name, f"{self.network}.1", **options)
        await self._stack.enter_async_context(engine)
        self.engines[name] = engine
        await self.register(engine, service)
        return engine

    async def register(
        self, engine: EngineStandIn, service: str = PLAIN_SERVICE, **changes: Any
    ) -> float:
        """Write the engine's entry; return when the store had accepted it."""
        entry = engine.describe(service, zone=ZONE, **changes)
        await self.store.put("servers", engine.name, entry)
        self.record.write(f"entry of {engine.name}: {entry['state']}")
        return time.monotonic()

    async def open_link(self) -> Link:
        """Open a relay to the store."""
        link = Link(f"{self.network}.1", (self.store.host, self.store.port))
        return await self._stack.enter_async_context(link)

    async def start_gateways(
        self, count: int, links: dict[int, Link] | None = None
    ) -> list[Process]:
        """Start gateways, and wait until they are ready and count each other.

        ``links`` holds the relays through which some of them reach the store.
        """
        addresses = {n: link.address for n, link in (links or {}).items()}
        started = [
            self._make_gateway(addresses.get(n, self.store.address))
            for n in range(count)
        ]
        for gateway in started:
            await gateway.start()
        await asyncio.gather(*(self.wait_until_ready(g) for g in started))
        return started

    def _make_gateway(self, store: str) -> Process:
        number = next(self._hosts)
        host = f"{self.network}.{number}"
        listen = f'front = "{host}:{self.port}"\nready = "{host}:{self.ready_port}"'
        text = SETTINGS.format(
            name=f"front-{number}",
            role="gateway",
            machine_class="front",
            host=host,
            first_port=self.first_port,
            last_port=self.first_port + 15,
            app="",
            listen=listen,
            store=store,
        )
        process = Process(self, "gateway", f"front-{number}", host, text)
        self.processes.append(process)
        return process

    async def wait_until_ready(self, gateway: Process) -> None:
        """Wait until the gateway's readiness endpoint responds with 200."""
        latest = time.monotonic() + READY_SECONDS
        while not await self.is_ready(gateway):
            if time.monotonic() > latest:
                raise CannotRunError(f"{gateway.name} is not ready")
            await asyncio.sleep(0.05)
        self.record.write(f"{gateway.name} is ready")

    async def is_ready(self, gateway: Process) -> bool:
        """Return whether the readiness endpoint responds with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    gateway.host, self.ready_port
                )
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def make_request(
        self,
        path: str,
        *,
        body: bytes = b"{}",
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
    ) -> tuple[str, bytes]:
        """Return the id and the bytes of a POST as a client sends it."""
        request_id = f"{next(self._ids):016x}"
        lines = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        return request_id, f"POST {path} HTTP/1.1\r\n{text}\r\n".encode() + body

    async def ask(
        self, gateway: Process, path: str, deadline_ms: int = 3000, **options: Any
    ) -> Answer:
        """Send one request on a connection of its own, and record its answer."""
        request_id, data = self.make_request(path, deadline_ms=deadline_ms, **options)
        answer = Answer(request_id, time.monotonic())
        self.record.write(f"{request_id} {path} sent to {gateway.name}")
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(gateway.host, self.port)
                writer.write(data)
                await read_answer(reader, answer)
        except TimeoutError:
            answer.fault = "deadline"
        except (OSError, EOFError) as error:
            answer.fault = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        answer.ended_at = time.monotonic()
        text = answer.body[:80].decode("latin-1").replace("\n", " ")
        self.record.write(f"{request_id} got {answer.status} {answer.fault} {text!r}")
        return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one response; raises an error if it is not complete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head.strip().split("\r\n")
    answer.status = int(line.split(" ")[1])
    pairs = (entry.split(":", 1) for entry in lines)
    answer.headers = {name.lower(): value.strip() for name, value in pairs}
    if "chunked" not in answer.headers.get("transfer-encoding", ""):
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
        return
    while True:
        text = (await reader.readuntil(b"\r\n")).strip()
        try:
            size = int(text, 16)
        except ValueError:
            answer.fault = f"no chunk: {text[:60]!r}"
            return
        answer.body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return


def make_route(prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of ``HOST_NAME``."""
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


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one plain and one model service."""
    stream = {"kind": "stream", "sticky": True, "timeoutMs": 12000, "gapAimMs": 400}
    configuration = {
        "version": version,
        "routes": [
            make_route("/orders/", PLAIN_SERVICE, kind="unsafe"),
            make_route("/status/", PLAIN_SERVICE, attempts=2),
            make_route("/draft/", MODEL_SERVICE, **stream),
            make_route("/resume/", MODEL_SERVICE, **stream, resumable=True, attempts=2),
        ],
        "services": [
            {"name": PLAIN_SERVICE, "healthPath": "/healthz", "maxConnections": 100},
            {
                "name": MODEL_SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 620,
                "coldStartS": 3.0,
                "coldPerS": 18.0,
                "engine": {
                    "slots": 128,
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
        "tenants": [{"name": "midlands", "apiKeys": [KEY]}],
    }
    return {**configuration, **changes}


def find_ports(host: str) -> tuple[int, int, int]:
    """Return free ports for callers and readiness, and the first of an internal range.

    Ports are the same on all machines, so that each process has a host of its own.
    """
    for base in range(21000 + os.getpid() % 4000, 60000, 40):
        ports = [base, base + 1, base + 2]
        if all(_is_free(host, port) for port in ports):
            return base, base + 1, base + 2
    raise CannotRunError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def run(folder: Path, case: Callable[[Lab, bool], Awaitable[bool]]) -> None:
    """Run a case and exit: 1 if it says that the rule was broken, 0 if not, 2 if it
    could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def work() -> bool:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        is_stopping = False

        def stop() -> None:
            # Only once: another cancellation would interrupt the clean-up.
            nonlocal is_stopping
            if task is not None and not is_stopping:
                is_stopping = True
                task.cancel()

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, stop)
        async with Lab(record) as lab:
            return await case(lab, trouble)

    try:
        record.write(f"case {folder.name}, trouble {'on' if trouble else 'off'}")
        broken = asyncio.run(work())
        record.write("the rule was broken" if broken else "the rule held")
    except (Exception, asyncio.CancelledError) as error:
        # Python would exit with 1 for an error of the case itself.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    finally:
        record.close()
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
