"""Tests draining and restoring data centres and targets, by the targets' logs."""

from __future__ import annotations

import json
import signal
import time
import unittest
import urllib.error
from concurrent.futures import ThreadPoolExecutor

from processes import Installation, fetch

from .fleet_builders import (
    LongStream,
    Traffic,
    build_fleet,
    explain_refusals,
    list_started,
    read_generation,
    read_status,
    request_completion,
    run_platform_command,
    wait_until,
)

EAST, WEST = "desk-east", "desk-west"


class DrainTests(unittest.TestCase):
    def setUp(self) -> None:
        self.installation = self.enterContext(Installation())
        engines = {EAST: "dc-east", WEST: "dc-west"}
        gateways = {"gateway-east": "dc-east", "gateway-west": "dc-west"}
        build_fleet(self.installation, engines, gateways)
        self.urls = list(self.installation.gateways.values())

    def is_ready(self, name: str) -> bool:
        try:
            fetch(f"{self.installation.admin[name]}/readyz")
        except urllib.error.HTTPError:
            return False
        return True

    def set_vm_state(self, name: str, state: str) -> None:
        for vm in self.installation.vms:
            if vm["name"] == name:
                vm["state"] = state
        self.installation.put_vms()

    def test_a_data_centre_is_drained_and_restored_while_the_platform_is_slow(
        self,
    ) -> None:
        """A data centre is drained while each platform call takes 1 s and streams run.

        After the command reports the drain as active, no request starts there. Running
        streams complete, no caller is refused, the gateway in the data centre fails its
        readiness check, and the restore reverses all of this.
        """
        installation = self.installation
        with Traffic(self.urls) as traffic:
            streams = [
                LongStream(url, f"history {number}", 600)
                for number, url in enumerate(self.urls * 3)
            ]
            installation.set_faults({"delay": 1.0})
            run_platform_command(
                installation, "drain", "data-centre", "dc-east", "--wait"
            )
            in_force = time.monotonic()
            traffic.wait_for_responses(20)
            self.assertEqual(list_started(installation, EAST, in_force), [])
            self.assertFalse(self.is_ready("gateway-east"))
            self.assertTrue(self.is_ready("gateway-west"))
            run_platform_command(
                installation, "restore", "data-centre", "dc-east", "--wait"
            )
            installation.set_faults({})
            wait_until(
                lambda: bool(list_started(installation, EAST, in_force)),
                "work at the restored data centre",
            )
            self.assertTrue(self.is_ready("gateway-east"))
            for stream in streams:
                stream.join()
        self.assertEqual([s.describe() for s in streams if not s.is_complete], [])
        refusals = explain_refusals(self.installation, traffic)
        self.assertEqual(traffic.statuses, {200}, refusals)

    def test_the_agent_refuses_requests_of_a_gateway_with_stale_configuration(
        self,
    ) -> None:
        """A gateway is paused while a target is drained, then the platform goes down.

        After it resumes, the gateway still assumes that the target is available. The
        target's agent refuses the requests and reports the new generation, which the
        gateway then fetches from the agent. The caller sees only successes.
        """
        installation = self.installation
        gateway = installation.daemons["gateway-east"]
        gateway.send(signal.SIGSTOP)
        try:
            run_platform_command(installation, "drain", "target", EAST)
            wait_until(lambda: not self.is_ready(f"{EAST}-agent"), "agent closed")
            installation.set_faults({"down": True})
            drained = time.monotonic()
        finally:
            gateway.send(signal.SIGCONT)
        url = installation.gateways["gateway-east"]
        responses = [request_completion(url, f"box {number}") for number in range(12)]
        self.assertEqual({response.status for response in responses}, {200})
        self.assertEqual(list_started(installation, EAST, drained), [])
        wait_until(lambda: read_generation(url) == 2, "generation 2 from a peer")

    def test_a_removed_target_completes_its_streams(self) -> None:
        """The VM list marks a VM as leaving and then removes it while streams run.

        Guards against a gateway that closes the connection when the entry is removed,
        which would cut the streams.
        """
        installation = self.installation
        with Traffic(self.urls) as traffic:
            streams = [
                LongStream(url, f"history {number}", 1600)
                for number, url in enumerate(self.urls * 3)
            ]
            self.set_vm_state(EAST, "leaving")
            wait_until(lambda: not self.is_ready(f"{EAST}-agent"), "agent closed")
            closed = time.monotonic()
            traffic.wait_for_responses(10)
            self.assertEqual(list_started(installation, EAST, closed), [])
            installation.vms = [vm for vm in installation.vms if vm["name"] != EAST]
            installation.put_vms()
            for stream in streams:
                stream.join()
        self.assertEqual([s.describe() for s in streams if not s.is_complete], [])
        refusals = explain_refusals(self.installation, traffic)
        self.assertEqual(traffic.statuses, {200}, refusals)
        ran_east = {entry["request_id"] for entry in installation.read_target_log(EAST)}
        self.assertTrue(any(stream.request_id in ran_east for stream in streams))

    def test_concurrent_drains_combine_and_unknown_names_are_explained(self) -> None:
        """Three drains run concurrently; a fourth names an unknown data centre."""
        installation = self.installation
        places = [("target", EAST), ("target", WEST), ("data-centre", "dc-west")]
        with ThreadPoolExecutor(3) as pool:
            list(
                pool.map(
                    lambda place: run_platform_command(installation, "drain", *place),
                    places,
                )
            )
        status = read_status(installation)
        self.assertEqual(status["generation"], 4)
        self.assertEqual(status["drained_targets"], [EAST, WEST])
        self.assertEqual(status["drained_data_centres"], ["dc-west"])
        arguments = ("drain", "data-centre", "dc-wset", "--platform")
        done = installation.run_command(*arguments, installation.platform_url)
        self.assertEqual(done.returncode, 2)
        self.assertIn("known: dc-east, dc-west", done.stderr)
        self.assertEqual(read_status(installation)["generation"], 4)
        calls = json.loads(fetch(f"{installation.platform_url}/calls"))
        self.assertLess(calls["PUT objects"], 40)
