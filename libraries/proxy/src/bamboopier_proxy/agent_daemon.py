"""The agent process beside a target: the one that gives it orders."""

from __future__ import annotations

import os
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import structlog
from prometheus_client import CollectorRegistry

from bamboopier_agent.lease import LeaseKeeper
from bamboopier_agent.load_slots import LoadSlots
from bamboopier_configuration.settings import Address
from bamboopier_daemon.clock import read_clock
from bamboopier_daemon.daemon import keep_running, serve_administration
from bamboopier_daemon.process_metrics import add_process_metrics
from bamboopier_daemon.stopping import StopSignals
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_decisions.membership.lease import Lease
from bamboopier_objects.object_follower import ObjectFollower

from .hint_socket import HintSocket
from .load_announcer import LoadAnnouncer
from .observers import WeightsObserver
from .pause_watch import PauseWatch
from .settings_watch import SettingsWatch
from .target_directory import TargetDirectory
from .weight_ages import WeightAges, follow_weights
from .weight_roller import WeightRoller

if TYPE_CHECKING:
    from collections.abc import Callable

    from .settings import ProxySettings
    from .target_orders import TargetOrders
    from .vocabulary import NamedWeights, Store, Vocabulary

# Seconds that one watch for new weights lasts.
WATCH_SECONDS = 4.0
# Seconds a slot is held at most by an agent that was killed: longer than a load.
SLOT_SECONDS = 8.0

log = structlog.get_logger()


async def run_agent(
    settings: ProxySettings,
    store: Store,
    vocabulary: Vocabulary,
    orders: TargetOrders,
    read_settings: Callable[[], ProxySettings],
) -> None:
    """Keep the target's weights as named until SIGTERM."""
    if settings.target is None:
        raise ValueError("an agent needs the address of its target")
    generator = random.Random(f"{settings.vm}:{os.getpid()}:{read_clock()}")
    weights = WeightVersions(settings.version_seconds)
    place = str(settings.target)
    lease = LeaseKeeper(
        store,
        f"{vocabulary.leases_prefix}{place}",
        Lease(settings.vm, settings.host, settings.lease_seconds),
    )
    slots = LoadSlots(
        store,
        settings.target_service,
        settings.vm,
        generator,
        prefix=vocabulary.slots_prefix,
        lease_seconds=SLOT_SECONDS,
    )
    directory = TargetDirectory(store, vocabulary, settings.target_service)
    registry = CollectorRegistry()
    pause_watch = PauseWatch(registry)
    async with AsyncExitStack() as stack:
        with StopSignals() as signals:
            socket = await stack.enter_async_context(
                HintSocket(settings.host, settings.first_port, lambda *_: None)
            )
            roller = WeightRoller(
                settings.vm,
                settings.target,
                orders,
                weights,
                lease,
                slots,
                LoadAnnouncer(store, vocabulary.gateways_prefix, socket),
                directory,
                generator,
            )
            ages = WeightAges(store, vocabulary.ages_prefix, weights, generator)

            def note_named(named: NamedWeights, since: float) -> None:
                ages.note_heard(named.model, named.version, since)
                roller.changed.set()

            follower = ObjectFollower(
                store,
                vocabulary.weights_prefix,
                WeightsObserver(vocabulary, weights, pause_watch.pauses, note_named),
                WATCH_SECONDS,
                generator,
                read_clock,
            )
            await stack.enter_async_context(keep_running(pause_watch.run()))
            await stack.enter_async_context(
                keep_running(follow_weights(ages, follower))
            )
            await stack.enter_async_context(keep_running(roller.run()))
            watch = SettingsWatch(
                settings,
                read_settings,
                lambda changed: weights.set_grace(changed.version_seconds),
            )
            await stack.enter_async_context(keep_running(watch.run()))
            # An agent follows no configuration, only the weights that are named.
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
            log.info("agent started", vm=settings.vm, target=place)
            await signals.wait_for_first()
            log.info("agent stopped", vm=settings.vm)
