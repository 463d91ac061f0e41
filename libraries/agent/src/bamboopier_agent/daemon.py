"""The agent process: settings in, one target served until SIGTERM."""

from __future__ import annotations

import asyncio
import os
import random
import time
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING

import grpc
import structlog
from result import Ok

from bamboopier_daemon.daemon import (
    GRPC_OPTIONS,
    keep_running,
    serve_administration,
    wait_for_stop,
)
from bamboopier_daemon.listening import explain_listening
from bamboopier_decisions.admission.admission import Admission
from bamboopier_decisions.admission.messages import StopRequested
from bamboopier_platform.follower import ConfigurationFollower
from bamboopier_platform.http_platform import HttpPlatform
from bamboopier_protocol.agent_pb2_grpc import add_AgentServicer_to_server

from .claims import ClaimTable
from .context import ContextKeeper, assume_rates
from .context_view import build_view
from .gate import AdmissionGate
from .kept_answers import KeptAnswers
from .metrics import AgentMetrics
from .service import AgentService
from .store_client import StoreClient
from .target import TargetClient
from .target_watch import TargetWatch

if TYPE_CHECKING:
    from bamboopier_configuration.settings import AgentSettings
    from bamboopier_platform.vms import VmList

VM_LIST_SECONDS = 10.0
# For the last claims to be released; longer only while the platform is away.
SETTLE_SECONDS = 5.0

log = structlog.get_logger()


async def run_agent(settings: AgentSettings) -> None:
    """Run until SIGTERM or SIGINT, then let what runs finish."""
    generator = random.Random(f"{settings.vm}:{os.getpid()}")
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(HttpPlatform(settings.platform_url))
        target = await stack.enter_async_context(TargetClient(settings.target_url))
        store = await stack.enter_async_context(StoreClient())
        gate = AdmissionGate(
            Admission(settings.max_running, settings.max_waiting, generator)
        )
        secret = bytes.fromhex(settings.block_secret)
        metrics = AgentMetrics()
        context = ContextKeeper(target, store, secret, metrics, assume_rates())
        watch = TargetWatch(target, gate, context)
        follower = ConfigurationFollower(platform, lambda _: None, generator)
        claims = ClaimTable(platform, str(settings.listen))
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
            gate.run(),
            watch.run(),
            follower.run(),
            context.run(),
            _follow_store_vms(platform, context, follower, settings),
        ):
            await stack.enter_async_context(keep_running(loop))
        server = grpc.aio.server(options=GRPC_OPTIONS)
        stack.push_async_callback(server.stop, None)
        add_AgentServicer_to_server(service, server)
        with explain_listening("listen", settings.listen):
            server.add_insecure_port(str(settings.listen))
        await server.start()

        def is_ready() -> bool:
            return watch.reachable and gate.admission.accepting

        await stack.enter_async_context(
            serve_administration(settings.admin, metrics.registry, is_ready)
        )
        log.info("agent started", target=settings.target, listen=str(settings.listen))
        await wait_for_stop()
        gate.tell(StopRequested(time.monotonic()))
        log.info("agent stopping", running=gate.admission.running)
        await asyncio.wait_for(
            gate.wait_until_idle(), settings.shutdown_timeout_seconds
        )
        with suppress(TimeoutError):
            await asyncio.wait_for(claims.settle(), SETTLE_SECONDS)
        await server.stop(grace=1.0)
        log.info("agent stopped")


async def _follow_store_vms(
    vms: VmList,
    context: ContextKeeper,
    follower: ConfigurationFollower,
    settings: AgentSettings,
) -> None:
    """Keep the service's store VMs, budget and shares up to date."""
    secret = bytes.fromhex(settings.block_secret)
    await follower.loaded.wait()
    while True:
        answer = await vms.list_vms()
        if isinstance(answer, Ok):
            place = (settings.service, settings.data_centre)
            view = build_view(follower.directory, answer.ok_value, *place, secret)
            context.configure(view)
        await asyncio.sleep(VM_LIST_SECONDS if context.store_vms else 0.5)
