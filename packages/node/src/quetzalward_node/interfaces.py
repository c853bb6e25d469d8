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
    # The attempt must be sent before this time, or the grant released: the
    # checks behind it (zone, drain, cold-start slot) hold no longer.
    expires_ms: clock.Millis | None = None

    def expired(self, now_ms: clock.Millis) -> bool:
        """Tell whether it is too late to send the attempt."""
        return self.expires_ms is not None and now_ms > self.expires_ms


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
        """End an attempt and return its slot.

        `first_token_ms` of the report is the time to the answer's first byte.
        """

    def hedge_after_ms(self, service: str, repeatable: bool) -> float | None:
        """Return the time after which to send a second attempt.

        `None` means never. The second attempt needs `may_retry` too.
        """


@attrs.frozen
class ControlView:
    """What routing needs of the fold and of this node's freshness."""

    # Position of the last record applied.
    position: int
    configuration: config.Configuration
    groups: typing.Mapping[str, routing.GroupView]
    # Zones taken out, on the log or by a direct stop order.
    zones_out: frozenset[str]
    # Zone by name of each node that joined and neither left nor expired.
    nodes: typing.Mapping[str, str]
    # This node may start no new work.
    isolated: bool
    # Within the last 5 s this node read the log's head, or heard from a
    # majority of the nodes, none of which has read further. Otherwise a
    # cold-start slot may have moved away unseen.
    ownership_current: bool


class ControlSource(typing.Protocol):
    """The newest control view."""

    def view(self) -> ControlView:
        """Return an immutable view; never blocks.

        The same object is returned as long as nothing changed.
        """


class DemandExchange(typing.Protocol):
    """Customers' demands, gossiped between nodes."""

    def publish(self, demands: typing.Mapping[str, limits.Demand]) -> None:
        """Replace this node's demand by customer; never blocks."""

    def others(
        self,
    ) -> typing.Mapping[str, typing.Mapping[str, limits.Demand]]:
        """Return the last demand heard, by other node and customer."""


@attrs.frozen
class CacheEvent:
    """A change of a target's prefix cache; ids as `routing.prefix_ids`."""

    target_id: str
    prefix: str
    added: bool


@attrs.frozen
class TargetsView:
    """What this node knows of the targets it watches."""

    # Targets of the node's balanced subset; others are watched only for a
    # cold-start slot.
    subset: frozenset[str] = frozenset()
    reports: typing.Mapping[str, routing.EngineReport] = attrs.field(
        factory=dict
    )
    urls: typing.Mapping[str, str] = attrs.field(factory=dict)
    host_list: routing.HostList | None = None


class TargetsSink(typing.Protocol):
    """Receiver of what the targets task reads."""

    def publish_targets(
        self, view: TargetsView, events: tuple[CacheEvent, ...]
    ) -> None:
        """Take a new view and the cache events since the last; no wait."""


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


class StopOrders(typing.Protocol):
    """Stop orders that travel directly between nodes."""

    def stop_zone(self, zone: str, basis: int) -> None:
        """Stop new work to a zone; `basis` as in `ZoneSet`."""

    def stop_target(self, target: str, basis: int) -> None:
        """Stop new work to a target; `basis` as in `TargetDrainSet`."""


@attrs.frozen
class PeerStatus:
    """What this node last heard of a node, itself included."""

    config_revision: int
    heard_age_ms: clock.Millis


class FleetView(typing.Protocol):
    """What this node knows of the others."""

    def status_by_node(self) -> collections.abc.Mapping[str, PeerStatus]:
        """Return the last status of each node by its name."""


@attrs.frozen
class Freshness:
    """How much this node may trust what it knows of the log."""

    # Neither the log's head nor a majority of nodes was heard in time.
    isolated: bool
    # As `ControlView.ownership_current`.
    ownership_current: bool


class PeerKnowledge(typing.Protocol):
    """What the peers task tells the rest of the node."""

    def freshness(self) -> Freshness:
        """Return this node's freshness now; never blocks."""

    def stopped_zones(self) -> collections.abc.Mapping[str, int]:
        """Return the highest basis of a stop order by zone."""

    def stopped_targets(self) -> collections.abc.Mapping[str, int]:
        """Return the highest basis of a stop order by target."""
