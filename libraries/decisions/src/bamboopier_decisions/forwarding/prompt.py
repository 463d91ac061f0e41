"""A prompt as its caller describes it: parts that prompts share, in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A run of tokens that other prompts may begin with, too."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a model engine has to read and may write."""

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that belong not to this request alone."""
        return self.parts[:-1]

    @property
    def affinity(self) -> str:
        """Return the name of the longest shared beginning; empty when there is none."""
        shared = self.shared_parts
        return shared[-1].name if shared else ""
