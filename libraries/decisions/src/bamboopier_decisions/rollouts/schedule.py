"""Decides the next step of a roll-out: its share, its end, or to take it back.

Load pattern: a version may be bad at once, later, or under load only, and a bad one may
get a part of all requests until the deadline. That allowance is a budget: about half of
it is spent evenly on a trial that lasts for most of the order's time, the rest on a
short rise to all requests at its end. Whenever the version turns bad, what is left pays
for the requests until its answers show it and all gateways have taken it back.
"""

from __future__ import annotations

import msgspec

from .judge import Verdict
from .order import Rollout, RolloutState, RolloutStatus

# Part of the allowance that is planned with: rates of requests change.
PLANNED_PART = 0.9
# Part of that which the trial spends.
TRIAL_PART = 0.4
# Part of the trial's share at the beginning, and of the order's time for which it
# lasts: a version that is bad at once shows it to few callers.
FIRST_PART, FIRST_TIME = 0.4, 0.1
# Greatest share of the trial: the others stay comparable with it.
MAX_TRIAL_SHARE = 0.5
# Shares between the trial and all requests, for a version that is bad under load only:
# the others still get enough to be compared with.
RISEN_SHARES = (0.25, 0.5)
# Seconds for which a share lasts at least, and answers of the version that are awaited.
MIN_STEP_SECONDS = 0.8
MIN_STEP_ANSWERS = 20
# Part of the order's time after which a share no longer waits for answers.
MAX_WAIT = 0.1
# Seconds before the margin from which a version that is only doubtful gets everything:
# what runs at the former ones ends until then.
LAST_STEP_SECONDS = 0.6
# Seconds before the deadline at which the former versions are no longer awaited.
DEADLINE_MARGIN_SECONDS = 1.0
# Seconds that the rise takes: three shares, and the times until gateways know of them.
RISE_SECONDS = 3.4
# Greatest part of the order's time that the rise takes.
MAX_RISE_PART = 0.5
# Difference from which two shares are not the same one, and how much greater a share
# has to be for a step: the rate of requests is not known exactly.
SHARE_TOLERANCE, MIN_GROWTH = 0.001, 1.25


class Allowance(msgspec.Struct, frozen=True):
    """How many requests a bad version may get within an order's time."""

    # Part of all requests to the service, and a number besides.
    share: float
    slack: float = 0.0


class Progress(msgspec.Struct, frozen=True):
    """What is known of a roll-out when its next step is decided."""

    # Seconds since the order was first seen, and since the last change of its status.
    elapsed: float
    since_step: float
    verdict: Verdict
    # Answers of the version since the last change of its status.
    answers: int
    # Versions that the service's targets have now.
    versions: frozenset[str]
    # No gateway has a request in flight at a former version.
    is_drained: bool
    reason: str = ""
    # Answers of all versions a second; 0 as long as that is unknown.
    per_second: float = 0.0


def start(
    rollout: Rollout, wall_clock: float, versions: frozenset[str]
) -> RolloutStatus:
    """Return the first status of an order; ``wall_clock`` in seconds since 1970."""
    order, earlier = rollout.order, rollout.status
    former = versions - {order.version}
    if earlier is not None and earlier.state is RolloutState.RUNNING:
        # A version whose order was replaced while it was on trial serves nothing.
        former -= {earlier.version}
    return RolloutStatus(
        RolloutState.RUNNING,
        order.version,
        tuple(sorted(former)),
        started_at=wall_clock,
    )


def reject(rollout: Rollout, reason: str) -> RolloutStatus:
    """Return the status of an order that cannot be carried out."""
    return RolloutStatus(RolloutState.ROLLED_BACK, rollout.order.version, reason=reason)


def decide(
    seconds: float, status: RolloutStatus, progress: Progress, allowance: Allowance
) -> RolloutStatus | None:
    """Return the next status of a running roll-out, or None to leave it as it is.

    ``seconds`` is the time that the order gives.
    """
    is_last_moment = progress.elapsed >= seconds - DEADLINE_MARGIN_SECONDS
    if progress.verdict is Verdict.BAD:
        return _roll_back(status, progress.reason)
    if progress.verdict is Verdict.SUSPECT and is_last_moment:
        return _roll_back(status, f"suspected at the deadline, {progress.reason}")
    if status.version not in progress.versions:
        if not is_last_moment:
            return None
        return _roll_back(status, "no target has this version")
    if status.share >= 1 - SHARE_TOLERANCE:
        return _finish(status, progress, is_last_moment)
    return _raise_share(status, progress, seconds, allowance)


def _roll_back(status: RolloutStatus, reason: str) -> RolloutStatus:
    return msgspec.structs.replace(
        status, state=RolloutState.ROLLED_BACK, share=0.0, reason=reason
    )


def _finish(
    status: RolloutStatus, progress: Progress, is_last_moment: bool
) -> RolloutStatus | None:
    is_proved = (
        progress.since_step >= MIN_STEP_SECONDS and progress.verdict is Verdict.GOOD
    )
    if not is_last_moment and not (is_proved and progress.is_drained):
        return None
    return msgspec.structs.replace(status, state=RolloutState.COMPLETED)


def _raise_share(
    status: RolloutStatus, progress: Progress, seconds: float, allowance: Allowance
) -> RolloutStatus | None:
    share = _find_share(status, progress, seconds, allowance)
    if share <= status.share * MIN_GROWTH + SHARE_TOLERANCE:
        return None
    latest = seconds - DEADLINE_MARGIN_SECONDS - LAST_STEP_SECONDS
    may_wait = progress.elapsed < latest
    if status.share and may_wait and not _is_settled(progress, seconds):
        return None
    return msgspec.structs.replace(status, share=share)


def _is_settled(progress: Progress, seconds: float) -> bool:
    """Return whether the answers at a share speak for the next one."""
    if progress.since_step < MIN_STEP_SECONDS or progress.verdict is not Verdict.GOOD:
        return False
    has_waited = progress.since_step >= MAX_WAIT * seconds
    return has_waited or progress.answers >= MIN_STEP_ANSWERS


def _find_share(
    status: RolloutStatus, progress: Progress, seconds: float, allowance: Allowance
) -> float:
    """Return the share of new requests that is due now."""
    rise = min(RISE_SECONDS, MAX_RISE_PART * seconds)
    rise_at = seconds - DEADLINE_MARGIN_SECONDS - rise
    if progress.elapsed >= rise_at and status.share:
        if progress.elapsed >= rise_at + rise - LAST_STEP_SECONDS:
            return 1.0
        higher = (s for s in RISEN_SHARES if s > status.share * MIN_GROWTH)
        return next(higher, 1.0)
    trial = find_trial_share(seconds, rise_at, progress.per_second, allowance)
    if not status.share or progress.elapsed < FIRST_TIME * seconds:
        return trial * FIRST_PART
    return trial


def find_trial_share(
    seconds: float, trial_seconds: float, per_second: float, allowance: Allowance
) -> float:
    """Return the share of a trial that spends its part of the allowance evenly.

    ``per_second`` is the rate of requests; without a known one the slack counts for
    nothing.
    """
    requests = per_second * seconds
    part = allowance.share + (allowance.slack / requests if requests else 0.0)
    share = PLANNED_PART * TRIAL_PART * part * seconds / max(trial_seconds, 0.1)
    return min(MAX_TRIAL_SHARE, share)
