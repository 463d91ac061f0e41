"""The gateway process: settings in, callers served until SIGTERM."""

from __future__ import annotations

import asyncio
import os
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.daemon import keep_running, serve_administration, wait_for_stop
from bamboopier_decisions.routing.router import Router
from bamboopier_platform.follower import ConfigurationFollower
from bamboopier_platform.http_platform import HttpPlatform

from .agents import Agents
from .application import GatewayApplication
from .fleet import Fleet
from .forwarder import Forwarder
from .listener import CallerListener
from .metrics import GatewayMetrics
from .prompt import PromptReader, WordTokenizer
from .reader import CallReader

if TYPE_CHECKING:
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
        fleet = Fleet(settings, platform, lambda event: _ignore(router.handle(event)))
        follower = ConfigurationFollower(platform, fleet.apply_configuration, generator)
        metrics = GatewayMetrics()
        prompts = PromptReader(bytes.fromhex(settings.block_secret), WordTokenizer())
        forwarder = Forwarder(router, fleet, agents, follower, metrics)
        reader = CallReader(prompts, settings.body_timeout_seconds)
        application = GatewayApplication(settings, follower, reader, forwarder, metrics)
        await stack.enter_async_context(keep_running(follower.run()))
        await stack.enter_async_context(keep_running(fleet.run()))
        await stack.enter_async_context(
            CallerListener(settings, application.make_application(), metrics, None)
        )
        await stack.enter_async_context(
            serve_administration(
                settings.admin, metrics.registry, lambda: application.ready
            )
        )
        log.info("gateway started", vm=settings.vm, listen=str(settings.listen))
        await wait_for_stop()
        application.stop()
        log.info("gateway stopping", open_requests=application.open_requests)
        await asyncio.sleep(STOP_DELAY_SECONDS)
        await asyncio.wait_for(
            application.wait_until_idle(), settings.shutdown_timeout_seconds
        )
        log.info("gateway stopped")


def _ignore(_: object) -> None:
    """Drop a decision: a changed fleet calls for none."""
