"""Exit codes, and the error that ends a command with one."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from bamboopier_configuration.errors import ConfigurationError

SUCCESS = 0
# The command ran but did not achieve the requested result.
FAILURE = 1
# Wrong arguments, or an invalid configuration; nothing was changed.
USAGE_ERROR = 2
# Interrupted by Ctrl-C; the value that shells report.
INTERRUPTED = 130


class CommandError(BamboopierError):
    """Ends a command with a message and an exit code, ``status``."""

    def __init__(self, message: str, status: int = FAILURE) -> None:
        super().__init__(message)
        self.status = status


def fail_configuration(error: ConfigurationError) -> NoReturn:
    """End the command because a settings or configuration file is invalid."""
    raise CommandError(str(error), USAGE_ERROR)
