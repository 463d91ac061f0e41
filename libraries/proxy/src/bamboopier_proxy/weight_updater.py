"""Updates the target on an agent's machine to the published weight version.

Guards against two machines that send orders to one target (a lease, checked again right
before the order), an order whose response is lost and that is executed late (it
contains the number of orders that the target had accepted, so that it cannot undo a
later one), all targets loading at once (load slots), and long responses that an order
has to wait for (the gateways are informed before, and the target is drained first).
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import structlog
from result import Err, Ok

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.rest_period import RestPeriod
from bamboopier_decisions.forwarding.rollout_order import (
    count_concurrent_loads,
    find_wave_delay,
)
from bamboopier_decisions.forwarding.weight_load_drain import WeightLoadDrain

from .target_orders import OrderError, RestRequest, WeightOrder

if TYPE_CHECKING:
    import random

    from bamboopier_agent.lease import LeaseManager
    from bamboopier_agent.load_slots import LoadSlots
    from bamboopier_decisions.forwarding.weight_versions import WeightVersions

    from .settings import Endpoint
    from .target_directory import TargetDirectory
    from .target_orders import TargetOrders, TargetReport
    from .weight_load_announcer import WeightLoadAnnouncer

# Interval between reports while no update is due: the target may have restarted with
# older weights. Reading its report on its own machine costs nothing.
IDLE_POLL_SECONDS = 1.0
# Time for which the list of targets is cached: only their number follows from it, and
# the order of the waves until this target's wave starts.
DIRECTORY_SECONDS = 5.0
WAITING_DIRECTORY_SECONDS = 2.0
# Delay before the next attempt to acquire a load slot, and interval between reports
# during a drain or a load.
SLOT_RETRY_SECONDS = 0.25
POLL_SECONDS = 0.08
# Time after which a load that is not visible in the report is ordered again: three
# times the duration of a load. An order without a response is executed within twelve
# seconds or not at all.
LOAD_TIMEOUT_SECONDS = 6.0
# Duration of a drain after which the target accepts all requests again while it waits
# for a load slot: the holders of the slots may be gone.
DRAIN_TIMEOUT_SECONDS = 7.0
# Delay between the announcement to the gateways and the order: datagrams take a few ms.
ANNOUNCEMENT_DELAY_SECONDS = 0.03

log = structlog.get_logger()


class WeightUpdater:
    """Compares versions, orders a load, and waits for its end."""

    def __init__(
        self,
        vm: str,
        endpoint: Endpoint,
        orders: TargetOrders,
        weights: WeightVersions,
        lease: LeaseManager,
        slots: LoadSlots,
        announcer: WeightLoadAnnouncer,
        directory: TargetDirectory,
        random: random.Random,
    ) -> None:
        self._vm = vm
        self._endpoint = endpoint
        self._orders = orders
        self._weights = weights
        self._lease = lease
        self._slots = slots
        self._announcer = announcer
        self._directory = directory
        self._directory_read_at = float("-inf")
        # The version that the target has to load, and since when this agent knows it.
        self._wanted: tuple[str, int] | None = None
        self._wanted_since = 0.0
        self._drain: WeightLoadDrain | None = None
        self._target = ""
        self._rest = RestPeriod()
        self._random = random
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            behind = await self.reconcile()
            self.changed.clear()
            try:
                async with asyncio.timeout(self._choose_pause(behind)):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _choose_pause(self, behind: bool) -> float:
        if self._drain is not None and not self._drain.is_complete:
            return POLL_SECONDS
        seconds = SLOT_RETRY_SECONDS if behind else IDLE_POLL_SECONDS
        return seconds * self._random.uniform(0.7, 1.0)

    async def reconcile(self) -> bool:
        """Load the published version if the target has an older one.

        Return True while the target is behind.
        """
        report = await self._read()
        if report is None:
            return False
        wanted = self._find_wanted(report)
        self._set_wanted(wanted)
        if wanted is None:
            return False
        if report.busy or not await self._refresh_directory():
            return True
        self._target = report.name or self._directory.find_name(
            self._endpoint.host, self._endpoint.port
        )
        if not await self._is_drained(wanted, report):
            return True
        async with self._slots.acquire(
            count_concurrent_loads(self._directory.count)
        ) as slot:
            if slot is None:
                return True
            await self._load(wanted, slot)
        return True

    def _set_wanted(self, wanted: tuple[str, int] | None) -> None:
        if wanted is None:
            self._drain = None
        if wanted != self._wanted:
            self._wanted = wanted
            self._wanted_since = read_clock()

    def _find_published_at(self, wanted: tuple[str, int]) -> float:
        """Return when ``wanted`` was published, as currently known.

        The waves of the rollout count from the publication. Counted from when this
        agent received it, its target would load one or more waves after the others, and
        serve with older weights until they expire. The time that others wrote may be
        read later.
        """
        since = self._weights.find_published_at(wanted[0])
        return since if math.isfinite(since) else self._wanted_since

    def _has_wave_started(self, wanted: tuple[str, int]) -> bool:
        model, newest = wanted
        versions = self._directory.list_versions(model)
        delay = find_wave_delay(versions, newest, self._target)
        return read_clock() - self._find_published_at(wanted) >= delay

    async def _is_drained(self, wanted: tuple[str, int], report: TargetReport) -> bool:
        """Return whether the order would have to wait for hardly any request."""
        if self._drain is None:
            if not self._has_wave_started(wanted):
                return False
            await self._announcer.refresh()
            self._announcer.reset()
            self._drain = WeightLoadDrain(read_clock())
            log.info(
                "weight load drain started",
                target=self._target,
                weight_version=wanted[1],
                running=report.running,
                waited=round(read_clock() - self._find_published_at(wanted), 3),
            )
        now = read_clock()
        if self._drain.find_age(now) < DRAIN_TIMEOUT_SECONDS:
            self._announcer.announce_drain(self._target, wanted[0])
        self._drain.record_running(now, report.runs)
        return self._drain.is_complete

    async def _refresh_directory(self) -> bool:
        """Read the list of targets unless the cached one is recent."""
        now = read_clock()
        is_waiting = self._drain is None
        max_age = WAITING_DIRECTORY_SECONDS if is_waiting else DIRECTORY_SECONDS
        if now - self._directory_read_at < max_age:
            return True
        if not await self._directory.read():
            return False
        self._directory_read_at = now
        return True

    def _find_wanted(self, report: TargetReport) -> tuple[str, int] | None:
        for model, version in report.versions.items():
            newest = self._weights.find_newest(model)
            if newest > version:
                return model, newest
        return None

    async def _load(self, wanted: tuple[str, int], slot: LeaseManager) -> None:
        if not await self._lease.acquire():
            log.info("lease not acquired", key=self._lease.key)
            return
        model, version = wanted
        self._announcer.reset()
        self._announcer.announce_load(self._target, model)
        await asyncio.sleep(ANNOUNCEMENT_DELAY_SECONDS)
        report = await self._read()
        if report is None or report.busy:
            return
        # Checked again: the lease may have expired while the machine was suspended.
        if not (self._lease.held and slot.held):
            log.info("lease expired", key=self._lease.key)
            return
        order = WeightOrder(
            model,
            version,
            self._vm,
            self._lease.lease.fence,
            report.accepted,
            self._target,
        )
        response = await self._orders.order_weights(order)
        self._drain = None
        error = response.err_value if isinstance(response, Err) else None
        if isinstance(error, RestRequest):
            self._record_rest(error)
            return
        log.info(
            "weights ordered",
            model=model,
            weight_version=version,
            was=report.versions,
            fence=order.fence,
            expected=order.expected,
            target=order.target,
            running=report.running,
            waiting=report.waiting,
            fault=error.value if error else "",
        )
        if error is OrderError.MISDIRECTED:
            self._directory_read_at = float("-inf")
        if error in (None, OrderError.UNKNOWN):
            await self._wait_until_loaded(model, version)

    async def _wait_until_loaded(self, model: str, version: int) -> None:
        started = read_clock()
        while read_clock() - started < LOAD_TIMEOUT_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            report = await self._read()
            if report is None:
                continue
            self._announcer.announce_load(self._target, model)
            if report.versions.get(model, 0) >= version and not report.busy:
                self._announcer.announce_end(self._target, model, version)
                seconds = round(read_clock() - started, 3)
                log.info("weights loaded", weight_version=version, seconds=seconds)
                return
        log.warning(
            "weight load not visible in report", model=model, weight_version=version
        )

    async def _read(self) -> TargetReport | None:
        """Return the target's report; None if there is none, or the target rests."""
        if self._rest.is_resting(read_clock()):
            return None
        response = await self._orders.read_report()
        if isinstance(response, Ok):
            return response.ok_value
        if isinstance(response.err_value, RestRequest):
            self._record_rest(response.err_value)
        return None

    def _record_rest(self, request: RestRequest) -> None:
        if self._rest.record_rest(read_clock(), request.seconds):
            seconds = request.seconds
            log.info("target asks for rest", target=self._target, seconds=seconds)
