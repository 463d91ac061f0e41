"""Hands the configuration on between gateways.

Failure answered: the store turns some gateways away while it serves the others and the
operator, and a new version comes. Those gateways learn from the others' proofs that
theirs is no longer current; without the new version they would refuse every request
with a key until the store serves them again. The value is handed on as it is stored,
with its revision and the age of its proof, so that the one who takes it knows no less
than the one who gave it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from aiohttp import web
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_objects.objects import StoredObject

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from bamboopier_objects.http_caller import HttpCaller

    from .active_configuration import ActiveConfiguration
    from .configuration_loader import ConfigurationLoader
    from .settings import Endpoint

# Seconds for one call: a configuration has a megabyte at most, and a gateway that does
# not answer is one of several.
CALL_SECONDS = 0.8
# Bytes a second that are handed on at the most: half of what the weakest link carries.
# Several gateways that are turned away ask the same one, and its callers wait behind.
SENT_BYTES_PER_SECOND = 312_500
# Seconds between two calls: several gateways tell of the same new version at once.
PAUSE_SECONDS = 0.3
PATH = "/configuration"
REVISION_HEADER = "Configuration-Revision"
# Milliseconds since the configuration was proved current.
AGE_HEADER = "Proof-Age-Ms"

log = structlog.get_logger()


class ConfigurationRelay:
    """Answers other gateways, and asks them while its context is open."""

    def __init__(
        self,
        loader: ConfigurationLoader,
        active_configuration: ActiveConfiguration,
        caller: HttpCaller,
    ) -> None:
        self._loader = loader
        self._active_configuration = active_configuration
        self._caller = caller
        self._request_task: asyncio.Task[None] | None = None
        # Until then the last copy given is taken to be on its way.
        self._sending_until = float("-inf")

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._request_task is not None:
            self._request_task.cancel()

    def request(self, gateway: Endpoint) -> None:
        """Ask a gateway that has a newer version, unless one is being asked.

        While the store answers, the version is on its way from there: a second copy
        would take half of a weak link, and both would be late.
        """
        if self._loader.store_available:
            return
        if self._request_task is None or self._request_task.done():
            self._request_task = asyncio.create_task(self._fetch(gateway))

    async def _fetch(self, gateway: Endpoint) -> None:
        sent_at = read_clock()
        url = f"http://{gateway}{PATH}"
        answer = await self._caller.call("GET", url, patience=CALL_SECONDS)
        if isinstance(answer, Err) or answer.ok_value.status != 200:
            reason = (
                str(answer.err_value)
                if isinstance(answer, Err)
                else f"status {answer.ok_value.status}"
            )
            log.warning("no configuration", gateway=str(gateway), reason=reason)
        else:
            reply = answer.ok_value
            try:
                revision = int(reply.headers[REVISION_HEADER.lower()])
                age = int(reply.headers[AGE_HEADER.lower()]) / 1000
            except (KeyError, ValueError) as error:
                log.warning("no configuration", gateway=str(gateway), reason=str(error))
            else:
                log.info(
                    "configuration handed on",
                    gateway=str(gateway),
                    revision=revision,
                    proof_age=age,
                )
                found = StoredObject("", revision, reply.body)
                self._loader.load(found, sent_at - age)
        await asyncio.sleep(PAUSE_SECONDS)

    def answer(self, _: bytes) -> web.Response:
        """Hand on what is in force, with its revision and the age of its proof."""
        stored = self._loader.stored
        now = read_clock()
        if stored is None or now < self._sending_until:
            return web.Response(status=503)
        self._sending_until = now + len(stored.value) / SENT_BYTES_PER_SECOND
        age = self._active_configuration.currency.find_age(now)
        headers = {
            REVISION_HEADER: str(stored.version),
            # Rounded up: the proof must not look younger than it is.
            AGE_HEADER: str(int(age * 1000) + 1),
        }
        return web.Response(body=stored.value, headers=headers)
