"""Lets an agent's requests finish, and cuts them when their time is over."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.stopping import ShutdownOutcome

if TYPE_CHECKING:
    import grpc

    from bamboopier_daemon.stopping import StopSignals

    from .gate import AdmissionGate
    from .service import AgentService

log = structlog.get_logger()


async def stop_serving(
    signals: StopSignals,
    gate: AdmissionGate,
    service: AgentService,
    server: grpc.aio.Server,
    timeout: float,
) -> None:
    """Return once gateways have all responses.

    Requests and responses that are left after ``timeout`` seconds, or at a second
    signal, are cut. Gateways see these streams end early and correctly report the
    outcome as unknown to their callers.
    """
    finishing = _finish_requests(gate, server, timeout)
    end = await signals.wait_until(finishing, timeout)
    if end is not ShutdownOutcome.IDLE:
        log.warning(
            "requests cut",
            reason=end.value,
            running=gate.admission.running,
            unsent=service.open_streams,
        )
        await server.stop(grace=None)


async def _finish_requests(
    gate: AdmissionGate, server: grpc.aio.Server, timeout: float
) -> None:
    """Return once no request runs and gateways have received all responses.

    A gateway whose caller reads slowly takes a response long after its target has
    completed it, so the server's grace must not end before ``timeout``.
    """
    await gate.wait_until_idle()
    await server.stop(grace=timeout)
