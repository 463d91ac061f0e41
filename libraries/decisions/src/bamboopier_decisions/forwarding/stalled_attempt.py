"""Decides when an attempt at a silent target ends, and how.

Load pattern: an engine is suspended for seconds with tens of requests. A gateway that
waits for it until the callers leave has nothing to tell them, and the engine still has
the requests then. A request that may run elsewhere is moved while its caller has time
left; for any other, the caller gets a final response as long as it can still read it.

All times are in seconds on one clock.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

# Seconds of silence from which an attempt is moved: a shorter pause of an engine often
# ends by itself, and the move costs another prefill of the prompt.
MOVE_AFTER_SECONDS = 1.0
# Seconds for which a target may be silent, unusual or not, before the callers about to
# leave are told: a first byte in their last moments is unlikely.
LONG_SILENCE_SECONDS = 1.0
# Share of the time from the last byte until the caller leaves after which an attempt is
# moved at the latest. The other target needs the rest.
MOVE_SHARE = 0.5
# Seconds before the caller leaves in which its final response is sent: an interval
# between two checks, the delay of a busy gateway in reading the request, and the way to
# the caller.
RESPONSE_MARGIN_SECONDS = 0.4


class StallAction(StrEnum):
    """What is done about an attempt at a stalled target."""

    WAIT = "wait"
    # Another target runs the request, if one may and can.
    MOVE = "move"
    # The caller gets a final response.
    END = "end"


class StalledAttempt(msgspec.Struct, frozen=True):
    """What matters about an attempt whose target is silent."""

    # The silence is unusual for the target.
    target_stalled: bool
    # Since when the target has sent no byte of the response.
    silent_since: float
    caller_leaves_at: float
    # The caller has a part of the response: no other final response can follow.
    response_started: bool


def choose_action(now: float, attempt: StalledAttempt) -> StallAction:
    """Return what to do; ``WAIT`` is right where a ``MOVE`` is not possible."""
    leaves_at = attempt.caller_leaves_at
    if now >= leaves_at - RESPONSE_MARGIN_SECONDS:
        return StallAction.WAIT if attempt.response_started else StallAction.END
    patience = leaves_at - attempt.silent_since
    wait = min(MOVE_AFTER_SECONDS, patience * MOVE_SHARE)
    if attempt.target_stalled and now >= attempt.silent_since + wait:
        return StallAction.MOVE
    return StallAction.WAIT
