"""Decides when a gateway tells the evaluating ones what it has counted, and how much.

Load pattern: hundreds of gateways each see a few answers a second of a service. If each
sent all of its counts several times a second, the few that evaluate them would receive
a megabyte a second. What turns the verdict is rare: failures of the version on trial,
which are told at once. The rest may be late by seconds where there are many gateways,
and only counts that have changed are told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .evidence import AnswerKey, Evidence

# Reports a second that one evaluating gateway is to receive, as long as nothing fails.
REPORTS_PER_SECOND = 170.0
# Minimum and maximum seconds between two reports of one gateway.
MIN_SECONDS, MAX_SECONDS = 0.25, 2.0
# Seconds after which a gateway reports though nothing has changed: what it knows of the
# roll-out, and has in flight, is part of a report.
UNCHANGED_SECONDS = 3.0
# Reports that tell at once that nothing is in flight elsewhere: one may be lost.
URGENT_REPORTS = 2
# Every so many reports tell all counts: what a lost one told is made up for.
FULL_EVERY = 5


class ReportSchedule:
    """When one gateway reports on one roll-out. All times are on the caller's clock."""

    __slots__ = (
        "_answers",
        "_drained_reports",
        "_failed",
        "_is_drained",
        "_next_at",
        "_number",
        "_phase",
        "_repeated",
        "_sent_at",
        "_to",
    )

    def __init__(self, phase: float) -> None:
        # Part of an interval after which the first report is sent, from 0 to 1: if all
        # gateways reported at the same moment, evidence would come in large steps.
        self._phase = phase
        # When the next regular report is due; None before the first question.
        self._next_at: float | None = None
        self._sent_at = float("-inf")
        # Whether nothing is in flight elsewhere, and the reports since that told it.
        self._is_drained = False
        self._drained_reports = 0
        # Reports sent so far.
        self._number = 0
        # What the last report told: failures of the version on trial by key, to whom,
        # and the answers by key.
        self._failed: dict[AnswerKey, int] = {}
        self._to: tuple[str, ...] = ()
        self._answers: dict[AnswerKey, int] = {}
        # Keys with new failures in the last report: the next one, soon after, tells
        # them again, since one that is lost would cost callers.
        self._repeated: set[AnswerKey] = set()

    def is_due(
        self, now: float, gateways: int, evidence: Evidence, *, is_drained: bool
    ) -> bool:
        """Return whether to report now; ``gateways`` is the number of all.

        Asked at each evaluation: what is due is due once, whether it is sent or not.
        A failure of the version is told at once, and so is that nothing is in flight
        elsewhere any more (``is_drained``) once the version has all requests.
        """
        seconds = min(MAX_SECONDS, max(MIN_SECONDS, gateways / REPORTS_PER_SECOND))
        if self._next_at is None:
            self._next_at = now + self._phase * (seconds - MIN_SECONDS)
        is_regular = now >= self._next_at and (
            now - self._sent_at >= UNCHANGED_SECONDS or self._has_changed(evidence)
        )
        while self._next_at <= now:
            self._next_at += seconds
        self._is_drained = is_drained
        if not is_drained:
            self._drained_reports = 0
        has_drained = is_drained and self._drained_reports < URGENT_REPORTS
        has_failed = bool(self._repeated) or bool(self._find_failing(evidence))
        return is_regular or has_drained or has_failed

    def select(self, now: float, to: tuple[str, ...], evidence: Evidence) -> Evidence:
        """Return the counts for a report to these gateways, and record it as sent.

        All counts are told to gateways of which one was not told before.
        """
        is_full = to != self._to or self._number % FULL_EVERY == 0
        changed = {
            key: counts
            for key, counts in evidence.items()
            if is_full
            or key in self._repeated
            or self._answers.get(key) != counts.answers
        }
        self._repeated = self._find_failing(evidence)
        self._sent_at, self._number = now, self._number + 1
        self._drained_reports += self._is_drained
        self._failed = {key: counts.failed for key, counts in evidence.items()}
        self._to = to
        self._answers = {key: counts.answers for key, counts in evidence.items()}
        return changed

    def _has_changed(self, evidence: Evidence) -> bool:
        return any(
            self._answers.get(key) != counts.answers for key, counts in evidence.items()
        )

    def _find_failing(self, evidence: Evidence) -> set[AnswerKey]:
        """Return the keys of the version on trial with failures not told yet."""
        return {
            key
            for key, counts in evidence.items()
            if key.group is not None and counts.failed != self._failed.get(key, 0)
        }
