"""One request at one target: what was sent, and what is known of its run."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.routing.messages import Ran

from .answer import BrokenAnswerError
from .delivery import CallerGoneError
from .event_splitter import EventSplitter
from .limit_notes import note_limit
from .target_pool import ConnectError

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest

    from .answer import Answer
    from .begin_watch import BeginWatch, Wait
    from .delivery import Delivery
    from .dialect import Dialect
    from .messages import AnswerMarks, Call, SendMarks
    from .target_pool import TargetPool

# Plain answers up to this size are held until they are whole, so that a broken one
# becomes an error and not a cut connection.
MAX_HELD_BYTES = 1024 * 1024


class Cause(StrEnum):
    """Why a send ended without an answer for the caller."""

    NONE = ""
    CONNECT = "connect"
    CLOSED = "target-closed"
    # The time of its route was over before it was sent.
    LATE = "late"
    # It had not begun when the time of its target's weights was over.
    OUTDATED = "outdated-weights"
    NOT_RUN = "not-run"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    UNSEALED = "unsealed"
    TIMEOUT = "timeout"


@dataclass(slots=True)
class SendResult:
    """How one send ended. ``ran`` is the truth as far as it is known."""

    ran: Ran
    cause: Cause = Cause.NONE
    detail: str = ""
    status: int = 0
    # The caller has the whole answer.
    delivered: bool = False
    # A whole answer of the target's own that reports a failure; may be passed on.
    failure: HeldAnswer | None = None
    weight_version: int = 0
    first_byte: float = 0.0
    # Another target than the one expected answered.
    other_target: bool = False
    # What the target was told, and when; None where nothing was sent.
    marks: SendMarks | None = None
    sent_at: float | None = None


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """A whole answer that has not been passed on."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Exchange:
    """Sends calls to targets and passes their answers on."""

    def __init__(
        self, pool: TargetPool, fleet: Fleet, dialect: Dialect, begins: BeginWatch
    ) -> None:
        self._pool = pool
        self._fleet = fleet
        self._dialect = dialect
        self._begins = begins

    async def send(
        self,
        call: Call,
        sent: InFlightRequest,
        prepare: Callable[[], Result[SendMarks, Cause]],
        delivery: Delivery,
    ) -> SendResult:
        """Send ``call`` to the target of ``sent`` and pass its answer on.

        ``prepare`` is asked right before the send what the target is told, or why
        nothing may be sent; it may raise. Raises ``CallerGoneError`` when nobody waits
        for the answer.
        """
        entry = sent.state.entry
        fresh = not call.route.repeat.allows_rerun
        try:
            connection = await self._pool.take(entry, fresh=fresh)
        except ConnectError as error:
            return SendResult(Ran.NO, Cause.CONNECT, str(error))
        # Nothing may be awaited between these checks and the send: a connection takes
        # up to a second, or as long as this process is suspended, and what held before
        # it may not hold any more.
        try:
            if delivery.has_left:
                raise CallerGoneError("left before the request was sent")
            prepared = prepare()
        except BaseException:
            self._pool.give_back_unused(entry, connection)
            raise
        if isinstance(prepared, Err):
            self._pool.give_back_unused(entry, connection)
            return SendResult(Ran.NO, prepared.err_value)
        marks, sent_at = prepared.unwrap(), read_clock()
        done = False
        with self._begins.watch(call, marks, connection) as wait:
            try:
                async with asyncio.timeout(call.timeout - sent_at):
                    result = await self._ask(call, sent, wait, delivery)
                done = True
            except TimeoutError:
                result = SendResult(Ran.UNKNOWN, Cause.TIMEOUT)
            except BrokenAnswerError as error:
                result = SendResult(Ran.UNKNOWN, Cause.BROKEN, str(error))
            finally:
                if done:
                    self._pool.give_back(entry, connection)
                else:
                    self._pool.drop(entry, connection)
        if wait.taken_back and result.cause is Cause.BROKEN:
            result = SendResult(Ran.UNKNOWN, Cause.OUTDATED)
        result.marks, result.sent_at = marks, sent_at
        return result

    async def _ask(
        self, call: Call, sent: InFlightRequest, wait: Wait, delivery: Delivery
    ) -> SendResult:
        started = read_clock()
        marks = wait.marks
        head = self._write_head(call, marks)
        answer = await wait.connection.ask(
            head, call.body, call.request_id, call.method
        )
        said = self._dialect.read_answer(answer.status, answer.headers)
        self._note_marks(call, sent, said)
        if (said.sealed or said.not_run) and not said.misdirected:
            note_limit(sent.state, started, said, call.request_id)
        if said.not_run or said.misdirected:
            await answer.read_all(MAX_HELD_BYTES)
            cause = Cause.MISDIRECTED if said.misdirected else Cause.NOT_RUN
            return SendResult(
                Ran.NO,
                cause,
                f"status {answer.status}, target {said.target}",
                answer.status,
                weight_version=said.weight_version,
                other_target=bool(said.target) and said.target != marks.target,
            )
        if not said.sealed and answer.status < 500:
            detail = f"status {answer.status} without a seal"
            return SendResult(Ran.UNKNOWN, Cause.UNSEALED, detail, answer.status)
        if call.route.streams and answer.status == 200:
            result = await self._pass_stream(
                call, sent, wait, answer, delivery, started
            )
        else:
            self._begins.note_begun(wait)
            result = await self._pass_whole(call, answer, said, delivery, started)
        result.weight_version = said.weight_version
        return result

    async def _pass_whole(
        self,
        call: Call,
        answer: Answer,
        said: AnswerMarks,
        delivery: Delivery,
        started: float,
    ) -> SendResult:
        body = await answer.read_all(MAX_HELD_BYTES)
        result = SendResult(Ran.YES, status=answer.status)
        result.first_byte = read_clock() - started
        held = HeldAnswer(answer.status, answer.headers, body)
        if answer.status >= 500:
            # A safe request may find another target that does not fail it.
            result.failure = held
            return result
        await delivery.send(held.status, held.headers, held.body)
        result.delivered = True
        return result

    async def _pass_stream(
        self,
        call: Call,
        sent: InFlightRequest,
        wait: Wait,
        answer: Answer,
        delivery: Delivery,
        started: float,
    ) -> SendResult:
        result = SendResult(Ran.YES, status=answer.status)
        splitter = EventSplitter()
        try:
            while data := await answer.read():
                whole = splitter.feed(data)
                if not whole:
                    continue
                if not result.first_byte:
                    result.first_byte = read_clock() - started
                    self._begins.note_begun(wait)
                    self._fleet.record_prefilled(sent)
                if not delivery.begun:
                    await delivery.begin(answer.status, answer.headers)
                await delivery.write(whole)
                call.last_event = splitter.last_event
        except BrokenAnswerError as error:
            result.ran = Ran.UNKNOWN
            result.cause = Cause.BROKEN
            result.detail = str(error)
            return result
        if splitter.rest:
            result.ran = Ran.UNKNOWN
            result.cause = Cause.BROKEN
            result.detail = "the stream ended within an event"
            return result
        if not delivery.begun:
            await delivery.begin(answer.status, answer.headers)
        await delivery.finish()
        result.delivered = True
        return result

    def _write_head(self, call: Call, marks: SendMarks) -> bytes:
        lines = [f"{call.method} {call.raw_path} HTTP/1.1", f"Host: {call.host}"]
        lines += [f"{name}: {value}" for name, value in call.headers]
        lines += [f"{name}: {value}" for name, value in self._dialect.write_send(marks)]
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(f"Content-Length: {len(call.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _note_marks(self, call: Call, sent: InFlightRequest, said: AnswerMarks) -> None:
        state = sent.state
        if call.prompt is not None and said.weight_version and not said.misdirected:
            state.record_version(call.prompt.model, said.weight_version)
        if said.cold_seconds > 0:
            state.cold_start.start(read_clock(), said.cold_seconds)
