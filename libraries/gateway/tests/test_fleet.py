"""Tests of the weight version that a gateway requests, given targets' reports."""

from __future__ import annotations

import random
import unittest

from bamboopier_configuration.directory import Directory
from bamboopier_configuration.model import Configuration, Model, Service
from bamboopier_configuration.settings import Address, GatewaySettings
from bamboopier_gateway.agent_connections import AgentConnections
from bamboopier_gateway.fleet import Fleet
from bamboopier_objects.vm_inventory import VmInventory
from bamboopier_objects.vms import Vm
from bamboopier_protocol import agent_pb2 as pb

DESKS = ("desk-1", "desk-2", "desk-3", "desk-4")


def build_inventory() -> VmInventory:
    """Return a VM list with four targets."""
    inventory = VmInventory(random.Random(1))
    inventory.vms = tuple(
        Vm(desk, "target", "dc-east", "midlands", "127.0.0.1:1", group="fault-desk")
        for desk in DESKS
    )
    return inventory


def build_directory(generation: int, version: str) -> Directory:
    """Return a configuration with one model at ``version``."""
    service = Service("fault-desk", "model", models=["pillar-8b"])
    models = [Model("pillar-8b", version)]
    return Directory(generation, Configuration([service], models=models))


class VersionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.agents = await self.enterAsyncContext(AgentConnections())
        self.start_gateway()
        self.publish(1, "v1")

    def start_gateway(self) -> None:
        """Start a gateway with the VM list and without a configuration."""
        address = Address("127.0.0.1", 1)
        settings = GatewaySettings(
            vm="gateway-1",
            data_centre="dc-east",
            region="midlands",
            listen=address,
            admin=address,
            platform_url="http://127.0.0.1:1",
            block_secret="5a" * 32,
        )
        self.fleet = Fleet(
            settings, build_inventory(), self.agents, lambda _: None, random.Random(1)
        )

    def publish(self, generation: int, version: str) -> None:
        self.directory = build_directory(generation, version)
        self.fleet.apply_configuration(self.directory)

    def record_report(self, target: str, version: str, accepting: bool = True) -> None:
        report = pb.LoadReport(weight_version=version, accepting=accepting)
        self.fleet.reports.record(target, report)

    def choose(self) -> str:
        return self.fleet.choose_version(self.directory.models["pillar-8b"])

    def test_targets_without_a_report_keep_the_old_version_in_use(self) -> None:
        """A version is published before a gateway has polled its targets.

        Only one has reported, closed to load the new version. Guards against requests
        for the new version that every other target refuses, so that the caller gets 503
        although three idle targets serve the old one.
        """
        self.publish(2, "v2")
        self.assertEqual(self.choose(), "v1")
        self.record_report("desk-1", "v1", accepting=False)
        self.assertEqual(self.choose(), "v1")
        self.record_report("desk-1", "v2")
        self.assertEqual(self.choose(), "v2")

    def test_the_new_version_is_used_once_all_have_reported(self) -> None:
        """Every target is closed and none serves the old version any more."""
        self.publish(2, "v2")
        for desk in DESKS:
            self.record_report(desk, "v1", accepting=False)
        self.assertEqual(self.choose(), "v2")
        self.fleet.reports.record("desk-1", None)
        self.assertEqual(self.choose(), "v2")

    def test_a_superseded_version_keeps_the_one_in_use(self) -> None:
        """Two versions are published in a row, before any target has loaded the first.

        All targets still serve the one before both. Guards against requests for the
        newest that each target refuses, so that every caller gets 503 until a first
        target has loaded it.
        """
        for desk in DESKS:
            self.record_report(desk, "v1")
        self.publish(2, "v2")
        self.publish(3, "v3")
        self.assertEqual(self.choose(), "v1")
        self.record_report("desk-1", "v3")
        self.assertEqual({self.choose() for _ in range(100)}, {"v1", "v3"})
        self.record_report("desk-2", "v3")
        self.assertEqual(self.choose(), "v3")

    def test_targets_at_an_intermediate_version_serve(self) -> None:
        """A version is superseded while half of the targets load it.

        They accept requests with it again just as the others close for the newest.
        Guards against requests for the newest, which all targets refuse although half
        of them are idle.
        """
        for desk in DESKS[2:]:
            self.record_report(desk, "v1")
        self.publish(2, "v2")
        self.publish(3, "v3")
        for desk in DESKS[:2]:
            self.record_report(desk, "v2")
        for desk in DESKS[2:]:
            self.record_report(desk, "v1", accepting=False)
        self.assertEqual(self.choose(), "v2")

    def test_a_gateway_started_during_a_rollout_uses_the_versions_of_its_targets(
        self,
    ) -> None:
        """The first configuration of a gateway has a version that no target serves yet.

        The gateway has no earlier version. Guards against requests for the new one that
        each target refuses, so that every caller of this gateway gets 503 until a first
        target has loaded it.
        """
        self.start_gateway()
        self.publish(1, "v2")
        for desk in DESKS:
            self.record_report(desk, "v1")
        self.assertEqual(self.choose(), "v1")
        for desk in DESKS[:2]:
            self.record_report(desk, "v2")
        self.assertEqual(self.choose(), "v2")
