"""A node's knowledge of its peers, and the digest that nodes exchange.

Positions are positions on the control stream. Times are in milliseconds of
the monotonic clock of the node that holds them; a digest holds ages instead.
"""

import enum
import typing

import attrs

from quetzalward_core import clock


@attrs.frozen
class Member:
    """A node of the fold; `joined` is the position of its `NodeJoined`."""

    joined: int
    region: str


@attrs.frozen(order=True)
class Fact:
    """State that a node publishes about itself.

    `generation` is the position of its `NodeJoined`, `version` counts its
    changes since then, `revision` is the configuration in force there, and
    `demand` is packed by `pack_demand`.
    """

    generation: int
    version: int
    revision: int = 0
    demand: bytes = b""


class StopKind(enum.StrEnum):
    """Kind of thing that a stop order takes out of service."""

    ZONE = "zone"
    TARGET = "target"


class StopKey(typing.NamedTuple):
    """The zone or target that a stop order applies to."""

    kind: StopKind
    name: str


@attrs.frozen
class Knowledge:
    """Facts and stop orders by name, and when each node was last heard."""

    facts_by_node: typing.Mapping[str, Fact] = attrs.field(factory=dict)
    last_heard_ms_by_node: typing.Mapping[str, clock.Millis] = attrs.field(
        factory=dict
    )
    # Position of the last change that the sender of the order knew.
    basis_by_stop: typing.Mapping[StopKey, int] = attrs.field(factory=dict)


@attrs.frozen
class Digest:
    """Part of a node's knowledge, limited in size, as sent to peers.

    Per-node values are in the order of the sender's fold. A request holds no
    facts; its versions tell the receiver which ones the sender has.
    """

    sender: str
    fold_hash: bytes = b""
    # Node keys of the sender's fold, if the receiver has another fold.
    keys: bytes = b""
    ages: bytes = b""
    versions: bytes = b""
    revision: int = 0
    in_force: bytes = b""
    facts_by_node: typing.Mapping[str, Fact] = attrs.field(factory=dict)
    basis_by_stop: typing.Mapping[StopKey, int] = attrs.field(factory=dict)
