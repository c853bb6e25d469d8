"""Error answers: RFC 9457 problem details with an OpenAI error object."""

import http
import json
import typing

from quetzalward_core import clock
from quetzalward_core import errors

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:quetzalward:error:"

# Names that the OpenAI API uses in `error.type`, by HTTP status.
_OPENAI_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def escape(text: str) -> str:
    """Return text with control characters escaped, for logs and details."""
    return "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode("ascii")
        for c in text
    )


def retry_after_s(retry_after_ms: int) -> int:
    """Return a `Retry-After` value: whole seconds, rounded up, at least 1."""
    per_second = clock.MILLIS_PER_SECOND
    return max(1, -(-retry_after_ms // per_second))


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase, or a generic one."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def problem(error: errors.QuetzalwardError) -> dict[str, typing.Any]:
    """Return the problem details object of an error."""
    problem_type = error.problem_type
    retryable = problem_type.retryable
    if error.outcome is not problem_type.outcome:
        # The error states a more specific outcome than its type: only a
        # request that was not run is safe to repeat unchanged.
        retryable = error.outcome is errors.Outcome.NOT_RUN
    detail = escape(error.detail)
    openai_type = "invalid_request_error"
    if problem_type.status >= 500:
        openai_type = "server_error"
    return {
        "type": TYPE_PREFIX + error.kind.value,
        "title": problem_type.title,
        "status": problem_type.status,
        "detail": detail,
        "kind": error.kind.value,
        "retryable": retryable,
        "outcome": error.outcome.value,
        "remedy": problem_type.remedy,
        "error": {
            "message": f"{problem_type.title}: {detail}",
            "type": _OPENAI_TYPES.get(problem_type.status, openai_type),
            "param": None,
            "code": error.kind.value,
        },
    }


def render(
    error: errors.QuetzalwardError,
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return status, headers and body of the answer for an error."""
    body = json.dumps(problem(error)).encode()
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
    ]
    if error.retry_after_ms is not None:
        seconds = retry_after_s(error.retry_after_ms)
        headers.append(("Retry-After", str(seconds)))
    return error.problem_type.status, headers, body


def render_closing(error: errors.QuetzalwardError) -> bytes:
    """Return a complete HTTP/1.1 answer with `Connection: close`."""
    status, headers, body = render(error)
    headers.append(("Connection", "close"))
    lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + body
