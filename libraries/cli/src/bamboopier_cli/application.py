"""Entry point of the ``bamboopier`` command."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

from bamboopier_configuration.errors import BamboopierError

from .arguments import bind_arguments, find_command
from .commands.agent import agent
from .commands.check import check
from .commands.drain import drain
from .commands.explain import explain
from .commands.gateway import gateway
from .commands.publish import publish
from .commands.replay import replay
from .commands.restore import restore
from .commands.status import status
from .commands.version import version
from .exit_codes import FAILURE, INTERRUPTED, SUCCESS, CommandError
from .help import describe_command, describe_program

if TYPE_CHECKING:
    from collections.abc import Callable

COMMANDS: dict[str, Callable[..., str | None]] = {
    "agent": agent,
    "check": check,
    "drain": drain,
    "explain": explain,
    "gateway": gateway,
    "publish": publish,
    "replay": replay,
    "restore": restore,
    "status": status,
    "version": version,
}
HELP_FLAGS = frozenset({"--help", "-h"})


def main() -> None:
    """Run one command; print output to stdout and an error as one line to stderr."""
    try:
        output = run_command(sys.argv[1:])
        if output:
            print(output, flush=True)
    except CommandError as error:
        _fail(error, error.status)
    except BamboopierError as error:
        _fail(error, FAILURE)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
    except BrokenPipeError:
        # The reader closed the pipe, as ``head`` does, which is no error to report.
        # Without the replacement the interpreter's flush at exit raises again.
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115 (closed at exit)
        sys.exit(FAILURE)
    sys.exit(SUCCESS)


def run_command(arguments: list[str]) -> str:
    """Run the command named by ``arguments`` and return its output."""
    if not arguments or arguments[0] in HELP_FLAGS | {"help"}:
        return describe_program(COMMANDS)
    name, *rest = arguments
    command = find_command(COMMANDS, name)
    if HELP_FLAGS & set(rest):
        return describe_command(name, command)
    bound = bind_arguments(name, command, rest)
    return bound.run()


def _fail(error: BamboopierError, status: int) -> None:
    print(f"bamboopier: {error}", file=sys.stderr)
    sys.exit(status)
