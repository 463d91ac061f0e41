"""Entry point of the ``bamboopier`` command."""

from __future__ import annotations

import sys

import fire

from bamboopier_configuration.errors import BamboopierError

from .commands.agent import agent
from .commands.check import check
from .commands.drain import drain
from .commands.gateway import gateway
from .commands.publish import publish
from .commands.restore import restore
from .commands.status import status
from .commands.version import version
from .exits import FAILURE, USAGE, CommandError

COMMANDS = {
    "agent": agent,
    "check": check,
    "drain": drain,
    "gateway": gateway,
    "publish": publish,
    "restore": restore,
    "status": status,
    "version": version,
}


def main() -> None:
    """Run one command; errors go to standard error in one line."""
    try:
        fire.Fire(COMMANDS, name="bamboopier")
    except CommandError as error:
        print(f"bamboopier: {error}", file=sys.stderr)
        sys.exit(error.status)
    except BamboopierError as error:
        print(f"bamboopier: {error}", file=sys.stderr)
        sys.exit(FAILURE)
    except fire.core.FireExit:
        sys.exit(USAGE)
