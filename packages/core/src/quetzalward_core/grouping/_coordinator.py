"""Forms, repairs and closes serving groups; pure decisions.

One node at a time runs a coordinator. It is level-triggered: each tick
compares the groups it plans with what the targets say of themselves and
returns the orders that are due. Two coordinators at once are harmless,
because a target refuses an epoch lower than one that it has seen and the
epochs of a later term are higher.
"""

import typing

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _loads
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _pattern

# Epochs of a term: term * EPOCHS_PER_TERM + count.
EPOCHS_PER_TERM = 1 << 20
# An order without an answer is repeated after this time; the repeat answers
# "done" if the first was carried out.
RESEND_MS = 800
# A member that accepted its join and is not ready is asked for a report.
PROBE_MS = 400
# A target that does not answer is left out for this long, then tried again.
SUSPECT_MS = 2_500
# Running work may end within this time before a closing head is cut short.
CLOSE_WAIT_MS = 2_500
# Staging that has not shown up by then was lost; times are those of a load
# that shares the weight store with several others.
STAGING_SLACK_MS = 10_000
# A group that is not open after this time is formed anew.
FORMING_LIMIT_MS = 8_000
# A sign of life this old no longer proves that a target can join.
CERTAIN_MS = 1_500
# A silent group whose members all answer is formed anew after this time;
# the engine itself notices a lost member only after several seconds.
STALL_PATIENCE_MS = 1_000
# Reports of a stall further apart than this are about different stalls.
STALL_MEMORY_MS = 1_000
# At the start, waits for this long for the first entries to be complete.
SETTLE_MS = 600

_READY_STATES = frozenset(
    (
        fleet.MemberState.READY,
        fleet.MemberState.OPEN,
        fleet.MemberState.CLOSING,
    )
)
# Names of groups of one target that only keep it warm.
STANDBY_PREFIX = "standby"
# A join of a standby group that had no effect is tried again after this.
WARM_RETRY_MS = 5_000

_CARRIED_OUT = frozenset((_model.OrderAnswer.BEGUN, _model.OrderAnswer.DONE))
_TAKING_STATES = frozenset((fleet.MemberState.OPEN, fleet.MemberState.CLOSING))


def _is_standby(seat: fleet.Membership) -> bool:
    return seat.group.startswith(STANDBY_PREFIX)


class Coordinator:
    """Plans the serving groups of one service."""

    def __init__(
        self, term: int, now_ms: clock.Millis, before_traffic: bool
    ) -> None:
        """Start a term without groups; `adopt` takes those that stand."""
        self._term = term
        self._count = 0
        self._started_ms = now_ms
        self.before_traffic = before_traffic
        self._engine: fleet.Engine | None = None
        self.host_by_id: dict[str, _model.Host] = {}
        self.group_by_name: dict[str, _model.Group] = {}
        self._group_by_member: dict[str, _model.Group] = {}
        self._loads = _loads.LoadLimit()
        self._adopted = False
        self._left_ms_by_id: dict[str, clock.Millis] = {}
        self._spares: list[_model.Host] = []
        self._warmed_ms_by_id: dict[str, clock.Millis] = {}
        # Groups, by name and epoch, of which events arrive.
        self._producing: frozenset[tuple[str, int]] = frozenset()

    # What is known of the targets.

    def configure(self, engine: fleet.Engine) -> None:
        """Take the engine of the configuration in force."""
        self._engine = engine

    def observe(self, target: fleet.Target, now_ms: clock.Millis) -> None:
        """Take a target's entry."""
        host = self.host_by_id.get(target.id)
        if host is None or host.target.born_ms != target.born_ms:
            self.host_by_id[target.id] = _model.Host(
                target, target.membership, target.staged_models, now_ms
            )
            return
        if host.target is target:
            return
        host.target = target
        host.alive_ms = now_ms
        # A report just received is newer than an entry read after it.
        if now_ms - host.reported_ms > PROBE_MS:
            host.membership = target.membership
            host.staged = target.staged_models
        self._note_staged(host)

    def lose(self, target_id: str) -> None:
        """Drop a target whose entry is gone."""
        self.host_by_id.pop(target_id, None)

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
        host.membership = report.membership
        host.staged = report.staged_models
        if report.born_ms and report.born_ms != host.target.born_ms:
            host.membership = report.membership
        self._note_staged(host)

    def answered(
        self,
        order: _model.Order,
        answer: _model.OrderAnswer,
        now_ms: clock.Millis,
    ) -> None:
        """Take what became of an order."""
        host = self.host_by_id.get(order.target_id)
        if host is None:
            return
        if answer is _model.OrderAnswer.UNREACHABLE:
            host.suspect_until_ms = now_ms + SUSPECT_MS
            host.staging = None
            return
        if answer is _model.OrderAnswer.UNANSWERED:
            return
        host.alive_ms = now_ms
        if isinstance(order, _model.Stage):
            if answer is _model.OrderAnswer.DONE:
                host.staged = (*host.staged, order.model)
            if answer is not _model.OrderAnswer.BEGUN:
                host.staging = None
            return
        if isinstance(order, _model.Leave):
            left = answer in _CARRIED_OUT
            if left and self._is_in(host, order.group, order.epoch):
                host.membership = None
                host.reported_ms = now_ms
            return
        group = self.group_by_name.get(order.group)
        if group is None or group.epoch != order.epoch:
            return
        if answer is _model.OrderAnswer.STALE:
            # A higher epoch is known there: this one can never be complete.
            self._break(group, now_ms)
        elif answer in _CARRIED_OUT and not isinstance(order, _model.Close):
            group.accepted.add(order.target_id)

    def doubt(
        self, target_id: str, now_ms: clock.Millis
    ) -> list[_model.Command]:
        """Take word that a target does not work; asks it for a report."""
        commands: list[_model.Command] = []
        if self.is_usable(target_id, now_ms):
            self._probe(target_id, now_ms, commands)
        return commands

    def stalled(
        self, name: str, epoch: int, now_ms: clock.Millis
    ) -> list[_model.Command]:
        """Take word that a group has stalled; asks its members.

        If all of them answer and the group stays silent, it is formed anew
        from the same members: one of them may have lost the head.
        """
        group = self.group_by_name.get(name)
        if group is None or group.epoch != epoch:
            return []
        if group.phase is not _model.Phase.OPEN:
            return []
        commands: list[_model.Command] = []
        last_ms = group.stall_reported_ms
        if last_ms is None or now_ms - last_ms > STALL_MEMORY_MS:
            group.stalled_ms = now_ms
        group.stall_reported_ms = now_ms
        if now_ms - (group.stalled_ms or now_ms) > STALL_PATIENCE_MS:
            self._break(group, now_ms)
            return commands
        for member in group.members:
            host = self.host_by_id.get(member)
            if host is None:
                continue
            if host.probed_ms is None or now_ms - host.probed_ms >= PROBE_MS:
                host.probed_ms = now_ms
                commands.append(_model.Probe(member))
        return commands

    def producing(self, groups: frozenset[tuple[str, int]]) -> None:
        """Take the groups, by name and epoch, that just made events.

        A member that this node cannot reach is no loss to such a group.
        """
        self._producing = groups

    @property
    def is_settled(self) -> bool:
        """Tell whether the groups that stood before are known."""
        return self._adopted

    def requested(self) -> None:
        """Note the first request of a caller."""
        self.before_traffic = False

    # Decisions.

    def tick(self, now_ms: clock.Millis) -> list[_model.Command]:
        """Return the orders and probes that are due."""
        engine = self._engine
        if engine is None:
            return []
        if not self._adopted:
            if now_ms - self._started_ms < SETTLE_MS:
                return []
            self._adopt(engine, now_ms)
        commands: list[_model.Command] = []
        for group in list(self.group_by_name.values()):
            self._advance(group, now_ms, commands)
        self._release_strangers(now_ms, commands)
        self._reform(engine, now_ms, commands)
        self._warm_spares(engine, now_ms, commands)
        for group in self.group_by_name.values():
            if group.phase is _model.Phase.FORMING:
                self._send_joins(group, now_ms, commands)
        return commands

    def is_usable(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Tell whether a target can be a member."""
        host = self.host_by_id.get(target_id)
        return (
            host is not None
            and not host.target.draining
            and now_ms >= host.suspect_until_ms
        )

    def open_groups(self) -> list[_model.Group]:
        """Return the groups that take requests."""
        return [
            group
            for group in self.group_by_name.values()
            if group.phase is _model.Phase.OPEN
        ]

    def closing_groups(self) -> list[_model.Group]:
        """Return the groups that finish their work and take none."""
        return [
            group
            for group in self.group_by_name.values()
            if group.phase is _model.Phase.CLOSING
        ]

    def spares_by_domain(self) -> dict[str, dict[str, int]]:
        """Return the hosts out of groups, by domain and kept model.

        A host that is being staged counts under `->` and its model.
        """
        counts: dict[str, dict[str, int]] = {}
        for host in self.host_by_id.values():
            if host.id in self._group_by_member or host.target.draining:
                continue
            kept = host.staged[-1] if host.staged else ""
            if host.staging:
                kept = f"->{host.staging}"
            row = counts.setdefault(host.target.domain or "", {})
            row[kept] = row.get(kept, 0) + 1
        return counts

    def _adopt(self, engine: fleet.Engine, now_ms: clock.Millis) -> None:
        """Take over the groups that an earlier coordinator formed."""
        self._adopted = True
        found: dict[str, dict[int, dict[int, _model.Host]]] = {}
        for host in self.host_by_id.values():
            joined = host.membership
            if joined is not None and not _is_standby(joined):
                by_rank = found.setdefault(joined.group, {}).setdefault(
                    joined.epoch, {}
                )
                by_rank[joined.rank] = host
        for name, by_rank_by_epoch in found.items():
            epoch = max(by_rank_by_epoch)
            self._adopt_group(
                engine, name, epoch, by_rank_by_epoch[epoch], now_ms
            )

    def _adopt_group(
        self,
        engine: fleet.Engine,
        name: str,
        epoch: int,
        host_by_rank: dict[int, _model.Host],
        now_ms: clock.Millis,
    ) -> None:
        model = engine.models_by_name.get(name.partition(".")[2])
        if model is None:
            return
        ranks = sorted(host_by_rank)
        hosts = [host_by_rank[rank] for rank in ranks]
        group = _model.Group(
            name,
            model.name,
            model.group_size,
            hosts[0].target.domain or "",
            epoch,
            tuple(host.id for host in hosts),
            {host.id: host.target.born_ms for host in hosts},
            _model.Phase.FORMING,
            now_ms,
        )
        whole = ranks == list(range(model.group_size)) and all(
            self._state(host) in _READY_STATES for host in hosts
        )
        if not whole:
            group.phase = _model.Phase.BROKEN
        elif self._state(hosts[0]) is fleet.MemberState.OPEN:
            group.phase = _model.Phase.OPEN
        elif self._state(hosts[0]) is fleet.MemberState.CLOSING:
            group.phase = _model.Phase.CLOSING
        else:
            group.phase = _model.Phase.OPENING
        if whole:
            group.ready = set(group.members)
        self._add(group)

    def _advance(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Move one group along its chart."""
        if group.phase is _model.Phase.BROKEN:
            return
        if self._has_lost_member(group, now_ms):
            self._break(group, now_ms)
            return
        if group.phase is _model.Phase.FORMING:
            self._await_ready(group, now_ms, commands)
        if group.phase is _model.Phase.OPENING:
            self._await_open(group, now_ms, commands)
        if group.phase is _model.Phase.OPEN:
            self._watch_open(group, now_ms, commands)
        if group.phase is _model.Phase.CLOSING:
            self._await_closed(group, now_ms, commands)

    def _await_ready(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        for member in group.members:
            if self._member_state(group, member) in _READY_STATES:
                group.ready.add(member)
            elif member in group.accepted:
                self._probe(member, now_ms, commands)
        if group.ready.issuperset(group.members):
            group.step("all_ready", now_ms)
            group.accepted.clear()
        elif now_ms - group.since_ms > FORMING_LIMIT_MS:
            self._break(group, now_ms)

    def _await_open(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        state = self._member_state(group, group.head)
        if state is fleet.MemberState.OPEN:
            group.step("opened", now_ms)
            return
        if state is fleet.MemberState.BROKEN:
            self._break(group, now_ms)
            return
        if now_ms - group.since_ms > FORMING_LIMIT_MS:
            self._break(group, now_ms)
            return
        if group.head in group.accepted:
            self._probe(group.head, now_ms, commands)
        if self._due(group, group.head, now_ms):
            commands.append(_model.Open(group.head, group.name, group.epoch))

    def _watch_open(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        state = self._member_state(group, group.head)
        if state is fleet.MemberState.BROKEN:
            self._break(group, now_ms)
            return
        if state is fleet.MemberState.READY:
            # Closed by an order that was carried out late.
            group.phase = _model.Phase.OPENING
            group.since_ms = now_ms
            return
        if any(
            self.host_by_id[member].target.draining for member in group.members
        ):
            group.step("member_leaving", now_ms)

    def _await_closed(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        state = self._member_state(group, group.head)
        if state not in _TAKING_STATES:
            group.step("closed", now_ms)
            return
        late = now_ms - group.since_ms > CLOSE_WAIT_MS
        if self._due(group, group.head, now_ms):
            commands.append(
                _model.Close(group.head, group.name, group.epoch, late)
            )

    def _has_lost_member(
        self, group: _model.Group, now_ms: clock.Millis
    ) -> bool:
        for member in group.members:
            host = self.host_by_id.get(member)
            if host is None:
                return True
            if now_ms < host.suspect_until_ms and not self._is_producing(
                group
            ):
                return True
            if host.target.born_ms != group.born_by_id[member]:
                return True
            if member in group.ready and not self._is_member(group, host):
                return True
        return False

    def _is_producing(self, group: _model.Group) -> bool:
        return (group.name, group.epoch) in self._producing

    def _break(self, group: _model.Group, now_ms: clock.Millis) -> None:
        group.phase = _model.Phase.BROKEN
        group.since_ms = now_ms
        group.ordered_ms_by_id.clear()
        group.accepted.clear()

    def _is_member(self, group: _model.Group, host: _model.Host) -> bool:
        return self._is_in(host, group.name, group.epoch)

    @staticmethod
    def _is_in(host: _model.Host, name: str, epoch: int) -> bool:
        joined = host.membership
        return (
            joined is not None
            and joined.group == name
            and joined.epoch == epoch
        )

    def _member_state(
        self, group: _model.Group, member: str
    ) -> fleet.MemberState | None:
        """Return a member's state in exactly this group and epoch."""
        host = self.host_by_id.get(member)
        if host is None or not self._is_member(group, host):
            return None
        return self._state(host)

    @staticmethod
    def _state(host: _model.Host) -> fleet.MemberState | None:
        return host.membership.state if host.membership else None

    def _probe(
        self,
        target_id: str,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        host = self.host_by_id[target_id]
        if host.probed_ms is None or now_ms - host.probed_ms >= PROBE_MS:
            host.probed_ms = now_ms
            commands.append(_model.Probe(target_id))

    def _due(
        self, group: _model.Group, target_id: str, now_ms: clock.Millis
    ) -> bool:
        """Tell whether an order is due, and note that it goes out."""
        last = group.ordered_ms_by_id.get(target_id)
        if last is not None and now_ms - last < RESEND_MS:
            return False
        group.ordered_ms_by_id[target_id] = now_ms
        return True

    def _send_joins(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        for member in group.members:
            if member in group.ready or member in group.accepted:
                continue
            if self._due(group, member, now_ms):
                commands.append(
                    _model.Join(
                        member,
                        group.name,
                        group.epoch,
                        group.model,
                        group.members,
                    )
                )

    def _release_strangers(
        self, now_ms: clock.Millis, commands: list[_model.Command]
    ) -> None:
        """Make targets leave groups that nobody plans.

        A target must not join another group while the head of its own may
        still take requests, and a head that cannot be seen may do so; once
        it has left, it is free whatever its head does.
        """
        for host in self.host_by_id.values():
            joined = host.membership
            if joined is None:
                continue
            group = self._group_by_member.get(host.id)
            if group is not None and group.name == joined.group:
                continue
            if _is_standby(joined):
                continue
            last = self._left_ms_by_id.get(host.id)
            if last is None or now_ms - last >= RESEND_MS:
                self._left_ms_by_id[host.id] = now_ms
                commands.append(
                    _model.Leave(host.id, joined.group, joined.epoch)
                )

    # Formation.

    def _reform(
        self,
        engine: fleet.Engine,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Repair broken groups, form new ones, stage weights."""
        hosts_by_domain: dict[str, list[_model.Host]] = {}
        for host in self.host_by_id.values():
            if self.is_usable(host.id, now_ms):
                domain = host.target.domain or ""
                hosts_by_domain.setdefault(domain, []).append(host)
        self._drop_empty(now_ms)
        for group in list(self.group_by_name.values()):
            if group.phase is _model.Phase.BROKEN:
                self._repair(group, hosts_by_domain, now_ms, commands)
        self._merge_broken(now_ms)
        self._spares.clear()
        total = self._count_groups(None)
        wanted: list[tuple[int, str, _model.Host, str]] = []
        for domain in sorted(hosts_by_domain):
            hosts = hosts_by_domain[domain]
            standing = self._count_groups(domain)
            pattern = _pattern.plan_domain(
                len(hosts),
                standing,
                total,
                list(engine.models_by_name.values()),
            )
            self._form_new(engine, domain, hosts, pattern, now_ms)
            if self._count_groups(domain) == pattern.groups_by_model:
                self._spares += self._free(hosts, now_ms)
            wanted += self._unstaged(engine, hosts, pattern, now_ms)
        self._stage(engine, wanted, now_ms, commands)

    def _drop_empty(self, now_ms: clock.Millis) -> None:
        """Forget broken groups of which no member is left."""
        for group in list(self.group_by_name.values()):
            if group.phase is _model.Phase.BROKEN and not self._survivors(
                group, now_ms
            ):
                self._remove(group)

    def _survivors(
        self, group: _model.Group, now_ms: clock.Millis
    ) -> list[_model.Host]:
        return [
            self.host_by_id[member]
            for member in group.members
            if self.is_usable(member, now_ms)
            and self._group_by_member.get(member) is group
        ]

    def _free(
        self, hosts: typing.Iterable[_model.Host], now_ms: clock.Millis
    ) -> list[_model.Host]:
        return [
            host
            for host in hosts
            if host.id not in self._group_by_member
            and (host.membership is None or _is_standby(host.membership))
        ]

    def _repair(
        self,
        group: _model.Group,
        hosts_by_domain: dict[str, list[_model.Host]],
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Form a broken group anew from its survivors and staged spares."""
        survivors = self._survivors(group, now_ms)
        spares = [
            host
            for host in self._free(
                hosts_by_domain.get(group.domain, ()), now_ms
            )
            if group.model in host.staged
        ]
        missing = max(0, group.size - len(survivors))
        spares.sort(key=lambda host: (host.membership is None, host.id))
        members = [*survivors, *spares[:missing]][: group.size]
        # Entries are only written when they change: a silent target is told
        # from a living one by a report.
        unsure = [
            host
            for host in members
            if host.alive_ms < group.since_ms
            or now_ms - host.alive_ms > CERTAIN_MS
        ]
        for host in unsure:
            self._probe(host.id, now_ms, commands)
        if not unsure and len(members) == group.size:
            self._renew(group, members, now_ms)

    def _renew(
        self,
        group: _model.Group,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
    ) -> None:
        for member in group.members:
            if self._group_by_member.get(member) is group:
                del self._group_by_member[member]
        group.epoch = self._next_epoch()
        group.members = tuple(host.id for host in hosts)
        group.born_by_id = {host.id: host.target.born_ms for host in hosts}
        group.ready.clear()
        group.accepted.clear()
        for member in group.members:
            self._group_by_member[member] = group
        group.step("reform", now_ms)

    def _merge_broken(self, now_ms: clock.Millis) -> None:
        """Give up the smallest of several broken groups of one model.

        Its survivors complete the others at once instead of waiting for
        weights to be staged.
        """
        broken: dict[tuple[str, str], list[_model.Group]] = {}
        for group in self.group_by_name.values():
            if group.phase is _model.Phase.BROKEN:
                key = (group.domain, group.model)
                broken.setdefault(key, []).append(group)
        for groups in broken.values():
            settled = [
                group
                for group in groups
                if all(
                    host.alive_ms >= group.since_ms
                    for host in self._survivors(group, now_ms)
                )
            ]
            if len(settled) >= 2:
                settled.sort(key=lambda g: len(self._survivors(g, now_ms)))
                self._remove(settled[0])

    def _count_groups(self, domain: str | None) -> dict[str, int]:
        counts: dict[str, int] = {}
        for group in self.group_by_name.values():
            if domain is None or group.domain == domain:
                counts[group.model] = counts.get(group.model, 0) + 1
        return counts

    def _form_new(
        self,
        engine: fleet.Engine,
        domain: str,
        hosts: list[_model.Host],
        pattern: _pattern.Pattern,
        now_ms: clock.Millis,
    ) -> None:
        standing = self._count_groups(domain)
        for name, wanted in sorted(pattern.groups_by_model.items()):
            model = engine.models_by_name.get(name)
            if model is None:
                continue
            for _ in range(wanted - standing.get(name, 0)):
                staged = [
                    host
                    for host in self._free(hosts, now_ms)
                    if name in host.staged
                ]
                if len(staged) < model.group_size:
                    break
                staged.sort(key=lambda host: (-host.alive_ms, host.id))
                self._create(model, domain, staged, now_ms)

    def _create(
        self,
        model: fleet.Model,
        domain: str,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
    ) -> None:
        chosen = hosts[: model.group_size]
        epoch = self._next_epoch()
        self._add(
            _model.Group(
                f"g{epoch}.{model.name}",
                model.name,
                model.group_size,
                domain,
                epoch,
                tuple(host.id for host in chosen),
                {host.id: host.target.born_ms for host in chosen},
                _model.Phase.FORMING,
                now_ms,
            )
        )

    # Spares.

    def _warm_spares(
        self,
        engine: fleet.Engine,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Make spares join a standby group of their model.

        A target that was in a group of a model joins the next one in 0.2 s
        instead of its warm time; a standby group is never opened.
        """
        for host in self._spares:
            if host.membership is not None or host.staging is not None:
                continue
            if not host.staged or host.id in self._group_by_member:
                continue
            last = self._warmed_ms_by_id.get(host.id)
            if last is not None and now_ms - last < WARM_RETRY_MS:
                continue
            self._warmed_ms_by_id[host.id] = now_ms
            model = host.staged[-1]
            if model in engine.models_by_name:
                epoch = self._next_epoch()
                name = f"{STANDBY_PREFIX}{epoch}.{model}"
                commands.append(
                    _model.Join(host.id, name, epoch, model, (host.id,))
                )

    # Staging.

    def _note_staged(self, host: _model.Host) -> None:
        if host.staging is not None and host.staging in host.staged:
            host.staging = None

    def _unstaged(
        self,
        engine: fleet.Engine,
        hosts: list[_model.Host],
        pattern: _pattern.Pattern,
        now_ms: clock.Millis,
    ) -> list[tuple[int, str, _model.Host, str]]:
        """Return hosts to stage: order, domain, host and model."""
        deficit = dict(pattern.hosts_by_model)
        idle = []
        for host in hosts:
            kept = host.staging or (host.staged[-1] if host.staged else None)
            if kept is not None and deficit.get(kept, 0) > 0:
                deficit[kept] -= 1
                continue
            if host.staging is None and host.id not in self._group_by_member:
                idle.append(host)
        result = []
        order = 0
        # Hosts that hold nothing come first; a reload throws weights away.
        idle.sort(key=lambda host: (len(host.staged), host.id))
        broken = [
            group.model
            for group in self.group_by_name.values()
            if group.phase is _model.Phase.BROKEN
            and group.domain == (hosts[0].target.domain or "")
        ]
        names = sorted(
            deficit,
            key=lambda n: (
                n not in broken,
                engine.models_by_name[n].group_size,
                n,
            ),
        )
        for name in names:
            while deficit[name] > 0 and idle:
                host = idle.pop(0)
                deficit[name] -= 1
                rank = order // engine.models_by_name[name].group_size
                result.append((rank, host.target.domain or "", host, name))
                order += 1
        return result

    def _stage(
        self,
        engine: fleet.Engine,
        wanted: list[tuple[int, str, _model.Host, str]],
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        running = 0
        for host in self.host_by_id.values():
            if host.staging is None:
                continue
            model = engine.models_by_name.get(host.staging)
            limit = (model.load_ms if model else 0) * 2 + STAGING_SLACK_MS
            if now_ms - host.staging_ms > limit:
                host.staging = None
            else:
                running += 1
        wanted.sort(key=lambda row: (row[0], row[1], row[2].id))
        for _, _, host, name in wanted:
            if not self._loads.allows(
                engine, running, self.before_traffic, now_ms
            ):
                return
            self._loads.started(now_ms)
            running += 1
            host.staging = name
            host.staging_ms = now_ms
            commands.append(_model.Stage(host.id, name))

    # Bookkeeping.

    def _next_epoch(self) -> int:
        self._count += 1
        return self._term * EPOCHS_PER_TERM + self._count

    def _add(self, group: _model.Group) -> None:
        self.group_by_name[group.name] = group
        for member in group.members:
            self._group_by_member[member] = group

    def _remove(self, group: _model.Group) -> None:
        del self.group_by_name[group.name]
        for member in group.members:
            if self._group_by_member.get(member) is group:
                del self._group_by_member[member]
