"""Balanced subsets of targets for each node.

Nodes and targets are ordered by hash on two rings. Node `i` of `n` takes
`size` consecutive targets from position `i * t / n` of `t`. The numbers of
nodes per target then differ by at most one, and adding or removing one node or
target shifts each start by at most one position.
"""

import hashlib
import typing

DEFAULT_SUBSET = 24
# Keeps a target in use when one of its nodes fails.
MIN_NODES_PER_TARGET = 3


def subset(
    node: str,
    nodes: typing.Collection[str],
    targets: typing.Collection[str],
    size: int = DEFAULT_SUBSET,
) -> frozenset[str]:
    """Return the targets of one model that `node` sends requests to.

    A `node` that is not in `nodes` yet is treated as if it were.
    """
    node_ring = sorted({*nodes, node}, key=_ring_position)
    target_ring = sorted(targets, key=_ring_position)
    needed = -(-MIN_NODES_PER_TARGET * len(target_ring) // len(node_ring))
    count = min(len(target_ring), max(size, needed))
    if count == len(target_ring):
        return frozenset(target_ring)
    start = node_ring.index(node) * len(target_ring) // len(node_ring)
    return frozenset(
        target_ring[(start + k) % len(target_ring)] for k in range(count)
    )


def local_pool(
    region: str,
    node_regions: typing.Mapping[str, str],
    target_regions: typing.Mapping[str, str],
) -> tuple[frozenset[str], frozenset[str]]:
    """Return the nodes and targets from which to take the subset.

    These are the region's own, or those of all regions if the region has less
    than half of the targets in proportion to its share of the nodes.
    """
    nodes = frozenset(n for n, r in node_regions.items() if r == region)
    targets = frozenset(t for t, r in target_regions.items() if r == region)
    needed = len(nodes) * len(target_regions) / max(1, len(node_regions))
    if 2 * len(targets) < needed or not targets:
        return frozenset(node_regions), frozenset(target_regions)
    return nodes, targets


def _ring_position(name: str) -> bytes:
    """Return a name's position on its ring."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
