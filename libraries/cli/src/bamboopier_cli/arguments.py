"""Binds command-line arguments to a command's parameters.

Parsing is done by fire, with three of its behaviours overridden: it guesses types (a
target named ``1e3`` would become a number), it reports a usage error with a page of
help, and it looks up surplus arguments as attributes of the result.
"""

from __future__ import annotations

import difflib
import functools
import inspect
import io
import re
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NoReturn

import fire
from fire.decorators import SetParseFn, SetParseFns

from .exit_codes import USAGE_ERROR, CommandError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


@dataclass(frozen=True, slots=True)
class BoundCommand:
    """A command with its parsed arguments, ready to run."""

    command: Callable[..., str | None]
    positional: tuple[Any, ...]
    named: dict[str, Any]

    def run(self) -> str:
        """Run the command and return its output."""
        return self.command(*self.positional, **self.named) or ""


def find_command(
    commands: Mapping[str, Callable[..., str | None]], name: str
) -> Callable[..., str | None]:
    """Return the command called ``name``; raise ``CommandError`` if there is none."""
    command = commands.get(name)
    if command is None:
        matches = difflib.get_close_matches(name, commands, n=1)
        hint = f"did you mean '{matches[0]}'? " if matches else ""
        _fail(f"unknown command '{name}'; {hint}known: {', '.join(sorted(commands))}")
    return command


def bind_arguments(
    name: str, command: Callable[..., str | None], arguments: list[str]
) -> BoundCommand:
    """Parse ``arguments`` for ``command``; raise ``CommandError`` if they are wrong."""
    parameters = inspect.signature(command).parameters
    _check_flags(name, parameters, arguments)
    bound: list[BoundCommand] = []

    @functools.wraps(command)
    def record(*positional: Any, **named: Any) -> str:
        bound.append(BoundCommand(command, positional, named))
        return ""

    decorated = SetParseFn(str)(record)
    decorated = SetParseFns(**_choose_parsers(parameters))(decorated)
    try:
        with redirect_stderr(io.StringIO()), redirect_stdout(io.StringIO()):
            fire.Fire(decorated, command=arguments, name=name)
    except fire.core.FireExit as error:
        _fail_parse(name, error, parameters)
    except ValueError as error:
        _fail(f"{name}: {error}; see bamboopier {name} --help")
    if not bound:
        _fail(f"{name}: wrong arguments; see bamboopier {name} --help")
    return bound[0]


def parse_flag(text: str) -> bool:
    """Return the value of a boolean flag; raise ``ValueError`` for any other text."""
    if text not in ("True", "true", "False", "false"):
        raise ValueError(f"found '{text}' for a flag; allowed: true, false")
    return text in ("True", "true")


_PARSERS: dict[str, Callable[[str], Any]] = {
    "bool": parse_flag,
    "int": int,
    "float": float,
}


def _choose_parsers(
    parameters: Mapping[str, inspect.Parameter],
) -> dict[str, Callable[[str], Any]]:
    """Return a parser for each parameter by its annotation.

    Annotations are strings, because modules postpone their evaluation.
    """
    parsers: dict[str, Callable[[str], Any]] = {}
    for parameter in parameters.values():
        if parameter.kind is not inspect.Parameter.VAR_POSITIONAL:
            kind = str(parameter.annotation).split(" | ")[0]
            parsers[parameter.name] = _PARSERS.get(kind, str)
    return parsers


def _check_flags(
    name: str, parameters: Mapping[str, inspect.Parameter], arguments: list[str]
) -> None:
    for argument in arguments:
        flag = argument.split("=")[0]
        if not flag.startswith("--") or flag == "--":
            continue
        parameter_name = flag.removeprefix("--").replace("-", "_")
        if (
            parameter_name not in parameters
            and parameter_name.removeprefix("no") not in parameters
        ):
            matches = difflib.get_close_matches(parameter_name, parameters, n=1)
            hint = (
                f"did you mean '--{matches[0].replace('_', '-')}'? " if matches else ""
            )
            _fail(f"{name}: unknown option '{flag}'; {hint}see bamboopier {name} -h")


def _fail_parse(
    name: str, error: Any, parameters: Mapping[str, inspect.Parameter]
) -> NoReturn:
    text = " ".join(str(error.trace.elements[-1].ErrorAsStr()).split())
    if "required" in text:
        missing = [p for p in parameters if re.search(rf"\b{p}\b", text)]
        text = " and ".join(f"--{p.replace('_', '-')}" for p in missing) + " is missing"
    text = text.replace("Could not consume arg:", "unexpected argument")
    _fail(f"{name}: {text}; see bamboopier {name} --help")


def _fail(message: str) -> NoReturn:
    raise CommandError(message, USAGE_ERROR)
