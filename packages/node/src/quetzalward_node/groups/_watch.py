"""What engine reports say about the groups of one zone."""

import enum

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_node.groups import _platform
from quetzalward_node.groups import _presence

# Groups in transition are polled often. Groups that serve are polled seldom,
# because every node checks the reports of its own targets anyway.
POLL_CHANGING_MS = 1_000
POLL_SERVING_MS = 4_000
# An order is repeated after its lifetime if the report shows no effect.
ORDER_REPEAT_MS = agreement.ORDER_LIFETIME_MS
# Nodes stop sending to a draining target within seconds of its record, and an
# isolated node stops after 5 s; idleness before that proves nothing.
DRAIN_SETTLE_MS = 6_000
_SERVING_STATES = ("cold", "warm")


class Match(enum.Enum):
    """How an engine's report relates to the group in the fold."""

    UNKNOWN = "unknown"
    # The engine has another group, another epoch or none.
    FOREIGN = "foreign"
    PARTIAL = "partial"
    COMPLETE = "complete"


def match(
    group: agreement.Group, report: _platform.EngineReport | None
) -> Match:
    """Compare a report with the group that the fold names."""
    if report is None:
        return Match.UNKNOWN
    if (report.target, report.epoch) != (group.group, group.epoch):
        return Match.FOREIGN
    wanted = {member.host: member.incarnation for member in group.hosts}
    return Match.COMPLETE if report.hosts == wanted else Match.PARTIAL


@attrs.define
class Watch:
    """The newest report of one group and the calls under way."""

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
    # When this node first saw the group draining.
    draining_since_ms: clocks.Millis | None = None
    unloaded: bool = False

    def fresh(self, now_ms: clocks.Millis) -> bool:
        """Tell whether the report is no older than a poll allows.

        A report that was too old when it arrived is dropped on arrival; the
        poll interval comes on top.
        """
        oldest_ms = now_ms - POLL_SERVING_MS - _presence.REPORT_MAX_AGE_MS
        return self.report is not None and self.as_of_ms >= oldest_ms

    def poll_due(self, state: str, now_ms: clocks.Millis) -> bool:
        """Tell whether to ask the engine again."""
        interval_ms = POLL_CHANGING_MS
        if state == "serving" and self.fresh(now_ms):
            interval_ms = POLL_SERVING_MS
        return not self.polling and now_ms - self.polled_ms >= interval_ms

    def take(
        self,
        report: _platform.EngineReport | None,
        sent_ms: clocks.Millis,
    ) -> bool:
        """Keep a report; false if none arrived or it was too old."""
        self.polling = False
        if report is None or report.age_ms > _presence.REPORT_MAX_AGE_MS:
            self.report = None
            return False
        self.report = report
        self.as_of_ms = sent_ms - report.age_ms
        return True

    def order_due(self, kind: str, now_ms: clocks.Millis) -> bool:
        """Tell whether an order of a kind may be sent (again)."""
        sent_ms = self.ordered_ms_by_kind.get(kind, -_presence.NEVER_MS)
        return not self.ordering and now_ms - sent_ms >= ORDER_REPEAT_MS

    def load_started(self) -> bool:
        """Tell whether the engine fetches weights."""
        return self.report is not None and self.report.state == "loading"

    def drained(self, now_ms: clocks.Millis) -> bool:
        """Tell whether no request runs and none is on its way.

        The report must be younger than the settling time's end.
        """
        since_ms = self.draining_since_ms
        if since_ms is None or self.report is None:
            return False
        if self.as_of_ms < since_ms + DRAIN_SETTLE_MS:
            return False
        return self.report.running == 0 and self.report.waiting == 0


def ready(
    group: agreement.Group, report: _platform.EngineReport | None
) -> bool:
    """Tell whether the engine can serve the group's model."""
    return (
        match(group, report) is Match.COMPLETE
        and report is not None
        and report.state in _SERVING_STATES
        and group.model in report.models
    )


def next_event(
    group: agreement.Group, watch: Watch, now_ms: clocks.Millis
) -> str | None:
    """Return the chart event that the newest report proves, if any."""
    report = watch.report
    found = match(group, report)
    if group.state == "forming" and found is Match.COMPLETE:
        return "assigned"
    if group.state == "loading" and ready(group, report):
        return "loaded"
    if group.state == "unloading" and watch.unloaded:
        return "unloaded"
    if group.state == "serving":
        # Another order took the engine, or the weights are gone.
        if found is Match.FOREIGN:
            return "reload"
        if found is Match.COMPLETE and not ready(group, report):
            return "reload"
    return None


def next_order(
    group: agreement.Group, watch: Watch, now_ms: clocks.Millis
) -> str | None:
    """Return the kind of order that the group's state calls for.

    Loads are not among them: the plan chooses when they start.
    """
    found = match(group, watch.report)
    kind = None
    if group.state in ("forming", "loading"):
        if found is Match.FOREIGN or group.state == "forming":
            kind = "assign"
        if found is Match.COMPLETE:
            kind = None
    if group.state == "unloading" and not watch.unloaded:
        kind = "unload"
    if kind and watch.order_due(kind, now_ms):
        return kind
    return None
