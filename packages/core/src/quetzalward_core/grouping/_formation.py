"""Repairs broken groups and forms new ones from staged hosts."""

import collections.abc
import typing

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _domain_plan
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster

# A silent group's members are asked together, and the missing answer that
# breaks the group comes up to this long after those of the others. A member
# that fails meanwhile does not accept the join.
ASKED_MS = 300


class Formation:
    """Decides which hosts form which group."""

    def __init__(
        self,
        roster: _roster.Roster,
        next_epoch: collections.abc.Callable[[], int],
    ) -> None:
        """Work on a roster; each new membership takes a higher epoch."""
        self._roster = roster
        self._next_epoch = next_epoch

    def repair(
        self,
        hosts_by_domain: dict[str, list[_model.Host]],
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Form broken groups anew from survivors and staged spares."""
        broken = self._roster.in_phase(_model.Phase.BROKEN)
        for group in broken:
            if self._roster.survivors(group, now_ms):
                hosts = hosts_by_domain.get(group.domain, [])
                self._repair(group, hosts, now_ms, commands)
            else:
                self._roster.remove(group)
        self._merge(now_ms)

    def _repair(
        self,
        group: _model.Group,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        survivors = self._roster.survivors(group, now_ms)
        spares = [
            host
            for host in self._roster.free(hosts)
            if group.model in host.staged
        ]
        # Warm spares join sooner.
        spares.sort(key=lambda host: (host.membership is None, host.id))
        missing = max(0, group.size - len(survivors))
        members = [*survivors, *spares[:missing]][: group.size]
        # Entries are only written when they change: a silent target is told
        # from a living one by a report.
        unsure = [
            host
            for host in members
            if host.alive_ms < group.since_ms - ASKED_MS
            or now_ms - host.alive_ms > _roster.CERTAIN_MS
        ]
        for host in unsure:
            self._roster.probe(host.id, now_ms, commands)
        if not unsure and len(members) == group.size:
            self._renew(group, members, now_ms)

    def _renew(
        self,
        group: _model.Group,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
    ) -> None:
        """Start a group's next epoch.

        It keeps its name: a target may always join its own group again,
        whatever the old head does.
        """
        self._roster.unseat(group)
        group.epoch = self._next_epoch()
        group.members = tuple(host.id for host in hosts)
        group.born_by_id = {host.id: host.target.born_ms for host in hosts}
        group.ready.clear()
        group.accepted_ms_by_id.clear()
        self._roster.seat(group)
        group.step("reform", now_ms)

    def _merge(self, now_ms: clock.Millis) -> None:
        """Give up the smallest of several broken groups of one model.

        Its survivors complete the others at once instead of waiting for
        weights to be staged.
        """
        broken: dict[tuple[str, str], list[_model.Group]] = {}
        for group in self._roster.in_phase(_model.Phase.BROKEN):
            survivors = self._roster.survivors(group, now_ms)
            if all(host.alive_ms >= group.since_ms for host in survivors):
                key = (group.domain, group.model)
                broken.setdefault(key, []).append(group)
        for groups in broken.values():
            if len(groups) >= 2:
                groups.sort(
                    key=lambda g: len(self._roster.survivors(g, now_ms))
                )
                self._roster.remove(groups[0])

    def form(
        self,
        engine: fleet.Engine,
        hosts: list[_model.Host],
        pattern: _domain_plan.Pattern,
        standing_by_model: typing.Mapping[str, int],
        now_ms: clock.Millis,
    ) -> bool:
        """Form the groups that a domain's pattern lacks.

        Returns whether none is lacking any more.
        """
        is_whole = True
        for name, wanted in sorted(pattern.groups_by_model.items()):
            model = engine.models_by_name.get(name)
            if model is None:
                continue
            for _ in range(wanted - standing_by_model.get(name, 0)):
                staged = [
                    host
                    for host in self._roster.free(hosts)
                    if name in host.staged
                ]
                if len(staged) < model.group_size:
                    is_whole = False
                    break
                staged.sort(key=lambda host: (-host.alive_ms, host.id))
                self._create(model, staged[: model.group_size], now_ms)
        return is_whole

    def _create(
        self,
        model: fleet.Model,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
    ) -> None:
        epoch = self._next_epoch()
        name = _model.group_name(epoch, model.name)
        forming = _model.Phase.FORMING
        self._roster.add(
            _model.make_group(name, model, hosts, epoch, forming, now_ms)
        )
