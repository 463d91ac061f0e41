"""Sends the requests of a trace at their times and records the responses."""

from __future__ import annotations

import asyncio
import hashlib
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from .observation import Observation, Outcome
from .prompts import make_prompt

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .trace import Trace, TracedRequest

# Time to wait for a response beyond the request's own timeout.
TIMEOUT_GRACE_SECONDS = 5.0
DEFAULT_TIMEOUT_SECONDS = 60.0
_USAGE_KEY = b'"usage":'


@dataclass(frozen=True, slots=True)
class PlayerOptions:
    """Speed and limits of one replay."""

    # Factor by which gaps are shortened, so that hours become seconds.
    speed: float = 1.0
    # Maximum number of open requests; further ones are delayed (``max_start_delay``).
    max_open: int = 256
    # The replay is cancelled after this time if it has not finished.
    max_seconds: float = 600.0


class _ErrorDetail(msgspec.Struct):
    code: str = ""
    ran: str = ""


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    prompt_tokens_details: _PromptDetails = msgspec.field(
        default_factory=_PromptDetails
    )


class Player:
    """Replays one trace against one or more gateways, in round-robin order."""

    def __init__(
        self,
        gateways: Sequence[str],
        api_keys: Mapping[str, str],
        options: PlayerOptions,
    ) -> None:
        self._gateways = [url.rstrip("/") for url in gateways]
        self._api_keys = api_keys
        self._options = options
        self._open_slots = asyncio.Semaphore(options.max_open)
        self.observations: list[Observation] = []
        # Largest delay of a request's start beyond its due time, in seconds.
        self.max_start_delay = 0.0
        self.unfinished = 0

    async def play(self, trace: Trace) -> None:
        """Send all requests; return once each has its outcome, or at ``max_seconds``.

        ``unfinished`` is then the number of requests without an outcome.
        """
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks: list[asyncio.Task[None]] = []
            try:
                async with asyncio.timeout(self._options.max_seconds):
                    await self._send_all(session, trace, tasks)
                    await asyncio.gather(*tasks)
            except TimeoutError:
                for task in tasks:
                    task.cancel()
            self.unfinished = len(trace.requests) - len(self.observations)

    async def _send_all(
        self,
        session: aiohttp.ClientSession,
        trace: Trace,
        tasks: list[asyncio.Task[None]],
    ) -> None:
        started = time.monotonic()
        for index, request in enumerate(trace.requests):
            due = started + request.at / self._options.speed
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self._open_slots.acquire()
            self.max_start_delay = max(self.max_start_delay, time.monotonic() - due)
            gateway = self._gateways[index % len(self._gateways)]
            tasks.append(asyncio.create_task(self._run(session, gateway, request)))

    async def _run(
        self, session: aiohttp.ClientSession, gateway: str, request: TracedRequest
    ) -> None:
        try:
            self.observations.append(await self._observe(session, gateway, request))
        finally:
            self._open_slots.release()

    async def _observe(
        self, session: aiohttp.ClientSession, gateway: str, request: TracedRequest
    ) -> Observation:
        started = time.monotonic()
        method, path, body = _make_call(request)
        timeout = (request.timeout or DEFAULT_TIMEOUT_SECONDS) + TIMEOUT_GRACE_SECONDS
        try:
            async with (
                asyncio.timeout(timeout),
                session.request(
                    method, gateway + path, data=body, headers=self._headers(request)
                ) as response,
            ):
                first_piece = await response.content.readany()
                first_byte = time.monotonic() - started
                content = first_piece + await response.read()
                return _make_observation(
                    request, response, content, started, first_byte
                )
        except TimeoutError:
            return Observation(request.tag, request.workspace, Outcome.TIMED_OUT)
        except aiohttp.ClientError:
            return Observation(request.tag, request.workspace, Outcome.CUT)

    def _headers(self, request: TracedRequest) -> dict[str, str]:
        key = self._api_keys.get(request.workspace, "")
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        if request.timeout is not None:
            headers["X-Timeout-Seconds"] = str(request.timeout)
        if request.priority:
            headers["X-Priority"] = str(request.priority)
        return headers


def _make_call(request: TracedRequest) -> tuple[str, str, bytes]:
    if request.plain is not None:
        return request.plain.method, request.plain.path, request.plain.body.encode()
    assert request.model is not None
    body = {
        "model": request.model.model,
        "prompt": make_prompt(request.model.prompt),
        "max_tokens": request.model.max_tokens,
        "stream": request.model.stream,
    }
    return "POST", "/v1/completions", msgspec.json.encode(body)


def _make_observation(
    request: TracedRequest,
    response: aiohttp.ClientResponse,
    content: bytes,
    started: float,
    first_byte: float,
) -> Observation:
    outcome, code = _classify(response.status, content)
    usage = _read_usage(content)
    return Observation(
        tag=request.tag,
        workspace=request.workspace,
        outcome=outcome,
        code=code,
        first_byte=first_byte,
        total=time.monotonic() - started,
        retry_after=float(response.headers.get("Retry-After", "0")),
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.prompt_tokens_details.cached_tokens,
        idempotency_key=request.idempotency_key,
        body_digest=hashlib.sha256(content).hexdigest(),
    )


def _classify(status: int, content: bytes) -> tuple[Outcome, str]:
    if status < 400 and b"event: error" not in content:
        return Outcome.ANSWERED, ""
    if status < 400:
        return Outcome.CUT, ""
    try:
        detail = msgspec.json.decode(content, type=_ErrorBody).error
    except msgspec.MsgspecError:
        return Outcome.ERROR, str(status)
    if detail.ran == "unknown":
        return Outcome.UNKNOWN, detail.code
    refused = status in (429, 503, 504)
    return (Outcome.REFUSED if refused else Outcome.ERROR), detail.code


def _read_usage(content: bytes) -> _Usage:
    position = content.rfind(_USAGE_KEY)
    if position < 0:
        return _Usage()
    text = content[position + len(_USAGE_KEY) :]
    end = text.find(b"}}") + 2
    try:
        return msgspec.json.decode(text[:end], type=_Usage)
    except msgspec.MsgspecError:
        return _Usage()
