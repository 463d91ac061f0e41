"""``bamboopier gateway``: run an entry process."""

from __future__ import annotations

from pathlib import Path

from result import Err

from bamboopier_cli.exits import CommandError, fail_configuration
from bamboopier_configuration.reader import read_file
from bamboopier_configuration.settings import GatewaySettings
from bamboopier_daemon.daemon import run


def gateway(settings: str) -> None:
    """Run a gateway with the settings in a JSON file until SIGTERM."""
    answer = read_file(Path(settings), GatewaySettings)
    if isinstance(answer, Err):
        fail_configuration(answer.err_value)
    from bamboopier_gateway.daemon import run_gateway

    try:
        run(run_gateway(answer.ok_value))
    except OSError as error:
        raise CommandError(f"{answer.ok_value.listen}: {error}") from error
