"""Checks of the bodies of completion requests."""

import enum
import hashlib
import json
import typing

import attrs

from quetzalward_core import errors
from quetzalward_core import streams

# Used for load estimates only, when the caller sets no limit.
DEFAULT_MAX_TOKENS = 512
MAX_TOKENS = 1_000_000

_Json = dict[str, typing.Any]


class Endpoint(enum.StrEnum):
    """The two ways to ask for a completion."""

    CHAT = "/v1/chat/completions"
    TEXT = "/v1/completions"


def _malformed(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.MALFORMED_REQUEST, detail)


@attrs.frozen
class Draft:
    """A checked completion request."""

    endpoint: Endpoint
    body: _Json
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    seed: int | None
    # SHA-256 hex of endpoint and canonical body, equal for equal requests.
    body_hash: str


def _no_duplicates(pairs: list[tuple[str, typing.Any]]) -> _Json:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise _malformed("a JSON object repeats a name")
    return result


def _no_constants(text: str) -> typing.Any:
    raise _malformed(f"{text} is not JSON")


def parse_json(body: bytes) -> _Json:
    """Return the JSON object of a body.

    Raises `QuetzalwardError` of kind `malformed_request`.
    """
    try:
        text = body.decode()
        document = json.loads(
            text,
            object_pairs_hook=_no_duplicates,
            parse_constant=_no_constants,
        )
        # A lone surrogate survives parsing but cannot be sent on.
        json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise _malformed("the body is not valid JSON in UTF-8") from error
    if not isinstance(document, dict):
        raise _malformed("the body is not a JSON object")
    return document


def _optional(body: _Json, name: str, kind: type, meaning: str) -> typing.Any:
    value = body.get(name)
    # bool is a subclass of int, but `true` is not a number here.
    wrong_bool = isinstance(value, bool) and kind is not bool
    if value is not None and (not isinstance(value, kind) or wrong_bool):
        raise _malformed(f"{name} must be {meaning}")
    return value


def _integer(body: _Json, name: str, low: int, high: int) -> int | None:
    value = _optional(body, name, int, "an integer")
    if value is not None and not low <= value <= high:
        raise _malformed(f"{name} must be from {low} to {high}")
    return typing.cast(int | None, value)


def _content_text(content: typing.Any) -> str:
    if content is None or isinstance(content, str):
        return content or ""
    if not isinstance(content, list):
        raise _malformed("a message's content must be a string or a list")
    texts = []
    for part in content:
        if not isinstance(part, dict):
            raise _malformed("a part of a message must be an object")
        text = part.get("text", "")
        if not isinstance(text, str):
            raise _malformed("a part's text must be a string")
        texts.append(text)
    return "".join(texts)


def _chat_prompt(body: _Json) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _malformed("messages must be a list with at least one message")
    texts = []
    for message in messages:
        if not isinstance(message, dict):
            raise _malformed("a message must be an object")
        role = message.get("role")
        if not isinstance(role, str):
            raise _malformed("a message's role must be a string")
        texts.append(f"{role}: {_content_text(message.get('content'))}")
    return "\n".join(texts)


def _text_prompt(body: _Json) -> str:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise _malformed("prompt must be one string")
    return prompt


def _check_unsupported(body: _Json) -> None:
    """Refuse what cannot be resumed token by token, or is the node's own."""
    for name in ("n", "best_of"):
        if _integer(body, name, 1, MAX_TOKENS) not in (None, 1):
            raise _malformed(f"{name} must be 1")
    if body.get("resume_from") is not None:
        raise _malformed("resume_from is set by Last-Event-ID only")


def _include_usage(body: _Json) -> bool:
    options = _optional(body, "stream_options", dict, "an object") or {}
    value = _optional(options, "include_usage", bool, "true or false")
    return bool(value)


def parse(endpoint: Endpoint, body: bytes) -> Draft:
    """Check a completion request.

    Raises `QuetzalwardError` of kind `malformed_request`.
    """
    document = parse_json(body)
    model = document.get("model")
    if not isinstance(model, str):
        raise _malformed("model must be a string")
    _check_unsupported(document)
    chat = endpoint is Endpoint.CHAT
    prompt = _chat_prompt(document) if chat else _text_prompt(document)
    limits = [
        _integer(document, name, 1, MAX_TOKENS)
        for name in ("max_completion_tokens", "max_tokens")
    ]
    canonical = json.dumps(document, sort_keys=True, separators=(",", ":"))
    hashed = f"{endpoint.value}\n{canonical}".encode()
    return Draft(
        endpoint=endpoint,
        body=document,
        model=model,
        prompt=prompt,
        max_tokens=limits[0] or limits[1] or DEFAULT_MAX_TOKENS,
        stream=bool(_optional(document, "stream", bool, "true or false")),
        include_usage=_include_usage(document),
        seed=_integer(document, "seed", -(2**63), 2**63 - 1),
        body_hash=hashlib.sha256(hashed).hexdigest(),
    )


def engine_body(
    draft: Draft, seed: int, priority: int, resume_from: int
) -> bytes:
    """Return the body that asks an engine for the rest of an answer.

    The engine always streams, so that an answer that is not streamed to the
    caller can be resumed on another replica as well.
    """
    body = dict(draft.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = priority
    body["resume_from"] = resume_from
    if draft.seed is None:
        # Replicas sample the same tokens only from the same seed.
        body["seed"] = seed % (streams.MAX_SEED + 1)
    return json.dumps(body).encode()
