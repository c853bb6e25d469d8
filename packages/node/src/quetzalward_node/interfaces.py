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
from quetzalward_core import config
from quetzalward_core import limits
from quetzalward_core import routing


@attrs.frozen
class RouteRequest:
    """A draft request, as the dispatch task needs it for routing."""

    request_id: str
    customer: str
    model: str
    prompt: str
    priority: int
    max_tokens: int
    arrived_ms: clock.Millis
    deadline_ms: clock.Millis
    # Targets on which this request already failed; not chosen again.
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
    # If the attempt is not sent by this time, the grant must be released:
    # the checks made for it (zone, drain, cold-start slot) are out of date.
    expires_ms: clock.Millis | None = None

    def expired(self, now_ms: clock.Millis) -> bool:
        """Return whether it is too late to send the attempt."""
        return self.expires_ms is not None and now_ms > self.expires_ms


class AttemptResult(enum.StrEnum):
    """How an attempt ended; used to assess its target."""

    OK = "ok"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    COLD = "cold"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


@attrs.frozen
class AttemptReport:
    """Measurements of a finished attempt; `None` if not measured."""

    result: AttemptResult
    tokens: int = 0
    first_token_ms: float | None = None
    token_ms: float | None = None


class Dispatcher(typing.Protocol):
    """Admission, queueing and target selection for draft requests."""

    def acquire(self, request: RouteRequest) -> Grant:
        """Wait for admission and a target.

        Raises `QuetzalwardError` (rate_limited, concurrency_limited,
        overloaded, deadline_unreachable, no_target, node_isolated,
        node_stopping, unknown_model); none is raised after a dispatch.
        """

    def release(self, grant: Grant, report: AttemptReport) -> None:
        """End an attempt and release its slot."""

    def finish(self, request_id: str) -> None:
        """End a request after its last attempt; frees the customer's slot.

        Called once for every request that called `acquire`, also if that
        raised.
        """

    def may_retry(self) -> bool:
        """Take one retry from the retry budget; false if it is exhausted."""


@attrs.frozen
class ServiceCall:
    """A call to a plain service, for admission and replica selection."""

    request_id: str
    customer: str
    service: str
    excluded: frozenset[str] = frozenset()


class ServiceRouter(typing.Protocol):
    """Admission and replica selection for plain services."""

    def choose(self, call: ServiceCall) -> Grant:
        """Return a grant with a replica's base URL.

        Raises as `Dispatcher.acquire`.
        """

    def release(self, grant: Grant, report: AttemptReport) -> None:
        """End an attempt and release its slot.

        `first_token_ms` of the report is the time to the answer's first byte.
        """

    def hedge_after_ms(self, service: str, repeatable: bool) -> float | None:
        """Return the time after which to send a second attempt.

        `None` means never. The second attempt needs `may_retry` too.
        """


@attrs.frozen
class ControlView:
    """The control state and this node's freshness, as used by routing."""

    # Position of the last record applied.
    position: int
    configuration: config.Configuration
    groups: typing.Mapping[str, routing.GroupView]
    # Zones out of service, by the log or by a direct stop order.
    zones_out: frozenset[str]
    # Zone by node name, for nodes that joined and neither left nor expired.
    nodes: typing.Mapping[str, str]
    # This node must not start new work.
    isolated: bool
    # Within the last 5 s this node read the log's head, or heard from a
    # majority of the nodes, none of which has read further. If false, a
    # cold-start slot may belong to another node by now.
    ownership_current: bool


class ControlSource(typing.Protocol):
    """Source of the newest control view."""

    def view(self) -> ControlView:
        """Return an immutable view; never blocks.

        The same object is returned as long as nothing changed.
        """


class DemandExchange(typing.Protocol):
    """Exchange of customers' demands between nodes, by gossip."""

    def publish(self, demands: typing.Mapping[str, limits.Demand]) -> None:
        """Replace this node's demand by customer; never blocks."""

    def demands_by_node(
        self,
    ) -> typing.Mapping[str, typing.Mapping[str, limits.Demand]]:
        """Return the last demand received, by other node and customer."""


@attrs.frozen
class CacheEvent:
    """A change of a target's prefix cache; ids as `routing.prefix_ids`."""

    target_id: str
    prefix: str
    added: bool


@attrs.frozen
class TargetsView:
    """State of the targets that this node watches."""

    # Targets of the node's balanced subset; others are watched only for a
    # cold-start slot.
    subset: frozenset[str] = frozenset()
    reports: typing.Mapping[str, routing.EngineReport] = attrs.field(
        factory=dict
    )
    urls: typing.Mapping[str, str] = attrs.field(factory=dict)
    host_list: routing.HostList | None = None


class TargetsSink(typing.Protocol):
    """Receiver of the targets task's views and cache events."""

    def publish_targets(
        self, view: TargetsView, events: tuple[CacheEvent, ...]
    ) -> None:
        """Accept a new view and the cache events since the last.

        Never blocks.
        """


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
    """A stored answer; `body` is `None` if it was too large to store."""

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
        """Claim the key, or return the stored answer of an earlier call.

        Raises `QuetzalwardError`: key_reused, call_in_progress,
        outcome_unknown, result_not_kept, log_unavailable (proven not run).
        """

    def finish(self, started: StartedCall, result: CallResult) -> None:
        """Record the answer; returns once it is queued for the log."""

    def abandon(self, started: StartedCall) -> None:
        """Record that the call was never dispatched, which frees the key."""

    def mark_unknown(self, started: StartedCall) -> None:
        """Record that the call was dispatched and its outcome is unknown."""


# Reported age of the log's head until this node first reads it.
HEAD_NEVER_READ_MS = 2**40


class ControlLog(typing.Protocol):
    """Access of this node to the control stream."""

    def writer(self) -> str:
        """Return this node's writer name; it is also its leases' holder."""

    def state(self) -> agreement.ControlView:
        """Return the newest immutable view of the control state."""

    def append(
        self,
        entries: collections.abc.Sequence[agreement.Entry],
        deadline_ms: clock.Millis,
    ) -> list[agreement.EntryResult]:
        """Append entries in one batch and wait until they are read back.

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
        """Wait until `state()` includes a position; `None` at the deadline."""


class DispatcherAnswer(enum.StrEnum):
    """State of a call, as reported by the dispatcher of its intent."""

    # Dispatched or about to be; a result will be recorded.
    IN_PROGRESS = "in_progress"
    # Never dispatched; the record that frees the key is being appended.
    ABANDONED = "abandoned"
    # Dispatched, but the dispatcher does not know the outcome.
    UNKNOWN = "unknown"
    # The dispatcher could not be reached.
    UNREACHABLE = "unreachable"


class DispatcherQuery(typing.Protocol):
    """Queries the node that dispatched a call for the call's state."""

    def ask(self, node: str, intent_id: str) -> DispatcherAnswer:
        """Query the node with this writer name, within about a second.

        Returns `UNREACHABLE` on any failure, and when the node's nonce is
        not the writer's.
        """


class IntentResponder(typing.Protocol):
    """Answers `DispatcherQuery` on the dispatching node."""

    def answer(self, intent_id: str) -> DispatcherAnswer:
        """Return the state of an intent of this process."""


class CallStatus(typing.Protocol):
    """Status call of services that have one in the configuration."""

    def ran(self, service: str, key: str) -> bool | None:
        """Return true if the service ran the key.

        `False` means that the key has not run so far, but it may still run;
        `None` that there is no status call or no answer.
        """


class StopOrders(typing.Protocol):
    """Stop orders that nodes send directly to each other."""

    def stop_zone(self, zone: str, basis: int) -> None:
        """Stop new work to a zone; `basis` as in `ZoneSet`."""

    def stop_target(self, target: str, basis: int) -> None:
        """Stop new work to a target; `basis` as in `TargetDrainSet`."""


@attrs.frozen
class PeerStatus:
    """Last reported status of a node, this node included."""

    config_revision: int
    heard_age_ms: clock.Millis


class FleetView(typing.Protocol):
    """Status of all nodes, as known to this node."""

    def status_by_node(self) -> collections.abc.Mapping[str, PeerStatus]:
        """Return the last status of each node by its name."""


@attrs.frozen
class Freshness:
    """Whether this node's knowledge of the log is recent enough."""

    # Neither read the log's head nor heard from a majority of nodes in time.
    isolated: bool
    # As `ControlView.ownership_current`.
    ownership_current: bool


class PeerKnowledge(typing.Protocol):
    """State that the peers task provides to the rest of the node."""

    def freshness(self) -> Freshness:
        """Return this node's freshness now; never blocks."""

    def stopped_zones(self) -> collections.abc.Mapping[str, int]:
        """Return the highest basis of a stop order by zone."""

    def stopped_targets(self) -> collections.abc.Mapping[str, int]:
        """Return the highest basis of a stop order by target."""
