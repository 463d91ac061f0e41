"""Tests configuration updates with races, lost responses, outages and stale reads."""

from __future__ import annotations

import json
import signal
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from processes import Installation, fetch

from .fleet_builders import (
    build_fleet,
    publish,
    read_generation,
    read_status,
    request_completion,
    run_platform_command,
    wait_until,
    write_configuration,
)

if TYPE_CHECKING:
    import subprocess

DESK = "desk-1"
PUBLISHERS = 6


class ConfigurationTests(unittest.TestCase):
    def setUp(self) -> None:
        self.installation = self.enterContext(Installation())
        gateways = {"gateway-1": "dc-east", "gateway-2": "dc-west"}
        build_fleet(self.installation, {DESK: "dc-east"}, gateways)
        self.urls = list(self.installation.gateways.values())

    def publish_timeout(self, seconds: int) -> subprocess.CompletedProcess[str]:
        """Publish files with this default timeout; return the finished command."""
        folder = write_configuration(
            self.installation, f"v1-{seconds}", default_timeout_seconds=seconds
        )
        path = folder / "fault-desk.bamboopier.json"
        path.write_text(path.read_text().replace(f"v1-{seconds}", "v1"))
        arguments = ("publish", str(folder), "--platform")
        return self.installation.run_command(*arguments, self.installation.platform_url)

    def test_each_concurrent_publisher_gets_its_own_result(self) -> None:
        """Six operators publish different files at once and responses are lost.

        Each success creates one generation. Each other command reports that another
        publisher came first, so that the operator checks and publishes again.
        """
        self.installation.set_faults({"lose_answers": 4})
        with ThreadPoolExecutor(PUBLISHERS) as pool:
            done = list(pool.map(self.publish_timeout, range(30, 30 + PUBLISHERS)))
        succeeded = [d for d in done if d.returncode == 0]
        failed = [d for d in done if d.returncode == 1]
        self.assertEqual(len(succeeded) + len(failed), PUBLISHERS)
        self.assertGreaterEqual(len(succeeded), 1)
        for command in failed:
            self.assertIn("another publisher came first", command.stderr)
        generations = sorted(int(d.stdout.split()[-1]) for d in succeeded)
        self.assertEqual(generations, list(range(2, 2 + len(succeeded))))
        self.assertEqual(
            read_status(self.installation)["generation"], 1 + len(succeeded)
        )

    def test_a_gateway_started_in_an_outage_serves(self) -> None:
        """A gateway starts during a platform outage with one agent as its peer.

        Without the agent's copy of the configuration it would have no API keys and no
        targets and refuse all requests.
        """
        agent = next(vm for vm in self.installation.vms if vm["name"] == DESK)
        self.installation.set_faults({"down": True})
        self.installation.start_gateway(
            "gateway-3", "dc-east", peers=[agent["address"]]
        )
        self.installation.wait_until_ready()
        response = request_completion(
            self.installation.gateways["gateway-3"], "is the box live?"
        )
        self.assertEqual(response.status, 200)

    def test_no_node_reverts_when_a_replica_returns_stale_data(self) -> None:
        """A generation is active and the platform then returns the previous head.

        A node that was paused before the change resumes during the stale reads and
        still reaches the latest generation.
        """
        paused = self.installation.daemons["gateway-2"]
        paused.send(signal.SIGSTOP)
        try:
            self.assertEqual(self.publish_timeout(41).returncode, 0)
            wait_until(lambda: read_generation(self.urls[0]) == 2, "generation 2")
            self.installation.set_faults({"lag": 12})
        finally:
            paused.send(signal.SIGCONT)
        seen: list[int] = []

        def is_reached() -> bool:
            seen.append(read_generation(self.urls[0]))
            return read_generation(self.urls[1]) == 2

        wait_until(is_reached, "generation 2 at the resumed gateway")
        self.assertEqual(set(seen), {2})
        self.installation.set_faults({})
        self.assertEqual(self.publish_timeout(42).returncode, 0)
        for url in self.urls:
            wait_until(lambda url=url: read_generation(url) == 3, "generation 3")

    def test_output_of_publish_and_status(self) -> None:
        folder = write_configuration(self.installation, "v2", loads_at_once=1)
        shown = publish(self.installation, folder, "--dry-run")
        self.assertEqual(
            shown.splitlines(),
            [
                "~ services fault-desk",
                "~ models pillar-8b",
                "would publish generation 2",
            ],
        )
        self.assertEqual(read_status(self.installation)["generation"], 1)
        publish(self.installation, folder, "--diff", "--wait")
        status = read_status(self.installation)
        self.assertEqual(status["generation"], 2)
        self.assertEqual({node["generation"] for node in status["nodes"]}, {2})
        self.assertIn("is identical", publish(self.installation, folder))
        text = run_platform_command(self.installation, "status")
        self.assertIn("generation 2, in force at 3 of 3 nodes", text)
        # No node stores its active generation: 1,070 writes a change would be the
        # largest load on the platform.
        url = f"{self.installation.platform_url}/v1/list?prefix="
        kinds = {stored["key"].split("/")[0] for stored in json.loads(fetch(url))}
        self.assertEqual(kinds, {"configuration", "leases"})

    def test_an_unreachable_node_fails_publish_wait(self) -> None:
        """A gateway hangs, so its state is unknown and the operator gets an error."""
        hung = self.installation.daemons["gateway-2"]
        hung.send(signal.SIGSTOP)
        try:
            folder = write_configuration(self.installation, "v1", loads_at_once=1)
            done = self.installation.run_command(
                *("publish", str(folder), "--wait", "--timeout", "2", "--platform"),
                self.installation.platform_url,
            )
        finally:
            hung.send(signal.SIGCONT)
        self.assertEqual(done.returncode, 1)
        self.assertIn("generation 2 is accepted", done.stderr)
        self.assertIn("gateway-2", done.stderr)
