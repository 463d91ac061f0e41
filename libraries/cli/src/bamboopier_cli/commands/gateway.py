"""``bamboopier gateway``: run a gateway."""

from __future__ import annotations

from pathlib import Path

from result import Err

from bamboopier_configuration.settings import GatewaySettings
from bamboopier_configuration.settings_reader import read_settings
from bamboopier_daemon.daemon import run

from ..exit_codes import fail_configuration


def gateway(*, settings: str) -> None:
    """Run a gateway until SIGTERM, with the settings of a JSON file."""
    result = read_settings(Path(settings), GatewaySettings)
    if isinstance(result, Err):
        fail_configuration(result.err_value)
    from bamboopier_gateway.daemon import run_gateway

    run(run_gateway(result.ok_value))
