"""Takes groups apart for a model that lacks capacity.

Groups that stand are kept, so the models whose hosts register first may hold
all hosts, and a model with larger groups may fit into no domain. A conversion
chooses a domain and groups to give up. Their hosts are staged while the
groups still serve; the groups close once the new one can form.
"""

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _domain_plan
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster

# A model is served again sooner if its lost targets return within this time.
PATIENCE_MS = 2_000
# Other models have this many times the capacity, relative to their share of
# the work, of the model for which groups are taken apart.
IMBALANCE_RATIO = 3.0
# A conversion that takes longer, for example for lack of loads, is given up.
TIMEOUT_MS = 120_000
# Interval between the end of a conversion and the next one.
COOL_DOWN_MS = 5_000


@attrs.frozen
class Conversion:
    """Groups of one domain that make room for a group of another model."""

    domain: str
    model: fleet.Model
    # Names of the groups to give up.
    retired: frozenset[str]
    started_ms: clock.Millis


class Conversions:
    """Decides which groups to give up; at most one conversion at a time."""

    def __init__(self, roster: _roster.Roster) -> None:
        """Use a roster."""
        self._roster = roster
        self.current: Conversion | None = None
        self._lacking_since_ms_by_model: dict[str, clock.Millis] = {}
        self._next_start_ms: clock.Millis = 0

    def kept_groups(self) -> list[_model.Group]:
        """Return the groups that plans keep."""
        retired = self.current.retired if self.current else frozenset()
        return [
            group
            for group in self._roster.group_by_name.values()
            if group.name not in retired and not group.retiring
        ]

    def convertible_ids(self) -> frozenset[str]:
        """Return the members of the groups to give up."""
        if self.current is None:
            return frozenset()
        groups = self._roster.group_by_name
        return frozenset(
            member
            for name in self.current.retired
            if name in groups
            for member in groups[name].members
        )

    def update(
        self,
        engine: fleet.Engine,
        hosts_by_domain: dict[str, list[_model.Host]],
        groups_by_model: dict[str, int],
        now_ms: clock.Millis,
    ) -> None:
        """Start, advance or end a conversion.

        `groups_by_model` counts the groups that stand or are planned.
        """
        if self.current is not None:
            hosts = hosts_by_domain.get(self.current.domain, [])
            self._advance(self.current, hosts, now_ms)
            return
        models = list(engine.models_by_name.values())
        lacking = self._lacking_model(models, groups_by_model, now_ms)
        if lacking is None or now_ms < self._next_start_ms:
            return
        options = [
            option
            for domain, hosts in sorted(hosts_by_domain.items())
            if (
                option := self._option(
                    lacking, models, domain, hosts, groups_by_model, now_ms
                )
            )
            is not None
        ]
        if options:
            self.current = min(options, key=self._cost)

    def _lacking_model(
        self,
        models: list[fleet.Model],
        groups_by_model: dict[str, int],
        now_ms: clock.Millis,
    ) -> fleet.Model | None:
        """Return the model that has lacked capacity for some time."""
        capacities = {
            model.name: _relative_capacity(model, groups_by_model)
            for model in models
        }
        most = max(capacities.values(), default=0.0)
        for model in models:
            if capacities[model.name] * IMBALANCE_RATIO >= most:
                self._lacking_since_ms_by_model.pop(model.name, None)
            else:
                self._lacking_since_ms_by_model.setdefault(model.name, now_ms)
        lacking = [
            model
            for model in models
            if now_ms - self._lacking_since_ms_by_model.get(model.name, now_ms)
            >= PATIENCE_MS
        ]
        return min(
            lacking, key=lambda model: capacities[model.name], default=None
        )

    def _option(
        self,
        lacking: fleet.Model,
        models: list[fleet.Model],
        domain: str,
        hosts: list[_model.Host],
        groups_by_model: dict[str, int],
        now_ms: clock.Millis,
    ) -> Conversion | None:
        """Return the conversion of a domain, `None` if it does not help.

        The model with the least relative capacity gains, and no other falls
        below it, so conversions do not undo each other.
        """
        model_by_name = {model.name: model for model in models}
        groups = [
            group
            for group in self._roster.group_by_name.values()
            if group.domain == domain and not group.retiring
        ]
        used = sum(group.size for group in groups)
        room = len(hosts) - used - _domain_plan.reserve_size(len(hosts))
        remaining = dict(groups_by_model)
        after = dict(groups_by_model)
        after[lacking.name] = after.get(lacking.name, 0) + 1
        least = _relative_capacity(lacking, after)
        retired: list[str] = []
        # Groups that do not serve cost nothing.
        groups.sort(key=lambda g: (g.phase is _model.Phase.OPEN, g.name))
        for group in groups:
            if room >= lacking.group_size:
                break
            model = model_by_name.get(group.model)
            if model is None or model is lacking:
                continue
            remaining[model.name] = remaining.get(model.name, 0) - 1
            if _relative_capacity(model, remaining) < least:
                remaining[model.name] += 1
                continue
            retired.append(group.name)
            room += group.size
        if room < lacking.group_size or not retired:
            return None
        return Conversion(domain, lacking, frozenset(retired), now_ms)

    def _cost(self, conversion: Conversion) -> tuple[int, str]:
        """Return the hosts that stop serving, less those staged already."""
        groups = self._roster.group_by_name
        serving = sum(
            groups[name].size
            for name in conversion.retired
            if groups[name].phase is _model.Phase.OPEN
        )
        staged = sum(
            host.domain == conversion.domain
            and host.staged_model == conversion.model.name
            for host in self._roster.host_by_id.values()
        )
        return serving - staged, conversion.domain

    def _advance(
        self,
        conversion: Conversion,
        hosts: list[_model.Host],
        now_ms: clock.Millis,
    ) -> None:
        """Close the groups to give up once the new group can form."""
        groups = [
            self._roster.group_by_name[name]
            for name in sorted(conversion.retired)
            if name in self._roster.group_by_name
        ]
        if not groups or now_ms - conversion.started_ms > TIMEOUT_MS:
            self.current = None
            self._next_start_ms = now_ms + COOL_DOWN_MS
            return
        convertible = self.convertible_ids()
        staged = [
            host
            for host in hosts
            if conversion.model.name in host.staged
            and (
                host.id in convertible
                or host.id not in self._roster.group_by_member
            )
        ]
        if len(staged) < conversion.model.group_size:
            return
        for group in groups:
            if group.phase is _model.Phase.OPEN:
                group.retiring = True
                group.step("retired", now_ms)
            elif group.phase is _model.Phase.BROKEN:
                self._roster.remove(group)


def _relative_capacity(
    model: fleet.Model, groups_by_model: dict[str, int]
) -> float:
    """Return the hosts in groups of a model per share of the work."""
    hosts = groups_by_model.get(model.name, 0) * model.group_size
    return hosts / max(model.share, _domain_plan.MIN_SHARE)
