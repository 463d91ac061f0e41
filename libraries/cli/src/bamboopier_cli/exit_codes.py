"""Exit codes and the error that carries one."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from bamboopier_configuration.errors import ConfigurationError

SUCCESS = 0
# The command ran and did not achieve what was asked.
FAILURE = 1
# Wrong arguments or a configuration that may not be used; nothing was changed.
USAGE_ERROR = 2
# Ended by Ctrl-C, as shells report it.
INTERRUPTED = 130


class CommandError(BamboopierError):
    """Ends a command with a message and an exit code."""

    def __init__(self, message: str, status: int = FAILURE) -> None:
        super().__init__(message)
        self.status = status


def fail_configuration(error: ConfigurationError) -> NoReturn:
    """End the command because a file may not be used."""
    raise CommandError(str(error), USAGE_ERROR)
