"""The gateway process: settings in, callers served until SIGTERM."""

from __future__ import annotations

import asyncio
import os
import random
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

from bamboopier_daemon.daemon import keep_running, serve_administration
from bamboopier_daemon.stopping import StopEnd, StopSignals
from bamboopier_decisions.routing.router import Router
from bamboopier_platform.follower import ConfigurationFollower
from bamboopier_platform.http_platform import HttpPlatform
from bamboopier_platform.peers import PeerClient
from bamboopier_platform.vms import VmBoard

from .agents import Agents, open_channel
from .application import GatewayApplication
from .fleet import Fleet
from .forwarder import Forwarder
from .metrics import GatewayMetrics
from .prompt import PromptReader, WordTokenizer
from .reader import CallReader
from .target_poll import TargetPoll

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bamboopier_configuration.settings import GatewaySettings

# After not-ready shows, the balancer needs a moment to stop sending callers here.
STOP_DELAY_SECONDS = 0.5

log = structlog.get_logger()


async def run_gateway(settings: GatewaySettings) -> None:
    """Run until SIGTERM or SIGINT, then let every request finish."""
    generator = random.Random(f"{settings.vm}:{settings.seed}:{os.getpid()}")
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(HttpPlatform(settings.platform_url))
        agents = await stack.enter_async_context(Agents())
        router = Router(generator)
        vms = VmBoard(generator)
        fleet = Fleet(
            settings,
            vms,
            agents,
            lambda event: _ignore(router.handle(event)),
            generator,
        )
        peers = PeerClient(settings.peers, vms, open_channel, generator)
        follower = ConfigurationFollower(
            platform,
            fleet.apply_configuration,
            generator,
            peers,
            lambda: vms.nodes,
        )
        metrics = GatewayMetrics()
        prompts = PromptReader(
            bytes.fromhex(settings.block_secret), WordTokenizer(), fleet.choose_version
        )
        forwarder = Forwarder(router, fleet, agents, follower, metrics)
        application = GatewayApplication(
            settings, follower, CallReader(prompts), forwarder, metrics
        )
        await stack.enter_async_context(keep_running(follower.run()))
        await stack.enter_async_context(keep_running(vms.run(platform)))
        poll = TargetPoll(fleet, agents, follower, router)
        await stack.enter_async_context(keep_running(poll.run()))
        await stack.enter_async_context(_serve_callers(settings, application))
        await stack.enter_async_context(
            serve_administration(
                settings.admin, metrics.registry, lambda: application.ready
            )
        )
        log.info("gateway started", vm=settings.vm, listen=str(settings.listen))
        with StopSignals() as signals:
            await signals.wait_for_first()
            application.stop()
            log.info("gateway stopping", open_requests=application.open_requests)
            await asyncio.sleep(STOP_DELAY_SECONDS)
            timeout = settings.shutdown_timeout_seconds
            end = await signals.wait_until(application.wait_until_idle(), timeout)
            if end is not StopEnd.IDLE:
                log.warning(
                    "requests cut",
                    reason=end.value,
                    open_requests=application.open_requests,
                )
                await application.cut_short()
            log.info("gateway stopped")


@asynccontextmanager
async def _serve_callers(
    settings: GatewaySettings, application: GatewayApplication
) -> AsyncIterator[None]:
    runner = web.AppRunner(
        application.make_application(),
        access_log=None,
        handler_cancellation=True,
        max_line_size=8190,
        max_field_size=8190,
        shutdown_timeout=1.0,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, settings.listen.host, settings.listen.port).start()
        yield
    finally:
        await runner.cleanup()


def _ignore(_: object) -> None:
    """Drop a decision: a changed fleet calls for none."""
