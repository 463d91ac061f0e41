"""Summarizes observations by tag."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

from .observation import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .observation import Observation

# Histograms record microseconds, up to an hour, with three significant digits.
MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
# Tag of the summary of all requests.
ALL_TAG = "all"


class Summary(msgspec.Struct):
    """Figures of the requests with one tag. Times are in seconds."""

    tag: str
    requests: int
    outcomes: dict[str, int]
    codes: dict[str, int]
    answered_share: float
    first_byte_p50: float
    first_byte_p95: float
    first_byte_p99: float
    whole_p95: float
    # Share of recomputed prompt tokens among the prompt tokens of answered requests.
    recomputed_share: float
    # Share of refusals with a Retry-After header.
    hinted_share: float
    # Number of idempotency keys whose requests got different responses.
    keys_with_two_answers: int


def summarize(observations: list[Observation]) -> list[Summary]:
    """Return a summary for all requests and one for each tag."""
    tags = sorted({o.tag for o in observations})
    groups = [(tag, [o for o in observations if o.tag == tag]) for tag in tags]
    return [
        _summarize_tag(tag, group) for tag, group in [(ALL_TAG, observations), *groups]
    ]


def _summarize_tag(tag: str, observations: list[Observation]) -> Summary:
    answered = [o for o in observations if o.outcome is Outcome.ANSWERED]
    refused = [o for o in observations if o.outcome is Outcome.REFUSED]
    first = _make_histogram(o.first_byte for o in answered)
    total = _make_histogram(o.total for o in answered)
    prompt = sum(o.prompt_tokens for o in answered)
    cached = sum(o.cached_tokens for o in answered)
    hinted = sum(o.retry_after > 0 for o in refused)
    return Summary(
        tag=tag,
        requests=len(observations),
        outcomes=dict(Counter(o.outcome.value for o in observations)),
        codes=dict(Counter(o.code for o in observations if o.code)),
        answered_share=len(answered) / max(1, len(observations)),
        first_byte_p50=_read_percentile(first, 50),
        first_byte_p95=_read_percentile(first, 95),
        first_byte_p99=_read_percentile(first, 99),
        whole_p95=_read_percentile(total, 95),
        recomputed_share=(prompt - cached) / max(1, prompt),
        hinted_share=hinted / len(refused) if refused else 1.0,
        keys_with_two_answers=_count_inconsistent_keys(answered),
    )


def _make_histogram(seconds: Iterable[float]) -> HdrHistogram:
    histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1e6)))
    return histogram


def _read_percentile(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / 1e6


def _count_inconsistent_keys(answered: list[Observation]) -> int:
    digests: dict[tuple[str, str], set[str]] = {}
    for observation in answered:
        if observation.idempotency_key:
            key = (observation.workspace, observation.idempotency_key)
            digests.setdefault(key, set()).add(observation.body_digest)
    return sum(len(key_digests) > 1 for key_digests in digests.values())
