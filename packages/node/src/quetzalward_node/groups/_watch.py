"""Newest engine report of each group, and what follows from it."""

import enum

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_node.groups import _platform
from quetzalward_node.groups import _presence

# Groups in transition are polled often. Serving groups are polled less often,
# because every node also polls the reports of its own targets.
POLL_CHANGING_MS = 1_000
POLL_SERVING_MS = 4_000
# An order without an effect in the report is sent again after its lifetime.
ORDER_REPEAT_MS = agreement.ORDER_LIFETIME_MS
# Nodes stop sending to a draining target within seconds of its record, an
# isolated node after 5 s. An idle target may get requests until then.
DRAIN_SETTLE_MS = 6_000
_SERVING_STATES = ("cold", "warm")


class Match(enum.Enum):
    """How an engine's report relates to the group in the fold."""

    UNKNOWN = "unknown"
    # The engine reports another group, another epoch or none.
    FOREIGN = "foreign"
    PARTIAL = "partial"
    COMPLETE = "complete"


def match(
    group: agreement.Group, report: _platform.EngineReport | None
) -> Match:
    """Compare a report with the group in the fold."""
    if report is None:
        return Match.UNKNOWN
    if (report.target, report.epoch) != (group.group, group.epoch):
        return Match.FOREIGN
    wanted = {member.host: member.incarnation for member in group.hosts}
    return Match.COMPLETE if report.hosts == wanted else Match.PARTIAL


@attrs.define
class Watch:
    """The newest report of a group, and the state of calls to its engine."""

    group: str
    epoch: int
    report: _platform.EngineReport | None = None
    # When the content of `report` was current, by this node's clock.
    as_of_ms: clocks.Millis = -_presence.NEVER_MS
    polled_ms: clocks.Millis = -_presence.NEVER_MS
    polling: bool = False
    ordering: bool = False
    ordered_ms_by_kind: dict[str, clocks.Millis] = attrs.field(factory=dict)
    orders_sent: int = 0
    # When this node first observed the group in the state `draining`.
    draining_since_ms: clocks.Millis | None = None
    unloaded: bool = False

    def is_fresh(self, now_ms: clocks.Millis) -> bool:
        """Return whether the report is within its maximum age.

        The maximum includes the poll interval of serving groups, as the
        report ages between polls. A report that is too old on receipt is
        discarded at once.
        """
        oldest_ms = now_ms - POLL_SERVING_MS - _presence.REPORT_MAX_AGE_MS
        return self.report is not None and self.as_of_ms >= oldest_ms

    def is_poll_due(self, state: str, now_ms: clocks.Millis) -> bool:
        """Return whether to poll the engine now."""
        interval_ms = POLL_CHANGING_MS
        if state == "serving" and self.is_fresh(now_ms):
            interval_ms = POLL_SERVING_MS
        return not self.polling and now_ms - self.polled_ms >= interval_ms

    def record_report(
        self,
        report: _platform.EngineReport | None,
        sent_ms: clocks.Millis,
    ) -> bool:
        """Store a report; return false if there was none or it was too old."""
        self.polling = False
        if report is None or report.age_ms > _presence.REPORT_MAX_AGE_MS:
            self.report = None
            return False
        self.report = report
        self.as_of_ms = sent_ms - report.age_ms
        return True

    def is_order_due(self, kind: str, now_ms: clocks.Millis) -> bool:
        """Return whether an order of a kind may be sent now."""
        sent_ms = self.ordered_ms_by_kind.get(kind, -_presence.NEVER_MS)
        return not self.ordering and now_ms - sent_ms >= ORDER_REPEAT_MS

    def load_started(self) -> bool:
        """Return whether the engine is loading weights."""
        return self.report is not None and self.report.state == "loading"

    def is_drained(self, now_ms: clocks.Millis) -> bool:
        """Return whether no request is running or waiting and none can arrive.

        The content of the report must be from after the settling time.
        """
        since_ms = self.draining_since_ms
        if since_ms is None or self.report is None:
            return False
        if self.as_of_ms < since_ms + DRAIN_SETTLE_MS:
            return False
        return self.report.running == 0 and self.report.waiting == 0


def can_serve(
    group: agreement.Group, report: _platform.EngineReport | None
) -> bool:
    """Return whether the engine can serve the group's model."""
    return (
        match(group, report) is Match.COMPLETE
        and report is not None
        and report.state in _SERVING_STATES
        and group.model in report.models
    )


def next_event(
    group: agreement.Group, watch: Watch, now_ms: clocks.Millis
) -> str | None:
    """Return the state chart event implied by the newest report, if any."""
    report = watch.report
    matched = match(group, report)
    if group.state == "forming" and matched is Match.COMPLETE:
        return "assigned"
    if group.state == "loading" and can_serve(group, report):
        return "loaded"
    if group.state == "unloading" and watch.unloaded:
        return "unloaded"
    if group.state == "serving":
        # Another order reassigned the engine, or it lost its weights.
        if matched is Match.FOREIGN:
            return "reload"
        if matched is Match.COMPLETE and not can_serve(group, report):
            return "reload"
    return None


def next_order(
    group: agreement.Group, watch: Watch, now_ms: clocks.Millis
) -> str | None:
    """Return the kind of order that the group's state requires, if any.

    Load orders are excluded, because the plan decides when they start.
    """
    matched = match(group, watch.report)
    kind = None
    if group.state in ("forming", "loading"):
        if matched is Match.FOREIGN or group.state == "forming":
            kind = "assign"
        if matched is Match.COMPLETE:
            kind = None
    if group.state == "unloading" and not watch.unloaded:
        kind = "unload"
    if kind and watch.is_order_due(kind, now_ms):
        return kind
    return None
