"""Keeps spare hosts, those in no group, staged and warm."""

import collections
import collections.abc

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _domain_plan
from quetzalward_core.grouping import _loads
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster

# Staging counts as lost after twice its published load time plus this; a load
# that shares the weight store with others takes longer than published.
STAGING_SLACK_MS = 10_000
# Interval at which unanswered orders to stage are repeated; an unanswered
# order may still be executed up to 12 s late.
STAGE_RESEND_MS = 1_500
# Interval between attempts to make one host join a standby group.
WARM_RETRY_MS = 5_000


@attrs.frozen(order=True)
class StagingRequest:
    """A host to stage; lower values have a higher priority."""

    # 0: member of a broken group, 1: member of a new group, 2: spare.
    tier: int
    # Members that the broken group lacks. Loads are limited, so the groups
    # that need the fewest of them are completed first.
    missing_members: int
    # Hosts in open groups of the model, divided by its share of the work.
    capacity: float
    # Index among the requests of the domain.
    position: int
    domain: str
    target_id: str
    model: str


@attrs.frozen
class Demand:
    """Missing members and serving capacity of all domains."""

    # Members that each broken group lacks, by domain and model.
    missing_by_domain: dict[str, dict[str, list[int]]]
    # Hosts in open groups, divided by their model's share of the work.
    capacity_by_model: dict[str, float]


class Spares:
    """Decides which weights to stage on spare hosts."""

    def __init__(
        self,
        roster: _roster.Roster,
        next_epoch: collections.abc.Callable[[], int],
    ) -> None:
        """Use a roster; each call of `next_epoch` returns a higher epoch."""
        self._roster = roster
        self._next_epoch = next_epoch
        self._loads = _loads.LoadLimit()
        self._warm_ordered_ms_by_id: dict[str, clock.Millis] = {}

    def warm(
        self,
        engine: fleet.Engine,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Append joins of standby groups for spares that are not warm.

        A target whose previous group had the same model joins the next one
        in 0.2 s instead of its warm time. A standby group is never opened.
        """
        for host in self._roster.free(hosts):
            if host.membership is not None or host.staging is not None:
                continue
            last_ordered_ms = self._warm_ordered_ms_by_id.get(host.id)
            if (
                last_ordered_ms is not None
                and now_ms - last_ordered_ms < WARM_RETRY_MS
            ):
                continue
            model = host.staged_model
            if model not in engine.models_by_name:
                continue
            sequence = self._roster.accepted_sequence(host, now_ms, commands)
            if sequence is not None:
                self._warm_ordered_ms_by_id[host.id] = now_ms
                epoch = self._next_epoch()
                name = f"{_model.STANDBY_PREFIX}{epoch}.{model}"
                commands.append(
                    _model.Join(
                        host.id, name, epoch, model, (host.id,), sequence
                    )
                )

    def staging_requests(
        self,
        engine: fleet.Engine,
        domain: str,
        hosts: list[_model.Host],
        plan: _domain_plan.DomainPlan,
        demand: Demand,
        convertible: frozenset[str] = frozenset(),
    ) -> list[StagingRequest]:
        """Return what to stage on the hosts of a domain.

        `convertible` are hosts of groups that will make room for others.
        """
        deficit = dict(plan.hosts_by_model)
        idle = []
        # Hosts of groups that stay count first towards their models.
        for host in sorted(hosts, key=lambda host: host.id in convertible):
            model = host.staging or host.staged_model
            if deficit.get(model, 0) > 0:
                deficit[model] -= 1
            elif host.staging is None:
                if (
                    host.id not in self._roster.group_by_member
                    or host.id in convertible
                ):
                    idle.append(host)
        # Hosts without weights come first; staging evicts those of the others.
        idle.sort(key=lambda host: (len(host.staged), host.id))
        missing = self._missing_members(domain, hosts, demand)
        capacity = demand.capacity_by_model
        result: list[StagingRequest] = []
        while idle and any(count > 0 for count in deficit.values()):
            (tier, missing_members), _, name = min(
                (
                    self._priority(engine, plan, name, count, missing),
                    capacity[name],
                    name,
                )
                for name, count in deficit.items()
                if count > 0
            )
            if tier == 0:
                missing[name].pop(0)
            deficit[name] -= 1
            result.append(
                StagingRequest(
                    tier,
                    missing_members,
                    capacity[name],
                    len(result),
                    domain,
                    idle.pop(0).id,
                    name,
                )
            )
        return result

    @staticmethod
    def _priority(
        engine: fleet.Engine,
        plan: _domain_plan.DomainPlan,
        name: str,
        deficit: int,
        missing: collections.abc.Mapping[str, list[int]],
    ) -> tuple[int, int]:
        """Return tier and missing members of the next request for a model."""
        if missing.get(name):
            return 0, missing[name][0]
        groups = plan.groups_by_model.get(name, 0)
        members = groups * engine.models_by_name[name].group_size
        held = plan.hosts_by_model[name] - deficit
        return (1 if held < members else 2), 0

    def _missing_members(
        self, domain: str, hosts: list[_model.Host], demand: Demand
    ) -> dict[str, list[int]]:
        """Return an item for each load that broken groups of a domain need.

        By model; an item is the number of loads that the load's group lacks,
        fewest first. Spares that are staged already complete the groups that
        lack the fewest. Loads in progress are left out.
        """
        spares = collections.Counter(
            host.staged_model for host in self._roster.free(hosts)
        )
        loading = collections.Counter(host.staging for host in hosts)
        missing: dict[str, list[int]] = {}
        for name, counts in demand.missing_by_domain.get(domain, {}).items():
            available = spares[name]
            loads: list[int] = []
            for count in sorted(counts):
                lacking = max(0, count - available)
                available = max(0, available - count)
                loads += [lacking] * lacking
            if loads[loading[name] :]:
                missing[name] = loads[loading[name] :]
        return missing

    def demand(self, engine: fleet.Engine, now_ms: clock.Millis) -> Demand:
        """Return the current demand of all groups."""
        demand = Demand({}, dict.fromkeys(engine.models_by_name, 0.0))
        for group in self._roster.group_by_name.values():
            model = engine.models_by_name.get(group.model)
            if group.phase is _model.Phase.OPEN and model is not None:
                capacity = model.group_size / max(
                    model.share, _domain_plan.MIN_SHARE
                )
                demand.capacity_by_model[model.name] += capacity
            if group.phase is _model.Phase.BROKEN:
                survivors = self._roster.survivors(group, now_ms)
                missing_by_model = demand.missing_by_domain.setdefault(
                    group.domain, {}
                )
                missing_members = group.size - len(survivors)
                missing_by_model.setdefault(group.model, []).append(
                    missing_members
                )
        return demand

    def stage(
        self,
        engine: fleet.Engine,
        staging_requests: list[StagingRequest],
        before_traffic: bool,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Append orders for the loads that the load limit permits."""
        running = self._count_loads(engine, now_ms)
        self._repeat_unanswered(now_ms, commands)
        for request in sorted(staging_requests):
            if not self._loads.allows(engine, running, before_traffic, now_ms):
                return
            self._loads.record_start(now_ms)
            running += 1
            host = self._roster.host_by_id[request.target_id]
            host.staging = request.model
            host.staging_ms = now_ms
            host.stage_ordered_ms = now_ms
            host.staging_begun = False
            commands.append(_model.Stage(host.id, request.model))

    def _repeat_unanswered(
        self, now_ms: clock.Millis, commands: list[_model.Command]
    ) -> None:
        """Repeat unanswered orders; executing one twice has no effect."""
        for host in self._roster.host_by_id.values():
            if host.staging is None or host.staging_begun:
                continue
            if now_ms - host.stage_ordered_ms >= STAGE_RESEND_MS:
                host.stage_ordered_ms = now_ms
                commands.append(_model.Stage(host.id, host.staging))

    def _count_loads(self, engine: fleet.Engine, now_ms: clock.Millis) -> int:
        """Return the number of loads in progress; drops those lost."""
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
        """Return the number of spare hosts, by domain and staged model.

        A host that is being staged counts under `->` and its model.
        """
        counts: dict[str, dict[str, int]] = {}
        for host in self._roster.host_by_id.values():
            if host.id in self._roster.group_by_member:
                continue
            label = f"->{host.staging}" if host.staging else host.staged_model
            count_by_label = counts.setdefault(host.domain, {})
            count_by_label[label] = count_by_label.get(label, 0) + 1
        return counts
