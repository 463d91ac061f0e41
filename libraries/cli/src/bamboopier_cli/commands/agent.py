"""``bamboopier agent``: run the process beside a target."""

from __future__ import annotations

from pathlib import Path

from result import Err

from bamboopier_configuration.settings import AgentSettings
from bamboopier_configuration.settings_reader import read_settings
from bamboopier_daemon.daemon import run

from ..exit_codes import fail_configuration


def agent(*, settings: str) -> None:
    """Run an agent with the settings in a JSON file until SIGTERM."""
    answer = read_settings(Path(settings), AgentSettings)
    if isinstance(answer, Err):
        fail_configuration(answer.err_value)
    from bamboopier_agent.daemon import run_agent

    run(run_agent(answer.ok_value))
