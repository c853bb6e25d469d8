"""Hosts that a plan may place in new groups."""

import collections
import typing

from quetzalward_core.formation import _assess
from quetzalward_core.formation import _model


class Pool:
    """Usable hosts by fabric domain: free ones and survivors."""

    def __init__(
        self,
        facts: _assess.Assessment,
        broken: typing.Sequence[_model.Group],
    ) -> None:
        """Collect hosts in no group, and those of the broken groups."""
        self._prefer_held = facts.options.prefer_held
        self.group_by_host = {
            name: group for group in broken for name in group.incarnations
        }
        taken = {
            name
            for group in facts.groups
            for name in group.incarnations
            if name not in self.group_by_host
        }
        self.hosts_by_key: dict[_model.DomainKey, list[_model.Host]] = (
            collections.defaultdict(list)
        )
        for name in sorted(facts.fleet.hosts):
            host = facts.fleet.hosts[name]
            if name not in taken and facts.is_usable(host):
                key = _model.DomainKey(host.zone, host.domain)
                self.hosts_by_key[key].append(host)
        self.used_groups: dict[str, _model.Group] = {}

    def held_model(self, host: _model.Host) -> str | None:
        """Return the model whose weights a host holds.

        A survivor of a broken group holds its group's model.
        """
        group = self.group_by_host.get(host.host)
        if group is not None:
            same = group.incarnations[host.host] == host.incarnation
            return group.model if same else None
        return host.held_model

    def rooms(self) -> list[_model.Room]:
        """Return the room in every domain."""
        found = []
        for key, hosts in self.hosts_by_key.items():
            held: collections.Counter[str] = collections.Counter()
            if self._prefer_held:
                names = (self.held_model(host) for host in hosts)
                held.update(name for name in names if name)
            found.append(_model.Room(key, len(hosts), held))
        return found

    def take(self, slot: _model.Slot, size: int) -> tuple[str, ...]:
        """Remove and return the hosts of one replica.

        Hosts with the model's weights come first, then free ones, then
        those of groups that are used already, so that few broken groups
        lose the chance to become whole again.
        """
        hosts = self.hosts_by_key[slot.key]
        chosen = sorted(hosts, key=lambda host: self._rank(host, slot.model))
        chosen = chosen[:size]
        for host in chosen:
            hosts.remove(host)
            group = self.group_by_host.get(host.host)
            if group is not None:
                self.used_groups[group.group] = group
        return tuple(sorted(host.host for host in chosen))

    def _rank(
        self, host: _model.Host, model: str
    ) -> tuple[bool, int, str, str]:
        """Return the order of preference; smaller is better."""
        holds = self._prefer_held and self.held_model(host) == model
        group = self.group_by_host.get(host.host)
        if group is None:
            return not holds, 1, "", host.host
        used = group.group in self.used_groups
        return not holds, 0 if used else 2, group.group, host.host
