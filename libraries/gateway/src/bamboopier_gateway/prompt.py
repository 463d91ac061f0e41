"""Parses the parts of a completion or chat request that routing needs."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Annotated, Any, Literal, Protocol

import msgspec

from bamboopier_decisions.context.blocks import (
    compute_block_keys,
    derive_workspace_secret,
)

from .call import ModelCall
from .errors import CallerError, ErrorCode, quote

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.model import Model

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 131_072
# Of nested objects and lists; the schemas of tools, the deepest, have some 20 levels.
MAX_JSON_DEPTH = 64
CHAT_PATH = "/v1/chat/completions"

TokenCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]


class _TextPart(msgspec.Struct):
    """A text part of a message's content; parts of other types are refused."""

    type: Literal["text"]
    text: str


class _Message(msgspec.Struct):
    role: str
    # Null for a message that only calls tools.
    content: str | list[_TextPart] | None = None


class _ModelBody(msgspec.Struct):
    """The fields that routing needs; all others are forwarded unchanged."""

    model: str
    messages: list[_Message] | None = None
    prompt: str | list[Any] | None = None
    max_tokens: TokenCount | None = None
    # The newer name of ``max_tokens``.
    max_completion_tokens: TokenCount | None = None
    stream: bool | None = None


class Tokenizer(Protocol):
    """Splits text like the model, or closely enough to find equal prefixes."""

    def split(self, text: str) -> Sequence[str]:
        """Return the tokens of ``text``."""
        ...


class WordTokenizer:
    """Uses words separated by white space as tokens.

    Equal prefixes give equal blocks whatever the model's own tokens are; only counts
    are approximate, and the engine's own counts correct them in the accounting.
    """

    def split(self, text: str) -> Sequence[str]:
        """Return the words of ``text``."""
        return text.split()


class PromptReader:
    """Converts request bodies to model calls."""

    def __init__(
        self,
        block_secret: bytes,
        tokenizer: Tokenizer,
        choose_version: Callable[[Model], str],
    ) -> None:
        self._block_secret = block_secret
        self._tokenizer = tokenizer
        self._choose_version = choose_version

    def read(
        self, path: str, body: bytes, workspace: str, directory: Directory
    ) -> ModelCall:
        """Return the model call; raises ``CallerError`` for an invalid body."""
        parsed = _parse(body)
        text = _extract_text(path, parsed)
        model = directory.models.get(parsed.model)
        if model is None:
            raise CallerError(ErrorCode.NOT_FOUND, f"no model {quote(parsed.model)}")
        tokens = self._tokenizer.split(text)
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
            max_tokens=_get_max_tokens(parsed),
            cache_salt=hmac.digest(secret, b"cache salt", "sha256").hex(),
            stream=bool(parsed.stream),
        )


def _parse(body: bytes) -> _ModelBody:
    """Return the fields that routing needs, after checking that all of it is JSON.

    Decoding into the class alone skips the bytes of unknown fields without validating
    them. The agent, which decodes the complete body, would fail on them: the call would
    end as "unknown" and count as a failure of the target, and retries would send it to
    further targets.
    """
    try:
        decoded = msgspec.json.decode(body)
        parsed = msgspec.convert(decoded, _ModelBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        message = f"the body is no request for a model: {error}"
        raise CallerError(ErrorCode.BAD_REQUEST, message) from error
    if not _is_depth_allowed(decoded):
        message = f"the body is nested deeper than {MAX_JSON_DEPTH} levels"
        raise CallerError(ErrorCode.BAD_REQUEST, message)
    return parsed


def _is_depth_allowed(value: Any) -> bool:
    """Return whether a decoded body is far below any parser's recursion limit."""
    level = [value]
    for _ in range(MAX_JSON_DEPTH):
        next_level: list[Any] = []
        for item in level:
            if isinstance(item, dict):
                next_level.extend(item.values())
            elif isinstance(item, list):
                next_level.extend(item)
        if not next_level:
            return True
        level = next_level
    return False


def _get_max_tokens(body: _ModelBody) -> int:
    return body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS


def _extract_text(path: str, body: _ModelBody) -> str:
    """Return the text whose leading blocks are looked up; never empty."""
    if path == CHAT_PATH:
        if not body.messages:
            raise CallerError(ErrorCode.BAD_REQUEST, "'messages' is missing or empty")
        return "\n".join(f"<{m.role}> {_join_text(m.content)}" for m in body.messages)
    prompt = body.prompt
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt:
        message = (
            "'prompt' must be one text, or a list of one; token lists are not read"
        )
        raise CallerError(ErrorCode.BAD_REQUEST, message)
    return prompt


def _join_text(content: str | list[_TextPart] | None) -> str:
    if isinstance(content, list):
        return "\n".join(part.text for part in content)
    return content or ""
