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
from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.kept_parts import KeptParts
from bamboopier_decisions.forwarding.model import CallerLimits
from bamboopier_decisions.forwarding.retry_share import RetryShares
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_decisions.quarantine.quarantine import Quarantine
from bamboopier_objects.http_caller import HttpCaller
from bamboopier_objects.object_follower import ObjectFollower

from . import configuration_handover, part_relay
from .caller_listener import CallerListener, serve_readiness
from .configuration_handover import ConfigurationHandover
from .configuration_intake import ConfigurationIntake
from .configuration_poll import ConfigurationPoll
from .exchange import Exchange
from .forwarder import Forwarder
from .gossip import Gossip
from .ingress import Ingress
from .knowledge import Knowledge
from .metrics import ProxyMetrics
from .observers import ClosureObserver, TargetObserver, WeightsObserver
from .part_follower import PartFollower
from .part_relay import PartRelay
from .peer_server import PeerServer
from .roster import GatewayEntry, Roster
from .send_planner import SendPlanner
from .settings import Endpoint
from .settings_watch import SettingsWatch
from .store_health import StoreHealth
from .target_pool import TargetPool
from .waiting_room import WaitingRoom
from .weight_ages import WeightAges

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.model import Declared

    from .dialect import Dialect
    from .part_follower import PartStores
    from .settings import ProxySettings
    from .vocabulary import Store, Vocabulary

# Seconds that one watch lasts. One that went silent is noticed a little later, within
# the two seconds in which a leaving target has to be let alone.
WATCH_SECONDS = 2.0
# Different targets that one request must have broken before it is refused, and for how
# long: two could be chance, and a mistake must not starve a path that many ask for.
BREAKS_TO_REFUSE = 3
REFUSED_SECONDS = 30.0
# Share of the grace time in which requests may end; the rest is for closing.
GRACE_SHARE = 0.95
# After not-ready shows, the balancer asks twice, a second apart, before it sends new
# connections elsewhere. Callers are let go only then.
UNREADY_SECONDS = 2.4

log = structlog.get_logger()


async def run_gateway(
    settings: ProxySettings,
    store: Store,
    vocabulary: Vocabulary,
    dialect: Dialect,
    part_stores: PartStores,
    read_settings: Callable[[], ProxySettings],
) -> None:
    """Serve until SIGTERM, then let every request finish."""
    if settings.callers is None or settings.readiness is None:
        raise ValueError("a gateway needs addresses for callers and for readiness")
    generator = random.Random(f"{settings.vm}:{os.getpid()}:{read_clock()}")
    metrics = ProxyMetrics()
    fleet = Fleet()
    room = WaitingRoom()
    kept = KeptParts()
    health = StoreHealth()
    weights = WeightVersions(settings.version_seconds)
    quarantine = Quarantine(BREAKS_TO_REFUSE, REFUSED_SECONDS)
    shares = RetryShares(settings.retries)
    services: list[str] = []

    def apply(declared: Declared) -> None:
        services[:] = list(declared.services)
        fleet.set_services(declared.services)
        managed = [s for s in declared.part_stores if s.managed]
        kept.set_stores({s.address: s.capacity for s in managed})

    def wake_all() -> None:
        for service in services:
            room.wake(service)

    def take_count(count: int) -> None:
        fleet.gateways = count
        log.info("gateways counted", gateways=count)

    knowledge = Knowledge(settings.key_seconds, apply)
    roster = Roster(store, vocabulary.gateways_prefix, generator, take_count)
    ages = WeightAges(store, vocabulary.ages_prefix, weights, generator)
    pool = TargetPool(dialect.name_request_id())
    exchange = Exchange(pool, fleet, dialect)
    place = Endpoint(settings.host, settings.first_port)
    intake = ConfigurationIntake(vocabulary, knowledge)
    # Other gateways know this one by its address.
    caller = HttpCaller("", source=settings.host)
    handover = ConfigurationHandover(intake, knowledge, caller)
    relay = PartRelay(kept, caller)
    peers = PeerServer(
        place,
        roster.has_host,
        {configuration_handover.PATH: handover.answer, part_relay.PATH: relay.answer},
    )
    gossip = Gossip(
        settings.vm,
        settings.host,
        settings.first_port,
        roster,
        fleet,
        knowledge,
        quarantine,
        handover.ask,
        generator,
    )
    forwarder = Forwarder(
        fleet,
        knowledge,
        SendPlanner(weights, kept),
        exchange,
        room,
        metrics,
        gossip,
        shares,
        settings.data_centre,
        generator,
    )
    ingress = Ingress(
        dialect, knowledge, forwarder, metrics, settings.memory_bytes, generator
    )
    targets = ObjectFollower(
        store,
        vocabulary.targets_prefix,
        TargetObserver(vocabulary, fleet, health, wake_all),
        WATCH_SECONDS,
        generator,
        read_clock,
    )
    named = ObjectFollower(
        store,
        vocabulary.weights_prefix,
        WeightsObserver(
            vocabulary,
            weights,
            lambda named: ages.note_named(named.model, named.version),
        ),
        WATCH_SECONDS,
        generator,
        read_clock,
    )
    closures = ObjectFollower(
        store,
        vocabulary.closures_prefix,
        ClosureObserver(vocabulary, fleet),
        WATCH_SECONDS,
        generator,
        read_clock,
    )
    poll = ConfigurationPoll(store, vocabulary, intake, health, generator)

    def take_settings(changed: ProxySettings) -> None:
        knowledge.currency.set_limit(changed.key_seconds)
        weights.set_allowed(changed.version_seconds)
        shares.set_bounds(changed.retries)

    watch = SettingsWatch(settings, read_settings, take_settings)

    async def follow_weights() -> None:
        await ages.read()
        await named.run()

    def is_ready() -> bool:
        return (
            not ingress.stopping
            and targets.loaded.is_set()
            and named.loaded.is_set()
            and knowledge.currency.covers(read_clock())
        )

    def read_limits() -> CallerLimits:
        table = knowledge.table
        return table.declared.limits if table is not None else CallerLimits()

    metrics.dropped_lines.set_function(lambda: open_log_sink().dropped)
    add_process_metrics(
        metrics.registry, "gateway", settings, is_ready, lambda: knowledge.version
    )
    async with AsyncExitStack() as stack:
        with StopSignals() as signals:
            await stack.enter_async_context(pool)
            await stack.enter_async_context(caller)
            await stack.enter_async_context(handover)
            await stack.enter_async_context(peers)
            await stack.enter_async_context(gossip)
            entry = GatewayEntry(settings.host, settings.first_port, gossip.born)
            for work in (
                poll.run(),
                targets.run(),
                follow_weights(),
                closures.run(),
                roster.register(settings.vm, entry),
                roster.run(),
                gossip.run(),
                PartFollower(part_stores, kept, relay, roster, generator).run(),
                room.run(),
                watch.run(),
                pool.run(),
            ):
                await stack.enter_async_context(keep_running(work))
            await stack.enter_async_context(
                serve_administration(
                    Address(settings.metrics.host, settings.metrics.port),
                    metrics.registry,
                    is_ready,
                )
            )
            readiness = await serve_readiness(settings.readiness, is_ready)
            stack.callback(readiness.close)
            listener = await stack.enter_async_context(
                CallerListener(settings.callers, ingress.handle, read_limits)
            )
            log.info("gateway started", vm=settings.vm, listen=str(settings.callers))
            await signals.wait_for_first()
            await _stop(settings, ingress, listener)


async def _stop(
    settings: ProxySettings, ingress: Ingress, listener: CallerListener
) -> None:
    """Finish what is open; callers that still come are served, too."""
    started = read_clock()
    ingress.stopping = True
    log.info("gateway stopping", open_requests=ingress.open_requests)
    await asyncio.sleep(UNREADY_SECONDS)
    # Callers may still come: a listener that is closed leaves those that are already
    # connected without a word until the process ends.
    ingress.refusing = True
    listener.let_go()
    left = settings.grace_seconds * GRACE_SHARE - (read_clock() - started)
    try:
        async with asyncio.timeout(left):
            await ingress.idle.wait()
    except TimeoutError:
        log.warning("requests cut", open_requests=ingress.open_requests)
    log.info("gateway stopped", open_requests=ingress.open_requests)
