"""``bamboopier gateway``: run an entry process."""

from __future__ import annotations

from pathlib import Path

from result import Err

from bamboopier_configuration.settings import GatewaySettings
from bamboopier_configuration.settings_reader import read_settings
from bamboopier_daemon.daemon import run

from ..exit_codes import fail_configuration


def gateway(*, settings: str) -> None:
    """Run a gateway with the settings in a JSON file until SIGTERM."""
    answer = read_settings(Path(settings), GatewaySettings)
    if isinstance(answer, Err):
        fail_configuration(answer.err_value)
    from bamboopier_gateway.daemon import run_gateway

    run(run_gateway(answer.ok_value))
