"""Reloads changed settings in a running process, on SIGHUP or at intervals."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import structlog

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .settings import ProxySettings

# Seconds between two checks of the file, which may change without a signal. It is read
# from memory, and limits change a few times a day at most.
CHECK_INTERVAL_SECONDS = 5.0

log = structlog.get_logger()


class SettingsReloader:
    """Reads the settings again and applies them if they changed.

    Without a signal handler, SIGHUP would end the process and all its open requests.
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
        """Reload on SIGHUP and at intervals until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self._reload_requested.wait()
                log.info("reload requested")
            except TimeoutError:
                pass
            self._reload_requested.clear()
            self._reload_if_changed()

    def _reload_if_changed(self) -> None:
        try:
            settings = self._read()
        except BamboopierError as error:
            # The current settings stay: a file that is being written is complete later.
            log.warning("invalid settings ignored", reason=str(error))
            return
        if settings == self._settings:
            return
        names = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._apply(settings)
        log.info("settings reloaded", changed=names)
