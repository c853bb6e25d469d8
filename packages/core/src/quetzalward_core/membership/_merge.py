"""Commutative, associative and idempotent merges of gossip state."""

import typing

from quetzalward_core.membership import _model

Key = typing.TypeVar("Key")


def newer_fact(one: _model.Fact, other: _model.Fact) -> _model.Fact:
    """Return the newer of two facts about a node.

    Two facts of one version differ only if a node violates the protocol. The
    larger content then wins, on every node alike.
    """
    return max(one, other)


def _merge_max(
    one: typing.Mapping[Key, typing.Any],
    other: typing.Mapping[Key, typing.Any],
) -> dict[Key, typing.Any]:
    """Return the union of two mappings, with the larger value of each key."""
    merged = dict(one)
    for key, value in other.items():
        if key not in merged or merged[key] < value:
            merged[key] = value
    return merged


def merge(one: _model.Knowledge, other: _model.Knowledge) -> _model.Knowledge:
    """Return the combined knowledge of two nodes.

    Both must use the same clock for `last_heard_ms_by_node`;
    `LastHeardTable` converts the ages of a digest.
    """
    return _model.Knowledge(
        _merge_max(one.facts_by_node, other.facts_by_node),
        _merge_max(one.last_heard_ms_by_node, other.last_heard_ms_by_node),
        _merge_max(one.basis_by_stop, other.basis_by_stop),
    )


def retain(
    knowledge: _model.Knowledge,
    members: typing.Mapping[str, _model.Member],
) -> _model.Knowledge:
    """Return the knowledge without nodes that are not in the fold.

    Facts from before a node's current start are dropped too, so that a late
    digest cannot restore them. Facts from a later start stay, because the
    fold may lag behind.
    """
    facts = {
        node: fact
        for node, fact in knowledge.facts_by_node.items()
        if node in members and fact.generation >= members[node].joined
    }
    last_heard = {
        node: heard_ms
        for node, heard_ms in knowledge.last_heard_ms_by_node.items()
        if node in members
    }
    return _model.Knowledge(facts, last_heard, knowledge.basis_by_stop)


def stop_in_force(basis: int, last_start: int, stopped_in_fold: bool) -> bool:
    """Tell whether a zone or target is stopped, by an order or the fold.

    `last_start` is the position of the last change on the log if that was a
    start (`in`, or the end of a drain), otherwise 0. A start at a position
    above the order's basis ends the order.
    """
    return stopped_in_fold or last_start <= basis


def limit_stops(
    basis_by_stop: typing.Mapping[_model.StopKey, int], limit: int
) -> dict[_model.StopKey, int]:
    """Return at most `limit` stop orders.

    Orders for zones come first, then those with the largest bases.
    """
    ranked = sorted(
        basis_by_stop.items(),
        key=lambda row: (
            row[0].kind is not _model.StopKind.ZONE,
            -row[1],
            row[0],
        ),
    )
    return dict(ranked[:limit])
