"""Brings the target beside an agent to the weight version that the operator named.

Failures answered: two machines that order one target (a lease, asked again right
before the order), an order whose answer is lost and that is carried out late (it names
how many orders the target had accepted, so that it cannot undo a later one), all
targets loading at once (slots), requests that wait behind a load (gateways are told
before it begins).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from result import Err, Ok

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.roll_order import count_loads, list_order

from .hints import OrderHint
from .target_orders import OrderFault, WeightOrder

if TYPE_CHECKING:
    import random

    from bamboopier_agent.lease import LeaseKeeper
    from bamboopier_agent.load_slots import LoadSlots
    from bamboopier_decisions.forwarding.weight_versions import WeightVersions

    from .hint_socket import HintSocket
    from .roster import Roster
    from .settings import Endpoint
    from .target_directory import TargetDirectory
    from .target_orders import TargetOrders, TargetReport

# Seconds between two looks at the target while nothing is to be done: it may have come
# back with older weights. Its report costs nothing on its own machine.
REVIEW_SECONDS = 1.0
# Seconds for which a target waits for its turn; one before it may have nobody who
# orders it.
YIELD_SECONDS = 5.0
# Seconds for which the list of targets is taken as it was read.
DIRECTORY_SECONDS = 0.5
# Seconds until the next try for a slot, and between two looks at a load.
SLOT_SECONDS = 0.25
LOOK_SECONDS = 0.08
# Seconds after which a load that does not show is ordered again: three times what one
# takes, and an order without an answer is carried out within twelve seconds or not.
LOAD_SECONDS = 6.0
# Seconds for which gateways are told to send nothing, renewed while the load goes on.
BUSY_SECONDS = 1.5
# Seconds between telling the gateways and the order: datagrams take a few ms.
TELL_SECONDS = 0.03

log = structlog.get_logger()


class WeightRoller:
    """Compares, orders, and waits for the end of a load."""

    def __init__(
        self,
        vm: str,
        place: Endpoint,
        orders: TargetOrders,
        weights: WeightVersions,
        lease: LeaseKeeper,
        slots: LoadSlots,
        roster: Roster,
        socket: HintSocket,
        directory: TargetDirectory,
        random: random.Random,
    ) -> None:
        self._vm = vm
        self._place = place
        self._orders = orders
        self._weights = weights
        self._lease = lease
        self._slots = slots
        self._roster = roster
        self._socket = socket
        self._directory = directory
        self._directory_read = float("-inf")
        self._yielding_since: float | None = None
        self._target = ""
        self._random = random
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            behind = await self.reconcile()
            self.changed.clear()
            seconds = SLOT_SECONDS if behind else REVIEW_SECONDS
            try:
                async with asyncio.timeout(seconds * self._random.uniform(0.7, 1.0)):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def reconcile(self) -> bool:
        """Load what is named if the target has an older version; True while behind."""
        report = await self._read()
        if report is None:
            return False
        wanted = self._find_wanted(report)
        if wanted is None:
            return False
        if report.busy:
            return True
        if not await self._refresh_directory():
            return True
        self._target = report.name or self._directory.find_name(
            self._place.host, self._place.port
        )
        count = count_loads(self._directory.count)
        if self._yields(wanted, count):
            return True
        async with self._slots.take(count) as slot:
            if slot is None:
                return True
            await self._load(wanted, slot)
        return True

    def _yields(self, wanted: tuple[str, int], count: int) -> bool:
        """Say whether other targets load before this one."""
        model, newest = wanted
        order = list_order(self._directory.list_versions(model), newest)
        if self._target in order[:count] or self._target not in order:
            self._yielding_since = None
            return False
        now = read_clock()
        if self._yielding_since is None:
            self._yielding_since = now
        return now - self._yielding_since < YIELD_SECONDS

    async def _refresh_directory(self) -> bool:
        """Read the targets' list unless that was done a moment ago."""
        now = read_clock()
        if now - self._directory_read < DIRECTORY_SECONDS:
            return True
        if not await self._directory.read():
            return False
        self._directory_read = now
        return True

    def _find_wanted(self, report: TargetReport) -> tuple[str, int] | None:
        for model, version in report.versions.items():
            newest = self._weights.find_newest(model)
            if newest > version:
                return model, newest
        return None

    async def _load(self, wanted: tuple[str, int], slot: LeaseKeeper) -> None:
        if not await self._lease.claim():
            log.info("no lease", key=self._lease.key)
            return
        model, version = wanted
        if self._roster.loaded.is_set() or await self._roster.read():
            self._tell(model, 0, BUSY_SECONDS)
            await asyncio.sleep(TELL_SECONDS)
        report = await self._read()
        if report is None or report.busy:
            return
        # The clock is read again here: the machine may have been suspended.
        if not (self._lease.held and slot.held):
            log.info("lease ran out", key=self._lease.key)
            return
        order = WeightOrder(
            model,
            version,
            self._vm,
            self._lease.lease.fence,
            report.accepted,
            self._target,
        )
        answer = await self._orders.order_weights(order)
        fault = answer.err_value if isinstance(answer, Err) else None
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
            fault=fault.value if fault else "",
        )
        if fault is OrderFault.MISDIRECTED:
            self._directory_read = float("-inf")
        if fault in (None, OrderFault.UNKNOWN):
            await self._wait_until_loaded(model, version)

    async def _wait_until_loaded(self, model: str, version: int) -> None:
        started = read_clock()
        told = started
        while read_clock() - started < LOAD_SECONDS:
            await asyncio.sleep(LOOK_SECONDS)
            report = await self._read()
            if report is None:
                continue
            if report.versions.get(model, 0) >= version and not report.busy:
                self._tell(model, version, 0.0)
                seconds = round(read_clock() - started, 3)
                log.info("weights loaded", weight_version=version, seconds=seconds)
                return
            if read_clock() - told > BUSY_SECONDS / 2:
                told = read_clock()
                self._tell(model, 0, BUSY_SECONDS)
        log.warning("load does not show", model=model, weight_version=version)

    async def _read(self) -> TargetReport | None:
        answer = await self._orders.read_report()
        return answer.ok_value if isinstance(answer, Ok) else None

    def _tell(self, model: str, version: int, busy_seconds: float) -> None:
        """Tell the gateways that the target loads, or that it has loaded."""
        hint = OrderHint(self._target, model, version, int(busy_seconds * 1000))
        for peer in self._roster.peers.values():
            self._socket.send(hint, peer)
