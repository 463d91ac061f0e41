"""Runs two gateways and two agents for one target, with a relay on every hop."""

from __future__ import annotations

import http.client
import json
import signal
import time
import urllib.error
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Self
from urllib.parse import urlsplit

from fault_matrix import Cell, Fault, Hop, Step
from ports import HOST, find_port
from processes import BLOCK_SECRET, Installation, fetch

from bamboopier_agent.claims import hash_key

from .builders import FOSSE_KEY, Response, publish_examples
from .relay import FaultTrigger, Relay

if TYPE_CHECKING:
    from types import TracebackType

WORKSPACE = "fosse-midlands"
AGENTS = ("vans-1", "vans-2")
GATEWAYS = ("gateway-1", "gateway-2")
# Timeout of the caller; a cell with a frozen hop takes this long.
TIMEOUT_SECONDS = 0.8
# How long a caller retries while responses carry Retry-After.
RETRY_TIMEOUT_SECONDS = 45.0
WAIT_TIMEOUT_SECONDS = 20.0
# Longer than the maximum time a gateway skips an agent that crashed often, 30 s.
WARM_UP_TIMEOUT_SECONDS = 60.0
# Forwarded to the target with the other headers of the caller.
ATTEMPT_HEADER = "X-Send"


@dataclass(frozen=True)
class Dispatch:
    """One dispatch, which its caller may send in several attempts."""

    pillar: str
    key: str
    # Distinguishes the attempts of a dispatch in the target's log.
    attempt_name: str = "first"

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers of the request."""
        sent = {
            "Authorization": f"Bearer {FOSSE_KEY}",
            "X-Timeout-Seconds": str(TIMEOUT_SECONDS),
            ATTEMPT_HEADER: self.attempt_name,
        }
        return sent | ({"Idempotency-Key": self.key} if self.key else {})


class Caller:
    """One attempt of a dispatch; the caller can disconnect while it waits."""

    def __init__(self, url: str, dispatch: Dispatch) -> None:
        self._dispatch = dispatch
        self._connection = http.client.HTTPConnection(
            urlsplit(url).netloc, timeout=TIMEOUT_SECONDS + 1
        )

    def send(self) -> Response | None:
        """Return the response, or None if no complete response arrived."""
        body = json.dumps({"pillar": self._dispatch.pillar})
        try:
            self._connection.request(
                "POST", "/services/dispatch/vans", body, self._dispatch.headers
            )
            response = self._connection.getresponse()
            return Response(response.status, dict(response.headers), response.read())
        except (OSError, http.client.HTTPException, AttributeError):
            return None
        finally:
            self._connection.close()

    def disconnect(self) -> None:
        """Close the connection without waiting for the response."""
        if self._connection.sock is not None:
            with suppress(OSError):
                self._connection.sock.shutdown(2)


class DispatchHarness:
    """Controls the processes and relays and reads the log of the target."""

    def __init__(self) -> None:
        self._stack = ExitStack()
        self.installation = Installation()
        self._relays: dict[Hop, list[Relay]] = {each: [] for each in Hop}
        self._agent_ports: dict[str, tuple[int, int]] = {}
        self._target_port = find_port()
        # Written by the target; remains after the target is killed.
        self._target_log = self.installation.directory / "target-log.jsonl"
        self.caller: Caller | None = None
        self.resent: Response | None = None

    def __enter__(self) -> Self:
        installation = self._stack.enter_context(self.installation)
        installation.start_platform()
        self._start_target()
        for name in AGENTS:
            self._start_agent(name)
        for name in GATEWAYS:
            installation.start_gateway(name, "dc-east")
        publish_examples(installation)
        installation.wait_until_ready()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    def arm_fault(self, cell: Cell, dispatch: Dispatch) -> FaultTrigger:
        """Inject the cell's fault when the dispatch reaches the cell's step."""
        marker = dispatch.pillar.encode()
        if cell.hop is Hop.AGENT_PLATFORM:
            marker = hash_key(WORKSPACE, dispatch.key)
        trigger = FaultTrigger(
            cell.step,
            marker,
            lambda relay: self._apply_fault(cell, dispatch, relay),
            cut=cell.fault is Fault.CUT,
            freeze=cell.fault in (Fault.FREEZE, Fault.LEAVE_AND_FREEZE),
            match_response=cell.hop is Hop.GATEWAY_AGENT,
        )
        for relay in self._relays[cell.hop]:
            relay.set_trigger(trigger)
        return trigger

    def restore(self) -> None:
        """Resume or restart the processes and restore the connections of a cell."""
        for relay in (relay for relays in self._relays.values() for relay in relays):
            relay.restore()
        for name, daemon in list(self.installation.daemons.items()):
            if not daemon.has_ended():
                daemon.send(signal.SIGCONT)
            elif name == "target":
                self._start_target()
            elif name in GATEWAYS:
                self._restart(name, "gateway")
            else:
                self._restart(name, "agent")
        self.installation.wait_until_ready()

    def send(self, gateway: str, dispatch: Dispatch) -> Response | None:
        """Send a dispatch once."""
        self.caller = Caller(self.installation.gateways[gateway], dispatch)
        return self.caller.send()

    def send_with_retries(self, gateway: str, dispatch: Dispatch) -> Response | None:
        """Send a dispatch until a response is final or the retry timeout passes."""
        deadline = time.monotonic() + RETRY_TIMEOUT_SECONDS
        while True:
            response = self.send(gateway, dispatch)
            if response is not None and not _is_retryable(response):
                return response
            if time.monotonic() > deadline:
                return response
            time.sleep(0.05)

    def warm_up(self) -> None:
        """Send requests until both gateways have received responses of both agents.

        This ends the back-off of the agents that crashed. Otherwise the back-off
        doubles with each crash. After some cells it exceeds the wait here, and a
        dispatch is refused for want of an agent before it reaches the armed fault.
        """
        for gateway in GATEWAYS:
            deadline = time.monotonic() + WARM_UP_TIMEOUT_SECONDS
            answered: list[str] = []
            while len(answered) < 4 or not set(AGENTS) <= set(answered):
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f"{gateway} received responses of {set(answered)} only"
                    )
                self.installation.check_alive(gateway)
                answered += self._find_responding_agent(gateway)

    def count_runs(self, dispatch: Dispatch) -> int:
        """Return how many runs of the dispatch the target logged."""
        return len(self._list_runs(dispatch))

    def list_recorded_attempts(self, dispatch: Dispatch) -> list[str]:
        """Return the names of the attempts of the dispatch that the target logged."""
        runs = map(json.loads, self._list_runs(dispatch))
        return [dict(run["headers"])[ATTEMPT_HEADER] for run in runs]

    def _list_runs(self, dispatch: Dispatch) -> list[str]:
        if not self._target_log.exists():
            return []
        lines = self._target_log.read_text().splitlines()
        return [line for line in lines if dispatch.pillar in line]

    def _find_responding_agent(self, gateway: str) -> list[str]:
        """Return the agent that responded with 200, as a list of one or none."""
        url = f"{self.installation.gateways[gateway]}/services/dispatch/boxes/7"
        connection = http.client.HTTPConnection(urlsplit(url).netloc, timeout=5)
        try:
            headers = {"Authorization": f"Bearer {FOSSE_KEY}"}
            connection.request("GET", "/services/dispatch/boxes/7", headers=headers)
            response = connection.getresponse()
            if response.status == 200:
                return [self._find_agent(gateway, response.headers["X-Request-Id"])]
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(0.05)
        return []

    def _find_agent(self, gateway: str, request_id: str) -> str:
        """Return the last agent that the gateway logged for a request."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        path = self.installation.daemons[gateway].output
        while time.monotonic() < deadline:
            lines = [x for x in path.read_text().splitlines() if request_id in x]
            chosen = [x for x in map(_parse_log_line, lines) if "target" in x]
            if chosen:
                return str(chosen[-1]["target"])
            time.sleep(0.005)
        raise TimeoutError(f"{gateway} logged no target for {request_id}")

    def _apply_fault(self, cell: Cell, dispatch: Dispatch, relay: Relay) -> None:
        """Inject the fault; the relay forwards nothing on the connection meanwhile."""
        received = cell.hop is Hop.AGENT_TARGET and cell.step is Step.REQUEST_RECEIVED
        if received:
            self._wait_until_recorded(dispatch)
        match cell.fault:
            case Fault.KILL_GATEWAY:
                self.installation.daemons["gateway-1"].kill()
            case Fault.KILL_AGENT:
                self.installation.daemons[f"{relay.name}-agent"].kill()
            case Fault.KILL_TARGET:
                self.installation.daemons["target"].kill()
                # The target no longer listens, so its relays refuse connections too.
                for each in self._relays[Hop.AGENT_TARGET]:
                    each.refuse()
            case Fault.STOP_GATEWAY:
                self.installation.daemons["gateway-1"].send(signal.SIGSTOP)
            case Fault.STOP_AGENT:
                self.installation.daemons[f"{relay.name}-agent"].send(signal.SIGSTOP)
            case Fault.STOP_TARGET:
                self.installation.daemons["target"].send(signal.SIGSTOP)
            case Fault.CALLER_LEAVES | Fault.LEAVE_AND_FREEZE:
                if self.caller is not None:
                    self.caller.disconnect()
            case Fault.RESEND:
                url = self.installation.gateways["gateway-2"]
                self.resent = Caller(url, dispatch).send()

    def _wait_until_recorded(self, dispatch: Dispatch) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while self.count_runs(dispatch) == 0 and time.monotonic() < deadline:
            time.sleep(0.005)

    def _start_target(self) -> None:
        arguments = ["-m", "bamboopier_standins.plain", f"--port={self._target_port}"]
        arguments.append(f"--log_path={self._target_log}")
        self.installation.start_process("target", arguments)
        _wait_until_reachable(f"http://{HOST}:{self._target_port}/state")

    def _start_agent(self, name: str) -> None:
        listen, admin = find_port(), find_port()
        self._agent_ports[name] = (listen, admin)
        platform = urlsplit(self.installation.platform_url)
        assert platform.port is not None
        upstreams = {
            Hop.GATEWAY_AGENT: (HOST, listen),
            Hop.AGENT_PLATFORM: (HOST, platform.port),
            Hop.AGENT_TARGET: (HOST, self._target_port),
        }
        relays = {
            hop: self._stack.enter_context(Relay(name, upstream))
            for hop, upstream in upstreams.items()
        }
        for hop, relay in relays.items():
            self._relays[hop].append(relay)
        settings: dict[str, Any] = {
            "vm": name,
            "target": name,
            "service": "dispatch",
            "data_centre": "dc-east",
            "region": "midlands",
            "listen": {"host": HOST, "port": listen},
            "admin": {"host": HOST, "port": admin},
            "platform_url": f"http://{relays[Hop.AGENT_PLATFORM].address}",
            "target_url": f"http://{relays[Hop.AGENT_TARGET].address}",
            "block_secret": BLOCK_SECRET,
        }
        self.installation.start_daemon(f"{name}-agent", "agent", settings)
        self.installation.admin[f"{name}-agent"] = f"http://{HOST}:{admin}"
        address = relays[Hop.GATEWAY_AGENT].address
        self.installation.list_vm(name, "target", "dispatch", "dc-east", address)

    def _restart(self, name: str, command: str) -> None:
        path = self.installation.directory / f"{name}.json"
        settings = json.loads(path.read_text())
        self.installation.start_daemon(name, command, settings)


def _parse_log_line(line: str) -> dict[str, Any]:
    """Return the fields of a log line; empty if the line is still being written."""
    with suppress(json.JSONDecodeError):
        return dict(json.loads(line))
    return {}


def _is_retryable(response: Response) -> bool:
    """Return whether the response asks the caller to retry."""
    return "Retry-After" in response.headers and response.status in (409, 503, 504)


def _wait_until_reachable(url: str) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        with suppress(urllib.error.URLError, ConnectionError):
            fetch(url)
            return
        time.sleep(0.02)
