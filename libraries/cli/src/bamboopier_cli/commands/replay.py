"""``bamboopier replay``: send a trace to gateways and check expectations."""

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
    """Send the requests of TRACE to GATEWAYS (comma-separated URLs).

    KEYS is a JSON file that maps workspace names to API keys. OUTCOMES is a JSON file
    of expectations; the exit code is 1 if one is missed. SPEED divides the gaps between
    requests.
    """
    recorded = _unwrap(read_trace(Path(trace)))
    expectations = _unwrap(read_expectations(Path(outcomes))) if outcomes else []
    api_keys = read_file(Path(keys), dict[str, str])
    if isinstance(api_keys, Err):
        fail_configuration(api_keys.err_value)
    options = PlayerOptions(speed, max_open, max_seconds)
    player = Player(gateways.split(","), api_keys.ok_value, options)
    asyncio.run(player.play(recorded))
    summaries = summarize(player.observations)
    verdicts = check_expectations(expectations, summaries)
    text = (
        _render_json(summaries, verdicts) if json else _render_text(summaries, verdicts)
    )
    missed = sum(not verdict.holds for verdict in verdicts)
    if missed or player.unfinished:
        print(text)
        message = (
            f"{missed} expectations missed, {player.unfinished} requests unfinished"
        )
        raise CommandError(message, FAILURE)
    return text


def _unwrap(result: Result[T, BamboopierError]) -> T:
    if isinstance(result, Err):
        raise CommandError(str(result.err_value), USAGE_ERROR)
    return result.ok_value


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
        expectation = verdict.expectation
        label = "holds" if verdict.holds else "MISSED"
        bounds = f"at least {expectation.at_least}, at most {expectation.at_most}"
        found = verdict.found
        lines.append(
            f"{label}: {expectation.tag} {expectation.measure} {found} ({bounds})"
        )
    return "\n".join(lines)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
