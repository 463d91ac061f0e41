"""Expectations of a replay's results, and whether they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import msgspec
from result import Err, Ok, Result

from bamboopier_configuration.errors import BamboopierError

from .report import ALL_TAG

if TYPE_CHECKING:
    from pathlib import Path

    from .report import Summary

Measure = Literal[
    "answered_share",
    "first_byte_p50",
    "first_byte_p95",
    "first_byte_p99",
    "whole_p95",
    "recomputed_share",
    "hinted_share",
    "keys_with_two_answers",
]


class ExpectationError(BamboopierError):
    """An unreadable or invalid file of expectations."""


class Expectation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on one measure of the requests with one tag. Times are in seconds."""

    measure: Measure
    tag: str = ALL_TAG
    at_least: float | None = None
    at_most: float | None = None


class Verdict(msgspec.Struct, frozen=True):
    """An expectation and the measured value, ``found``; None without requests."""

    expectation: Expectation
    found: float | None
    holds: bool


def read_expectations(path: Path) -> Result[list[Expectation], ExpectationError]:
    """Read a JSON list of expectations."""
    try:
        return Ok(msgspec.json.decode(path.read_bytes(), type=list[Expectation]))
    except OSError as error:
        return Err(ExpectationError(f"{path}: {error.strerror}"))
    except msgspec.MsgspecError as error:
        return Err(ExpectationError(f"{path}: {error}"))


def check_expectations(
    expectations: list[Expectation], summaries: list[Summary]
) -> list[Verdict]:
    """Return a verdict for each expectation; one without requests does not hold."""
    by_tag = {summary.tag: summary for summary in summaries}
    return [_check_expectation(e, by_tag.get(e.tag)) for e in expectations]


def _check_expectation(expectation: Expectation, summary: Summary | None) -> Verdict:
    if summary is None or summary.requests == 0:
        return Verdict(expectation, None, holds=False)
    found = float(getattr(summary, expectation.measure))
    meets_minimum = expectation.at_least is None or found >= expectation.at_least
    meets_maximum = expectation.at_most is None or found <= expectation.at_most
    return Verdict(expectation, found, meets_minimum and meets_maximum)
