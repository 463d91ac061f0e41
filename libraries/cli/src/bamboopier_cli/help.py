"""Help texts, generated from the commands' signatures and docstrings."""

from __future__ import annotations

import inspect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

EXIT_CODES = (
    "Exit codes: 0 success; 1 the command ran but did not achieve the result;\n"
    "2 invalid arguments, settings or configuration; nothing was changed."
)


def describe_program(commands: Mapping[str, Callable[..., str | None]]) -> str:
    """Return the program's usage and its list of commands."""
    lines = ["Usage: bamboopier COMMAND [OPTIONS]", "", "Commands:"]
    width = max(map(len, commands))
    for name, command in sorted(commands.items()):
        lines.append(f"  {name:<{width}}  {_summarise(command)}")
    lines += ["", "bamboopier COMMAND --help describes one command.", EXIT_CODES]
    return "\n".join(lines)


def describe_command(name: str, command: Callable[..., str | None]) -> str:
    """Return a command's usage, options and description."""
    required: list[str] = []
    optional: list[str] = []
    for parameter in inspect.signature(command).parameters.values():
        placeholder = parameter.name.upper().replace("_", "-")
        flag = "--" + parameter.name.replace("_", "-")
        if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
            required.append(f"[{placeholder}...]")
        elif parameter.kind is inspect.Parameter.KEYWORD_ONLY or (
            parameter.default is not inspect.Parameter.empty
        ):
            is_required = parameter.default is inspect.Parameter.empty
            text = flag if parameter.annotation == "bool" else f"{flag} {placeholder}"
            (required if is_required else optional).append(
                text if is_required else f"[{text}]"
            )
        else:
            required.append(placeholder)
    usage = " ".join(["Usage: bamboopier", name, *required, *optional])
    return "\n".join([usage, "", inspect.getdoc(command) or "", "", EXIT_CODES])


def _summarise(command: Callable[..., str | None]) -> str:
    return (inspect.getdoc(command) or "").partition("\n")[0]
