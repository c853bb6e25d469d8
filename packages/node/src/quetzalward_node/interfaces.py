"""Interfaces between the tasks of a node.

Each task implements one of these protocols; its users get it as a constructor
argument, so that a test can pass a fake. All times are monotonic milliseconds
of the node's clock unless a name says otherwise.
"""

import collections.abc
import enum
import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import membership


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
        """End a request after its last attempt; frees the customer's slot."""

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


# Age of the log's head before this node has read it for the first time.
HEAD_NEVER_READ_MS = 2**40


class ControlLog(typing.Protocol):
    """The control stream as this node reads and appends it."""

    def writer(self) -> str:
        """Return this node's writer name, which also holds its leases."""

    def state(self) -> agreement.ControlView:
        """Return the newest immutable view of the control state."""

    def append(
        self,
        entries: collections.abc.Sequence[agreement.Entry],
        deadline_ms: clock.Millis,
    ) -> list[agreement.EntryResult]:
        """Append entries in one batch and wait until they were read back.

        Raises `QuetzalwardError`: log_unavailable with outcome `not_run` if
        the entries will never be on the log, outcome_unknown if they may be.
        """

    def head_age_ms(self) -> clock.Millis:
        """Return the time since this node last read the log's head.

        It counts from when that read was sent; `HEAD_NEVER_READ_MS` before
        the first one.
        """

    def wait_for(
        self, position: int, deadline_ms: clock.Millis
    ) -> agreement.ControlView | None:
        """Wait until `state()` covers a position; `None` at the deadline."""


class DispatcherAnswer(enum.StrEnum):
    """What the dispatcher of an intent says about its call."""

    # Dispatched or about to be; a result will follow.
    IN_PROGRESS = "in_progress"
    # Never dispatched; the record that frees the key is on its way.
    ABANDONED = "abandoned"
    # Dispatched, and its own outcome is unknown to the dispatcher.
    UNKNOWN = "unknown"
    # The dispatcher could not be asked.
    UNREACHABLE = "unreachable"


class DispatcherQuery(typing.Protocol):
    """Asks the node that dispatched a call about it."""

    def ask(self, node: str, intent_id: str) -> DispatcherAnswer:
        """Ask the node with this writer name, within about a second.

        Returns `UNREACHABLE` on any failure, and when the node's nonce is
        not the writer's.
        """


class IntentDesk(typing.Protocol):
    """The dispatcher's side of `DispatcherQuery`."""

    def answer(self, intent_id: str) -> DispatcherAnswer:
        """Tell what became of one of this process's intents."""


class CallStatus(typing.Protocol):
    """The status call of a service whose configuration names one."""

    def ran(self, service: str, key: str) -> bool | None:
        """Return true if the service ran the key.

        `False` means that it has not run so far, which does not prove that
        it never will; `None` that there is no status call or no answer.
        """


class PeerKnowledge(typing.Protocol):
    """What the exchange with other nodes tells this node."""

    def isolated(self) -> bool:
        """Tell whether this node must refuse new work."""

    def zone_stopped(self, zone: str) -> bool:
        """Tell whether a zone is out, by the log or by a direct order."""

    def target_stopped(self, target: str) -> bool:
        """Tell whether a target drains, by the log or by a direct order."""

    def revision_by_node(self) -> dict[str, int]:
        """Return the configuration in force at each node that said so."""

    def demand_by_node(self, customer: str) -> dict[str, membership.Demand]:
        """Return one customer's demand at every node that reported any."""

    def add_stop(
        self, kind: membership.StopKind, name: str, basis: int
    ) -> bool:
        """Take a stop order from an operator; true if it is in force."""
