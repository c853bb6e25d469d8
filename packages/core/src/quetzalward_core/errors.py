"""The closed list of error kinds and the problem type of each one.

`PROBLEM_TYPES` maps every kind to its HTTP status, whether a caller may repeat
the request unchanged, and what is known about its execution (RFC 9457 problem
details carry these as `kind`, `retryable` and `outcome`).
"""

import enum

import attrs

from quetzalward_core import clock


class Outcome(enum.StrEnum):
    """Whether a request was executed, as far as known."""

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
    PROMPT_BLOCKED = "prompt_blocked"
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
class ProblemType:
    """How an error kind is reported to a caller, as in RFC 9457."""

    status: int
    title: str
    retryable: bool
    outcome: Outcome
    remedy: str


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

PROBLEM_TYPES: dict[ErrorKind, ProblemType] = {
    ErrorKind.MALFORMED_REQUEST: ProblemType(
        400, "Malformed request", False, _NOT_RUN, "Correct the request."
    ),
    ErrorKind.UNAUTHENTICATED: ProblemType(
        401, "API key missing or unknown", False, _NOT_RUN, "Send a valid key."
    ),
    ErrorKind.FORBIDDEN: ProblemType(
        403, "Not allowed", False, _NOT_RUN, "Ask an operator for access."
    ),
    ErrorKind.UNKNOWN_MODEL: ProblemType(
        404, "Unknown model", False, _NOT_RUN, "List models at /v1/models."
    ),
    ErrorKind.UNKNOWN_SERVICE: ProblemType(
        404, "Unknown service", False, _NOT_RUN, "Check the service's name."
    ),
    ErrorKind.NOT_FOUND: ProblemType(
        404, "No such resource", False, _NOT_RUN, "Check the path."
    ),
    ErrorKind.METHOD_NOT_ALLOWED: ProblemType(
        405, "Method not allowed", False, _NOT_RUN, "Check the method."
    ),
    ErrorKind.BODY_TOO_LARGE: ProblemType(
        413, "Request body too large", False, _NOT_RUN, "Send a smaller body."
    ),
    ErrorKind.HEADERS_TOO_LARGE: ProblemType(
        431, "Headers too large", False, _NOT_RUN, "Send smaller headers."
    ),
    ErrorKind.CALLER_TIMEOUT: ProblemType(
        408, "Request not received in time", True, _NOT_RUN, "Send it again."
    ),
    ErrorKind.KEY_REUSED: ProblemType(
        422,
        "Idempotency key reused with another request",
        False,
        _NOT_RUN,
        "Use a new key for a new request.",
    ),
    ErrorKind.CALL_IN_PROGRESS: ProblemType(
        409,
        "A call with this key is in progress",
        True,
        _UNKNOWN,
        "Repeat with the same key after Retry-After.",
    ),
    ErrorKind.BAD_CONTINUATION: ProblemType(
        422,
        "Last-Event-ID does not belong to this request",
        False,
        _NOT_RUN,
        "Repeat the request without Last-Event-ID.",
    ),
    ErrorKind.RATE_LIMITED: ProblemType(
        429, "Rate limit reached", True, _NOT_RUN, "Wait for Retry-After."
    ),
    ErrorKind.CONCURRENCY_LIMITED: ProblemType(
        429,
        "Too many requests in progress",
        True,
        _NOT_RUN,
        "Wait for Retry-After.",
    ),
    ErrorKind.OVERLOADED: ProblemType(
        503, "Overloaded", True, _NOT_RUN, "Wait for Retry-After."
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ProblemType(
        503,
        "The deadline cannot be met",
        True,
        _NOT_RUN,
        "Wait for Retry-After or allow more time.",
    ),
    ErrorKind.NO_TARGET: ProblemType(
        503, "No target can serve this", True, _NOT_RUN, "Wait and repeat."
    ),
    ErrorKind.PROMPT_BLOCKED: ProblemType(
        503,
        "Targets crashed under this request",
        False,
        _NOT_RUN,
        "Change the request, or ask an operator to lift the block.",
    ),
    ErrorKind.NODE_ISOLATED: ProblemType(
        503,
        "This entry host is cut off",
        True,
        _NOT_RUN,
        "Repeat on another entry host.",
    ),
    ErrorKind.NODE_STOPPING: ProblemType(
        503,
        "This entry host is stopping",
        True,
        _NOT_RUN,
        "Repeat on another entry host.",
    ),
    ErrorKind.LOG_UNAVAILABLE: ProblemType(
        503,
        "The platform's log is unavailable",
        True,
        _NOT_RUN,
        "Repeat with the same key after Retry-After.",
    ),
    ErrorKind.TARGET_FAILED: ProblemType(
        502, "The target failed", False, _UNKNOWN, "Check before repeating."
    ),
    ErrorKind.TARGET_TIMEOUT: ProblemType(
        504,
        "The target did not answer in time",
        False,
        _UNKNOWN,
        "Check before repeating.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: ProblemType(
        504,
        "Whether the call ran is not known",
        False,
        _UNKNOWN,
        "Ask an operator or the service; a repeat never runs it again.",
    ),
    ErrorKind.RESULT_NOT_KEPT: ProblemType(
        409,
        "The call ran; its answer was not kept",
        False,
        Outcome.RAN,
        "Read the result from the service.",
    ),
    ErrorKind.CONFIG_INVALID: ProblemType(
        422,
        "Invalid configuration",
        False,
        _NOT_RUN,
        "Correct the files and run `quetzalward config check`.",
    ),
    ErrorKind.CONFIG_CONFLICT: ProblemType(
        409,
        "The configuration has changed",
        False,
        _NOT_RUN,
        "Run `quetzalward config diff` and publish on the new revision.",
    ),
    ErrorKind.UNKNOWN_EVENT: ProblemType(
        500,
        "Event not in the state chart",
        False,
        _UNKNOWN,
        "Report this to the maintainers.",
    ),
    ErrorKind.MALFORMED_RECORD: ProblemType(
        500,
        "Log record cannot be read",
        False,
        _UNKNOWN,
        "Check that all nodes run compatible versions.",
    ),
    ErrorKind.INTERNAL: ProblemType(
        500, "Internal error", False, _UNKNOWN, "Report this."
    ),
}


class QuetzalwardError(Exception):
    """An error of a known kind, with the details needed to act on it."""

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        retry_after_ms: clock.Millis | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        """Store the kind and the details.

        `outcome` overrides the kind's own where more is known about this
        request.
        """
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.outcome = outcome or PROBLEM_TYPES[kind].outcome

    @property
    def problem_type(self) -> ProblemType:
        """Return the problem type of the error's kind."""
        return PROBLEM_TYPES[self.kind]


class UnknownEventError(QuetzalwardError):
    """A state chart received an event that it does not define."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        """Name the chart, its current state and the event."""
        super().__init__(
            ErrorKind.UNKNOWN_EVENT,
            f"chart {chart!r} in state {state!r} has no event {event!r}",
        )


class LogGapError(QuetzalwardError):
    """Log records between the expected and the received offset are missing."""

    def __init__(self, expected: int, received: int) -> None:
        """Store the next offset to apply and the offset that was received."""
        super().__init__(
            ErrorKind.LOG_UNAVAILABLE,
            f"gap in the log: expected offset {expected}, received {received};"
            " bootstrap from a snapshot",
        )
