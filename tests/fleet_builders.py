"""Builds fleets in two data centres, their configuration and their traffic."""

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

# Maximum wait for a condition; the test fails when it is reached.
WAIT_TIMEOUT_SECONDS = 40.0
FAULT_DESK = "fault-desk"
# Log events that change which targets are available, independent of a request.
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
    """Start named engines and gateways and publish the Fosse configuration."""
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
    """Write the Fosse configuration with a weight version; return its folder."""
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
    """Publish the files of a folder; return the output of the command."""
    return run_platform_command(installation, "publish", str(folder), *options)


def run_platform_command(installation: Installation, *arguments: str) -> str:
    """Run a command against the platform and expect success."""
    done = installation.run_command(*arguments, "--platform", installation.platform_url)
    assert done.returncode == 0, done.stderr
    return done.stdout


def read_status(installation: Installation) -> dict[str, Any]:
    """Return the output of ``bamboopier status --json``."""
    return dict(json.loads(run_platform_command(installation, "status", "--json")))


def read_generation(url: str) -> int:
    """Return the configuration generation that is active at a gateway."""
    return int(json.loads(fetch(f"{url}/v1/status"))["generation"])


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait until ``condition`` holds; fail with ``description`` on a timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"never reached: {description}")
        time.sleep(0.05)


def request_completion(url: str, prompt: str, max_tokens: int = 2) -> Response:
    """Request a completion without streaming and return the response."""
    body = {"model": "pillar-8b", "prompt": prompt, "max_tokens": max_tokens}
    return call(url, "POST", "/v1/completions", body)


@dataclass
class LongStream:
    """A streamed completion that is read in its own thread."""

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
        """Return whether the last word and the end marker arrived."""
        last = f"{self.prompt.split()[-1]}.{self.max_tokens - 1}".encode()
        return last in self.body and self.body.endswith(b"data: [DONE]\n\n")

    def describe(self) -> str:
        """Return the status and the end of the body, for a failure message."""
        return f"{self.prompt}: status {self.status}, ends {self.body[-300:]!r}"

    def join(self) -> None:
        """Wait until the stream ends, complete or not."""
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
    """Sequential short completions through the gateways in turn, in a thread."""

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
        """Wait until ``count`` further responses have arrived."""
        wanted = len(self.responses) + count
        wait_until(lambda: len(self.responses) >= wanted, f"{count} more responses")

    def _run(self) -> None:
        number = 0
        while not self._stopped.is_set():
            url = self.urls[number % len(self.urls)]
            self.responses.append(request_completion(url, f"is box {number} live?"))
            number += 1


def explain_refusals(installation: Installation, traffic: Traffic) -> str:
    """Return the responses other than 200 and the log lines of their requests.

    The log lines on the availability of targets and the weight loads are included, so
    that the message of a failed test shows the state that the gateways were informed
    of. Empty if all responses were 200.
    """
    refused = [response for response in traffic.responses if response.status != 200]
    if not refused:
        return ""
    ids = {response.headers.get("X-Request-Id") for response in refused}
    responses = [f"{r.status} {r.headers} {r.body.decode()}" for r in refused]
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
    """Return the load orders that a target logged; none if it has ended."""
    with suppress(OSError):
        log = installation.read_target_log(target)
        return [f"{target}: {json.dumps(e)}" for e in log if "order" in e]
    return []


def list_started(
    installation: Installation, target: str, since: float
) -> list[dict[str, Any]]:
    """Return the requests in a target's log that started after ``since``.

    ``since`` is in seconds of the monotonic clock, which this process shares with the
    stand-in targets on the same machine.
    """
    log = installation.read_target_log(target)
    return [e for e in log if "request_id" in e and e["started"] > since]
