"""Takes changed settings into a running process, on SIGHUP or without a word."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import fields
from typing import TYPE_CHECKING

import structlog

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .settings import ProxySettings

# Seconds between two looks at the file: it may change without a signal. It is read from
# memory, and bounds change a few times a day at most.
CHECK_INTERVAL_SECONDS = 5.0

log = structlog.get_logger()


class SettingsReloader:
    """Reads the settings again and hands on those that changed.

    Without a handler SIGHUP would end the process, and every request it has.
    """

    def __init__(
        self,
        settings: ProxySettings,
        read: Callable[[], ProxySettings],
        apply: Callable[[ProxySettings], None],
    ) -> None:
        self._settings = settings
        self._read = read
        self._apply = apply
        self._reload_requested = asyncio.Event()

    async def run(self) -> None:
        """Watch until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self._reload_requested.wait()
                log.info("reload asked for")
            except TimeoutError:
                pass
            self._reload_requested.clear()
            self._reload_if_changed()

    def _reload_if_changed(self) -> None:
        try:
            found = self._read()
        except BamboopierError as error:
            # What is in force stays: a file that is being written is whole later.
            log.warning("settings set aside", reason=str(error))
            return
        if found == self._settings:
            return
        names = [
            field.name
            for field in fields(found)
            if getattr(found, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = found
        self._apply(found)
        log.info("settings reloaded", changed=names)
