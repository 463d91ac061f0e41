"""The agent process: settings in, one target served until SIGTERM."""

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
from bamboopier_daemon.daemon import (
    GRPC_OPTIONS,
    keep_running,
    serve_administration,
)
from bamboopier_daemon.listening import convert_listen_errors
from bamboopier_daemon.peer_check import PeerCheck
from bamboopier_daemon.process_metrics import add_process_metrics
from bamboopier_daemon.stopping import ShutdownOutcome, StopSignals
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

from .claims import ClaimTable
from .context import ContextKeeper, assume_rates
from .context_view import build_view
from .gate import AdmissionGate
from .kept_answers import KeptAnswers
from .lease import TARGET_LEASE_SECONDS, LeaseKeeper
from .load_slots import LoadSlots
from .metrics import AgentMetrics
from .service import AgentService
from .standing import TargetStanding
from .store_client import StoreClient
from .target import TargetClient
from .target_watch import TargetWatch
from .weights import WeightsKeeper

if TYPE_CHECKING:
    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.settings import AgentSettings

# For the last claims to be released; longer only while the platform is away.
SETTLE_SECONDS = 5.0
# For answers that have left the target and not yet reached their gateway.
FLUSH_SECONDS = 30.0
RELEASE_SECONDS = 2.0

log = structlog.get_logger()


async def run_agent(settings: AgentSettings) -> None:
    """Run until SIGTERM or SIGINT, then let what runs finish."""
    generator = random.Random(f"{settings.vm}:{os.getpid()}")
    async with AsyncExitStack() as stack:
        certificates = Certificates(settings.tls, allow_plain=settings.allow_plain)
        context_out = certificates.make_client_context()
        platform = await stack.enter_async_context(
            HttpPlatform(settings.platform_url, context_out)
        )
        target = await stack.enter_async_context(
            TargetClient(settings.target_url, context_out)
        )
        store = await stack.enter_async_context(StoreClient())
        gate = AdmissionGate(
            AdmissionController(settings.max_running, settings.max_waiting, generator)
        )
        secret = bytes.fromhex(settings.block_secret)
        metrics = AgentMetrics()
        context = ContextKeeper(target, store, secret, metrics, assume_rates())
        watch = TargetWatch(target, gate, context)
        claims = ClaimTable(platform, str(settings.listen))
        standing = TargetStanding(settings, gate)
        vms = VmInventory(generator)
        vms.subscribe(standing.apply_vms)
        vms.subscribe(lambda _: apply_context())
        peers = PeerClient(settings.peers, vms, certificates.open_channel, generator)

        def apply_context() -> None:
            places = (settings.service, settings.data_centre)
            view = build_view(follower.directory, vms.vms, *places, secret)
            context.configure(view)

        def apply_configuration(directory: Directory) -> None:
            standing.apply_configuration(directory)
            apply_context()

        follower = ConfigurationFollower(
            platform, apply_configuration, generator, peers, lambda: vms.node_count
        )
        holder = f"{settings.vm}:{uuid.uuid4().hex}"
        place = f"{settings.vm}:{settings.listen}"
        lease = LeaseKeeper(
            platform,
            f"leases/targets/{settings.target}",
            Lease(holder, place, TARGET_LEASE_SECONDS),
        )
        weights = WeightsKeeper(
            settings.service,
            target,
            watch,
            standing,
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
            KeptAnswers(settings.kept_answer_bytes),
            context,
            watch,
            follower,
            metrics,
        )
        for loop in (
            certificates.follow(),
            gate.run(),
            watch.run(),
            follower.run(),
            context.run(),
            vms.run(platform),
        ):
            await stack.enter_async_context(keep_running(loop))
        checks = [PeerCheck(settings.gateway_name)] if settings.tls else []
        server = grpc.aio.server(interceptors=checks, options=GRPC_OPTIONS)
        stack.push_async_callback(server.stop, None)
        add_AgentServicer_to_server(service, server)
        add_PeerServicer_to_server(PeerService(follower.store, vms), server)
        with convert_listen_errors("listen", settings.listen):
            certificates.add_port(server, str(settings.listen))
        await server.start()
        # Only now is the place proved to be this process's own.
        orders = _give_orders(lease, weights, generator)
        await stack.enter_async_context(keep_running(orders))

        def is_ready() -> bool:
            # Without services and stores this agent would refuse or forget what the
            # first requests bring.
            informed = follower.directory.generation > 0 and vms.has_list
            return informed and watch.reachable and gate.admission.accepting

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
            standing.shut_down()
            log.info("agent stopping", running=gate.admission.running)
            timeout = settings.shutdown_timeout_seconds
            end = await signals.wait_until(_finish(gate, server), timeout)
            if end is not ShutdownOutcome.IDLE:
                # Gateways see these streams break off and tell their callers that the
                # outcome is unknown, which it is.
                log.warning(
                    "requests cut", reason=end.value, running=gate.admission.running
                )
                await server.stop(grace=None)
            with suppress(TimeoutError):
                await asyncio.wait_for(claims.settle(), SETTLE_SECONDS)
            # A lease that cannot be given up in time lapses by itself.
            with suppress(TimeoutError):
                async with asyncio.timeout(RELEASE_SECONDS):
                    await lease.release()
            log.info("agent stopped")


async def _finish(gate: AdmissionGate, server: grpc.aio.Server) -> None:
    """Return once nothing runs and every answer has been taken over by its gateway."""
    await gate.wait_until_idle()
    await server.stop(grace=FLUSH_SECONDS)


async def _give_orders(
    lease: LeaseKeeper, weights: WeightsKeeper, generator: random.Random
) -> None:
    """Hold the target's lease and bring its weights up to date."""
    async with keep_running(lease.keep(weights.needs_lease, generator)):
        await weights.run()


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
