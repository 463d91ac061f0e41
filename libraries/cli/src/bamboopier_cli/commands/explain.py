"""``bamboopier explain``: show the logged decisions about a request."""

from __future__ import annotations

import sys
from contextlib import ExitStack
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

from ..decision_log import read_decisions
from ..exit_codes import USAGE_ERROR, CommandError
from ..output import render

if TYPE_CHECKING:
    from ..decision_log import DecisionLine

STANDARD_INPUT = "-"
# Explanations of the reasons in the logs.
REASONS = {
    "prefix": "it is the preferred target for the first blocks of the prompt",
    "prefix-spread": "the preferred target was over its load bound",
    "least-delay": "it has the shortest expected time to the first byte",
    "only-candidate": "no other target was available",
    "retry": "an earlier attempt did not run or is safe to repeat",
    "no-target": "no target of the service was available",
    "overloaded": "every candidate was full",
    "deadline": "the deadline could not be met",
    "retry-budget": "the retry budget, a share of the successes, was exhausted",
    "attempts": "the maximum number of attempts was reached",
    "target-failed": "the target failed and the request may not be repeated",
    "quarantined": "this request has crashed targets before",
    "QUEUE_FULL": "the agent's queue was full",
    "FAIR_SHARE": "the workspace had more than its share of waiting requests",
    "DEADLINE": "the deadline could not be met at this target",
    "STOPPING": "the target is stopping or drained",
    "TARGET_DOWN": "the target could not be reached",
    "STALE_GENERATION": "the agent does not have the configuration generation yet",
    "WRONG_VERSION": "the target serves another weight version",
    "NO_LEASE": "the agent holds no lease on its target",
    "PLATFORM_DOWN": "the idempotency key could not be claimed at the platform",
    "KEY_REUSED": "the idempotency key belongs to another request",
    "KEY_CLAIMED": "the idempotency key was claimed before",
    "KEY_TABLE_FULL": "the table of idempotency keys is full",
}


def explain(request_id: str, *logs: str, json: bool = False) -> str:
    """Show why a request was sent to a target, or why it was refused.

    REQUEST-ID is the X-Request-Id that the caller received; a unique prefix is enough.
    LOGS are files with the standard output of gateways and agents, in any order;
    without LOGS, or for "-", standard input is read.
    """
    with ExitStack() as stack:
        names = logs or (STANDARD_INPUT,)
        files = [_open(stack, name) for name in names]
        decisions = read_decisions(files, request_id)
    if not decisions:
        raise CommandError(f"no decision about '{request_id}' in {', '.join(names)}")
    request_ids = {decision.request_id for decision in decisions}
    if len(request_ids) > 1:
        message = (
            f"'{request_id}' matches {len(request_ids)} request ids; give more of it"
        )
        raise CommandError(message, USAGE_ERROR)
    text = "\n".join(map(_format_decision, decisions))
    return render(decisions, text, json)


def _open(stack: ExitStack, name: str) -> IO[bytes]:
    if name == STANDARD_INPUT:
        return sys.stdin.buffer
    try:
        return stack.enter_context(Path(name).open("rb"))
    except OSError as error:
        raise CommandError(f"{name}: {error.strerror}", USAGE_ERROR) from error


def _format_decision(decision: DecisionLine) -> str:
    details = dict(decision.details)
    parts = [f"{decision.timestamp}  {decision.event}"]
    if target := details.pop("target", ""):
        parts.append(f" {target}")
    reason = details.pop("reason", "")
    if reason:
        parts.append(f": {reason}")
        parts.append(f" ({REASONS[reason]})" if reason in REASONS else "")
    candidates = details.pop("candidates", {})
    lines = ["".join(parts)]
    if isinstance(candidates, dict) and candidates:
        estimates = ", ".join(
            f"{name} {_format_value(v)}" for name, v in candidates.items()
        )
        lines.append(f"    candidates, expected seconds to first byte: {estimates}")
    if details:
        others = ", ".join(f"{name} {_format_value(v)}" for name, v in details.items())
        lines.append(f"    {others}")
    return "\n".join(lines)


def _format_value(value: Any) -> str:
    return f"{value:g}" if isinstance(value, float) else str(value)
