"""``bamboopier replay``: send a trace to gateways and check stated outcomes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import msgspec
from result import Err, Result

from bamboopier_configuration.reader import read_file
from bamboopier_replay.expectations import check_expectations, read_expectations
from bamboopier_replay.player import Player, PlayerOptions
from bamboopier_replay.report import Summary, summarize
from bamboopier_replay.trace import read_trace

from ..exit_codes import FAILURE, USAGE_ERROR, CommandError, fail_configuration

if TYPE_CHECKING:
    from bamboopier_configuration.errors import BamboopierError
    from bamboopier_replay.expectations import Verdict
T = TypeVar("T")


def replay(
    trace: str,
    gateways: str,
    keys: str,
    outcomes: str = "",
    speed: float = 1.0,
    max_open: int = 256,
    max_seconds: float = 600.0,
    json: bool = False,
) -> str:
    """Send the requests of TRACE to GATEWAYS (URLs, comma separated).

    KEYS is a JSON file of workspace names and their API keys. OUTCOMES is a JSON file
    of stated outcomes; exit code 1 where one does not hold. SPEED shortens all gaps.
    """
    loaded = _unwrap(read_trace(Path(trace)))
    stated = _unwrap(read_expectations(Path(outcomes))) if outcomes else []
    read = read_file(Path(keys), dict[str, str])
    if isinstance(read, Err):
        fail_configuration(read.err_value)
    options = PlayerOptions(speed, max_open, max_seconds)
    player = Player(gateways.split(","), read.ok_value, options)
    asyncio.run(player.play(loaded))
    summaries = summarize(player.observations)
    verdicts = check_expectations(stated, summaries)
    text = (
        _render_json(summaries, verdicts) if json else _render_text(summaries, verdicts)
    )
    missed = sum(not verdict.holds for verdict in verdicts)
    if missed or player.unfinished:
        print(text)
        message = f"{missed} stated outcomes missed, {player.unfinished} not finished"
        raise CommandError(message, FAILURE)
    return text


def _unwrap(answer: Result[T, BamboopierError]) -> T:
    if isinstance(answer, Err):
        raise CommandError(str(answer.err_value), USAGE_ERROR)
    return answer.ok_value


def _render_json(summaries: list[Summary], verdicts: list[Verdict]) -> str:
    return msgspec.json.encode({"summaries": summaries, "verdicts": verdicts}).decode()


def _render_text(summaries: list[Summary], verdicts: list[Verdict]) -> str:
    lines = [
        f"{s.tag}: {s.requests} requests, {_format_counts(s.outcomes)}; first byte p50 "
        f"{s.first_byte_p50:.3f} s, p95 {s.first_byte_p95:.3f} s; "
        f"recomputed {s.recomputed_share:.1%}"
        for s in summaries
    ]
    for verdict in verdicts:
        wanted = verdict.expectation
        mark = "holds" if verdict.holds else "MISSED"
        bounds = f"at least {wanted.at_least}, at most {wanted.at_most}"
        found = verdict.found
        lines.append(f"{mark}: {wanted.tag} {wanted.measure} {found} ({bounds})")
    return "\n".join(lines)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
