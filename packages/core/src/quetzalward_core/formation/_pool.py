"""Hosts that are available for new groups."""

import collections
import typing

from quetzalward_core.formation import _assess
from quetzalward_core.formation import _model


class HostPool:
    """Usable hosts by fabric domain.

    They are in no group, or survive in a broken one.
    """

    def __init__(
        self,
        assessment: _assess.Assessment,
        broken: typing.Sequence[_model.Group],
    ) -> None:
        """Collect usable hosts in no group or in one of the `broken` ones."""
        self._prefer_weight_holders = assessment.options.prefer_weight_holders
        self.group_by_host = {
            name: group for group in broken for name in group.incarnations
        }
        taken = {
            name
            for group in assessment.groups
            for name in group.incarnations
            if name not in self.group_by_host
        }
        self.hosts_by_key: dict[_model.DomainKey, list[_model.Host]] = (
            collections.defaultdict(list)
        )
        for name in sorted(assessment.fleet.hosts):
            host = assessment.fleet.hosts[name]
            if name not in taken and assessment.is_usable(host):
                key = _model.DomainKey(host.zone, host.domain)
                self.hosts_by_key[key].append(host)
        self.used_groups: dict[str, _model.Group] = {}

    def held_model(self, host: _model.Host) -> str | None:
        """Return the model whose weights a host holds, or `None`.

        A surviving host of a broken group holds its group's model, a
        restarted one holds nothing.
        """
        group = self.group_by_host.get(host.host)
        if group is not None:
            same = group.incarnations[host.host] == host.incarnation
            return group.model if same else None
        return host.held_model

    def capacities(self) -> list[_model.DomainCapacity]:
        """Return the capacity of every domain."""
        found = []
        for key, hosts in self.hosts_by_key.items():
            holders: collections.Counter[str] = collections.Counter()
            if self._prefer_weight_holders:
                names = (self.held_model(host) for host in hosts)
                holders.update(name for name in names if name)
            found.append(_model.DomainCapacity(key, len(hosts), holders))
        return found

    def take(
        self, replica: _model.PlacedReplica, size: int
    ) -> tuple[str, ...]:
        """Remove `size` hosts from the pool for one replica and return them.

        Hosts with the model's weights come first. Next come hosts of broken
        groups that have already given up a host, then hosts in no group, and
        last hosts of other broken groups, so that as many of these as
        possible can still be repaired.
        """
        hosts = self.hosts_by_key[replica.key]
        chosen = sorted(
            hosts, key=lambda host: self._preference(host, replica.model)
        )
        chosen = chosen[:size]
        for host in chosen:
            hosts.remove(host)
            group = self.group_by_host.get(host.host)
            if group is not None:
                self.used_groups[group.group] = group
        return tuple(sorted(host.host for host in chosen))

    def _preference(
        self, host: _model.Host, model: str
    ) -> tuple[bool, int, str, str]:
        """Return a host's sort key; the smallest is taken first."""
        holds = self._prefer_weight_holders and self.held_model(host) == model
        group = self.group_by_host.get(host.host)
        if group is None:
            return not holds, 1, "", host.host
        used = group.group in self.used_groups
        return not holds, 0 if used else 2, group.group, host.host
