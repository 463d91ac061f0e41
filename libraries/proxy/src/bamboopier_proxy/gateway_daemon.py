"""The gateway process: forwards callers' requests until SIGTERM."""

from __future__ import annotations

import asyncio
import os
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import structlog

from bamboopier_configuration.settings import Address
from bamboopier_daemon.clock import read_clock
from bamboopier_daemon.daemon import (
    keep_running,
    open_log_sink,
    serve_administration,
)
from bamboopier_daemon.process_metrics import add_process_metrics
from bamboopier_daemon.stopping import StopSignals

from .attempt_planner import AttemptPlanner
from .call_retries import RetryAccounts
from .caller_listener import (
    CallerListener,
    find_backlog,
    make_places,
    serve_readiness,
)
from .counted_store import CountedStore
from .crash_monitor import CrashMonitor
from .exchange import Exchange
from .forwarder import Forwarder
from .gateway_peers import GatewayPeers
from .gateway_state import GatewayState
from .ingress import Ingress
from .metrics import ProxyMetrics
from .pause_monitor import PauseMonitor
from .retry_loans import RetryLoans
from .rollouts.answer_log import AnswerLog
from .settings_reloader import SettingsReloader
from .stall_monitor import StallMonitor
from .store_confirmation import StoreConfirmation
from .store_followers import StoreFollowers
from .target_loads import TargetLoads
from .target_pool import TargetPool
from .weight_expiry_monitor import WeightExpiryMonitor

if TYPE_CHECKING:
    from collections.abc import Callable

    from .header_codec import HeaderCodec
    from .part_follower import PartStoreClient
    from .settings import ProxySettings
    from .store_schema import Store, StoreSchema

# Share of the grace period for open requests; the remainder is for closing.
GRACE_SHARE = 0.95
# Seconds between turning not ready and closing callers' connections: the load balancer
# probes twice, a second apart, before it sends new connections elsewhere.
UNREADY_DELAY_SECONDS = 2.4

log = structlog.get_logger()


async def run_gateway(
    settings: ProxySettings,
    store: Store,
    schema: StoreSchema,
    codec: HeaderCodec,
    part_store_client: PartStoreClient,
    read_settings: Callable[[], ProxySettings],
) -> None:
    """Serve until SIGTERM, then complete the open requests."""
    if settings.callers is None or settings.readiness is None:
        raise ValueError("a gateway needs addresses for callers and for readiness")
    generator = random.Random(f"{settings.vm}:{os.getpid()}:{read_clock()}")
    metrics = ProxyMetrics()
    counted = CountedStore(store, metrics.registry)
    pause_monitor = PauseMonitor(metrics.registry)
    state = GatewayState(settings, schema, pause_monitor.pauses)
    pause_monitor.listeners.append(state.availability.record_pause)
    followers = StoreFollowers(
        state,
        counted,
        schema,
        generator,
        settings.watch_seconds,
        follows_rollouts=settings.rollout_allowance is not None,
    )
    peers = GatewayPeers(
        settings,
        state,
        counted,
        schema,
        part_store_client,
        followers.find_targets_age,
        generator,
    )
    confirmation = StoreConfirmation(
        settings.vm,
        state,
        followers,
        peers.hint_exchange,
        peers.request_configuration,
        metrics,
        generator,
    )
    peers.hint_exchange.listeners.append(confirmation.receive)
    target_loads = TargetLoads(
        settings.vm,
        peers.hint_exchange.started_ms,
        settings.first_port,
        state.fleet,
        peers.hint_exchange,
        state.request_queues.wake,
        generator,
    )
    peers.hint_exchange.listeners.append(target_loads.receive)
    pool = TargetPool(codec.get_request_id_header())
    expiry_monitor = WeightExpiryMonitor(state.weights)
    stall_monitor = StallMonitor()
    retry_loans = RetryLoans(
        settings.vm, state.retry_budgets, peers.hint_exchange, generator
    )
    peers.hint_exchange.listeners.append(retry_loans.receive)
    rollout_answers = AnswerLog(state.rollout_traffic, metrics)
    crash_monitor = CrashMonitor(pool, peers.hint_exchange, peers.part_evidence)
    forwarder = Forwarder(
        state.fleet,
        state.active_configuration,
        AttemptPlanner(
            state.weights,
            state.part_store_index,
            state.fleet,
            state.rollout_traffic,
            generator,
        ),
        Exchange(
            pool,
            state.fleet,
            codec,
            expiry_monitor,
            stall_monitor,
            peers.stream_versions,
            crash_monitor,
            state.pauses,
        ),
        state.request_queues,
        target_loads,
        metrics,
        crash_monitor,
        peers.stream_versions,
        RetryAccounts(state.retry_budgets, retry_loans, metrics),
        rollout_answers,
        settings.data_centre,
        generator,
    )
    ingress = Ingress(
        codec,
        state.active_configuration,
        forwarder,
        metrics,
        state.pauses,
        settings.memory_bytes,
        generator,
    )
    rollouts = []
    if settings.rollout_allowance is not None:
        controller = peers.make_rollout_controller(
            state,
            rollout_answers,
            metrics,
            settings.rollout_allowance,
            lambda: followers.loaded and state.active_configuration.version > 0,
        )
        rollouts.append(controller.run())
    settings_reloader = SettingsReloader(settings, read_settings, state.apply_settings)

    def is_ready() -> bool:
        return (
            not ingress.stopping
            and followers.loaded
            and peers.loaded
            and state.active_configuration.freshness.is_fresh(read_clock())
        )

    metrics.dropped_lines.set_function(lambda: open_log_sink().dropped)
    add_process_metrics(
        metrics.registry,
        "gateway",
        settings,
        is_ready,
        lambda: state.active_configuration.version,
    )
    async with AsyncExitStack() as stack:
        with StopSignals() as signals:
            await stack.enter_async_context(pool)
            await stack.enter_async_context(peers)
            await stack.enter_async_context(crash_monitor)
            for work in (
                pause_monitor.run(),
                *followers.list_coroutines(),
                *peers.list_coroutines(),
                confirmation.run(),
                target_loads.run(),
                counted.run(),
                state.request_queues.run(),
                settings_reloader.run(),
                pool.run(),
                expiry_monitor.run(),
                stall_monitor.run(),
                *rollouts,
            ):
                await stack.enter_async_context(keep_running(work))
            await stack.enter_async_context(
                serve_administration(
                    Address(settings.metrics.host, settings.metrics.port),
                    metrics.registry,
                    is_ready,
                    metrics.closed_connections,
                )
            )
            await stack.enter_async_context(
                serve_readiness(
                    settings.readiness, is_ready, metrics.closed_connections
                )
            )
            listener = await stack.enter_async_context(
                CallerListener(
                    settings.callers,
                    make_places(settings),
                    ingress.handle,
                    state.find_caller_limits,
                    metrics.closed_connections,
                    find_backlog(settings),
                )
            )
            log.info(
                "gateway started",
                vm=settings.vm,
                listen=str(settings.callers),
                first_start=settings.first_start,
            )
            await signals.wait_for_first()
            await _stop(settings, ingress, listener)


async def _stop(
    settings: ProxySettings, ingress: Ingress, listener: CallerListener
) -> None:
    """Complete the open requests; new ones get a response, too."""
    started_at = read_clock()
    ingress.stopping = True
    log.info("gateway stopping", open_requests=ingress.open_requests)
    await asyncio.sleep(UNREADY_DELAY_SECONDS)
    # The listener stays open: after closing it, callers that are already connected
    # would get no response until the process ends.
    ingress.refusing = True
    listener.close_when_idle()
    remaining = settings.grace_seconds * GRACE_SHARE - (read_clock() - started_at)
    try:
        async with asyncio.timeout(remaining):
            await ingress.idle.wait()
            await listener.close_connections()
    except TimeoutError:
        log.warning(
            "requests cut",
            open_requests=ingress.open_requests,
            open_connections=listener.open_connections,
        )
    log.info("gateway stopped", open_requests=ingress.open_requests)
