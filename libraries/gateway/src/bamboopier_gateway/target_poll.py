"""Polls targets that receive no requests for their load reports."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import grpc

from bamboopier_decisions.routing.messages import TargetReported
from bamboopier_protocol import agent_pb2 as pb

from .forwarder import make_target_load

if TYPE_CHECKING:
    from bamboopier_decisions.routing.router import Router
    from bamboopier_objects.follower import ConfigurationFollower

    from .agent_connections import AgentConnections
    from .fleet import Fleet

# Reports arrive with responses; a target that is closed or serves another version gets
# no requests, so without polling it would never be used again. 340 gateways that poll
# four targets a second each send two calls a second to each of 730 agents, and 34 to
# each of the 41 agents of a model during a rollout: some 5 KB a second.
POLLS_PER_SECOND = 4.0
REPORT_TIMEOUT_SECONDS = 2.0
# Added after a target that could not be reached. A failed connection costs some 6 ms of
# processor time: four a second, as when a data centre fails, would use 2.8% of a core,
# and a node may use 2.2% for all control traffic.
UNREACHABLE_DELAY_SECONDS = 0.5


class TargetPoll:
    """Polls one target without requests after another."""

    def __init__(
        self,
        fleet: Fleet,
        agents: AgentConnections,
        follower: ConfigurationFollower,
        router: Router,
    ) -> None:
        self._fleet = fleet
        self._agents = agents
        self._follower = follower
        self._router = router

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.sleep(1 / POLLS_PER_SECOND)
            target = self._fleet.reports.find_poll_target()
            if target is not None:
                await self._poll(target)

    async def _poll(self, target: str) -> None:
        stub = await self._agents.connect(self._fleet.find_address(target))
        if stub is None:
            self._fleet.reports.record(target, None)
            await asyncio.sleep(UNREACHABLE_DELAY_SECONDS)
            return
        request = pb.ReportRequest(generation=self._follower.directory.generation)
        try:
            report = await stub.Report(request, timeout=REPORT_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError:
            self._fleet.reports.record(target, None)
            return
        self._follower.record_announced(report.generation)
        self._fleet.reports.record(target, report)
        load = make_target_load(report)
        self._router.handle(TargetReported(time.monotonic(), target, load))
