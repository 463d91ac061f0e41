"""Carries a call through its sends until the caller has its final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import structlog
from result import Err, Ok

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.specs import RetrySafety
from bamboopier_decisions.forwarding.placement import choose_target
from bamboopier_decisions.forwarding.wait_queue import draw_retry_after, find_max_wait

from .exchange import Cause
from .refusals import CallerError, ErrorCode, Ran
from .send_log import SendLog

if TYPE_CHECKING:
    import random

    from result import Result

    from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest
    from bamboopier_decisions.forwarding.placement import Demand, Placement
    from bamboopier_decisions.forwarding.shared_retry_budget import SharedRetryBudget, SharedRetryBudgets

    from .delivery import Delivery
    from .exchange import Exchange, SendResult
    from .knowledge import Knowledge
    from .messages import Call, SendMarks
    from .metrics import ProxyMetrics
    from .send_planner import SendPlanner
    from .waiting_room import WaitingRoom

# Sends of one request, those included that a target turned away unrun.
MAX_SENDS = 4
# Seconds a target that turned a request away gets no other; it is full, stopping, or
# loads weights.
TURNED_AWAY_SECONDS = 0.15

# Seconds for which a target is left alone at whose address another one answers. Its own
# entry lapses after three missed heartbeats; a new start has an entry of its own.
REPLACED_SECONDS = 5.0
# Requests a second below which a part of targets' limits is taken for none.
LEAST_PART = 1e-6

log = structlog.get_logger()


class Breaks(Protocol):
    """What is known of requests that broke targets, here and at other gateways."""

    def note_break(self, fingerprint: bytes, target: str) -> None:
        """Take in that a target broke while it had the request."""
        ...

    def find_wait(self, fingerprint: bytes) -> float:
        """Return the seconds for which the request is refused; 0 when it is not."""
        ...


class Forwarder:
    """Places, sends, and decides what follows each end of a send."""

    def __init__(
        self,
        fleet: Fleet,
        knowledge: Knowledge,
        planner: SendPlanner,
        exchange: Exchange,
        room: WaitingRoom,
        metrics: ProxyMetrics,
        breaks: Breaks,
        shares: SharedRetryBudgets,
        data_centre: str,
        random: random.Random,
    ) -> None:
        self._fleet = fleet
        self._knowledge = knowledge
        self._planner = planner
        self._exchange = exchange
        self._room = room
        self._send_log = SendLog(planner, knowledge, metrics)
        self._metrics = metrics
        self._breaks = breaks
        self._shares = shares
        self._data_centre = data_centre
        self._random = random

    async def forward(self, call: Call, delivery: Delivery) -> None:
        """Answer the caller; raises ``CallerError`` when this system must answer."""
        self._check_breaks(call)
        share = self._shares.find(call.service)
        share.record_request(read_clock())
        runs = 0
        while True:
            sent = await self._find_place(call)
            call.tried.append(sent.state.entry.name)
            try:
                result = await self._send(call, sent, delivery)
                self._judge(call, sent, result)
            except BaseException:
                sent.state.circuit_breaker.record_inconclusive()
                raise
            finally:
                self._fleet.end(sent)
                self._room.wake(call.service)
            self._send_log.note(call, sent, result)
            if result.delivered:
                return
            if result.ran is not Ran.NO:
                runs += 1
                call.may_have_run = True
            if not await self._goes_on(call, result, delivery, runs, share):
                return

    async def _send(self, call: Call, sent: InFlightRequest, delivery: Delivery) -> SendResult:
        def prepare() -> Result[SendMarks, Cause]:
            return self._prepare(call, sent)

        return await self._exchange.send(call, sent, prepare, delivery)

    def _prepare(self, call: Call, sent: InFlightRequest) -> Result[SendMarks, Cause]:
        """Return what the target is told, or why nothing may be sent now.

        Raises ``CallerError`` once the request's key may have been taken away.
        """
        now = read_clock()
        if now >= call.timeout:
            return Err(Cause.LATE)
        self._check_currency(call, now)
        is_open = self._fleet.is_open(sent.state, now)
        if not is_open or not self._planner.may_begin(now, call, sent):
            return Err(Cause.CLOSED)
        return Ok(self._planner.make_marks(now, call, sent))

    async def _find_place(self, call: Call) -> InFlightRequest:
        """Return a place at a target; raises ``CallerError`` when there is none."""
        demand = self._planner.make_demand(read_clock(), call)
        tried = set(call.tried)
        placement = self._place(call, demand, tried)
        if placement.state is not None:
            return self._fleet.begin(read_clock(), placement.state, call.prompt)
        if placement.known == 0:
            raise self._refuse(call, ErrorCode.NO_TARGET, placement)
        started = read_clock()
        seconds = find_max_wait(call.route.latency_objective, call.timeout - started)
        self._check_limits(call, placement, started + seconds)

        def find() -> InFlightRequest | None:
            found = self._place(call, demand, tried)
            if found.state is None:
                return None
            return self._fleet.begin(read_clock(), found.state, call.prompt)

        sent = await self._room.wait(
            call.service, call.priority, seconds, find, self._fleet.end
        )
        waited = read_clock() - started
        self._metrics.waited.labels(call.service).observe(waited)
        if sent is None:
            placement = self._place(call, demand, tried)
            raise self._refuse(call, ErrorCode.OVERLOADED, placement)
        return sent

    def _check_limits(self, call: Call, placement: Placement, latest: float) -> None:
        """Refuse a request whose turn at all its targets is known to come too late.

        They are in need, and take so many requests a second; those that wait before it
        go first.
        """
        limited = placement.limited
        if limited.count == 0 or not limited.covers_all:
            return
        before = self._room.count_before(call.service, call.priority)
        turn = limited.next_at + before / max(limited.gateway_rate, LEAST_PART)
        if turn > latest:
            raise self._refuse(call, ErrorCode.OVERLOADED, placement)

    def _place(self, call: Call, demand: Demand, tried: set[str]) -> Placement:
        now = read_clock()
        wanted = self._planner.find_wanted(now, call)
        return choose_target(
            now, self._fleet, demand, tried, wanted, self._data_centre, self._random
        )

    def _refuse(self, call: Call, code: ErrorCode, placement: Placement) -> CallerError:
        now = read_clock()
        log.info(
            "no place",
            request_id=call.request_id,
            service=call.service,
            known=placement.known,
            usable=placement.usable,
            open=placement.open,
            limited=placement.limited.count,
            waiting=self._room.count(call.service),
            tried=call.tried,
        )
        if call.may_have_run:
            return CallerError(ErrorCode.OUTCOME_UNKNOWN, code.value, Ran.UNKNOWN)
        limited = placement.limited
        room_in = limited.next_at - now if limited.covers_all and limited.count else 0.0
        wait = draw_retry_after(call.timeout - now, self._random, room_in)
        return CallerError(code, "no target has room", Ran.NO, wait)

    def _check_currency(self, call: Call, now: float) -> None:
        """Refuse a request with a key once the key may have been taken away."""
        if call.workspace is None:
            return
        if self._knowledge.currency.is_fresh(now):
            return
        if call.may_have_run:
            message = "the configuration became too old to send this again"
            raise CallerError(ErrorCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN)
        raise make_stale_refusal(self._knowledge, now)

    def _check_breaks(self, call: Call) -> None:
        """Refuse a request that broke the targets that ran it."""
        wait = self._breaks.find_wait(call.fingerprint)
        if wait > 0:
            message = "this request broke the targets that ran it"
            raise CallerError(ErrorCode.OVERLOADED, message, Ran.NO, wait)

    def _judge(self, call: Call, sent: InFlightRequest, result: SendResult) -> None:
        """Take in what a send says of its target."""
        state = sent.state
        now = read_clock()
        match result.cause:
            case Cause.NONE if result.failure is not None:
                state.circuit_breaker.record_failure(now)
            case Cause.NONE:
                state.circuit_breaker.record_success()
            case Cause.CONNECT:
                state.circuit_breaker.record_unreachable(now)
            case Cause.NOT_RUN:
                state.busy_until = now + TURNED_AWAY_SECONDS
                state.circuit_breaker.record_inconclusive()
            case Cause.MISDIRECTED:
                state.circuit_breaker.record_inconclusive()
                if result.other_target:
                    # This start of the target is over; its entry only says so later.
                    state.busy_until = now + REPLACED_SECONDS
            case Cause.CLOSED | Cause.LATE | Cause.OUTDATED:
                state.circuit_breaker.record_inconclusive()
            case Cause.BROKEN | Cause.UNSEALED | Cause.TIMEOUT:
                state.circuit_breaker.record_failure(now)
                if result.cause is Cause.BROKEN and not result.status:
                    self._breaks.note_break(call.fingerprint, state.entry.name)

    async def _goes_on(
        self,
        call: Call,
        result: SendResult,
        delivery: Delivery,
        runs: int,
        share: SharedRetryBudget,
    ) -> bool:
        """Say whether another send follows; if not, the caller has its answer."""
        if self._may_send_again(call, result, delivery, runs):
            free = result.cause in (Cause.CONNECT, Cause.CLOSED)
            if free or share.try_spend(read_clock(), self._fleet.gateway_count):
                return True
        if delivery.begun:
            delivery.cut()
            return False
        if result.failure is not None:
            held = result.failure
            await delivery.send(held.status, held.headers, held.body)
            return False
        if call.may_have_run:
            code = ErrorCode.DEADLINE
            if result.cause not in (Cause.TIMEOUT, Cause.LATE):
                code = ErrorCode.OUTCOME_UNKNOWN
            raise CallerError(code, result.cause.value, Ran.UNKNOWN)
        now = read_clock()
        # The caller may wait longer than its route allows, and come back.
        end = call.timeout if now < call.timeout else call.deadline
        wait = draw_retry_after(max(0.0, end - now), self._random)
        raise CallerError(ErrorCode.OVERLOADED, result.cause.value, Ran.NO, wait)

    def _may_send_again(
        self, call: Call, result: SendResult, delivery: Delivery, runs: int
    ) -> bool:
        if len(call.tried) >= MAX_SENDS or read_clock() >= call.timeout:
            return False
        if result.cause is Cause.TIMEOUT:
            return False
        if result.ran is Ran.NO:
            return not delivery.begun or call.last_event is not None
        if runs >= call.route.max_targets:
            return False
        match call.route.repeat:
            case RetrySafety.SAFE:
                return not delivery.begun
            case RetrySafety.RESUMABLE:
                return not delivery.begun or call.last_event is not None
            case RetrySafety.ONCE:
                return False


def make_stale_refusal(knowledge: Knowledge, now: float) -> CallerError:
    """Return the refusal for keys that may have been taken away meanwhile."""
    age = knowledge.currency.find_age(now)
    message = f"the configuration was last confirmed {age:.1f} s ago"
    return CallerError(ErrorCode.STALE_CONFIGURATION, message, Ran.NO, 1.0)
