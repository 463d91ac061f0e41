"""The agent process: builds its parts from the settings and serves until SIGTERM."""

from __future__ import annotations

import asyncio
import os
import random
import uuid
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING

import grpc
import structlog

from bamboopier_daemon.certificates import Certificates
from bamboopier_daemon.clock import read_clock
from bamboopier_daemon.daemon import (
    GRPC_SERVER_OPTIONS,
    keep_running,
    serve_administration,
)
from bamboopier_daemon.listening import convert_listen_errors
from bamboopier_daemon.peer_check import PeerCheck
from bamboopier_daemon.process_metrics import add_process_metrics
from bamboopier_daemon.stopping import StopSignals
from bamboopier_decisions.admission.controller import AdmissionController
from bamboopier_decisions.membership.lease import Lease
from bamboopier_objects.follower import ConfigurationFollower
from bamboopier_objects.http_platform import HttpPlatform
from bamboopier_objects.peers import PeerClient, PeerService
from bamboopier_objects.vm_inventory import VmInventory
from bamboopier_protocol.agent_pb2_grpc import (
    add_AgentServicer_to_server,
    add_PeerServicer_to_server,
)

from .availability_gate import AvailabilityGate
from .claims import ClaimTable
from .context import ContextBlockManager, make_initial_rates
from .context_view import build_view
from .gate import AdmissionGate
from .lease import TARGET_LEASE_SECONDS, LeaseManager
from .load_slots import LoadSlots
from .metrics import AgentMetrics
from .response_cache import ResponseCache
from .service import AgentService
from .shutdown import stop_serving
from .store_client import StoreClient
from .target import TargetClient
from .target_monitor import TargetMonitor
from .weight_updater import WeightUpdater

if TYPE_CHECKING:
    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.settings import AgentSettings

# For releasing abandoned claims; takes longer only if the platform is unavailable.
CLAIM_RELEASE_TIMEOUT_SECONDS = 5.0
LEASE_RELEASE_TIMEOUT_SECONDS = 2.0
# A gateway that asks before the target was checked counts it as unavailable until its
# next poll. A target that takes longer than this counts as unavailable.
FIRST_CHECK_TIMEOUT_SECONDS = 1.0

log = structlog.get_logger()


async def run_agent(settings: AgentSettings) -> None:
    """Run until SIGTERM or SIGINT, then let running requests finish."""
    generator = random.Random(f"{settings.vm}:{os.getpid()}")
    async with AsyncExitStack() as stack:
        certificates = Certificates(settings.tls, allow_plain=settings.allow_plain)
        ssl_context = certificates.make_client_context()
        platform = await stack.enter_async_context(
            HttpPlatform(settings.platform_url, ssl_context)
        )
        target = await stack.enter_async_context(
            TargetClient(settings.target_url, ssl_context)
        )
        store = await stack.enter_async_context(StoreClient())
        gate = AdmissionGate(
            AdmissionController(settings.max_running, settings.max_waiting, generator)
        )
        secret = bytes.fromhex(settings.block_secret)
        metrics = AgentMetrics()
        context = ContextBlockManager(
            target, store, secret, metrics, make_initial_rates()
        )
        monitor = TargetMonitor(target, gate, context)
        claims = ClaimTable(platform, str(settings.listen))
        availability_gate = AvailabilityGate(settings, gate)
        vms = VmInventory(generator)
        vms.subscribe(availability_gate.apply_vms)
        vms.subscribe(lambda _: apply_context())
        peers = PeerClient(settings.peers, vms, certificates.open_channel, generator)

        def apply_context() -> None:
            location = (settings.service, settings.data_centre)
            view = build_view(follower.directory, vms.vms, *location, secret)
            context.configure(view)

        def apply_configuration(directory: Directory) -> None:
            availability_gate.apply_configuration(directory)
            apply_context()

        follower = ConfigurationFollower(
            platform,
            apply_configuration,
            generator,
            read_clock,
            peers,
            lambda: vms.node_count,
        )
        holder = f"{settings.vm}:{uuid.uuid4().hex}"
        agent_address = f"{settings.vm}:{settings.listen}"
        lease = LeaseManager(
            platform,
            f"leases/targets/{settings.target}",
            Lease(holder, agent_address, TARGET_LEASE_SECONDS),
        )
        weight_updater = WeightUpdater(
            settings.service,
            target,
            monitor,
            availability_gate,
            follower,
            lease,
            LoadSlots(platform, settings.service, holder, generator),
            lambda: _count_targets(vms, follower, settings.service),
            generator,
        )
        service = AgentService(
            settings,
            target,
            gate,
            claims,
            ResponseCache(settings.kept_answer_bytes),
            context,
            monitor,
            follower,
            metrics,
        )
        for loop in (
            certificates.follow(),
            gate.run(),
            monitor.run(),
            follower.run(),
            context.run(),
            vms.run(platform),
        ):
            await stack.enter_async_context(keep_running(loop))
        checks = [PeerCheck(settings.gateway_name)] if settings.tls else []
        server = grpc.aio.server(interceptors=checks, options=GRPC_SERVER_OPTIONS)
        stack.push_async_callback(server.stop, None)
        add_AgentServicer_to_server(service, server)
        add_PeerServicer_to_server(PeerService(follower.store, vms), server)
        await monitor.wait_until_checked(FIRST_CHECK_TIMEOUT_SECONDS)
        with convert_listen_errors("listen", settings.listen):
            certificates.add_port(server, str(settings.listen))
        await server.start()
        # Bound to its port, this process is the only one with this agent address.
        updates = _run_weight_updates(lease, weight_updater, generator)
        await stack.enter_async_context(keep_running(updates))

        def is_ready() -> bool:
            # Without services and stores this agent would refuse the first requests or
            # not store their blocks.
            has_configuration = follower.directory.generation > 0 and vms.has_list
            return has_configuration and monitor.reachable and gate.admission.accepting

        add_process_metrics(
            metrics.registry,
            "agent",
            settings,
            is_ready,
            lambda: follower.directory.generation,
        )
        await stack.enter_async_context(
            serve_administration(settings.admin, metrics.registry, is_ready)
        )
        log.info("agent started", target=settings.target, listen=str(settings.listen))
        with StopSignals() as signals:
            await signals.wait_for_first()
            availability_gate.shut_down()
            log.info("agent stopping", running=gate.admission.running)
            timeout = settings.shutdown_timeout_seconds
            await stop_serving(signals, gate, service, server, timeout)
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    claims.wait_until_released(), CLAIM_RELEASE_TIMEOUT_SECONDS
                )
            # A lease that is not released in time expires by itself.
            with suppress(TimeoutError):
                async with asyncio.timeout(LEASE_RELEASE_TIMEOUT_SECONDS):
                    await lease.release()
            log.info("agent stopped")


async def _run_weight_updates(
    lease: LeaseManager, weight_updater: WeightUpdater, generator: random.Random
) -> None:
    """Hold the target's lease and keep its weights up to date."""
    async with keep_running(lease.maintain(weight_updater.needs_lease, generator)):
        await weight_updater.run()


def _count_targets(
    vms: VmInventory, follower: ConfigurationFollower, service_name: str
) -> int:
    """Return how many targets of the service may serve."""
    drains = follower.directory.configuration.drains
    return sum(
        vm.role == "target"
        and vm.group == service_name
        and vm.state == "live"
        and vm.name not in drains.targets
        and vm.data_centre not in drains.data_centres
        for vm in vms.vms
    )
