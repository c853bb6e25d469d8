"""Checks and header filtering of calls proxied to plain services."""

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
# Set by the node or addressed to it. The API key is a secret between the
# customer and this system; the service gets the customer's name instead.
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
_QUOTED_KEY = re.compile(r'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])+)"')
_BARE_KEY = re.compile(r"[\x21\x23-\x2b\x2d-\x5b\x5d-\x7e]+")
_PERCENT_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")

Headers = typing.Iterable[tuple[str, str]]


def _malformed(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.MALFORMED_REQUEST, detail)


def _end_to_end(
    headers: Headers, dropped: frozenset[str]
) -> list[tuple[str, str]]:
    pairs = list(headers)
    connection_tokens = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = _HOP_BY_HOP | dropped | connection_tokens
    return [pair for pair in pairs if pair[0].lower() not in excluded]


def request_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the request headers to forward to the service."""
    return _end_to_end(headers, _NOT_FORWARDED)


def response_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the response headers to forward to the caller.

    Control characters in values are replaced by spaces.
    """
    return [
        (name, re.sub(r"[\x00-\x08\x0a-\x1f\x7f]+", " ", value))
        for name, value in _end_to_end(headers, _NOT_RETURNED)
    ]


def check_target(method: str, path: str, query: str) -> None:
    """Check that a call can be forwarded and its path is unambiguous.

    A path with dot segments could match a repeatable prefix but address
    another resource. Raises `QuetzalwardError` of kind `malformed_request`.
    """
    if not _METHOD.fullmatch(method) or method in ("CONNECT", "TRACE"):
        raise errors.QuetzalwardError(
            errors.ErrorKind.METHOD_NOT_ALLOWED,
            f"method {method!r} is not forwarded to services",
        )
    if not _PATH.fullmatch(path) or not _PATH.fullmatch(query):
        raise _malformed(
            "the path or query contains characters that must be escaped"
        )
    decoded = _PERCENT_ESCAPE.sub(lambda m: chr(int(m.group(1), 16)), path)
    segments = re.split(r"[/\\]", decoded)
    if "." in segments or ".." in segments or "%" in decoded:
        raise _malformed(
            "the path contains dot segments or doubly escaped characters"
        )


def is_repeatable(service: config.Service, method: str, path: str) -> bool:
    """Return whether a call is declared as repeatable."""
    for call in service.repeatable:
        prefix = call.path.rstrip("/")
        under_prefix = path == prefix or path.startswith(prefix + "/")
        if call.method.upper() == method and (
            under_prefix or path == call.path
        ):
            return True
    return False


def idempotency_key(head: _framing.Head) -> str | None:
    """Return the idempotency key of a call, or `None` if it has none.

    The IETF draft defines the header as a structured-field string, `"..."`.
    An unquoted token, as many clients send it, is the same key. Raises
    `QuetzalwardError` of kind `malformed_request`.
    """
    value = head.get("idempotency-key")
    if value is None:
        return None
    quoted = _QUOTED_KEY.fullmatch(value)
    key = value
    if quoted:
        key = re.sub(r"\\(.)", r"\1", quoted.group(1))
    elif not _BARE_KEY.fullmatch(value):
        raise _malformed(
            "Idempotency-Key is neither a quoted string nor a token"
        )
    if len(key) > MAX_KEY_CHARS:
        raise _malformed(f"Idempotency-Key is over {MAX_KEY_CHARS} characters")
    return key
