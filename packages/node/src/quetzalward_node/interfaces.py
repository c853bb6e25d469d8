"""Interfaces between the tasks of a node.

Each task implements one of these protocols; its users get it as a constructor
argument, so that a test can pass a fake. All times are monotonic milliseconds
of the node's clock unless a name says otherwise.
"""

import enum
import typing

import attrs

from quetzalward_core import clock


@attrs.frozen
class RouteRequest:
    """What the dispatch task needs to know of a draft request."""

    request_id: str
    customer: str
    model: str
    prompt: str
    priority: int
    max_tokens: int
    arrived_ms: clock.Millis
    deadline_ms: clock.Millis
    # Targets that already failed this request, not to be chosen again.
    excluded: frozenset[str] = frozenset()
    # 1 for the first attempt; later attempts draw on the retry budget and
    # pass the queue and the customer's limits without being counted again.
    attempt: int = 1


@attrs.frozen
class Grant:
    """Permission to send one attempt to one target.

    The owner must call `Dispatcher.release` exactly once for it.
    """

    grant_id: int
    request_id: str
    target_id: str
    url: str
    zone: str
    attempt: int


class AttemptResult(enum.StrEnum):
    """How an attempt ended, as evidence about its target."""

    OK = "ok"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    COLD = "cold"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


@attrs.frozen
class AttemptReport:
    """Measurements of a finished attempt; `None` where nothing was seen."""

    result: AttemptResult
    tokens: int = 0
    first_token_ms: float | None = None
    token_ms: float | None = None


class Dispatcher(typing.Protocol):
    """Admission, queue and choice of a target for drafts."""

    def acquire(self, request: RouteRequest) -> Grant:
        """Wait for admission and a target.

        Raises `QuetzalwardError` (rate_limited, concurrency_limited,
        overloaded, deadline_unreachable, no_target, node_isolated,
        node_stopping, unknown_model); none of them after a dispatch.
        """

    def release(self, grant: Grant, report: AttemptReport) -> None:
        """End an attempt and return its slot."""

    def finish(self, request_id: str) -> None:
        """End a request after its last attempt; frees the customer's slot.

        Called once for every request that called `acquire`, also if that
        raised.
        """

    def may_retry(self) -> bool:
        """Spend one retry from the budget; false if it is used up."""


@attrs.frozen
class ServiceCall:
    """A call to a plain service, for admission and choice of a replica."""

    request_id: str
    customer: str
    service: str
    excluded: frozenset[str] = frozenset()


class ServiceRouter(typing.Protocol):
    """Choice of a replica of a plain service."""

    def choose(self, call: ServiceCall) -> Grant:
        """Return a replica's base URL as a grant, or raise as `acquire`."""

    def release(self, grant: Grant, report: AttemptReport) -> None:
        """End an attempt and return its slot."""


@attrs.frozen
class KeyedCall:
    """A call that must run at most once."""

    customer: str
    service: str
    key: str
    # SHA-256 hex of method, path and body.
    fingerprint: str
    deadline_ms: clock.Millis


@attrs.frozen
class CallResult:
    """A kept answer; `body` is `None` if it was too large to keep."""

    status: int
    content_type: str
    body: bytes | None


@attrs.frozen
class StartedCall:
    """The right to dispatch one attempt for a key."""

    intent_id: str
    call: KeyedCall


class CallRegistry(typing.Protocol):
    """Durable record of calls that must run at most once."""

    def begin(self, call: KeyedCall) -> StartedCall | CallResult:
        """Claim the key, or return the kept answer of an earlier call.

        Raises `QuetzalwardError`: key_reused, call_in_progress,
        outcome_unknown, result_not_kept, log_unavailable (proved not run).
        """

    def finish(self, started: StartedCall, result: CallResult) -> None:
        """Record the answer; returns once it is queued for the log."""

    def abandon(self, started: StartedCall) -> None:
        """Record that the call was never dispatched, which frees the key."""

    def mark_unknown(self, started: StartedCall) -> None:
        """Record that the call was dispatched and its outcome is unknown."""
