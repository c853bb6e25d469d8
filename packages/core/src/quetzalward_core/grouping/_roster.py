"""Targets and groups of one service, and which target is in which."""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _model

# Minimum interval between probes of one target.
PROBE_INTERVAL_MS = 400
# Time for which a target that did not answer a probe is not used.
SUSPECT_DURATION_MS = 2_500
# A target that accepts connections but does not answer probes may only stand
# still for a moment; after this time it counts as lost.
MAX_SILENCE_MS = 1_800
# A target's state is confirmed by a probe if it is older than this.
STATE_MAX_AGE_MS = 1_500

_SERVING_PHASES = frozenset((_model.Phase.OPEN, _model.Phase.CLOSING))


@attrs.define
class Roster:
    """Observed targets and planned groups of one service."""

    host_by_id: dict[str, _model.Host] = attrs.field(factory=dict)
    group_by_name: dict[str, _model.Group] = attrs.field(factory=dict)
    group_by_member: dict[str, _model.Group] = attrs.field(factory=dict)
    # Groups, by name and epoch, that emitted recent events.
    producing_groups: frozenset[tuple[str, int]] = frozenset()
    # When the last unknown target was observed.
    grown_ms: clock.Millis = 0

    # Targets.

    def observe(self, target: fleet.Target, now_ms: clock.Millis) -> None:
        """Update a target from its entry in the store."""
        host = self.host_by_id.get(target.id)
        if host is None:
            self.grown_ms = now_ms
        if host is None or host.target.born_ms != target.born_ms:
            self.host_by_id[target.id] = _model.Host(
                target, target.membership, target.staged_models, now_ms
            )
            return
        host.unlisted = False
        if host.target is not target:
            host.target = target
            host.alive_ms = now_ms
            host.has_new_entry = True
        # A recent report is newer than an entry read after it; the entry is
        # applied later unless another report arrives first.
        if (
            host.has_new_entry
            and now_ms - host.reported_ms > PROBE_INTERVAL_MS
        ):
            host.has_new_entry = False
            host.update(target.membership, target.staged_models)

    def record_report(
        self,
        target_id: str,
        report: fleet.TargetReport | None,
        now_ms: clock.Millis,
    ) -> None:
        """Record the answer to a probe; `None` if there was none."""
        host = self.host_by_id.get(target_id)
        if host is None:
            return
        host.silent_since_ms = None
        if report is None:
            host.suspect_until_ms = now_ms + SUSPECT_DURATION_MS
            return
        host.alive_ms = now_ms
        host.reported_ms = now_ms
        host.suspect_until_ms = 0
        host.sequence = report.sequence
        host.has_new_entry = False
        host.update(report.membership, report.staged_models)

    def record_unanswered_probe(
        self, target_id: str, now_ms: clock.Millis
    ) -> None:
        """Record that a target accepted a probe but did not answer it."""
        host = self.host_by_id.get(target_id)
        if host is None:
            return
        if not self.is_silent(target_id, now_ms):
            host.silent_since_ms = now_ms
        host.unanswered_ms = now_ms
        if now_ms - (host.silent_since_ms or now_ms) > MAX_SILENCE_MS:
            self.record_report(target_id, None, now_ms)

    def remove_host(self, target_id: str) -> None:
        """Remove a target whose entry was deleted.

        A member of a group that serves is kept. It may only be cut off from
        the store; if it leaves, the group stalls, as after a crash.
        """
        host = self.host_by_id.get(target_id)
        if host is None:
            return
        group = self.group_by_member.get(target_id)
        host.unlisted = (
            group is not None
            and group.phase in _SERVING_PHASES
            and group.head != target_id
            and host.is_in(group.name, group.epoch)
        )
        if not host.unlisted:
            del self.host_by_id[target_id]

    def is_usable(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Tell whether a target can be a member."""
        host = self.host_by_id.get(target_id)
        return (
            host is not None
            and not host.unlisted
            and not host.target.draining
            and now_ms >= host.suspect_until_ms
            and not self.is_silent(target_id, now_ms)
        )

    def is_silent(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Tell whether a target accepts probes but does not answer them."""
        host = self.host_by_id.get(target_id)
        return (
            host is not None
            and host.silent_since_ms is not None
            and now_ms - host.unanswered_ms <= SUSPECT_DURATION_MS
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
        """Append a probe unless the target was probed recently.

        A probe sent before `changed_ms` is disregarded.
        """
        host = self.host_by_id.get(target_id)
        if host is None:
            return
        last_ms = host.probed_ms
        if (
            last_ms is None
            or now_ms - last_ms >= PROBE_INTERVAL_MS
            or (changed_ms is not None and last_ms < changed_ms)
        ):
            host.probed_ms = now_ms
            commands.append(_model.Probe(target_id))

    def accepted_sequence(
        self,
        host: _model.Host,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> int | None:
        """Return the number of orders that a target has accepted.

        If that is unknown or outdated, appends a probe and returns `None`.
        """
        if (
            host.sequence is None
            or now_ms - host.reported_ms > STATE_MAX_AGE_MS
        ):
            self.probe(host.id, now_ms, commands)
            return None
        return host.sequence

    # Groups.

    def add(self, group: _model.Group) -> None:
        """Add a group and assign its members."""
        self.group_by_name[group.name] = group
        self.assign_members(group)

    def assign_members(self, group: _model.Group) -> None:
        """Mark the members of a group as assigned to it."""
        for member in group.members:
            self.group_by_member[member] = group

    def release_members(self, group: _model.Group) -> None:
        """Mark the members still assigned to a group as unassigned."""
        for member in group.members:
            if self.group_by_member.get(member) is group:
                del self.group_by_member[member]

    def remove(self, group: _model.Group) -> None:
        """Remove a group and release its members."""
        del self.group_by_name[group.name]
        self.release_members(group)

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

    @staticmethod
    def count_by_domain(
        groups: typing.Iterable[_model.Group],
    ) -> dict[str, dict[str, int]]:
        """Return the number of groups by domain and model."""
        counts: dict[str, dict[str, int]] = {}
        for group in groups:
            count_by_model = counts.setdefault(group.domain, {})
            count_by_model[group.model] = (
                count_by_model.get(group.model, 0) + 1
            )
        return counts

    def is_producing(self, group: _model.Group) -> bool:
        """Tell whether a group emitted recent events."""
        return (group.name, group.epoch) in self.producing_groups

    def member_state(
        self, group: _model.Group, member: str
    ) -> fleet.MemberState | None:
        """Return a member's state; `None` if in another group or epoch."""
        host = self.host_by_id.get(member)
        if host is None or not host.is_in(group.name, group.epoch):
            return None
        return host.membership.state if host.membership else None
