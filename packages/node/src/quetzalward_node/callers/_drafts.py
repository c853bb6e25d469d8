"""Parsing and validation of the bodies of completion requests."""

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
    """The paths of the two completion APIs."""

    CHAT = "/v1/chat/completions"
    TEXT = "/v1/completions"


def _malformed_request(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.MALFORMED_REQUEST, detail)


@attrs.frozen
class Draft:
    """A validated completion request."""

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


def _reject_duplicate_keys(pairs: list[tuple[str, typing.Any]]) -> _Json:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise _malformed_request("a JSON object has a duplicate key")
    return result


def _reject_constant(text: str) -> typing.Any:
    raise _malformed_request(f"{text} is not valid JSON")


def parse_json(body: bytes) -> _Json:
    """Return the JSON object of a body.

    Raises `QuetzalwardError` of kind `malformed_request`.
    """
    try:
        text = body.decode()
        document = json.loads(
            text,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
        # A lone surrogate passes the parser but cannot be encoded as UTF-8.
        json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise _malformed_request(
            "the body is not valid JSON in UTF-8"
        ) from error
    if not isinstance(document, dict):
        raise _malformed_request("the body is not a JSON object")
    return document


def _optional_field(
    body: _Json, name: str, kind: type, expected: str
) -> typing.Any:
    value = body.get(name)
    # bool is a subclass of int, but `true` is not a number here.
    wrong_bool = isinstance(value, bool) and kind is not bool
    if value is not None and (not isinstance(value, kind) or wrong_bool):
        raise _malformed_request(f"{name} must be {expected}")
    return value


def _optional_integer(
    body: _Json, name: str, minimum: int, maximum: int
) -> int | None:
    value = _optional_field(body, name, int, "an integer")
    if value is not None and not minimum <= value <= maximum:
        raise _malformed_request(f"{name} must be from {minimum} to {maximum}")
    return typing.cast(int | None, value)


def _content_text(content: typing.Any) -> str:
    if content is None or isinstance(content, str):
        return content or ""
    if not isinstance(content, list):
        raise _malformed_request(
            "a message's content must be a string or a list"
        )
    texts = []
    for part in content:
        if not isinstance(part, dict):
            raise _malformed_request(
                "a part of a message's content must be an object"
            )
        text = part.get("text", "")
        if not isinstance(text, str):
            raise _malformed_request(
                "the text of a content part must be a string"
            )
        texts.append(text)
    return "".join(texts)


def _chat_prompt(body: _Json) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _malformed_request(
            "messages must be a list with at least one message"
        )
    texts = []
    for message in messages:
        if not isinstance(message, dict):
            raise _malformed_request("a message must be an object")
        role = message.get("role")
        if not isinstance(role, str):
            raise _malformed_request("a message's role must be a string")
        texts.append(f"{role}: {_content_text(message.get('content'))}")
    return "\n".join(texts)


def _text_prompt(body: _Json) -> str:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise _malformed_request("prompt must be one string")
    return prompt


def _check_unsupported(body: _Json) -> None:
    """Reject options that cannot be resumed or that only the node sets."""
    for name in ("n", "best_of"):
        if _optional_integer(body, name, 1, MAX_TOKENS) not in (None, 1):
            raise _malformed_request(f"{name} must be 1")
    if body.get("resume_from") is not None:
        raise _malformed_request(
            "resume_from is not allowed; use the Last-Event-ID header"
        )


def _include_usage(body: _Json) -> bool:
    options = _optional_field(body, "stream_options", dict, "an object") or {}
    value = _optional_field(options, "include_usage", bool, "true or false")
    return bool(value)


def parse(endpoint: Endpoint, body: bytes) -> Draft:
    """Parse and validate a completion request.

    Raises `QuetzalwardError` of kind `malformed_request`.
    """
    document = parse_json(body)
    model = document.get("model")
    if not isinstance(model, str):
        raise _malformed_request("model must be a string")
    _check_unsupported(document)
    chat = endpoint is Endpoint.CHAT
    prompt = _chat_prompt(document) if chat else _text_prompt(document)
    limits = [
        _optional_integer(document, name, 1, MAX_TOKENS)
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
        stream=bool(
            _optional_field(document, "stream", bool, "true or false")
        ),
        include_usage=_include_usage(document),
        seed=_optional_integer(document, "seed", -(2**63), 2**63 - 1),
        body_hash=hashlib.sha256(hashed).hexdigest(),
    )


def engine_body(
    draft: Draft, seed: int, priority: int, resume_from: int
) -> bytes:
    """Return the body that requests the rest of a completion from an engine.

    The engine always streams, so that a completion that is not streamed to
    the caller can also be resumed on another replica.
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
