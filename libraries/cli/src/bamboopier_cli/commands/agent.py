"""``bamboopier agent``: run the agent of a target."""

from __future__ import annotations

from pathlib import Path

from result import Err

from bamboopier_configuration.settings import AgentSettings
from bamboopier_configuration.settings_reader import read_settings
from bamboopier_daemon.daemon import run

from ..exit_codes import fail_configuration


def agent(*, settings: str) -> None:
    """Run an agent until SIGTERM, with the settings of a JSON file."""
    result = read_settings(Path(settings), AgentSettings)
    if isinstance(result, Err):
        fail_configuration(result.err_value)
    from bamboopier_agent.daemon import run_agent

    run(run_agent(result.ok_value))
