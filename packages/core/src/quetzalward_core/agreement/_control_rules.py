"""Validation and effect of each kind of control record.

A rule either updates the tables and returns `None`, or leaves them unchanged
and returns the reason why the record is void.
"""

import typing

import attrs

from quetzalward_core.agreement import _model
from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results
from quetzalward_core.agreement import _table
from quetzalward_core import charts
from quetzalward_core import errors

MAX_CONFIG_REVISIONS = 50
MAX_LEASE_DURATION_MS = 3_600_000

_GROUP_CHART = charts.load_chart("group")
_NODE_CHART = charts.load_chart("node")
_ZONE_CHART = charts.load_chart("zone")

RuleResult = _results.VoidReason | None
_Reason = _results.VoidReason


@attrs.define
class Tables:
    """The control state, modified only by the rules below."""

    config_revision: int = 0
    config_document: dict[str, typing.Any] = attrs.field(factory=dict)
    config_history: tuple[_model.ConfigRevision, ...] = ()
    zones_by_name: _table.Table[str, _model.ZoneState] = attrs.field(
        factory=_table.Table
    )
    nodes_by_name: _table.Table[str, _model.Node] = attrs.field(
        factory=_table.Table
    )
    hosts_by_id: _table.Table[str, _model.Host] = attrs.field(
        factory=_table.Table
    )
    leases_by_resource: _table.Table[str, _model.Lease] = attrs.field(
        factory=_table.Table
    )
    groups_by_id: _table.Table[str, _model.Group] = attrs.field(
        factory=_table.Table
    )
    # Derived from `groups_by_id`; not part of the serialized state.
    group_ids_by_host: _table.Table[str, str] = attrs.field(
        factory=_table.Table
    )
    drains_by_target: _table.Table[str, _model.Drain] = attrs.field(
        factory=_table.Table
    )

    def copy(self) -> "Tables":
        """Return an independent copy."""
        return Tables(
            self.config_revision,
            self.config_document,
            self.config_history,
            self.zones_by_name.copy(),
            self.nodes_by_name.copy(),
            self.hosts_by_id.copy(),
            self.leases_by_resource.copy(),
            self.groups_by_id.copy(),
            self.group_ids_by_host.copy(),
            self.drains_by_target.copy(),
        )


CLASS_BY_TABLE: dict[str, type] = {
    "zones_by_name": _model.ZoneState,
    "nodes_by_name": _model.Node,
    "hosts_by_id": _model.Host,
    "leases_by_resource": _model.Lease,
    "groups_by_id": _model.Group,
    "drains_by_target": _model.Drain,
}


def _config_proposed(
    tables: Tables,
    position: int,
    time_ms: int,
    entry: _records.ConfigProposed,
) -> RuleResult:
    if entry.base_revision != tables.config_revision:
        return _Reason.STALE_BASE
    revision = _model.ConfigRevision(
        position, entry.operator, time_ms, entry.publication_id
    )
    history = (*tables.config_history, revision)
    tables.config_revision = position
    tables.config_document = entry.document
    tables.config_history = history[-MAX_CONFIG_REVISIONS:]
    return None


def _zone_set(
    tables: Tables, position: int, time_ms: int, entry: _records.ZoneSet
) -> RuleResult:
    zone = tables.zones_by_name.get(entry.zone)
    current = zone.state if zone else _ZONE_CHART.initial
    try:
        next_state = _ZONE_CHART.step(current, entry.state)
    except errors.UnknownEventError:
        return _Reason.UNKNOWN_EVENT
    # Taking a zone out is always valid; bringing it back in requires the
    # position of the last change.
    if next_state == "in" and entry.basis != (zone.changed if zone else 0):
        return _Reason.STALE_BASE
    tables.zones_by_name.set(
        entry.zone, _model.ZoneState(next_state, position)
    )
    return None


def _node_joined(
    tables: Tables, position: int, time_ms: int, entry: _records.NodeJoined
) -> RuleResult:
    fields = attrs.asdict(entry)
    tables.nodes_by_name.set(
        entry.name, _model.Node(**fields, joined=position)
    )
    return None


def _remove_node(
    tables: Tables, name: str, nonce: str, event: str
) -> RuleResult:
    node = tables.nodes_by_name.get(name)
    # A node that restarted since has a different nonce and is kept.
    if node is None or node.nonce != nonce:
        return _Reason.UNKNOWN_NODE
    _NODE_CHART.step(_NODE_CHART.initial, event)
    tables.nodes_by_name.remove(name)
    return None


def _node_left(
    tables: Tables, position: int, time_ms: int, entry: _records.NodeLeft
) -> RuleResult:
    return _remove_node(tables, entry.name, entry.nonce, "leave")


def _node_expired(
    tables: Tables, position: int, time_ms: int, entry: _records.NodeExpired
) -> RuleResult:
    return _remove_node(tables, entry.name, entry.nonce, "expire")


def _host_admitted(
    tables: Tables, position: int, time_ms: int, entry: _records.HostAdmitted
) -> RuleResult:
    host = tables.hosts_by_id.get(entry.host)
    if host is not None and host.incarnation >= entry.incarnation:
        return _Reason.STALE_EPOCH
    tables.hosts_by_id.set(
        entry.host, _model.Host(entry.host, entry.incarnation, position)
    )
    return None


def _host_removed(
    tables: Tables, position: int, time_ms: int, entry: _records.HostRemoved
) -> RuleResult:
    host = tables.hosts_by_id.get(entry.host)
    if host is None or host.incarnation != entry.incarnation:
        return _Reason.UNKNOWN_HOST
    tables.hosts_by_id.remove(entry.host)
    return None


def _lease_claimed(
    tables: Tables, position: int, time_ms: int, entry: _records.LeaseClaimed
) -> RuleResult:
    if not 0 < entry.duration_ms <= MAX_LEASE_DURATION_MS or not entry.holder:
        return _Reason.MALFORMED
    lease = tables.leases_by_resource.get(entry.resource)
    if entry.expected_renewed != (lease.renewed if lease else 0):
        return _Reason.STALE_LEASE
    claimed = _model.Lease(
        entry.resource, entry.holder, position, position, entry.duration_ms
    )
    tables.leases_by_resource.set(entry.resource, claimed)
    return None


def _find_held_lease(
    tables: Tables, resource: str, holder: str, epoch: int
) -> _model.Lease | None:
    lease = tables.leases_by_resource.get(resource)
    if lease is None or (lease.epoch, lease.holder) != (epoch, holder):
        return None
    return lease


def _lease_renewed(
    tables: Tables, position: int, time_ms: int, entry: _records.LeaseRenewed
) -> RuleResult:
    lease = _find_held_lease(tables, entry.resource, entry.holder, entry.epoch)
    if lease is None:
        return _Reason.STALE_LEASE
    tables.leases_by_resource.set(
        entry.resource, attrs.evolve(lease, renewed=position)
    )
    return None


def _lease_released(
    tables: Tables, position: int, time_ms: int, entry: _records.LeaseReleased
) -> RuleResult:
    lease = _find_held_lease(tables, entry.resource, entry.holder, entry.epoch)
    if lease is None:
        return _Reason.STALE_LEASE
    tables.leases_by_resource.remove(entry.resource)
    return None


def _lease_is_current(tables: Tables, resource: str, epoch: int) -> bool:
    lease = tables.leases_by_resource.get(resource)
    return lease is not None and lease.epoch == epoch


def _group_formed(
    tables: Tables, position: int, time_ms: int, entry: _records.GroupFormed
) -> RuleResult:
    names = {member.host for member in entry.hosts}
    if not names or len(names) != len(entry.hosts):
        return _Reason.MALFORMED
    if not _lease_is_current(tables, entry.lease, entry.lease_epoch):
        return _Reason.STALE_LEASE
    if entry.group in tables.groups_by_id:
        return _Reason.GROUP_EXISTS
    for member in entry.hosts:
        if member.host in tables.group_ids_by_host:
            return _Reason.HOST_TAKEN
        host = tables.hosts_by_id.get(member.host)
        if host is None or host.incarnation != member.incarnation:
            return _Reason.UNKNOWN_HOST
    group = _model.Group(
        **attrs.asdict(entry, recurse=False),
        epoch=position,
        state=_GROUP_CHART.initial,
        changed=position,
    )
    tables.groups_by_id.set(entry.group, group)
    for member in entry.hosts:
        tables.group_ids_by_host.set(member.host, entry.group)
    return None


def _group_state_changed(
    tables: Tables,
    position: int,
    time_ms: int,
    entry: _records.GroupStateChanged,
) -> RuleResult:
    group = tables.groups_by_id.get(entry.group)
    if group is None:
        return _Reason.UNKNOWN_GROUP
    if group.epoch != entry.epoch:
        return _Reason.STALE_EPOCH
    if not _lease_is_current(tables, group.lease, entry.lease_epoch):
        return _Reason.STALE_LEASE
    try:
        state = _GROUP_CHART.step(group.state, entry.event)
    except errors.UnknownEventError:
        return _Reason.UNKNOWN_EVENT
    if _GROUP_CHART.events(state):
        changed = attrs.evolve(group, state=state, changed=position)
        tables.groups_by_id.set(entry.group, changed)
    else:
        _dissolve(tables, group)
    return None


def _dissolve(tables: Tables, group: _model.Group) -> None:
    tables.groups_by_id.remove(group.group)
    tables.drains_by_target.remove(group.group)
    for member in group.hosts:
        tables.group_ids_by_host.remove(member.host)


def _target_drain_set(
    tables: Tables,
    position: int,
    time_ms: int,
    entry: _records.TargetDrainSet,
) -> RuleResult:
    drain = tables.drains_by_target.get(entry.target)
    # As with zones: starting a drain is always valid, ending it requires the
    # position of the last change.
    if not entry.draining and entry.basis != (drain.changed if drain else 0):
        return _Reason.STALE_BASE
    tables.drains_by_target.set(
        entry.target, _model.Drain(entry.target, entry.draining, position)
    )
    return None


def _snapshot_part(
    tables: Tables, position: int, time_ms: int, entry: _records.SnapshotPart
) -> RuleResult:
    # Parts are assembled outside the fold: a fold that starts from a later
    # snapshot never reads the earlier parts, and its serialized state must be
    # the same.
    return None


Rule = typing.Callable[[Tables, int, int, typing.Any], RuleResult]
RULES: dict[type, Rule] = {
    _records.ConfigProposed: _config_proposed,
    _records.ZoneSet: _zone_set,
    _records.NodeJoined: _node_joined,
    _records.NodeLeft: _node_left,
    _records.NodeExpired: _node_expired,
    _records.HostAdmitted: _host_admitted,
    _records.HostRemoved: _host_removed,
    _records.LeaseClaimed: _lease_claimed,
    _records.LeaseRenewed: _lease_renewed,
    _records.LeaseReleased: _lease_released,
    _records.GroupFormed: _group_formed,
    _records.GroupStateChanged: _group_state_changed,
    _records.TargetDrainSet: _target_drain_set,
    _records.SnapshotPart: _snapshot_part,
}
