"""What passes between a caller and a plain service, and what does not."""

import re
import typing

from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node.callers import _framing

CUSTOMER_HEADER = "x-quetzalward-customer"
MAX_KEY_CHARS = 255

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Set by the node itself or meant for it. The API key is the customer's secret
# towards this system; the service is told the customer's name instead.
_NOT_FORWARDED = frozenset(
    (
        "authorization",
        "content-length",
        "expect",
        "host",
        "traceparent",
        "tracestate",
        "x-request-id",
        CUSTOMER_HEADER,
    )
)
_NOT_RETURNED = frozenset(("content-length", "x-request-id"))

_METHOD = re.compile(r"[A-Z][A-Z-]{0,31}")
_PATH = re.compile(r"[\x21-\x7e]*")
_KEY_STRING = re.compile(r'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])+)"')
_KEY_BARE = re.compile(r"[\x21\x23-\x2b\x2d-\x5b\x5d-\x7e]+")
_PERCENT = re.compile(r"%([0-9A-Fa-f]{2})")

Headers = typing.Iterable[tuple[str, str]]


def _malformed(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.MALFORMED_REQUEST, detail)


def _end_to_end(
    headers: Headers, dropped: frozenset[str]
) -> list[tuple[str, str]]:
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = _HOP_BY_HOP | dropped | named
    return [pair for pair in pairs if pair[0].lower() not in excluded]


def request_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the headers of a call that the service receives."""
    return _end_to_end(headers, _NOT_FORWARDED)


def response_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the headers of an answer that the caller receives."""
    return [
        (name, re.sub(r"[\x00-\x08\x0a-\x1f\x7f]+", " ", value))
        for name, value in _end_to_end(headers, _NOT_RETURNED)
    ]


def check_target(method: str, path: str, query: str) -> None:
    """Check that a call can be passed on and means one thing only.

    A path with dot segments could match a repeatable prefix and reach
    another resource. Raises `QuetzalwardError` of kind `malformed_request`.
    """
    if not _METHOD.fullmatch(method) or method in ("CONNECT", "TRACE"):
        raise errors.QuetzalwardError(
            errors.ErrorKind.METHOD_NOT_ALLOWED,
            f"method {method!r} is not passed on",
        )
    if not _PATH.fullmatch(path) or not _PATH.fullmatch(query):
        raise _malformed("the path holds characters that must be escaped")
    decoded = _PERCENT.sub(lambda m: chr(int(m.group(1), 16)), path)
    segments = re.split(r"[/\\]", decoded)
    if "." in segments or ".." in segments or "%" in decoded:
        raise _malformed("the path holds dot segments or double escapes")


def is_repeatable(service: config.Service, method: str, path: str) -> bool:
    """Return whether a call may run more than once."""
    for call in service.repeatable:
        prefix = call.path.rstrip("/")
        inside = path == prefix or path.startswith(prefix + "/")
        if call.method.upper() == method and (inside or path == call.path):
            return True
    return False


def idempotency_key(head: _framing.Head) -> str | None:
    """Return the call's key, or `None` without one.

    The IETF draft makes the header a structured string, `"..."`. A bare
    token, as many clients send, names the same key. Raises
    `QuetzalwardError` of kind `malformed_request`.
    """
    value = head.get("idempotency-key")
    if value is None:
        return None
    quoted = _KEY_STRING.fullmatch(value)
    key = value
    if quoted:
        key = re.sub(r"\\(.)", r"\1", quoted.group(1))
    elif not _KEY_BARE.fullmatch(value):
        raise _malformed("Idempotency-Key is not a string")
    if len(key) > MAX_KEY_CHARS:
        raise _malformed(f"Idempotency-Key is over {MAX_KEY_CHARS} characters")
    return key
