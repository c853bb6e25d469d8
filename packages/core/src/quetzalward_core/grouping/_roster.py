"""Targets and groups of one service, and who sits where."""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _model

# A target is asked for a report at most this often.
PROBE_MS = 400
# A target that does not answer is left out for this long, then tried again.
SUSPECT_MS = 2_500
# A report this old no longer proves what a target is.
CERTAIN_MS = 1_500


@attrs.define
class Roster:
    """What the coordinator knows of the targets and plans with them."""

    host_by_id: dict[str, _model.Host] = attrs.field(factory=dict)
    group_by_name: dict[str, _model.Group] = attrs.field(factory=dict)
    group_by_member: dict[str, _model.Group] = attrs.field(factory=dict)
    # Groups, by name and epoch, of which events arrive.
    producing: frozenset[tuple[str, int]] = frozenset()

    # Targets.

    def observe(self, target: fleet.Target, now_ms: clock.Millis) -> None:
        """Take a target's entry."""
        host = self.host_by_id.get(target.id)
        if host is None or host.target.born_ms != target.born_ms:
            self.host_by_id[target.id] = _model.Host(
                target, target.membership, target.staged_models, now_ms
            )
            return
        if host.target is not target:
            host.target = target
            host.alive_ms = now_ms
            host.has_new_entry = True
        # A report just received is newer than an entry read after it; what
        # the entry says counts later if no other report comes meanwhile.
        if host.has_new_entry and now_ms - host.reported_ms > PROBE_MS:
            host.has_new_entry = False
            host.take(target.membership, target.staged_models)

    def reported(
        self,
        target_id: str,
        report: fleet.TargetReport | None,
        now_ms: clock.Millis,
    ) -> None:
        """Take the answer to a probe; `None` if there was none."""
        host = self.host_by_id.get(target_id)
        if host is None:
            return
        if report is None:
            host.suspect_until_ms = now_ms + SUSPECT_MS
            return
        host.alive_ms = now_ms
        host.reported_ms = now_ms
        host.suspect_until_ms = 0
        host.sequence = report.sequence
        host.has_new_entry = False
        host.take(report.membership, report.staged_models)

    def is_usable(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Tell whether a target can be a member."""
        host = self.host_by_id.get(target_id)
        return (
            host is not None
            and not host.target.draining
            and now_ms >= host.suspect_until_ms
        )

    def usable_by_domain(
        self, now_ms: clock.Millis
    ) -> dict[str, list[_model.Host]]:
        """Return the targets that can be members, by fabric domain."""
        by_domain: dict[str, list[_model.Host]] = {}
        for host in self.host_by_id.values():
            if self.is_usable(host.id, now_ms):
                by_domain.setdefault(host.domain, []).append(host)
        return by_domain

    def free(self, hosts: typing.Iterable[_model.Host]) -> list[_model.Host]:
        """Return the hosts that may join a group."""
        return [
            host
            for host in hosts
            if host.id not in self.group_by_member and host.is_free
        ]

    def probe(
        self,
        target_id: str,
        now_ms: clock.Millis,
        commands: list[_model.Command],
        changed_ms: clock.Millis | None = None,
    ) -> None:
        """Ask a target for a report unless that was done just now.

        A report from before `changed_ms` does not count.
        """
        host = self.host_by_id.get(target_id)
        if host is None:
            return
        last_ms = host.probed_ms
        if (
            last_ms is None
            or now_ms - last_ms >= PROBE_MS
            or (changed_ms is not None and last_ms < changed_ms)
        ):
            host.probed_ms = now_ms
            commands.append(_model.Probe(target_id))

    def sequence_of(
        self,
        host: _model.Host,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> int | None:
        """Return the orders a target has accepted, asking it if need be."""
        if host.sequence is None or now_ms - host.reported_ms > CERTAIN_MS:
            self.probe(host.id, now_ms, commands)
            return None
        return host.sequence

    # Groups.

    def add(self, group: _model.Group) -> None:
        """Plan a group."""
        self.group_by_name[group.name] = group
        self.seat(group)

    def seat(self, group: _model.Group) -> None:
        """Note the members of a group as taken."""
        for member in group.members:
            self.group_by_member[member] = group

    def unseat(self, group: _model.Group) -> None:
        """Note the members of a group as free."""
        for member in group.members:
            if self.group_by_member.get(member) is group:
                del self.group_by_member[member]

    def remove(self, group: _model.Group) -> None:
        """Give a group up."""
        del self.group_by_name[group.name]
        self.unseat(group)

    def in_phase(self, phase: _model.Phase) -> list[_model.Group]:
        """Return the groups in a phase."""
        return [g for g in self.group_by_name.values() if g.phase is phase]

    def survivors(
        self, group: _model.Group, now_ms: clock.Millis
    ) -> list[_model.Host]:
        """Return the members of a group that can stay members."""
        return [
            self.host_by_id[member]
            for member in group.members
            if self.is_usable(member, now_ms)
            and self.group_by_member.get(member) is group
        ]

    def count_by_domain(self) -> dict[str, dict[str, int]]:
        """Return the number of groups by domain and model."""
        counts: dict[str, dict[str, int]] = {}
        for group in self.group_by_name.values():
            row = counts.setdefault(group.domain, {})
            row[group.model] = row.get(group.model, 0) + 1
        return counts

    def is_producing(self, group: _model.Group) -> bool:
        """Tell whether events of a group arrive."""
        return (group.name, group.epoch) in self.producing

    def member_state(
        self, group: _model.Group, member: str
    ) -> fleet.MemberState | None:
        """Return a member's state in exactly this group and epoch."""
        host = self.host_by_id.get(member)
        if host is None or not host.is_in(group.name, group.epoch):
            return None
        return host.membership.state if host.membership else None
