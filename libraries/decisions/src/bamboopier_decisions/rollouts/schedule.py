"""Decides the next step of a roll-out: its share, its end, or to take it back.

Load pattern: a version may be bad at once, later, or under load only. Low shares last
for long, so that one that turns bad later has got little; high shares come while there
is time to return, and last until the answers at that share are known.
"""

from __future__ import annotations

import math

import msgspec

from .judge import Verdict
from .order import Rollout, RolloutState, RolloutStatus

# Earliest part of the order's time at which each share of new requests is used, as a
# multiple of the share that a bad version may get; the last one is all of them.
STEPS = ((0.0, 0.2), (0.08, 0.6), (0.4, 1.5), (0.4, 4.0), (0.4, math.inf))
# Difference from which two shares are not the same one, calculated differently.
SHARE_TOLERANCE = 0.001
# Seconds for which a share lasts at least, and answers of the version that are awaited.
MIN_STEP_SECONDS = 0.8
MIN_STEP_ANSWERS = 20
# Part of the order's time after which a share no longer waits for answers.
MAX_WAIT = 0.1
# The same for a share that is held back by a suspicion.
MAX_SUSPICION = 0.3
# Seconds before the deadline at which the former versions are no longer awaited.
DEADLINE_MARGIN_SECONDS = 1.0


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
    seconds: float, status: RolloutStatus, progress: Progress, max_exposure: float
) -> RolloutStatus | None:
    """Return the next status of a running roll-out, or None to leave it as it is.

    ``seconds`` is the time that the order gives, ``max_exposure`` the share of all
    requests within it that a bad version may get.
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
    return _raise_share(status, progress, seconds, max_exposure)


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
    status: RolloutStatus, progress: Progress, seconds: float, max_exposure: float
) -> RolloutStatus | None:
    part = progress.elapsed / seconds
    steps = ((start, min(1.0, times * max_exposure)) for start, times in STEPS)
    earliest, share = next(
        (p, s) for p, s in steps if s > status.share + SHARE_TOLERANCE
    )
    if part < earliest or (status.share and progress.since_step < MIN_STEP_SECONDS):
        return None
    waited = progress.since_step / seconds
    if progress.verdict is Verdict.SUSPECT and waited < MAX_SUSPICION:
        return None
    if status.share and progress.answers < MIN_STEP_ANSWERS and waited < MAX_WAIT:
        return None
    return msgspec.structs.replace(status, share=share)
