"""Values of the control state.

Epochs, revisions and `changed` fields are positions on the control stream.
They increase along the stream, and 0 means "none".
"""

import typing

import attrs

from quetzalward_core.agreement import _records


@attrs.frozen
class ConfigRevision:
    """An accepted configuration, its publisher and its log time."""

    revision: int
    operator: str
    time_ms: int
    publication_id: str = ""


@attrs.frozen
class ZoneState:
    """State of a zone, `in` or `out`, and the position of its last change."""

    state: str
    changed: int


@attrs.frozen
class Node:
    """A node that joined and has neither left nor expired."""

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
    """An admitted target host and the position of its admission."""

    host: str
    incarnation: int
    admitted: int


@attrs.frozen
class Lease:
    """A lease and its holder.

    `epoch` is the position of the claim, `renewed` that of the last claim or
    renewal.
    """

    resource: str
    holder: str
    epoch: int
    renewed: int
    duration_ms: int


@attrs.frozen
class Group:
    """A group that is not dissolved.

    `epoch` is the fencing token of assign and load orders. `changed`, the
    position of the last `GroupStateChanged` or else the epoch, is that of
    unload and role orders.
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
    """Drain switch of a target, and the position of its last change."""

    target: str
    draining: bool
    changed: int


@attrs.frozen
class ControlView:
    """An immutable view of the control state before `next_offset`."""

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
        """Tell whether operators took a zone out of service."""
        state = self.zones_by_name.get(zone)
        return state is not None and state.state == "out"

    def draining(self, target: str) -> bool:
        """Tell whether operators are draining a target."""
        drain = self.drains_by_target.get(target)
        return drain is not None and drain.draining

    def group_of_host(self, host: str) -> Group | None:
        """Return the group that a host belongs to, or `None`."""
        group_id = self.group_ids_by_host.get(host)
        return self.groups_by_id[group_id] if group_id else None
