"""``bamboopier explain``: say from the decision logs what became of a request."""

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
# What the reasons in the logs mean, in a person's words.
REASONS = {
    "prefix": "it is the first choice for this prompt's leading blocks",
    "prefix-spread": "the first choice was over its load bound",
    "least-delay": "it expected the shortest time to the first byte",
    "only-candidate": "no other target could be used",
    "retry": "an earlier attempt certainly did not run or may be repeated",
    "no-target": "no target of the service could be used",
    "overloaded": "every candidate was full",
    "deadline": "the deadline could not be met",
    "retry-budget": "retries had used up their share of the successes",
    "attempts": "the largest number of attempts was reached",
    "target-failed": "the target failed and the request may not be repeated",
    "quarantined": "this request crashed targets before",
    "QUEUE_FULL": "the agent's queue was full",
    "FAIR_SHARE": "the workspace had more waiting than its share",
    "DEADLINE": "the deadline could not be met there",
    "STOPPING": "the target is stopping or drained",
    "TARGET_DOWN": "the target could not be reached",
    "STALE_GENERATION": "the agent does not know the configuration yet",
    "WRONG_VERSION": "the target serves another weight version",
    "NO_LEASE": "the agent holds no lease on its target",
    "PLATFORM_DOWN": "the idempotency key could not be claimed at the platform",
    "KEY_REUSED": "the idempotency key belongs to another request",
    "KEY_CLAIMED": "the idempotency key was claimed before",
    "KEY_TABLE_FULL": "no room for more idempotency keys",
}


def explain(request_id: str, *logs: str, json: bool = False) -> str:
    """Say why a request went where it went, or why it was refused.

    REQUEST-ID is what the caller got as X-Request-Id; its beginning is enough. LOGS are
    files with the lines that gateways and agents wrote on standard output, in any
    order;
    without LOGS, or for "-", standard input is read.
    """
    with ExitStack() as stack:
        names = logs or (STANDARD_INPUT,)
        files = [_open(stack, name) for name in names]
        decisions = read_decisions(files, request_id)
    if not decisions:
        raise CommandError(f"no decision about '{request_id}' in {', '.join(names)}")
    known = {decision.request_id for decision in decisions}
    if len(known) > 1:
        message = f"'{request_id}' begins {len(known)} request ids; give more of it"
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
        weighed = ", ".join(
            f"{name} {_format_value(v)}" for name, v in candidates.items()
        )
        lines.append(f"    candidates, expected seconds to first byte: {weighed}")
    if details:
        rest = ", ".join(f"{name} {_format_value(v)}" for name, v in details.items())
        lines.append(f"    {rest}")
    return "\n".join(lines)


def _format_value(value: Any) -> str:
    return f"{value:g}" if isinstance(value, float) else str(value)
