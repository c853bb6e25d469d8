"""Values that the control state holds.

Epochs, revisions and `changed` fields are positions on the control stream;
later ones are larger, and 0 means "none".
"""

import typing

import attrs

from quetzalward_core.agreement import _records


@attrs.frozen
class ConfigRevision:
    """An accepted configuration: who published it, and when by the log."""

    revision: int
    operator: str
    time_ms: int


@attrs.frozen
class ZoneState:
    """`in` or `out`, and the position of the zone's last change."""

    state: str
    changed: int


@attrs.frozen
class Node:
    """A node that joined and neither left nor expired."""

    name: str
    nonce: str
    zone: str
    region: str
    callers: str
    peers: str
    operators: str
    joined: int


@attrs.frozen
class Host:
    """An admitted target host."""

    host: str
    incarnation: int
    admitted: int


@attrs.frozen
class Lease:
    """A lease; `epoch` is its claim, `renewed` its last claim or renewal."""

    resource: str
    holder: str
    epoch: int
    renewed: int
    duration_ms: int


@attrs.frozen
class Group:
    """A group that is not dissolved.

    `epoch` fences assign and load orders, `changed` (the position of the last
    `GroupStateChanged`, or the epoch) fences unload and role orders.
    """

    group: str
    model: str
    domain: str
    zone: str
    hosts: tuple[_records.GroupHost, ...]
    lease: str
    lease_epoch: int
    epoch: int
    state: str
    changed: int


@attrs.frozen
class Drain:
    """Whether operators drain a target, and the last change's position."""

    target: str
    draining: bool
    changed: int


@attrs.frozen
class ControlView:
    """An immutable picture of the control state after some offset."""

    next_offset: int
    time_ms: int
    config_revision: int
    config_document: dict[str, typing.Any]
    config_history: tuple[ConfigRevision, ...]
    zones_by_name: typing.Mapping[str, ZoneState]
    nodes_by_name: typing.Mapping[str, Node]
    hosts_by_id: typing.Mapping[str, Host]
    leases_by_resource: typing.Mapping[str, Lease]
    groups_by_id: typing.Mapping[str, Group]
    group_ids_by_host: typing.Mapping[str, str]
    drains_by_target: typing.Mapping[str, Drain]
    void_by_reason: typing.Mapping[str, int]
    accepted_count: int

    def zone_out(self, zone: str) -> bool:
        """Tell whether operators took a zone out."""
        state = self.zones_by_name.get(zone)
        return state is not None and state.state == "out"

    def draining(self, target: str) -> bool:
        """Tell whether operators drain a target."""
        drain = self.drains_by_target.get(target)
        return drain is not None and drain.draining

    def group_of_host(self, host: str) -> Group | None:
        """Return the group that holds a host, or `None`."""
        group_id = self.group_ids_by_host.get(host)
        return self.groups_by_id[group_id] if group_id else None
