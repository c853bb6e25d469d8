"""Polling of engines, and detection of missing hosts by their reports."""

import typing

import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_node.groups import _admission
from quetzalward_node.groups import _mailbox
from quetzalward_node.groups import _platform
from quetzalward_node.groups import _presence
from quetzalward_node.groups import _watch

_LOG = logbook.Logger("groups.reports")
# If more than this fraction of a zone's engines are unresponsive at once, a
# fault between this node and the engines is more likely than one in each.
MAX_UNRESPONSIVE_FRACTION = 0.5
MIN_UNRESPONSIVE = 2
# A node partitioned from the engines for this long releases the lease, so
# that another node can try to reach them.
HANDOVER_AFTER_MS = 10_000


class Reports:
    """The newest reports of one zone's groups.

    `on_hosts_taken` is called for a group whose live hosts were reassigned by
    another order.
    """

    def __init__(
        self,
        engines: _platform.EngineClient,
        calls: _mailbox.Mailbox,
        clock: clocks.Clock,
        presence: _presence.Presence,
        admission: _admission.Admission,
        on_hosts_taken: typing.Callable[[agreement.Group, _watch.Watch], None],
    ) -> None:
        """Create the state without reports."""
        self.watches: dict[str, _watch.Watch] = {}
        self._engines = engines
        self._calls = calls
        self._clock = clock
        self._presence = presence
        self._admission = admission
        self._on_hosts_taken = on_hosts_taken
        self._unresponsive: set[str] = set()
        self._partitioned_since_ms: clocks.Millis | None = None

    def reset(self) -> None:
        """Discard all state, as after the loss of the lease."""
        self.watches = {}
        self._unresponsive = set()
        self._partitioned_since_ms = None

    def update(self, groups: typing.Sequence[agreement.Group]) -> None:
        """Keep one watch per group and epoch."""
        now_ms = self._clock.now_ms()
        watches = {}
        for group in groups:
            watch = self.watches.get(group.group)
            if watch is None or watch.epoch != group.epoch:
                watch = _watch.Watch(group.group, group.epoch)
            if group.state != "draining":
                watch.draining_since_ms = None
            elif watch.draining_since_ms is None:
                watch.draining_since_ms = now_ms
            if group.state != "unloading":
                watch.unloaded = False
            watches[group.group] = watch
        self.watches = watches
        # Broken groups are not polled, so they would stay unresponsive.
        polled = {group.group for group in groups if group.state != "broken"}
        self._unresponsive &= polled

    def poll(
        self,
        groups: typing.Sequence[agreement.Group],
        view: agreement.ControlView,
    ) -> None:
        """Request the reports of engines and unadmitted hosts that are due."""
        now_ms = self._clock.now_ms()
        for group in groups:
            watch = self.watches[group.group]
            url = self._presence.engine_url(group.hosts[0].host)
            if group.state == "broken" or url is None:
                continue
            if watch.is_poll_due(group.state, now_ms):
                watch.polling = True
                watch.polled_ms = now_ms
                self._fetch_report(url, self._on_report(group, watch, now_ms))
        listed = self._presence.listed()
        for row in self._admission.hosts_to_probe(view, listed):
            self._fetch_report(row.engine_url, self._on_probe(row))

    def _fetch_report(
        self,
        url: str,
        on_done: typing.Callable[[_platform.EngineReport | None], None],
    ) -> None:
        """Request a report on a worker; run `on_done` on the task's thread."""

        self._calls.run(lambda: self._engines.report(url), on_done)

    def _on_probe(
        self, row: _platform.ListedHost
    ) -> typing.Callable[[_platform.EngineReport | None], None]:
        def done(report: _platform.EngineReport | None) -> None:
            if report is not None:
                self._admission.record_response(row.host, row.incarnation)
                self._presence.clear_suspicion(row.host, row.incarnation)

        return done

    def _on_report(
        self,
        group: agreement.Group,
        watch: _watch.Watch,
        sent_ms: clocks.Millis,
    ) -> typing.Callable[[_platform.EngineReport | None], None]:
        def done(report: _platform.EngineReport | None) -> None:
            if watch.record_report(report, sent_ms):
                self._unresponsive.discard(group.group)
            else:
                self._unresponsive.add(group.group)
            self._update_suspicions(group, watch)

        return done

    def _update_suspicions(
        self, group: agreement.Group, watch: _watch.Watch
    ) -> None:
        """Suspect or clear the hosts of a group by its newest report."""
        matched = _watch.match(group, watch.report)
        first = group.hosts[0]
        if matched is _watch.Match.UNKNOWN:
            # `suspect_unresponsive` decides, once more engines were polled.
            return
        self._presence.clear_suspicion(first.host, first.incarnation)
        if matched is _watch.Match.FOREIGN or watch.report is None:
            return
        for member in group.hosts:
            seen = watch.report.hosts.get(member.host) == member.incarnation
            if seen:
                self._presence.clear_suspicion(member.host, member.incarnation)
            else:
                self._check_member(group, member)

    def suspect_unresponsive(
        self, groups: typing.Sequence[agreement.Group]
    ) -> None:
        """Suspect the first hosts of unresponsive engines.

        While most engines are unresponsive, none of these hosts is suspected
        and earlier suspicions of them are cleared.
        """
        partitioned = self._is_partitioned()
        for group in groups:
            if (
                group.group not in self._unresponsive
                or group.state == "broken"
            ):
                continue
            first = group.hosts[0]
            if partitioned:
                self._presence.clear_suspicion(first.host, first.incarnation)
            else:
                self._presence.suspect(first.host, first.incarnation)

    def _is_partitioned(self) -> bool:
        """Return whether most engines of the zone are unresponsive at once."""
        count = len(self._unresponsive)
        fraction = count / max(1, len(self.watches))
        partitioned = (
            count >= MIN_UNRESPONSIVE and fraction > MAX_UNRESPONSIVE_FRACTION
        )
        if not partitioned:
            self._partitioned_since_ms = None
        elif self._partitioned_since_ms is None:
            self._partitioned_since_ms = self._clock.now_ms()
        return partitioned

    def should_hand_over(self) -> bool:
        """Return whether this node has been partitioned for too long."""
        if not self._is_partitioned() or self._partitioned_since_ms is None:
            return False
        partitioned_ms = self._clock.now_ms() - self._partitioned_since_ms
        return partitioned_ms >= HANDOVER_AFTER_MS

    def _check_member(
        self, group: agreement.Group, member: agreement.GroupHost
    ) -> None:
        """Check whether a member is gone or was reassigned by another order.

        A stale order to an engine that ignores fencing takes a live host
        away from its group; the group is then assigned again.
        """
        self._presence.suspect(member.host, member.incarnation)
        url = self._presence.engine_url(member.host)
        if url is None:
            return

        def done(report: _platform.EngineReport | None) -> None:
            watch = self.watches.get(group.group)
            if report is None or watch is None or watch.epoch != group.epoch:
                return
            alive = report.hosts.get(member.host) == member.incarnation
            taken = (report.target, report.epoch) != (
                group.group,
                group.epoch,
            )
            if alive and taken:
                self._presence.clear_suspicion(member.host, member.incarnation)
                watch.report = None
                self._on_hosts_taken(group, watch)

        self._fetch_report(url, done)
