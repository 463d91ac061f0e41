"""Starts and stops the operating-system processes of a small installation.

Only development tools and tests use this module: no process of the product starts
another.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

from ports import HOST, find_port

if TYPE_CHECKING:
    from types import TracebackType

BLOCK_SECRET = "5a" * 32
START_SECONDS = 20.0
STOP_SECONDS = 20.0


class StartError(Exception):
    """A process did not start."""


@dataclass
class Daemon:
    """One started process and the files that its output is written to."""

    name: str
    process: subprocess.Popen[bytes]
    output: Path
    errors: Path
    # SIGKILL was sent; another thread may still be waiting for the process to end.
    killed: bool = False

    def read_log(self) -> list[dict[str, Any]]:
        """Return the JSON lines the process has logged."""
        lines = self.output.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def read_last_output(self) -> str:
        """Return the end of what the process wrote."""
        return (self.errors.read_text() or self.output.read_text())[-2000:]

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.process.send_signal(number)

    def stop(self) -> int:
        """Stop gracefully and return the exit status."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        return self.process.wait(STOP_SECONDS)

    def has_ended(self) -> bool:
        """Return whether the process has ended or is about to end.

        While one thread waits for a process, ``poll`` in another thread reports it as
        running, so that it would not be restarted.
        """
        if self.killed:
            self.process.wait(STOP_SECONDS)
        return self.process.poll() is not None

    def kill(self) -> None:
        """End the process at once."""
        self.killed = True
        self.process.kill()
        self.process.wait(STOP_SECONDS)


@dataclass
class Installation:
    """A platform, stores, targets with agents, and gateways, all on loopback."""

    directory: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="bamboopier-"))
    )
    daemons: dict[str, Daemon] = field(default_factory=dict)
    vms: list[dict[str, Any]] = field(default_factory=list)
    platform_url: str = ""
    # While set, processes that start are not added to the platform's VM list.
    vm_list_frozen: bool = False
    # URLs for callers of each gateway, and of each process's administration port.
    gateways: dict[str, str] = field(default_factory=dict)
    admin: dict[str, str] = field(default_factory=dict)
    targets: dict[str, str] = field(default_factory=dict)
    # Additional settings of all processes that a command starts, by command.
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for daemon in reversed(self.daemons.values()):
            if daemon.process.poll() is None:
                daemon.kill()

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        port = self._start_stand_in("platform", "platform", {})
        self.platform_url = f"http://{HOST}:{port}"

    def start_store(self, name: str, group: str, data_centre: str) -> None:
        """Start a store VM stand-in and add it to the VM list."""
        port = self._start_stand_in(name, "store", {})
        self.list_vm(name, "store", group, data_centre, f"{HOST}:{port}")

    def start_target(
        self,
        name: str,
        kind: str,
        service: str,
        data_centre: str,
        agent: Any = None,
        **options: Any,
    ) -> None:
        """Start a target stand-in (``engine`` or ``plain``) and the agent beside it.

        ``agent`` contains additional settings of the agent by name, ``options`` those
        of the stand-in.
        """
        port = self._start_stand_in(f"{name}-target", kind, options)
        self.targets[name] = f"http://{HOST}:{port}"
        self.start_agent(name, service, data_centre, **(agent or {}))

    def start_agent(
        self, name: str, service: str, data_centre: str, **options: Any
    ) -> None:
        """Start or restart the agent beside a running target."""
        listen, admin = find_port(), find_port()
        settings = {
            **_make_settings(name, data_centre, listen, admin, self.platform_url),
            "target": name,
            "service": service,
            "target_url": self.targets[name],
            **options,
        }
        self.start_daemon(f"{name}-agent", "agent", settings)
        self.admin[f"{name}-agent"] = f"http://{HOST}:{admin}"
        address = f"{HOST}:{listen}"
        self.vms = [vm for vm in self.vms if vm["name"] != name]
        self.list_vm(name, "target", service, data_centre, address)

    def start_gateway(self, name: str, data_centre: str, **options: Any) -> None:
        """Start a gateway with additional settings and add it to the VM list."""
        listen, admin = find_port(), find_port()
        settings = _make_settings(name, data_centre, listen, admin, self.platform_url)
        self.start_daemon(name, "gateway", settings | options)
        secure = "caller_tls" in self.settings.get("gateway", {})
        scheme = "https" if secure else "http"
        self.gateways[name] = f"{scheme}://{HOST}:{listen}"
        self.admin[name] = f"http://{HOST}:{admin}"
        self.list_vm(name, "gateway", "", data_centre, f"{HOST}:{listen}")

    def start_daemon(self, name: str, command: str, settings: dict[str, Any]) -> Daemon:
        """Start a product process with its settings in a file."""
        path = self.directory / f"{name}.json"
        settings = settings | self.settings.get(command, {})
        path.write_text(json.dumps(settings, indent=2))
        arguments = ["-m", "bamboopier_cli", command, "--settings", str(path)]
        return self.start_process(name, arguments)

    def start_process(self, name: str, arguments: list[str]) -> Daemon:
        """Start a Python process that writes its output to files."""
        output = self.directory / f"{name}.out"
        errors = self.directory / f"{name}.err"
        _preserve_output(output)
        with output.open("wb") as out, errors.open("wb") as err:
            process = subprocess.Popen(
                [sys.executable, *arguments], stdout=out, stderr=err, env=os.environ
            )
        daemon = Daemon(name, process, output, errors)
        self.daemons[name] = daemon
        return daemon

    def list_vm(
        self, name: str, role: str, group: str, data_centre: str, address: str
    ) -> None:
        """Add a VM to the platform's list."""
        vm = {
            "name": name,
            "role": role,
            "group": group,
            "data_centre": data_centre,
            "region": "midlands",
            "address": address,
            "state": "live",
        }
        self.vms.append(vm)
        self.put_vms()

    def put_vms(self) -> None:
        """Send the VM list to the platform stand-in, unless it is frozen."""
        if self.vm_list_frozen:
            return
        send("PUT", f"{self.platform_url}/vms", self.vms)

    def set_faults(self, faults: dict[str, Any]) -> None:
        """Set the platform's faults."""
        send("POST", f"{self.platform_url}/faults", faults)

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run one ``bamboopier`` command until it exits."""
        return subprocess.run(
            [sys.executable, "-m", "bamboopier_cli", *arguments],
            capture_output=True,
            text=True,
            timeout=START_SECONDS,
        )

    def wait_until_ready(self) -> None:
        """Wait until every product process reports that it is ready."""
        for name, url in self.admin.items():
            self._wait_for(name, f"{url}/readyz")

    def check_alive(self, *names: str) -> None:
        """Raise ``StartError`` if one of these processes has ended by itself.

        Otherwise, a caller that waits for it would wait until its timeout.
        """
        for name in names:
            self._check_alive(self.daemons[name])

    def read_target_log(self, name: str) -> list[dict[str, Any]]:
        """Return the requests that reached a target, as recorded by the target."""
        return list(json.loads(fetch(f"{self.targets[name]}/log")))

    def read_all_logs(self) -> list[dict[str, Any]]:
        """Return the JSON log lines of all processes, ordered by time.

        Each line contains its ``process``. Lines of processes that have been restarted
        since are included.
        """
        lines = [
            {"process": path.stem, **json.loads(line)}
            for path in self.directory.glob("*.out")
            for line in path.read_text().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]
        return sorted(lines, key=lambda line: str(line.get("timestamp", "")))

    def stop_all(self) -> dict[str, int]:
        """Stop every process gracefully; return exit statuses by name."""
        return {name: d.stop() for name, d in reversed(self.daemons.items())}

    def _start_stand_in(self, name: str, module: str, options: dict[str, Any]) -> int:
        arguments = ["-m", f"bamboopier_standins.{module}"]
        arguments += [f"--{key}={value}" for key, value in options.items()]
        daemon = self.start_process(name, arguments)
        limit = time.monotonic() + START_SECONDS
        while time.monotonic() < limit:
            words = daemon.output.read_text().split()
            if len(words) >= 2:
                return int(words[1])
            self._check_alive(daemon)
            time.sleep(0.02)
        raise StartError(f"{name} did not report the port that it listens on")

    def _wait_for(self, name: str, url: str) -> None:
        limit = time.monotonic() + START_SECONDS
        while time.monotonic() < limit:
            try:
                fetch(url)
                return
            except (urllib.error.URLError, ConnectionError):
                self._check_alive(self.daemons[name])
                time.sleep(0.05)
        raise StartError(f"{name} is not ready; see {self.daemons[name].errors}")

    def _check_alive(self, daemon: Daemon) -> None:
        if daemon.process.poll() is not None:
            raise StartError(f"{daemon.name} ended: {daemon.read_last_output()}")


def _preserve_output(output: Path) -> None:
    """Rename the output of an earlier process of the same name."""
    if not output.exists():
        return
    number = len(list(output.parent.glob(f"{output.stem}.former-*"))) + 1
    output.rename(output.with_name(f"{output.stem}.former-{number}.out"))


def _make_settings(
    name: str, data_centre: str, listen: int, admin: int, platform_url: str
) -> dict[str, Any]:
    return {
        "vm": name,
        "data_centre": data_centre,
        "region": "midlands",
        "listen": {"host": HOST, "port": listen},
        "admin": {"host": HOST, "port": admin},
        "platform_url": platform_url,
        "block_secret": BLOCK_SECRET,
    }


def fetch(url: str) -> bytes:
    """Return the body at ``url``."""
    with urllib.request.urlopen(url, timeout=10) as response:
        return bytes(response.read())


def send(method: str, url: str, body: object) -> None:
    """Send a JSON body; raises ``urllib.error.URLError`` unless it succeeds."""
    data = json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=10) as response:
        response.read()
