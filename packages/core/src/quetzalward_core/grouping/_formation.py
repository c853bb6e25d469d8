"""Repairs broken groups and forms new ones from staged hosts."""

import collections.abc
import typing

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _domain_plan
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster

# The members of a stalled group are probed together, and the probe timeout
# that breaks the group comes up to this long after the other answers. A
# member that fails in between does not accept the join.
PROBE_SPREAD_MS = 300


class Formation:
    """Assigns hosts to groups."""

    def __init__(
        self,
        roster: _roster.Roster,
        next_epoch: collections.abc.Callable[[], int],
    ) -> None:
        """Use a roster; each call of `next_epoch` returns a higher epoch."""
        self._roster = roster
        self._next_epoch = next_epoch

    def repair(
        self,
        hosts_by_domain: dict[str, list[_model.Host]],
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Re-form broken groups from survivors and staged spares."""
        broken = self._roster.in_phase(_model.Phase.BROKEN)
        for group in broken:
            if group.retiring:
                self._roster.remove(group)
            elif self._roster.survivors(group, now_ms):
                hosts = hosts_by_domain.get(group.domain, [])
                self._repair(group, hosts, now_ms, commands)
            else:
                self._roster.remove(group)
        self._dissolve_smallest(now_ms)

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
        # Entries are only written when they change, so only a report proves
        # that a target without recent updates is alive.
        unconfirmed = [
            host
            for host in members
            if host.alive_ms < group.since_ms - PROBE_SPREAD_MS
            or now_ms - host.alive_ms > _roster.STATE_MAX_AGE_MS
        ]
        for host in unconfirmed:
            self._roster.probe(host.id, now_ms, commands)
        if not unconfirmed and len(members) == group.size:
            self._start_next_epoch(group, members, now_ms)

    def _start_next_epoch(
        self,
        group: _model.Group,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
    ) -> None:
        """Start a group's next epoch.

        The group keeps its name, because a target may always rejoin its own
        group, regardless of the old head.
        """
        self._roster.release_members(group)
        group.epoch = self._next_epoch()
        group.members = tuple(host.id for host in hosts)
        group.born_by_id = {host.id: host.target.born_ms for host in hosts}
        group.ready.clear()
        group.accepted_ms_by_id.clear()
        self._roster.assign_members(group)
        group.step("reform", now_ms)

    def _dissolve_smallest(self, now_ms: clock.Millis) -> None:
        """Dissolve the smallest of several broken groups of one model.

        Its survivors complete the other groups of the domain at once, which
        would otherwise wait for weights to be staged.
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
        plan: _domain_plan.DomainPlan,
        existing_by_model: typing.Mapping[str, int],
        now_ms: clock.Millis,
    ) -> bool:
        """Form the groups of a domain's plan that do not exist yet.

        Returns whether all groups of the plan exist.
        """
        is_complete = True
        for name, wanted in sorted(plan.groups_by_model.items()):
            model = engine.models_by_name.get(name)
            if model is None:
                continue
            for _ in range(wanted - existing_by_model.get(name, 0)):
                staged = [
                    host
                    for host in self._roster.free(hosts)
                    if name in host.staged
                ]
                if len(staged) < model.group_size:
                    is_complete = False
                    break
                staged.sort(key=lambda host: (-host.alive_ms, host.id))
                self._create(model, staged[: model.group_size], now_ms)
        return is_complete

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
