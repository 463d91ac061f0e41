"""Finds the software version at which a stream goes on, whichever gateway began it.

The gateway that relays the first event tells a few others, before its caller gets it:
by the time that the caller comes to another gateway, the first one may be gone. It also
tells a few agents, since all gateways may be. Which ones it tells follows from the
stream's key, so that any gateway knows whom to ask.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.specs import RetrySafety
from bamboopier_decisions.forwarding.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    make_stream_key,
)

from .hints import StreamAnswer, StreamHint, StreamQuery
from .refusals import CallerError, ErrorCode, ExecutionStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.specs import TargetEntry
    from bamboopier_decisions.forwarding.version_history import VersionHistory

    from .agent_ring import AgentRing
    from .hints import Hint
    from .messages import Call
    from .peers import Peers
    from .settings import Endpoint

# Number of other gateways that are told of each stream.
NEIGHBOURS = 3
# Number of agents that are told of each stream: while engines are replaced, some of
# them go with their engines.
AGENTS = 3
# Maximum number of other gateways, and of agents, that are asked if those know nothing.
MAX_ASKED = 8
# Seconds for which an answer is awaited: several round trips within a region.
ANSWER_TIMEOUT_SECONDS = 0.06
# Retry-After, in seconds, for a stream of unknown origin: another gateway may know it.
UNKNOWN_RETRY_SECONDS = 0.4

log = structlog.get_logger()


class StreamVersions:
    """The origins of streams, told and asked between gateways."""

    def __init__(
        self,
        fleet: Fleet,
        history: VersionHistory,
        find_list_age: Callable[[], float],
        peers: Peers,
        agents: AgentRing,
        random: random.Random,
    ) -> None:
        self._fleet = fleet
        self._history = history
        # Returns the seconds for which changes of the list of targets may be missing.
        self._find_list_age = find_list_age
        self._peers = peers
        self._agents = agents
        self._origins = StreamOrigins()
        self._nonces = itertools.count(random.getrandbits(32))
        self._queries: dict[int, asyncio.Future[StreamOrigin]] = {}

    def set_longest_stream(self, seconds: float) -> None:
        """Set how long streams may last by the timeouts of their routes."""
        self._origins.set_longest_stream(seconds)
        self._history.set_longest_stream(seconds)

    def record_event(self, call: Call, entry: TargetEntry) -> None:
        """Bind a call to the target of its first event, and tell others."""
        call.software_version = entry.software_version
        if call.route.repeat is not RetrySafety.RESUMABLE:
            return
        key = _make_key(call, call.resumed_request_id or call.request_id)
        origin = StreamOrigin(entry.service, entry.software_version)
        self._origins.record(read_clock(), key, origin)
        hint = StreamHint(
            key, origin.service, origin.software_version, call.route.timeout
        )
        neighbours = self._peers.select_peers(key, NEIGHBOURS)
        for receiver in [*neighbours, *self._agents.select(key, AGENTS)]:
            self._peers.send(hint, receiver)

    async def bind(self, call: Call) -> None:
        """Bind a call that resumes a stream to the software version that began it.

        Raises ``CallerError`` if nobody knows that version: what any other one wrote
        would not fit.
        """
        if call.last_event is None or not call.route.streams:
            return
        origin = await self._find(call)
        log.info(
            "stream resumed",
            request_id=call.request_id,
            resumed_request_id=call.resumed_request_id,
            last_event=call.last_event,
            software_version=origin.software_version if origin else None,
            list_age=round(self._find_list_age(), 3),
        )
        if origin is None:
            message = "the software version that began this stream is not known"
            raise CallerError(
                ErrorCode.NO_TARGET,
                message,
                ExecutionStatus.NOT_EXECUTED,
                UNKNOWN_RETRY_SECONDS,
            )
        call.software_version = origin.software_version
        if origin.service in _list_services(call):
            call.service = origin.service

    def receive(self, hint: Hint, sender: Endpoint) -> None:
        """Handle a message of another gateway, if it concerns streams."""
        match hint:
            case StreamHint():
                origin = StreamOrigin(hint.service, hint.software_version)
                self._origins.record(read_clock(), hint.key, origin)
            case StreamQuery():
                self._answer(hint, sender)
            case StreamAnswer():
                query = self._queries.get(hint.nonce)
                if query is not None and not query.done():
                    query.set_result(StreamOrigin(hint.service, hint.software_version))
            case _:
                pass

    async def _find(self, call: Call) -> StreamOrigin | None:
        services = _list_services(call)
        # A caller that names no request can still be helped by those who know that one
        # version alone has served.
        name = call.resumed_request_id
        key = _make_key(call, name) if name is not None else b""
        timeout = call.route.timeout
        known = self._find_known(key, services, timeout)
        if known is not None:
            return known
        agents = self._agents.select(key, MAX_ASKED)
        neighbours = self._peers.select_peers(key, NEIGHBOURS)
        others = self._peers.sample_peers(MAX_ASKED)
        return await self._ask(
            key, services, timeout, [*neighbours, *agents[:AGENTS]]
        ) or await self._ask(key, services, timeout, [*others, *agents[AGENTS:]])

    def _find_known(
        self, key: bytes, services: list[str], timeout: float
    ) -> StreamOrigin | None:
        """Return the origin of a stream by what this gateway knows itself."""
        return self._origins.find(read_clock(), key) or self._find_only(
            services, timeout
        )

    def _find_only(self, services: list[str], timeout: float) -> StreamOrigin | None:
        """Return the first service, and the only version that any of them had."""
        now, age = read_clock(), self._find_list_age()
        self._history.update(now, self._fleet.list_software_versions())
        versions: set[str] = set()
        for service in services:
            recent = self._history.find_recent(now, service, age, timeout)
            if recent is None:
                return None
            versions |= recent
        return StreamOrigin(services[0], versions.pop()) if len(versions) == 1 else None

    async def _ask(
        self, key: bytes, services: list[str], timeout: float, asked: list[Endpoint]
    ) -> StreamOrigin | None:
        nonce = next(self._nonces)
        answer: asyncio.Future[StreamOrigin]
        answer = asyncio.get_running_loop().create_future()
        self._queries[nonce] = answer
        for receiver in asked:
            self._peers.send(StreamQuery(nonce, key, services, timeout), receiver)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._queries[nonce]

    def _answer(self, query: StreamQuery, sender: Endpoint) -> None:
        origin = self._find_known(query.key, query.services, query.timeout)
        if origin is None:
            return
        answer = StreamAnswer(query.nonce, origin.service, origin.software_version)
        self._peers.send(answer, sender)


def _make_key(call: Call, request_id: str) -> bytes:
    workspace = call.workspace.name if call.workspace is not None else ""
    return make_stream_key(workspace, request_id)


def _list_services(call: Call) -> list[str]:
    """Return the services of a call's route, the one chosen for it first."""
    services = [s.service for s in call.route.services if s.service != call.service]
    return [call.service, *services]
