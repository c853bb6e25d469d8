"""Types of the entries of the control stream and the call streams.

Epochs and revisions are positions in the stream; position 0 means "none".
Times are in milliseconds.
"""

import typing

import attrs


@attrs.frozen
class GroupHost:
    """A member host of a group, in one incarnation."""

    host: str
    incarnation: int


@attrs.frozen
class ConfigProposed:
    """A complete configuration document.

    It is valid only if `base_revision` is the current revision. A publisher
    that received no answer finds its proposal in the history by
    `publication_id`.
    """

    base_revision: int
    document: dict[str, typing.Any]
    operator: str
    publication_id: str = ""


@attrs.frozen
class ZoneSet:
    """An operator takes a zone `out` of service, or brings it back `in`.

    `basis` is the position of the zone's last change known to the sender.
    """

    zone: str
    state: str
    basis: int
    operator: str


@attrs.frozen
class NodeJoined:
    """A node started; addresses are `IP:port`."""

    name: str
    nonce: str
    zone: str
    region: str
    callers: str
    peers: str
    operators: str


@attrs.frozen
class NodeLeft:
    """A node shut down gracefully."""

    name: str
    nonce: str


@attrs.frozen
class NodeExpired:
    """Another node removed this one as unreachable for too long."""

    name: str
    nonce: str


@attrs.frozen
class HostAdmitted:
    """A target host may be placed in groups, in this incarnation only."""

    host: str
    incarnation: int


@attrs.frozen
class HostRemoved:
    """An incarnation of a target host no longer exists."""

    host: str
    incarnation: int


@attrs.frozen
class LeaseClaimed:
    """A node claims a lease.

    It is valid only if `expected_renewed` is the position of the lease's last
    claim or renewal, or 0 if the lease is free.
    """

    resource: str
    holder: str
    expected_renewed: int
    duration_ms: int


@attrs.frozen
class LeaseRenewed:
    """The holder renews its lease for another lease duration."""

    resource: str
    holder: str
    epoch: int


@attrs.frozen
class LeaseReleased:
    """The holder releases its lease."""

    resource: str
    holder: str
    epoch: int


@attrs.frozen
class GroupFormed:
    """Hosts of one fabric domain are grouped into a replica of a model.

    `lease` is the resource name of the group manager's lease.
    """

    group: str
    model: str
    domain: str
    zone: str
    hosts: tuple[GroupHost, ...]
    lease: str
    lease_epoch: int


@attrs.frozen
class GroupStateChanged:
    """An event of the group's state chart, from the lease's holder."""

    group: str
    epoch: int
    event: str
    lease_epoch: int


@attrs.frozen
class TargetDrainSet:
    """An operator drains a target, or ends its drain.

    `basis` is the position of the last change known to the sender.
    """

    target: str
    draining: bool
    basis: int
    operator: str


@attrs.frozen
class SnapshotPart:
    """One part of a compressed, base64-encoded snapshot of a stream's state.

    The snapshot covers all offsets up to and including `through_offset`.
    """

    snapshot_id: str
    through_offset: int
    part: int
    parts: int
    data: str


@attrs.frozen
class CallIntent:
    """The writer claims a key to dispatch a call; the first intent wins."""

    intent_id: str
    customer: str
    key: str
    fingerprint: str
    dispatcher: str
    retention_ms: int


@attrs.frozen
class CallAbandoned:
    """The dispatcher has not dispatched this intent and never will."""

    intent_id: str
    customer: str
    key: str


@attrs.frozen
class CallResult:
    """The call ran; `body` is base64, or `None` if it is not retained."""

    intent_id: str
    customer: str
    key: str
    status: int
    content_type: str
    body: str | None


@attrs.frozen
class CallUnknown:
    """It is unknown whether the call ran."""

    intent_id: str
    customer: str
    key: str


ControlEntry = (
    ConfigProposed
    | ZoneSet
    | NodeJoined
    | NodeLeft
    | NodeExpired
    | HostAdmitted
    | HostRemoved
    | LeaseClaimed
    | LeaseRenewed
    | LeaseReleased
    | GroupFormed
    | GroupStateChanged
    | TargetDrainSet
    | SnapshotPart
)
CallEntry = CallIntent | CallAbandoned | CallResult | CallUnknown
Entry = ControlEntry | CallEntry

KIND_BY_CLASS: dict[type, str] = {
    ConfigProposed: "config_proposed",
    ZoneSet: "zone_set",
    NodeJoined: "node_joined",
    NodeLeft: "node_left",
    NodeExpired: "node_expired",
    HostAdmitted: "host_admitted",
    HostRemoved: "host_removed",
    LeaseClaimed: "lease_claimed",
    LeaseRenewed: "lease_renewed",
    LeaseReleased: "lease_released",
    GroupFormed: "group_formed",
    GroupStateChanged: "group_state_changed",
    TargetDrainSet: "target_drain_set",
    SnapshotPart: "snapshot_part",
    CallIntent: "call_intent",
    CallAbandoned: "call_abandoned",
    CallResult: "call_result",
    CallUnknown: "call_unknown",
}
CLASS_BY_KIND = {kind: cls for cls, kind in KIND_BY_CLASS.items()}
