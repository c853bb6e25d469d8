"""Classification of groups by the current state of their hosts."""

import collections
import typing

from quetzalward_core.formation import _model

_COUNTED = frozenset(
    {
        _model.GroupState.FORMING,
        _model.GroupState.LOADING,
        _model.GroupState.SERVING,
    }
)


class Assessment:
    """Classification of a fleet's groups that all parts of a plan share.

    `replica_groups_by_model` holds the groups that count as replicas.
    Planning adds the groups that it repairs or resumes.
    """

    def __init__(self, fleet: _model.Fleet, options: _model.Options) -> None:
        """Classify every group once."""
        self.fleet = fleet
        self.options = options
        self.host_list_is_fresh = (
            fleet.host_list_age_ms <= _model.HOST_LIST_MAX_AGE_MS
        )
        self.groups = sorted(
            fleet.groups.values(), key=lambda g: (g.epoch, g.group)
        )
        self.lost_group_ids = {
            g.group for g in self.groups if self._is_lost(g)
        }
        self.drain_reason_by_group = {
            g.group: reason
            for g in self.groups
            if (reason := self._drain_reason(g))
        }
        self.replica_groups_by_model: dict[str, list[_model.Group]] = (
            collections.defaultdict(list)
        )
        for group in self.groups:
            if self._is_replica(group):
                self.replica_groups_by_model[group.model].append(group)

    def _is_replica(self, group: _model.Group) -> bool:
        """Tell whether a group serves, or will serve, as a replica."""
        return (
            group.state in _COUNTED
            and group.group not in self.lost_group_ids
            and group.group not in self.drain_reason_by_group
        )

    def is_usable(self, host: _model.Host) -> bool:
        """Tell whether a host may be placed in a new group."""
        return (
            host.presence is _model.Presence.LIVE
            and host.admitted
            and host.zone in self.fleet.zones
            and host.zone not in self.fleet.zones_out
        )

    def is_intact(self, group: _model.Group) -> bool:
        """Tell whether every host is live, admitted and not restarted."""
        for name, incarnation in group.incarnations.items():
            host = self.fleet.hosts.get(name)
            if host is None or host.incarnation != incarnation:
                return False
            if host.presence is not _model.Presence.LIVE or not host.admitted:
                return False
        return True

    def has_surviving_host(self, group: _model.Group) -> bool:
        """Tell whether any host is present in its assigned incarnation."""
        for name, incarnation in group.incarnations.items():
            host = self.fleet.hosts.get(name)
            if host is not None and host.incarnation == incarnation:
                if host.presence is not _model.Presence.MISSING:
                    return True
        return False

    def _is_lost(self, group: _model.Group) -> bool:
        """Tell whether a host was removed, restarted or missing too long.

        A host list older than `HOST_LIST_MAX_AGE_MS` is no evidence, so no
        group counts as lost then.
        """
        if not self.host_list_is_fresh:
            return False
        for name, incarnation in group.incarnations.items():
            host = self.fleet.hosts.get(name)
            if host is None or host.incarnation != incarnation:
                return True
            missing = host.presence is _model.Presence.MISSING
            if missing and host.missing_ms >= self.options.reform_after_ms:
                return True
        return False

    def _drain_reason(self, group: _model.Group) -> _model.Reason | None:
        """Return why a group must stop serving, or `None`."""
        if not self.is_declared(group):
            return _model.Reason.UNDECLARED
        if group.zone in self.fleet.zones_out:
            return _model.Reason.ZONE_OUT
        if group.group in self.fleet.drained_targets:
            return _model.Reason.TARGET_DRAIN
        for name in group.incarnations:
            host = self.fleet.hosts.get(name)
            if host and host.presence is _model.Presence.LEAVING:
                return _model.Reason.HOST_LEAVING
        return None

    def is_declared(self, group: _model.Group) -> bool:
        """Tell whether the configuration declares a group of this shape.

        The model must exist, and the group's size and zone must match it.
        """
        model = self.fleet.models.get(group.model)
        return (
            model is not None
            and len(group.incarnations) == model.hosts_per_replica
            and group.zone in self.zones_of(group.model)
        )

    def zones_of(self, model: str) -> frozenset[str]:
        """Return the zones in which a model may run."""
        declared = frozenset(self.fleet.models[model].zones)
        if not declared:
            return self.fleet.zones
        return declared & self.fleet.zones

    def missing_count(self, model: str) -> int:
        """Return how many replicas fewer than declared exist."""
        existing = len(self.replica_groups_by_model[model])
        return max(0, self.fleet.models[model].replicas - existing)

    def existing_by_zone(self, model: str) -> typing.Counter[str]:
        """Return the number of a model's replicas by zone."""
        return collections.Counter(
            g.zone for g in self.replica_groups_by_model[model]
        )

    def demands(self) -> list[_model.Demand]:
        """Return a demand for each model that lacks replicas."""
        found = []
        for name in sorted(self.fleet.models):
            count = self.missing_count(name)
            if count:
                found.append(self.demand(name, count))
        return found

    def demand(self, name: str, count: int) -> _model.Demand:
        """Return a demand for `count` further replicas of a model."""
        model = self.fleet.models[name]
        return _model.Demand(
            name,
            model.hosts_per_replica,
            count,
            model.importance,
            self.zones_of(name) - self.fleet.zones_out,
            self.existing_by_zone(name),
        )
