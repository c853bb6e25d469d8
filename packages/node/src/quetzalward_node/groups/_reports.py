"""Polling of engines, and what their reports say of hosts."""

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
# With more than this share of a zone's engines silent at once the fault is
# more likely between this node and the engines than in all of them.
MAX_SILENT_SHARE = 0.5
MIN_SILENT = 2
# Another node gets its chance to reach the engines after this time.
HAND_OVER_MS = 10_000


class Reports:
    """The newest reports of one zone's groups.

    `on_taken` is called for a group whose hosts another order has taken.
    """

    def __init__(
        self,
        engines: _platform.EngineClient,
        calls: _mailbox.Mailbox,
        clock: clocks.Clock,
        presence: _presence.Presence,
        admission: _admission.Admission,
        on_taken: typing.Callable[[agreement.Group, _watch.Watch], None],
    ) -> None:
        """Start without reports."""
        self.watches: dict[str, _watch.Watch] = {}
        self._engines = engines
        self._calls = calls
        self._clock = clock
        self._presence = presence
        self._admission = admission
        self._on_taken = on_taken
        self._silent: set[str] = set()
        self._cut_off_since_ms: clocks.Millis | None = None

    def forget(self) -> None:
        """Drop everything, as after the loss of the lease."""
        self.watches = {}
        self._silent = set()
        self._cut_off_since_ms = None

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
        # Broken groups are not polled, so their silence would never end.
        polled = {group.group for group in groups if group.state != "broken"}
        self._silent &= polled

    def poll(
        self,
        groups: typing.Sequence[agreement.Group],
        view: agreement.ControlView,
    ) -> None:
        """Ask engines and unadmitted hosts that are due."""
        now_ms = self._clock.now_ms()
        for group in groups:
            watch = self.watches[group.group]
            url = self._presence.engine_url(group.hosts[0].host)
            if group.state == "broken" or url is None:
                continue
            if watch.poll_due(group.state, now_ms):
                watch.polling = True
                watch.polled_ms = now_ms
                self._ask(url, self._on_report(group, watch, now_ms))
        listed = self._presence.listed()
        for row in self._admission.to_probe(view, listed):
            self._ask(row.engine_url, self._on_probe(row))

    def _ask(
        self,
        url: str,
        on_done: typing.Callable[[_platform.EngineReport | None], None],
    ) -> None:
        """Read a report on a worker and handle it on the task's thread."""

        self._calls.run(lambda: self._engines.report(url), on_done)

    def _on_probe(
        self, row: _platform.ListedHost
    ) -> typing.Callable[[_platform.EngineReport | None], None]:
        def done(report: _platform.EngineReport | None) -> None:
            if report is not None:
                self._admission.answered(row.host, row.incarnation)
                self._presence.clear(row.host, row.incarnation)

        return done

    def _on_report(
        self,
        group: agreement.Group,
        watch: _watch.Watch,
        sent_ms: clocks.Millis,
    ) -> typing.Callable[[_platform.EngineReport | None], None]:
        def done(report: _platform.EngineReport | None) -> None:
            if watch.take(report, sent_ms):
                self._silent.discard(group.group)
            else:
                self._silent.add(group.group)
            self._judge(group, watch)

        return done

    def _judge(self, group: agreement.Group, watch: _watch.Watch) -> None:
        """Suspect or clear the hosts of a group by its newest report."""
        found = _watch.match(group, watch.report)
        first = group.hosts[0]
        if found is _watch.Match.UNKNOWN:
            # `review` decides once more engines were asked.
            return
        self._presence.clear(first.host, first.incarnation)
        if found is _watch.Match.FOREIGN or watch.report is None:
            return
        for member in group.hosts:
            seen = watch.report.hosts.get(member.host) == member.incarnation
            if seen:
                self._presence.clear(member.host, member.incarnation)
            else:
                self._check_member(group, member)

    def review(self, groups: typing.Sequence[agreement.Group]) -> None:
        """Suspect the first hosts of silent engines, unless cut off.

        While most are silent, none is suspected and earlier suspicions from
        silence are dropped.
        """
        cut_off = self._cut_off()
        for group in groups:
            if group.group not in self._silent or group.state == "broken":
                continue
            first = group.hosts[0]
            if cut_off:
                self._presence.clear(first.host, first.incarnation)
            else:
                self._presence.suspect(first.host, first.incarnation)

    def _cut_off(self) -> bool:
        """Tell whether most of the zone's engines are silent at once."""
        silent = len(self._silent)
        share = silent / max(1, len(self.watches))
        cut_off = silent >= MIN_SILENT and share > MAX_SILENT_SHARE
        if not cut_off:
            self._cut_off_since_ms = None
        elif self._cut_off_since_ms is None:
            self._cut_off_since_ms = self._clock.now_ms()
        return cut_off

    def should_hand_over(self) -> bool:
        """Tell whether this node was cut off from the engines too long."""
        if not self._cut_off() or self._cut_off_since_ms is None:
            return False
        cut_off_ms = self._clock.now_ms() - self._cut_off_since_ms
        return cut_off_ms >= HAND_OVER_MS

    def _check_member(
        self, group: agreement.Group, member: agreement.GroupHost
    ) -> None:
        """Find out whether a member is gone or another order took it.

        A stale order to an engine that ignores fencing takes the host away
        while it is alive; then the group is assigned again.
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
                self._presence.clear(member.host, member.incarnation)
                watch.report = None
                self._on_taken(group, watch)

        self._ask(url, done)
