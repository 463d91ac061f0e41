"""``bamboopier agent``: run the process beside a target."""

from __future__ import annotations

from pathlib import Path

from result import Err

from bamboopier_cli.exits import CommandError, fail_configuration
from bamboopier_configuration.reader import read_file
from bamboopier_configuration.settings import AgentSettings
from bamboopier_daemon.daemon import run


def agent(settings: str) -> None:
    """Run an agent with the settings in a JSON file until SIGTERM."""
    answer = read_file(Path(settings), AgentSettings)
    if isinstance(answer, Err):
        fail_configuration(answer.err_value)
    from bamboopier_agent.daemon import run_agent

    try:
        run(run_agent(answer.ok_value))
    except OSError as error:
        raise CommandError(f"{answer.ok_value.listen}: {error}") from error
