"""Runs the gateway process: serves callers until SIGTERM."""

from __future__ import annotations

import asyncio
import os
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.certificates import Certificates
from bamboopier_daemon.clock import read_clock
from bamboopier_daemon.daemon import keep_running, serve_administration
from bamboopier_daemon.process_metrics import add_process_metrics
from bamboopier_daemon.stopping import ShutdownOutcome, StopSignals
from bamboopier_decisions.routing.router import Router
from bamboopier_objects.follower import ConfigurationFollower
from bamboopier_objects.http_platform import HttpPlatform
from bamboopier_objects.peers import PeerClient
from bamboopier_objects.vm_inventory import VmInventory

from .agent_connections import AgentConnections
from .application import GatewayApplication
from .fleet import Fleet
from .forwarder import Forwarder
from .listener import CallerListener
from .metrics import GatewayMetrics
from .prompt import PromptReader, WordTokenizer
from .reader import CallReader
from .shared_quarantine import SharedQuarantine
from .target_poll import TargetPoll

if TYPE_CHECKING:
    from bamboopier_configuration.settings import GatewaySettings

# Time for the load balancer to see "not ready" and stop sending callers here.
STOP_DELAY_SECONDS = 0.5

log = structlog.get_logger()


async def run_gateway(settings: GatewaySettings) -> None:
    """Serve until SIGTERM or SIGINT, then let open requests finish."""
    generator = random.Random(f"{settings.vm}:{settings.seed}:{os.getpid()}")
    async with AsyncExitStack() as stack:
        certificates = Certificates(settings.tls, allow_plain=settings.allow_plain)
        caller_context = certificates.make_caller_context(settings.caller_tls)
        platform = await stack.enter_async_context(
            HttpPlatform(settings.platform_url, certificates.make_client_context())
        )
        agents = await stack.enter_async_context(AgentConnections(certificates))
        router = Router(generator)
        vms = VmInventory(generator)
        fleet = Fleet(
            settings,
            vms,
            agents,
            lambda event: _discard_decision(router.handle(event)),
            generator,
        )
        peers = PeerClient(settings.peers, vms, certificates.open_channel, generator)
        follower = ConfigurationFollower(
            platform,
            fleet.apply_configuration,
            generator,
            read_clock,
            peers,
            lambda: vms.node_count,
        )
        metrics = GatewayMetrics()
        prompts = PromptReader(
            bytes.fromhex(settings.block_secret), WordTokenizer(), fleet.choose_version
        )
        quarantine = SharedQuarantine(platform, generator)
        forwarder = Forwarder(router, fleet, agents, follower, metrics, quarantine)
        reader = CallReader(prompts, settings.body_timeout_seconds)
        application = GatewayApplication(settings, follower, reader, forwarder, metrics)
        await stack.enter_async_context(keep_running(follower.run()))
        await stack.enter_async_context(keep_running(vms.run(platform)))
        await stack.enter_async_context(keep_running(quarantine.follow()))
        await stack.enter_async_context(keep_running(quarantine.publish()))
        poll = TargetPoll(fleet, agents, follower, router)
        await stack.enter_async_context(keep_running(poll.run()))
        await stack.enter_async_context(keep_running(certificates.follow()))
        listener = await stack.enter_async_context(
            CallerListener(
                settings, application.make_application(), metrics, caller_context
            )
        )

        def is_ready() -> bool:
            # Without the VM list there is no target to send to, and all callers from
            # the load balancer would be refused.
            return application.ready and vms.has_list

        add_process_metrics(
            metrics.registry,
            "gateway",
            settings,
            is_ready,
            lambda: follower.directory.generation,
        )
        await stack.enter_async_context(
            serve_administration(
                settings.admin, metrics.registry, is_ready, metrics.closed_connections
            )
        )
        log.info("gateway started", vm=settings.vm, listen=str(settings.listen))
        with StopSignals() as signals:
            await signals.wait_for_first()
            application.stop()
            log.info("gateway stopping", open_requests=application.open_requests)
            await asyncio.sleep(STOP_DELAY_SECONDS)
            timeout = settings.shutdown_timeout_seconds
            finishing = _finish_requests(application, listener)
            end = await signals.wait_until(finishing, timeout)
            if end is not ShutdownOutcome.IDLE:
                log.warning(
                    "requests cut",
                    reason=end.value,
                    open_requests=application.open_requests,
                    open_connections=listener.open_connections,
                )
                await application.abort_requests()
            log.info("gateway stopped")


async def _finish_requests(
    application: GatewayApplication, listener: CallerListener
) -> None:
    """Return once every caller has been sent its response."""
    await application.wait_until_idle()
    await listener.close_connections()


def _discard_decision(_: object) -> None:
    """Ignore a decision: a change of the fleet requires none."""
