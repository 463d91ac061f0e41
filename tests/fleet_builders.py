"""Builds fleets over two data centres, traffic through them and their configuration."""

from __future__ import annotations

import http.client
import json
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Self
from urllib.parse import urlsplit

from processes import fetch

from .builders import EXAMPLES, FOSSE_KEY, Response, call

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path
    from types import TracebackType

    from processes import Installation

# A condition that is never met fails the test after this long; none is met by luck.
WAIT_TIMEOUT_SECONDS = 40.0
FAULT_DESK = "fault-desk"
# Events that say which targets take work, whatever the request.
AVAILABILITY_EVENTS = frozenset(
    {
        "agent started",
        "gateway started",
        "target availability changed",
        "weights ordered",
    }
)


def build_fleet(
    installation: Installation,
    engines: dict[str, str],
    gateways: dict[str, str],
    agent: dict[str, Any] | None = None,
    **options: Any,
) -> None:
    """Start engines and gateways by name and data centre, with Fosse's files."""
    installation.start_platform()
    for name, data_centre in engines.items():
        engine = {"block_tokens": 2000, "capacity": 16, **options}
        installation.start_target(
            name, "engine", FAULT_DESK, data_centre, agent, **engine
        )
    for name, data_centre in gateways.items():
        installation.start_gateway(name, data_centre)
    publish(installation, write_configuration(installation))
    installation.wait_until_ready()


def write_configuration(
    installation: Installation, version: str = "v1", **service: Any
) -> Path:
    """Write Fosse's files with another weight version; return their folder."""
    source = EXAMPLES / "fosse" / "fault-desk.bamboopier.json"
    configuration = json.loads(source.read_text())
    configuration["models"][0]["version"] = version
    configuration["services"][0] |= service
    folder = installation.directory / f"files-{version}"
    folder.mkdir(exist_ok=True)
    path = folder / "fault-desk.bamboopier.json"
    path.write_text(json.dumps(configuration))
    return folder


def publish(installation: Installation, folder: Path, *options: str) -> str:
    """Publish a folder's files; return what the command printed."""
    return run_platform_command(installation, "publish", str(folder), *options)


def run_platform_command(installation: Installation, *arguments: str) -> str:
    """Run a command against the platform and expect success."""
    done = installation.run_command(*arguments, "--platform", installation.platform_url)
    assert done.returncode == 0, done.stderr
    return done.stdout


def read_status(installation: Installation) -> dict[str, Any]:
    """Return what ``bamboopier status --json`` prints."""
    return dict(json.loads(run_platform_command(installation, "status", "--json")))


def read_generation(url: str) -> int:
    """Return the generation that a gateway has in force."""
    return int(json.loads(fetch(f"{url}/v1/status"))["generation"])


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Return once ``condition`` holds; fail naming ``description`` if it never does."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"never reached: {description}")
        time.sleep(0.05)


def request_completion(url: str, prompt: str, max_tokens: int = 2) -> Response:
    """Ask for a completion and wait for all of it."""
    body = {"model": "pillar-8b", "prompt": prompt, "max_tokens": max_tokens}
    return call(url, "POST", "/v1/completions", body)


@dataclass
class LongStream:
    """A streamed completion that runs in a thread of its own."""

    url: str
    prompt: str
    max_tokens: int
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    started: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self) -> None:
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        if not self.started.wait(WAIT_TIMEOUT_SECONDS):
            raise AssertionError(f"{self.prompt}: no first byte")

    @property
    def request_id(self) -> str:
        return self.headers["X-Request-Id"]

    @property
    def is_complete(self) -> bool:
        """Say whether the last word and the end mark arrived."""
        last = f"{self.prompt.split()[-1]}.{self.max_tokens - 1}".encode()
        return last in self.body and self.body.endswith(b"data: [DONE]\n\n")

    def describe(self) -> str:
        """Return what arrived, for a failure's message."""
        return f"{self.prompt}: status {self.status}, ends {self.body[-300:]!r}"

    def join(self) -> None:
        """Wait for the end, good or bad."""
        self._thread.join(WAIT_TIMEOUT_SECONDS)
        assert not self._thread.is_alive(), f"{self.prompt}: no end"

    def _run(self) -> None:
        connection = http.client.HTTPConnection(urlsplit(self.url).netloc, timeout=60)
        body = {"model": "pillar-8b", "prompt": self.prompt, "stream": True}
        body["max_tokens"] = self.max_tokens
        headers = {"Authorization": f"Bearer {FOSSE_KEY}"}
        try:
            connection.request("POST", "/v1/completions", json.dumps(body), headers)
            response = connection.getresponse()
            self.status, self.headers = response.status, dict(response.headers)
            self.started.set()
            while chunk := response.read1(65_536):
                self.body += chunk
        except (OSError, http.client.HTTPException) as error:
            self.body += f"cut: {error}".encode()
        finally:
            self.started.set()
            connection.close()


@dataclass
class Traffic:
    """Short completions through gateways in turn, one after another, in a thread."""

    urls: list[str]
    responses: list[Response] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> Self:
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stopped.set()
        self._thread.join(WAIT_TIMEOUT_SECONDS)

    @property
    def statuses(self) -> set[int]:
        return {response.status for response in self.responses}

    def wait_for_responses(self, count: int) -> None:
        """Return once ``count`` further requests have been answered."""
        wanted = len(self.responses) + count
        wait_until(lambda: len(self.responses) >= wanted, f"{count} more answers")

    def _run(self) -> None:
        number = 0
        while not self._stopped.is_set():
            url = self.urls[number % len(self.urls)]
            self.responses.append(request_completion(url, f"is box {number} live?"))
            number += 1


def explain_refusals(installation: Installation, traffic: Traffic) -> str:
    """Return the answers that were no 200 and what every process logged of them.

    The lines on targets that closed, opened or loaded stand between, so that a failed
    test's message shows what its gateways could know. Empty when all were served.
    """
    refused = [response for response in traffic.responses if response.status != 200]
    if not refused:
        return ""
    ids = {response.headers.get("X-Request-Id") for response in refused}
    responses = [f"{a.status} {a.headers} {a.body.decode()}" for a in refused]
    lines = [
        json.dumps(line)
        for line in installation.read_all_logs()
        if line.get("request_id") in ids or line.get("event") in AVAILABILITY_EVENTS
    ]
    loads = [
        load
        for name in installation.targets
        for load in _list_loads(installation, name)
    ]
    return "\n".join(["", *responses, *lines, *loads])


def _list_loads(installation: Installation, target: str) -> list[str]:
    """Return the orders to load that a target has taken; none when it is gone."""
    with suppress(OSError):
        log = installation.read_target_log(target)
        return [f"{target}: {json.dumps(e)}" for e in log if "order" in e]
    return []


def list_started(
    installation: Installation, target: str, since: float
) -> list[dict[str, Any]]:
    """Return the requests that a target's own log shows as started after ``since``.

    All stand-ins and this process read the same machine's monotonic clock.
    """
    log = installation.read_target_log(target)
    return [e for e in log if "request_id" in e and e["started"] > since]
