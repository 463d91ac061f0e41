"""Reads a completion or chat request far enough to route it."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Annotated, Protocol

import msgspec

from bamboopier_decisions.context.blocks import (
    compute_block_keys,
    derive_workspace_secret,
)

from .call import ModelCall
from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.model import Model

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 131_072


class _Message(msgspec.Struct):
    role: str
    content: str


class _ModelBody(msgspec.Struct):
    """The fields that routing needs; all others pass through untouched."""

    model: str
    messages: list[_Message] = []
    prompt: str = ""
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] = DEFAULT_MAX_TOKENS
    stream: bool = False


class Tokenizer(Protocol):
    """Splits text as the model does, or near enough to find equal prefixes."""

    def split(self, text: str) -> Sequence[str]:
        """Return the tokens of ``text``."""
        ...


class WordTokenizer:
    """Takes white-space separated words as tokens.

    Equal prefixes give equal blocks whatever the model's own tokens are; only counts
    are approximate, and the engine's own counts correct the accounting.
    """

    def split(self, text: str) -> Sequence[str]:
        """Return the words of ``text``."""
        return text.split()


class PromptReader:
    """Turns request bodies into model calls."""

    def __init__(
        self,
        block_secret: bytes,
        tokenizer: Tokenizer,
        choose_version: Callable[[Model], str],
    ) -> None:
        self._block_secret = block_secret
        self._tokenizer = tokenizer
        self._choose_version = choose_version

    def read(self, body: bytes, workspace: str, directory: Directory) -> ModelCall:
        """Return the model call; raises ``CallerError`` for a body that is none."""
        try:
            parsed = msgspec.json.decode(body, type=_ModelBody)
        except msgspec.MsgspecError as error:
            raise CallerError(ErrorCode.BAD_REQUEST, str(error)) from error
        model = directory.models.get(parsed.model)
        if model is None:
            raise CallerError(ErrorCode.NOT_FOUND, f"no model '{parsed.model}'")
        tokens = self._tokenizer.split(_render(parsed))
        secret = derive_workspace_secret(self._block_secret, workspace)
        version = self._choose_version(model)
        keys = compute_block_keys(
            secret, model.name, version, "", tokens, model.block_tokens
        )
        return ModelCall(
            model=model.name,
            weight_version=version,
            block_keys=keys,
            block_tokens=model.block_tokens,
            prompt_tokens=len(tokens),
            max_tokens=parsed.max_tokens,
            cache_salt=hmac.digest(secret, b"cache salt", "sha256").hex(),
            stream=parsed.stream,
        )


def _render(body: _ModelBody) -> str:
    if not body.messages:
        return body.prompt
    return "\n".join(f"<{m.role}> {m.content}" for m in body.messages)
