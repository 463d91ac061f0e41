"""Relays the configuration between gateways.

Guards against a store that rejects some gateways while it serves the others and the
operator, who publishes a new version. The rejected gateways learn from the freshness
responses of the others that their version is outdated; without the new one they would
refuse every request with a key until the store serves them again. The value is relayed
as it is stored, with its revision and the age of its confirmation, so that the receiver
has the same information as the sender.
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

    from bamboopier_objects.http_client import HttpClient

    from .active_configuration import ActiveConfiguration
    from .configuration_loader import ConfigurationLoader
    from .settings import Endpoint

# Timeout of one call: a configuration has at most a megabyte, and other gateways can be
# asked if one does not answer.
CALL_SECONDS = 0.8
# Maximum rate at which copies are sent: half the bandwidth of the weakest link. Several
# gateways rejected by the store may request a copy from the same gateway, and responses
# to its callers queue behind the copies.
SENT_BYTES_PER_SECOND = 312_500
# Delay between two calls: several gateways report the same new version at once.
PAUSE_SECONDS = 0.3
PATH = "/configuration"
REVISION_HEADER = "Configuration-Revision"
# Milliseconds since the freshness of the configuration was confirmed.
AGE_HEADER = "Proof-Age-Ms"

log = structlog.get_logger()


class ConfigurationRelay:
    """Serves copies to other gateways, and requests them while its context is open."""

    def __init__(
        self,
        loader: ConfigurationLoader,
        active_configuration: ActiveConfiguration,
        caller: HttpClient,
    ) -> None:
        self._loader = loader
        self._active_configuration = active_configuration
        self._caller = caller
        self._request_task: asyncio.Task[None] | None = None
        # Time until which the last copy sent is assumed to be in transfer.
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
        """Request a newer version from a gateway, unless a request is in flight.

        While the store is available, the version is already in transfer from there: a
        second copy would use half of a weak link and delay both.
        """
        if self._loader.store_available:
            return
        if self._request_task is None or self._request_task.done():
            self._request_task = asyncio.create_task(self._fetch(gateway))

    async def _fetch(self, gateway: Endpoint) -> None:
        sent_at = read_clock()
        url = f"http://{gateway}{PATH}"
        response = await self._caller.call("GET", url, first_byte_timeout=CALL_SECONDS)
        if isinstance(response, Err) or response.ok_value.status != 200:
            reason = (
                str(response.err_value)
                if isinstance(response, Err)
                else f"status {response.ok_value.status}"
            )
            log.warning(
                "no configuration from gateway", gateway=str(gateway), reason=reason
            )
        else:
            http_reply = response.ok_value
            try:
                revision = int(http_reply.headers[REVISION_HEADER.lower()])
                age = int(http_reply.headers[AGE_HEADER.lower()]) / 1000
            except (KeyError, ValueError) as error:
                log.warning(
                    "no configuration from gateway",
                    gateway=str(gateway),
                    reason=str(error),
                )
            else:
                log.info(
                    "configuration received from gateway",
                    gateway=str(gateway),
                    revision=revision,
                    proof_age=age,
                )
                found = StoredObject("", revision, http_reply.body)
                self._loader.load(found, sent_at - age)
        await asyncio.sleep(PAUSE_SECONDS)

    def answer(self, _: bytes) -> web.Response:
        """Return the active value with its revision and the age of its confirmation.

        Status 503 if there is none, or if the last copy is still being sent.
        """
        stored = self._loader.stored
        now = read_clock()
        if stored is None or now < self._sending_until:
            return web.Response(status=503)
        self._sending_until = now + len(stored.value) / SENT_BYTES_PER_SECOND
        age = self._active_configuration.freshness.find_age(now)
        headers = {
            REVISION_HEADER: str(stored.version),
            # Rounded up: the confirmation must not look younger than it is.
            AGE_HEADER: str(int(age * 1000) + 1),
        }
        return web.Response(body=stored.value, headers=headers)
