"""A prompt as its caller describes it: an ordered list of parts."""

from __future__ import annotations

import msgspec

# Callers' estimates are right at the median and often far off: most responses stay
# below this multiple.
ESTIMATE_FACTOR = 1.5
# Share of the allowed output that a response uses where its caller gives no estimate;
# limits are set for the longest response, and means are at a third of them.
DEFAULT_OUTPUT_SHARE = 0.35


class PromptPart(msgspec.Struct, frozen=True):
    """A run of tokens that other prompts may also start with."""

    name: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What a model engine has to prefill and may generate."""

    model: str
    tokens_in: int
    # Maximum tokens of output that the caller allows.
    max_output: int
    parts: tuple[PromptPart, ...]
    # The caller's estimate of the output; 0 for none.
    estimated_output: int = 0

    @property
    def tokens_out(self) -> int:
        """Return the expected tokens of output."""
        if self.estimated_output:
            return min(self.max_output, int(self.estimated_output * ESTIMATE_FACTOR))
        return int(self.max_output * DEFAULT_OUTPUT_SHARE)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that do not belong to this request alone."""
        return self.parts[:-1]

    @property
    def affinity(self) -> str:
        """Return the name of the longest shared prefix; empty when there is none."""
        shared = self.shared_parts
        return shared[-1].name if shared else ""
