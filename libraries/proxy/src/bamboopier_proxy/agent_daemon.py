"""The agent process: runs next to a target and requests its weight updates.

It also remembers streams for gateways, and answers them on the target's load.
"""

from __future__ import annotations

import os
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import structlog
from prometheus_client import CollectorRegistry

from bamboopier_agent.lease import LeaseManager
from bamboopier_agent.load_slots import LoadSlots
from bamboopier_configuration.settings import Address
from bamboopier_daemon.clock import read_clock
from bamboopier_daemon.daemon import keep_running, serve_administration
from bamboopier_daemon.process_metrics import add_process_metrics
from bamboopier_daemon.stopping import StopSignals
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_decisions.membership.lease import Lease
from bamboopier_objects.object_follower import ObjectFollower

from .counted_store import CountedStore
from .hint_socket import HintSocket
from .load_answers import LoadAnswers
from .observers import WeightsObserver
from .pause_monitor import PauseMonitor
from .publish_times import PublishTimes, follow_weights
from .settings_reloader import SettingsReloader
from .stream_records import StreamRecords
from .target_directory import TargetDirectory
from .weight_load_announcer import WeightLoadAnnouncer
from .weight_updater import WeightUpdater
from .weights_confirmation import MAX_AGE_SECONDS, WeightsConfirmation

if TYPE_CHECKING:
    from collections.abc import Callable

    from .hints import Hint
    from .settings import ProxySettings
    from .store_schema import PublishedWeights, Store, StoreSchema
    from .target_orders import TargetOrders

# Seconds after which the load slot of a killed agent expires: longer than a load.
SLOT_LEASE_SECONDS = 8.0

log = structlog.get_logger()


async def run_agent(
    settings: ProxySettings,
    store: Store,
    schema: StoreSchema,
    orders: TargetOrders,
    read_settings: Callable[[], ProxySettings],
) -> None:
    """Keep the target on the published weight versions until SIGTERM."""
    if settings.target is None:
        raise ValueError("an agent needs the address of its target")
    generator = random.Random(f"{settings.vm}:{os.getpid()}:{read_clock()}")
    registry = CollectorRegistry()
    counted = CountedStore(store, registry)
    weights = WeightVersions(settings.version_seconds)
    target_address = str(settings.target)
    lease = LeaseManager(
        counted,
        f"{schema.leases_prefix}{target_address}",
        Lease(settings.vm, settings.host, settings.lease_seconds),
    )
    slots = LoadSlots(
        counted,
        settings.target_service,
        settings.vm,
        generator,
        prefix=schema.load_slots_prefix,
        lease_seconds=SLOT_LEASE_SECONDS,
    )
    directory = TargetDirectory(counted, schema, settings.target_service)
    pause_monitor = PauseMonitor(registry)
    async with AsyncExitStack() as stack:
        with StopSignals() as signals:
            publish_times = PublishTimes(
                counted, schema.publish_times_prefix, weights, generator
            )

            def on_published(published: PublishedWeights, since: float) -> None:
                publish_times.read_if_late(published.model, published.version, since)
                updater.changed.set()

            follower = ObjectFollower(
                counted,
                schema.weights_prefix,
                WeightsObserver(schema, weights, pause_monitor.pauses, on_published),
                settings.watch_seconds,
                generator,
                read_clock,
                MAX_AGE_SECONDS,
            )
            confirmation = WeightsConfirmation(
                settings.vm, follower, lambda hint, to: socket.send(hint, to), generator
            )

            def receive(hint: Hint, sender: tuple[str, int]) -> None:
                answers.receive(hint, sender)
                confirmation.receive(hint, sender)
                streams.receive(hint, sender)

            answers = LoadAnswers(lambda answer, to: socket.send(answer, to))
            streams = StreamRecords(lambda answer, to: socket.send(answer, to))
            socket = await stack.enter_async_context(
                HintSocket(settings.host, settings.first_port, receive)
            )
            updater = WeightUpdater(
                settings.vm,
                settings.target,
                orders,
                weights,
                lease,
                slots,
                WeightLoadAnnouncer(counted, schema.gateways_prefix, socket),
                directory,
                generator,
            )
            await stack.enter_async_context(keep_running(pause_monitor.run()))
            await stack.enter_async_context(
                keep_running(follow_weights(publish_times, follower))
            )
            await stack.enter_async_context(keep_running(confirmation.run()))
            await stack.enter_async_context(keep_running(updater.run()))
            await stack.enter_async_context(keep_running(counted.run()))
            settings_reloader = SettingsReloader(
                settings,
                read_settings,
                lambda changed: weights.set_grace(changed.version_seconds),
            )
            await stack.enter_async_context(keep_running(settings_reloader.run()))
            # An agent follows published weight versions only, no configuration.
            add_process_metrics(
                registry, "agent", settings, follower.loaded.is_set, lambda: 0
            )
            await stack.enter_async_context(
                serve_administration(
                    Address(settings.metrics.host, settings.metrics.port),
                    registry,
                    follower.loaded.is_set,
                )
            )
            log.info("agent started", vm=settings.vm, target=target_address)
            await signals.wait_for_first()
            log.info("agent stopped", vm=settings.vm)
