"""Makes small synthetic traces, modelled on the two users' workloads, from a seed."""

from __future__ import annotations

import random

from .trace import (
    FORMAT_VERSION,
    ModelRequest,
    PlainRequest,
    PromptPart,
    Trace,
    TracedRequest,
    TraceHeader,
)

# Prompt lengths in words: a pillar's complete maintenance history, a shop's catalogue.
HISTORY_WORDS = 6000
CATALOGUE_WORDS = 8000
QUESTION_WORDS = 30
# Gaps between the turns of a conversation range from seconds to days, log-uniformly.
MIN_GAP_SECONDS = 5.0
MAX_GAP_SECONDS = 3 * 86_400.0


def make_fault_desk_trace(seed: int, pillars: int, turns: int) -> Trace:
    """Return conversations about pillars, continued after long and uneven gaps."""
    generator = random.Random(seed)
    requests: list[TracedRequest] = []
    for pillar in range(pillars):
        at = generator.uniform(0, 600)
        parts = [PromptPart(seed=f"history-{pillar}", words=HISTORY_WORDS)]
        for turn in range(turns):
            parts.append(PromptPart(seed=f"turn-{pillar}-{turn}", words=QUESTION_WORDS))
            model = ModelRequest("pillar-8b", list(parts))
            tag = "first" if turn == 0 else "return"
            requests.append(TracedRequest(at, "fosse-midlands", tag, model=model))
            at += _draw_gap(generator)
    ordered = tuple(sorted(requests, key=lambda request: request.at))
    header = TraceHeader(FORMAT_VERSION, f"fault desk, seed {seed}, {pillars} pillars")
    return Trace(header, ordered)


def make_dispatch_trace(seed: int, orders: int, repeats: int) -> Trace:
    """Return van dispatches, each sent ``repeats`` times under one idempotency key."""
    generator = random.Random(seed)
    requests: list[TracedRequest] = []
    for order in range(orders):
        plain = PlainRequest("POST", "/services/dispatch/vans", f'{{"pillar":{order}}}')
        at = generator.uniform(0, 10)
        for _ in range(repeats):
            requests.append(
                TracedRequest(
                    at,
                    "fosse-midlands",
                    "dispatch",
                    plain=plain,
                    idempotency_key=f"order-{seed}-{order}",
                )
            )
            at += generator.uniform(0.5, 2.0)
    ordered = tuple(sorted(requests, key=lambda request: request.at))
    return Trace(TraceHeader(FORMAT_VERSION, f"dispatches, seed {seed}"), ordered)


def make_ordering_trace(seed: int, questions: int, catalogues: int) -> Trace:
    """Return short questions about a few long catalogues that recur all day."""
    generator = random.Random(seed)
    requests: list[TracedRequest] = []
    at = 0.0
    for question in range(questions):
        # Most of the questions are about a few catalogues.
        catalogue = min(int(generator.expovariate(1.0)), catalogues - 1)
        parts = [
            PromptPart(seed=f"catalogue-{catalogue}", words=CATALOGUE_WORDS),
            PromptPart(seed=f"question-{question}", words=QUESTION_WORDS),
        ]
        model = ModelRequest("rind-3b", parts)
        tag = f"catalogue-{catalogue}"
        requests.append(TracedRequest(at, "gouda-counter", tag, model=model))
        at += generator.expovariate(0.5)
    return Trace(TraceHeader(FORMAT_VERSION, f"ordering, seed {seed}"), tuple(requests))


def _draw_gap(generator: random.Random) -> float:
    """Return a gap in seconds, log-uniform between the minimum and the maximum."""
    exponent = generator.random()
    return float(MIN_GAP_SECONDS * (MAX_GAP_SECONDS / MIN_GAP_SECONDS) ** exponent)
