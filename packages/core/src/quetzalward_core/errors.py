"""The closed list of error kinds and the answer that each one gets.

`ANSWERS` maps every kind to its HTTP status, whether a caller may repeat the
request unchanged, and what is known about its execution (RFC 9457 problem
details carry these as `kind`, `retryable` and `outcome`).
"""

import enum

import attrs

from quetzalward_core import clock


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Every error that quetzalward reports."""

    MALFORMED_REQUEST = "malformed_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    CALLER_TIMEOUT = "caller_timeout"
    KEY_REUSED = "key_reused"
    CALL_IN_PROGRESS = "call_in_progress"
    BAD_CONTINUATION = "bad_continuation"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_TARGET = "no_target"
    NODE_ISOLATED = "node_isolated"
    NODE_STOPPING = "node_stopping"
    LOG_UNAVAILABLE = "log_unavailable"
    TARGET_FAILED = "target_failed"
    TARGET_TIMEOUT = "target_timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RESULT_NOT_KEPT = "result_not_kept"
    CONFIG_INVALID = "config_invalid"
    CONFIG_CONFLICT = "config_conflict"
    UNKNOWN_EVENT = "unknown_event"
    MALFORMED_RECORD = "malformed_record"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """How one error kind is reported to a caller."""

    status: int
    title: str
    retryable: bool
    outcome: Outcome
    remedy: str


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED_REQUEST: Answer(
        400, "Malformed request", False, _NOT_RUN, "Correct the request."
    ),
    ErrorKind.UNAUTHENTICATED: Answer(
        401, "API key missing or unknown", False, _NOT_RUN, "Send a valid key."
    ),
    ErrorKind.FORBIDDEN: Answer(
        403, "Not allowed", False, _NOT_RUN, "Ask an operator for access."
    ),
    ErrorKind.UNKNOWN_MODEL: Answer(
        404, "Unknown model", False, _NOT_RUN, "List models at /v1/models."
    ),
    ErrorKind.UNKNOWN_SERVICE: Answer(
        404, "Unknown service", False, _NOT_RUN, "Check the service's name."
    ),
    ErrorKind.NOT_FOUND: Answer(
        404, "No such resource", False, _NOT_RUN, "Check the path."
    ),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(
        405, "Method not allowed", False, _NOT_RUN, "Check the method."
    ),
    ErrorKind.BODY_TOO_LARGE: Answer(
        413, "Request body too large", False, _NOT_RUN, "Send a smaller body."
    ),
    ErrorKind.HEADERS_TOO_LARGE: Answer(
        431, "Headers too large", False, _NOT_RUN, "Send smaller headers."
    ),
    ErrorKind.CALLER_TIMEOUT: Answer(
        408, "Request not received in time", True, _NOT_RUN, "Send it again."
    ),
    ErrorKind.KEY_REUSED: Answer(
        422,
        "Idempotency key reused with another request",
        False,
        _NOT_RUN,
        "Use a new key for a new request.",
    ),
    ErrorKind.CALL_IN_PROGRESS: Answer(
        409,
        "A call with this key is in progress",
        True,
        _UNKNOWN,
        "Repeat with the same key after Retry-After.",
    ),
    ErrorKind.BAD_CONTINUATION: Answer(
        422,
        "Last-Event-ID does not belong to this request",
        False,
        _NOT_RUN,
        "Repeat the request without Last-Event-ID.",
    ),
    ErrorKind.RATE_LIMITED: Answer(
        429, "Rate limit reached", True, _NOT_RUN, "Wait for Retry-After."
    ),
    ErrorKind.CONCURRENCY_LIMITED: Answer(
        429,
        "Too many requests in progress",
        True,
        _NOT_RUN,
        "Wait for Retry-After.",
    ),
    ErrorKind.OVERLOADED: Answer(
        503, "Overloaded", True, _NOT_RUN, "Wait for Retry-After."
    ),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(
        503,
        "The deadline cannot be met",
        True,
        _NOT_RUN,
        "Wait for Retry-After or allow more time.",
    ),
    ErrorKind.NO_TARGET: Answer(
        503, "No target can serve this", True, _NOT_RUN, "Wait and repeat."
    ),
    ErrorKind.NODE_ISOLATED: Answer(
        503,
        "This entry host is cut off",
        True,
        _NOT_RUN,
        "Repeat on another entry host.",
    ),
    ErrorKind.NODE_STOPPING: Answer(
        503,
        "This entry host is stopping",
        True,
        _NOT_RUN,
        "Repeat on another entry host.",
    ),
    ErrorKind.LOG_UNAVAILABLE: Answer(
        503,
        "The platform's log is unavailable",
        True,
        _NOT_RUN,
        "Repeat with the same key after Retry-After.",
    ),
    ErrorKind.TARGET_FAILED: Answer(
        502, "The target failed", False, _UNKNOWN, "Check before repeating."
    ),
    ErrorKind.TARGET_TIMEOUT: Answer(
        504,
        "The target did not answer in time",
        False,
        _UNKNOWN,
        "Check before repeating.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        504,
        "Whether the call ran is not known",
        False,
        _UNKNOWN,
        "Ask an operator or the service; a repeat never runs it again.",
    ),
    ErrorKind.RESULT_NOT_KEPT: Answer(
        409,
        "The call ran; its answer was not kept",
        False,
        Outcome.RAN,
        "Read the result from the service.",
    ),
    ErrorKind.CONFIG_INVALID: Answer(
        422,
        "Invalid configuration",
        False,
        _NOT_RUN,
        "Correct the files and run `quetzalward config check`.",
    ),
    ErrorKind.CONFIG_CONFLICT: Answer(
        409,
        "The configuration has changed",
        False,
        _NOT_RUN,
        "Run `quetzalward config diff` and publish on the new revision.",
    ),
    ErrorKind.UNKNOWN_EVENT: Answer(
        500,
        "Event not in the state chart",
        False,
        _UNKNOWN,
        "Report this to the maintainers.",
    ),
    ErrorKind.MALFORMED_RECORD: Answer(
        500,
        "Log record cannot be read",
        False,
        _UNKNOWN,
        "Check that all nodes run compatible versions.",
    ),
    ErrorKind.INTERNAL: Answer(
        500, "Internal error", False, _UNKNOWN, "Report this."
    ),
}


class QuetzalwardError(Exception):
    """An error of a listed kind, with the context a person needs to act."""

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        retry_after_ms: clock.Millis | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        """Describe the error.

        `outcome` overrides the table where more is known about this request.
        """
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.outcome = outcome or ANSWERS[kind].outcome

    @property
    def answer(self) -> Answer:
        """Return the kind's row of the table."""
        return ANSWERS[self.kind]


class UnknownEventError(QuetzalwardError):
    """A state chart received an event that it does not list."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        """Name the chart, its current state and the event."""
        super().__init__(
            ErrorKind.UNKNOWN_EVENT,
            f"chart {chart!r} in state {state!r} has no event {event!r}",
        )


class LogGapError(QuetzalwardError):
    """Records between the fold's offset and the next one are missing."""

    def __init__(self, expected: int, found: int) -> None:
        """Name the offset that the fold expected and the one it was given."""
        super().__init__(
            ErrorKind.LOG_UNAVAILABLE,
            f"expected offset {expected}, found {found}; "
            "bootstrap from a snapshot",
        )
