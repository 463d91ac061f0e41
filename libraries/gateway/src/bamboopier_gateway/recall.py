"""Answers a request whose idempotency key an agent has claimed before."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import grpc
import structlog

from bamboopier_decisions.routing.messages import ExecutionStatus
from bamboopier_protocol import agent_pb2 as pb

from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from aiohttp import web

    from .agent_connections import AgentConnections
    from .attempt import AttemptResult
    from .call import Call
    from .delivery import Delivery

# For an agent that still runs; one that is gone or suspended must not delay the caller.
RECALL_TIMEOUT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0

log = structlog.get_logger()


class Recall:
    """Asks the agent that holds a claim for the response; nothing runs again."""

    def __init__(self, agents: AgentConnections) -> None:
        self._agents = agents

    async def respond(
        self, call: Call, claimed: AttemptResult, delivery: Delivery
    ) -> web.StreamResponse:
        """Send the cached response; raises ``CallerError`` if there is none."""
        if claimed.cause == pb.KEY_REUSED:
            message = "this idempotency key was used for another request"
            raise CallerError(ErrorCode.KEY_REUSED, message)
        reply = await self._ask_holder(call, claimed)
        if reply.state == pb.RecallReply.NEVER_RAN:
            message = "an earlier claim of this key never ran and is being released"
            raise CallerError(
                ErrorCode.CLAIM_UNAVAILABLE,
                message,
                ExecutionStatus.NOT_EXECUTED,
                RETRY_AFTER_SECONDS,
            )
        if reply.state == pb.RecallReply.RUNNING:
            message = "a request with this idempotency key is under way"
            raise CallerError(
                ErrorCode.KEY_IN_PROGRESS,
                message,
                ExecutionStatus.UNKNOWN,
                RETRY_AFTER_SECONDS,
            )
        if reply.state != pb.RecallReply.KEPT:
            raise _make_unknown_outcome_error()
        await delivery.start(reply.head)
        await delivery.write(reply.body)
        await delivery.finish()
        return delivery.response

    async def _ask_holder(self, call: Call, claimed: AttemptResult) -> pb.RecallReply:
        """Return the holder's reply; raises ``CallerError`` if it gives none."""
        started = time.monotonic()
        remaining = call.deadline - started
        stub = await self._agents.connect_with_retries(claimed.claimed_by, remaining)
        if stub is None:
            _log_reply(call, claimed, started, "unreachable")
            raise _make_unknown_outcome_error()
        request = pb.RecallRequest(
            workspace=call.workspace,
            service=call.service,
            idempotency_key=call.idempotency_key,
            fingerprint=call.fingerprint,
            claim_id=claimed.claim_id,
        )
        remaining = call.deadline - time.monotonic()
        limit = max(0.0, min(RECALL_TIMEOUT_SECONDS, remaining))
        try:
            reply: pb.RecallReply = await stub.Recall(request, timeout=limit)
        except grpc.aio.AioRpcError as error:
            detail = f"{error.code().name}: {error.details()}"
            _log_reply(call, claimed, started, "no-reply", detail)
            raise _make_unknown_outcome_error() from error
        _log_reply(call, claimed, started, pb.RecallReply.State.Name(reply.state))
        return reply


def _log_reply(
    call: Call, claimed: AttemptResult, started: float, reply: str, detail: str = ""
) -> None:
    log.info(
        "claim holder asked",
        request_id=call.request_id,
        workspace=call.workspace,
        service=call.service,
        claim_id=claimed.claim_id,
        holder=claimed.claimed_by,
        reply=reply,
        detail=detail,
        seconds=round(time.monotonic() - started, 3),
    )


def _make_unknown_outcome_error() -> CallerError:
    message = "this idempotency key has been claimed before; its outcome is not known"
    return CallerError(ErrorCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN)
