"""Tests rollouts of weight versions under traffic, by the engines' logs."""

from __future__ import annotations

import json
import signal
import unittest
from typing import TYPE_CHECKING, Any

import grpc
from processes import Installation, fetch, send

from bamboopier_protocol import agent_pb2 as pb, agent_pb2_grpc

from .fleet_builders import (
    FAULT_DESK,
    LongStream,
    Traffic,
    build_fleet,
    explain_refusals,
    publish,
    read_status,
    wait_until,
    write_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

ENGINES = {f"desk-{n}": ("dc-east", "dc-west")[n % 2] for n in range(1, 5)}
MAX_CONCURRENT_LOADS = 2


class WeightsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.installation = self.enterContext(Installation())
        gateways = {"gateway-1": "dc-east", "gateway-2": "dc-west"}
        build_fleet(self.installation, ENGINES, gateways, load_seconds=0.6)
        self.urls = list(self.installation.gateways.values())

    def publish_version(self, version: str) -> None:
        publish(self.installation, write_configuration(self.installation, version))

    def is_loaded_everywhere(self, version: str) -> bool:
        return all(
            json.loads(fetch(f"{url}/state"))["version"] == version
            for url in self.installation.targets.values()
        )

    def list_loads(self) -> list[dict[str, Any]]:
        logs = [self.installation.read_target_log(name) for name in ENGINES]
        return [entry for log in logs for entry in log if "order" in entry]

    def check_responses(self, traffic: Traffic, versions: Iterable[str]) -> None:
        """Check that each response reports its actual version, one of ``versions``."""
        refusals = explain_refusals(self.installation, traffic)
        self.assertEqual(traffic.statuses, {200}, refusals)
        made_by = {
            entry["request_id"]: entry["version"]
            for name in ENGINES
            for entry in self.installation.read_target_log(name)
            if "request_id" in entry
        }
        for response in traffic.responses:
            named = response.headers["X-Weight-Version"]
            self.assertEqual(named, made_by[response.headers["X-Request-Id"]])
            self.assertIn(named, versions)

    def test_a_version_rolls_out_under_traffic(self) -> None:
        """Four engines change version two at a time while requests keep arriving.

        One engine reports its new version late and one fails its first load. No caller
        is refused, each response reports the version that served it, running streams
        retain their version, and no more than two engines load at once.
        """
        targets = self.installation.targets
        send("POST", f"{targets['desk-1']}/options", {"report_lag": 1.0})
        send("POST", f"{targets['desk-2']}/options", {"failing_loads": 1})
        with Traffic(self.urls * 2) as traffic:
            streams = [
                LongStream(url, f"history {number}", 400)
                for number, url in enumerate(self.urls * 2)
            ]
            self.publish_version("v2")
            wait_until(lambda: self.is_loaded_everywhere("v2"), "v2 everywhere")
            answered = len(traffic.responses)
            wait_until(
                lambda: (
                    {r.headers["X-Weight-Version"] for r in traffic.responses[-8:]}
                    == {"v2"}
                ),
                "v2 for all requests",
            )
            self.assertGreaterEqual(len(traffic.responses), answered)
            for stream in streams:
                stream.join()
        self.check_responses(traffic, {"v1", "v2"})
        for stream in streams:
            self.assertTrue(stream.is_complete)
            self.assertEqual(stream.headers["X-Weight-Version"], "v1")
        loads = self.list_loads()
        self.assertEqual(len(loads), len(ENGINES) + 1)
        self.assertLessEqual(count_max_concurrent(loads), MAX_CONCURRENT_LOADS)

    def test_an_agent_refuses_a_request_for_another_version(self) -> None:
        """A gateway with stale state requests a version that the engine has not loaded.

        If the agent ran the request, it would read blocks of the other version.
        """
        agent = next(vm for vm in self.installation.vms if vm["name"] == "desk-1")
        request = pb.ServeRequest(
            request_id="for-v9",
            attempt_id="for-v9",
            workspace="fosse-midlands",
            service=FAULT_DESK,
            idempotent=True,
            timeout_ms=10_000,
            method="POST",
            path="/v1/completions",
            body=b'{"prompt": "live?", "max_tokens": 1}',
            model=pb.ModelWork(model="pillar-8b", weight_version="v9"),
        )
        with grpc.insecure_channel(agent["address"]) as channel:
            events = list(agent_pb2_grpc.AgentStub(channel).Serve(request))
        self.assertEqual([e.not_run.cause for e in events], [pb.WRONG_VERSION])
        log = self.installation.read_target_log("desk-1")
        self.assertEqual([e for e in log if e.get("request_id") == "for-v9"], [])

    def test_an_agent_killed_while_its_engine_loads(self) -> None:
        """An agent is killed during a load and restarted with the same settings.

        The engine continues to load. The new agent acquires the lease and the load slot
        of its predecessor, and the rollout finishes within the limit of concurrent
        loads.
        """
        installation = self.installation
        send("POST", f"{installation.targets['desk-1']}/options", {"load_seconds": 3.0})
        self.publish_version("v2")
        wait_until(
            lambda: any("order" in e for e in installation.read_target_log("desk-1")),
            "order at desk-1",
        )
        installation.daemons["desk-1-agent"].kill()
        settings = json.loads(
            (installation.directory / "desk-1-agent.json").read_text()
        )
        installation.start_daemon("desk-1-agent", "agent", settings)
        with Traffic(self.urls) as traffic:
            wait_until(lambda: self.is_loaded_everywhere("v2"), "v2 everywhere")
        self.assertLessEqual(
            count_max_concurrent(self.list_loads()), MAX_CONCURRENT_LOADS
        )
        refusals = explain_refusals(self.installation, traffic)
        self.assertEqual(traffic.statuses, {200}, refusals)

    def test_a_resumed_agent_does_not_reload_the_old_version(self) -> None:
        """An agent is paused during two publications; its engine ends with v3."""
        agent = self.installation.daemons["desk-1-agent"]
        agent.send(signal.SIGSTOP)
        try:
            self.publish_version("v2")
            self.publish_version("v3")
            others = [name for name in ENGINES if name != "desk-1"]
            wait_until(
                lambda: all(
                    json.loads(fetch(f"{self.installation.targets[n]}/state"))[
                        "version"
                    ]
                    == "v3"
                    for n in others
                ),
                "v3 at the others",
            )
        finally:
            agent.send(signal.SIGCONT)
        wait_until(lambda: self.is_loaded_everywhere("v3"), "v3 everywhere")
        nodes = read_status(self.installation)["nodes"]
        versions = {n["weight_version"] for n in nodes if n["role"] == "target"}
        self.assertEqual(versions, {"v3"})


def count_max_concurrent(loads: list[dict[str, Any]]) -> int:
    """Return the maximum number of concurrent loads, by the engines' timestamps."""
    changes = [(load["started"], 1) for load in loads]
    changes += [(load.get("ended", float("inf")), -1) for load in loads]
    running = peak = 0
    for _, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak
