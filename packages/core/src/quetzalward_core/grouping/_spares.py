"""Keeps the hosts out of groups staged and warm."""

import collections.abc

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _domain_plan
from quetzalward_core.grouping import _loads
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster

# Staging that has not shown up by then was lost; a load that shares the
# weight store with others takes longer than its published time.
STAGING_SLACK_MS = 10_000
# An order without an answer is repeated; it may be carried out 12 s late.
STAGE_RESEND_MS = 1_500
# A join of a standby group that had no effect is tried again after this.
WARM_RETRY_MS = 5_000


@attrs.frozen(order=True)
class Wish:
    """A host to stage; lower values are worth more."""

    # 0: completes a broken group, 1: a new group, 2: a spare.
    tier: int
    # Members that its broken group lacks: loads are scarce, and the groups
    # that need the fewest are back first.
    lacking: int
    # Hosts of open groups of the model, by its share of the work.
    served: float
    # Position among the wishes of the domain.
    position: int
    domain: str
    target_id: str
    model: str


@attrs.frozen
class Needs:
    """What the groups of all domains lack."""

    # Members that each broken group lacks, by domain and model.
    lacking_by_domain: dict[str, dict[str, list[int]]]
    # Hosts of open groups, by their model's share of the work.
    served_by_model: dict[str, float]


class Spares:
    """Decides what spare hosts hold."""

    def __init__(
        self,
        roster: _roster.Roster,
        next_epoch: collections.abc.Callable[[], int],
    ) -> None:
        """Work on a roster."""
        self._roster = roster
        self._next_epoch = next_epoch
        self._loads = _loads.LoadLimit()
        self._warmed_ms_by_id: dict[str, clock.Millis] = {}

    def warm(
        self,
        engine: fleet.Engine,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Make spares join a standby group of their model.

        A target that was in a group of a model joins the next one in 0.2 s
        instead of its warm time; a standby group is never opened.
        """
        for host in self._roster.free(hosts):
            if host.membership is not None or host.staging is not None:
                continue
            last = self._warmed_ms_by_id.get(host.id)
            if last is not None and now_ms - last < WARM_RETRY_MS:
                continue
            model = host.kept_model
            if model not in engine.models_by_name:
                continue
            sequence = self._roster.sequence_of(host, now_ms, commands)
            if sequence is not None:
                self._warmed_ms_by_id[host.id] = now_ms
                epoch = self._next_epoch()
                name = f"{_model.STANDBY_PREFIX}{epoch}.{model}"
                commands.append(
                    _model.Join(
                        host.id, name, epoch, model, (host.id,), sequence
                    )
                )

    def wishes(
        self,
        engine: fleet.Engine,
        domain: str,
        hosts: list[_model.Host],
        pattern: _domain_plan.Pattern,
        needs: Needs,
    ) -> list[Wish]:
        """Return what to stage on the hosts of a domain."""
        deficit = dict(pattern.hosts_by_model)
        idle = []
        for host in hosts:
            kept = host.staging or host.kept_model
            if deficit.get(kept, 0) > 0:
                deficit[kept] -= 1
            elif host.staging is None:
                if host.id not in self._roster.group_by_member:
                    idle.append(host)
        # Hosts that hold nothing come first; a reload throws weights away.
        idle.sort(key=lambda host: (len(host.staged), host.id))
        missing = self._missing(domain, hosts, needs)
        served = needs.served_by_model
        result: list[Wish] = []
        while idle and any(count > 0 for count in deficit.values()):
            (tier, lacking), _, name = min(
                (
                    self._rank(engine, pattern, name, count, missing),
                    served[name],
                    name,
                )
                for name, count in deficit.items()
                if count > 0
            )
            if tier == 0:
                missing[name].pop(0)
            deficit[name] -= 1
            result.append(
                Wish(
                    tier,
                    lacking,
                    served[name],
                    len(result),
                    domain,
                    idle.pop(0).id,
                    name,
                )
            )
        return result

    @staticmethod
    def _rank(
        engine: fleet.Engine,
        pattern: _domain_plan.Pattern,
        name: str,
        deficit: int,
        missing: collections.abc.Mapping[str, list[int]],
    ) -> tuple[int, int]:
        """Return tier and lacking members of one more host with a model."""
        if missing.get(name):
            return 0, missing[name][0]
        groups = pattern.groups_by_model.get(name, 0)
        members = groups * engine.models_by_name[name].group_size
        held = pattern.hosts_by_model[name] - deficit
        return (1 if held < members else 2), 0

    @staticmethod
    def _missing(
        domain: str, hosts: list[_model.Host], needs: Needs
    ) -> dict[str, list[int]]:
        """Return what each load for a broken group of the domain completes.

        Each is the number of members that the group lacks, fewest first,
        without the loads that are under way.
        """
        missing: dict[str, list[int]] = {}
        for name, counts in needs.lacking_by_domain.get(domain, {}).items():
            loads = [count for count in sorted(counts) for _ in range(count)]
            under_way = sum(1 for host in hosts if host.staging == name)
            if loads[under_way:]:
                missing[name] = loads[under_way:]
        return missing

    def needs(self, engine: fleet.Engine, now_ms: clock.Millis) -> Needs:
        """Return what the groups lack now."""
        needs = Needs({}, dict.fromkeys(engine.models_by_name, 0.0))
        for group in self._roster.group_by_name.values():
            model = engine.models_by_name.get(group.model)
            if group.phase is _model.Phase.OPEN and model is not None:
                served = model.group_size / max(model.share, 0.01)
                needs.served_by_model[model.name] += served
            if group.phase is _model.Phase.BROKEN:
                survivors = self._roster.survivors(group, now_ms)
                row = needs.lacking_by_domain.setdefault(group.domain, {})
                lacking = group.size - len(survivors)
                row.setdefault(group.model, []).append(lacking)
        return needs

    def stage(
        self,
        engine: fleet.Engine,
        wishes: list[Wish],
        before_traffic: bool,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Order the loads that the weight store bears now."""
        running = self._running(engine, now_ms)
        self._repeat_unanswered(now_ms, commands)
        for wish in sorted(wishes):
            if not self._loads.allows(engine, running, before_traffic, now_ms):
                return
            self._loads.started(now_ms)
            running += 1
            host = self._roster.host_by_id[wish.target_id]
            host.staging = wish.model
            host.staging_ms = now_ms
            host.stage_ordered_ms = now_ms
            host.staging_begun = False
            commands.append(_model.Stage(host.id, wish.model))

    def _repeat_unanswered(
        self, now_ms: clock.Millis, commands: list[_model.Command]
    ) -> None:
        """Repeat orders without an answer; a late one finds nothing to do."""
        for host in self._roster.host_by_id.values():
            if host.staging is None or host.staging_begun:
                continue
            if now_ms - host.stage_ordered_ms >= STAGE_RESEND_MS:
                host.stage_ordered_ms = now_ms
                commands.append(_model.Stage(host.id, host.staging))

    def _running(self, engine: fleet.Engine, now_ms: clock.Millis) -> int:
        """Return the loads under way; forgets those that were lost."""
        running = 0
        for host in self._roster.host_by_id.values():
            if host.staging is None:
                continue
            model = engine.models_by_name.get(host.staging)
            limit = (model.load_ms if model else 0) * 2 + STAGING_SLACK_MS
            if now_ms - host.staging_ms > limit:
                host.staging = None
            else:
                running += 1
        return running

    def by_domain(self) -> dict[str, dict[str, int]]:
        """Return the hosts out of groups, by domain and kept model.

        A host that is being staged counts under `->` and its model.
        """
        counts: dict[str, dict[str, int]] = {}
        for host in self._roster.host_by_id.values():
            if host.id in self._roster.group_by_member:
                continue
            kept = f"->{host.staging}" if host.staging else host.kept_model
            row = counts.setdefault(host.domain, {})
            row[kept] = row.get(kept, 0) + 1
        return counts
