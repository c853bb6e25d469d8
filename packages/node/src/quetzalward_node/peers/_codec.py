"""Encoding of digests and stop orders as protobuf messages."""

import attrs

from quetzalward_core import membership
from quetzalward_wire import peer_pb2

_NUMBER_BY_KIND = {
    membership.StopKind.ZONE: peer_pb2.STOP_KIND_ZONE,
    membership.StopKind.TARGET: peer_pb2.STOP_KIND_TARGET,
}
_KIND_BY_NUMBER = {number: kind for kind, number in _NUMBER_BY_KIND.items()}
MAX_NAME_CHARS = 256
MAX_FACTS = 256


@attrs.frozen
class NumberedDigest:
    """A digest with its sequence number in a generation of its sender.

    A generation is one start of the sending process.
    """

    digest: membership.Digest
    generation: int
    sequence: int


def encode_digest(numbered: NumberedDigest) -> bytes:
    """Return the digest as an encoded protobuf message."""
    digest = numbered.digest
    message = peer_pb2.Digest(
        sender=digest.sender,
        generation=numbered.generation,
        sequence=numbered.sequence,
        fold_hash=digest.fold_hash,
        keys=digest.keys,
        ages=digest.ages,
        versions=digest.versions,
        revision=digest.revision,
        in_force=digest.in_force,
    )
    for node, fact in digest.facts_by_node.items():
        message.facts.add(
            node=node,
            generation=fact.generation,
            version=fact.version,
            revision=fact.revision,
            demand=fact.demand,
        )
    for key, basis in digest.basis_by_stop.items():
        message.stops.add(
            kind=_NUMBER_BY_KIND[key.kind], name=key.name, basis=basis
        )
    return bytes(message.SerializeToString())


def decode_digest(body: bytes) -> NumberedDigest:
    """Decode a digest; raises `google.protobuf.message.DecodeError`.

    Facts and stop orders above the limits are dropped.
    """
    message = peer_pb2.Digest.FromString(body)
    facts = {
        fact.node: membership.Fact(
            fact.generation, fact.version, fact.revision, fact.demand
        )
        for fact in message.facts[:MAX_FACTS]
        if len(fact.node) <= MAX_NAME_CHARS
    }
    stops = {}
    for stop in message.stops[: membership.MAX_STOPS]:
        key = decode_stop(stop)
        if key is not None:
            stops[key] = stop.basis
    digest = membership.Digest(
        message.sender,
        message.fold_hash,
        message.keys,
        message.ages,
        message.versions,
        message.revision,
        message.in_force,
        facts,
        stops,
    )
    return NumberedDigest(digest, message.generation, message.sequence)


def decode_stop(stop: peer_pb2.Stop) -> membership.StopKey | None:
    """Return a stop order's key; `None` if its kind or name is invalid."""
    kind = _KIND_BY_NUMBER.get(stop.kind)
    if kind is None or not 0 < len(stop.name) <= MAX_NAME_CHARS:
        return None
    return membership.StopKey(kind, stop.name)


def encode_stop(key: membership.StopKey, basis: int) -> bytes:
    """Return a stop order as an encoded protobuf message."""
    message = peer_pb2.Stop(
        kind=_NUMBER_BY_KIND[key.kind], name=key.name, basis=basis
    )
    return bytes(message.SerializeToString())
