"""Balanced subsets of targets for each node.

Nodes and targets stand in hash order on two rings; node `i` of `n` takes
`size` targets from place `i * t / n` of `t` on. Any target is then covered by
as many nodes as any other, give or take one, and one change of a node or a
target moves each start by at most one place.
"""

import hashlib
import typing

DEFAULT_SUBSET = 24
# Each target needs several nodes, so that one node's loss leaves it in use.
MIN_NODES_PER_TARGET = 3


def subset(
    node: str,
    nodes: typing.Collection[str],
    targets: typing.Collection[str],
    size: int = DEFAULT_SUBSET,
) -> frozenset[str]:
    """Return the targets of one model that `node` sends work to.

    A node that is not in `nodes` yet gets a subset as if it were.
    """
    ring = sorted({*nodes, node}, key=_place)
    order = sorted(targets, key=_place)
    wanted = -(-MIN_NODES_PER_TARGET * len(order) // len(ring))
    count = min(len(order), max(size, wanted))
    if count == len(order):
        return frozenset(order)
    start = ring.index(node) * len(order) // len(ring)
    return frozenset(order[(start + k) % len(order)] for k in range(count))


def local_pool(
    region: str,
    node_regions: typing.Mapping[str, str],
    target_regions: typing.Mapping[str, str],
) -> tuple[frozenset[str], frozenset[str]]:
    """Return the nodes and targets among which to take the subset.

    These are the region's own, unless the region has less than half of the
    targets that its share of nodes would need.
    """
    nodes = frozenset(n for n, r in node_regions.items() if r == region)
    targets = frozenset(t for t, r in target_regions.items() if r == region)
    needed = len(nodes) * len(target_regions) / max(1, len(node_regions))
    if 2 * len(targets) < needed or not targets:
        return frozenset(node_regions), frozenset(target_regions)
    return nodes, targets


def _place(name: str) -> bytes:
    """Return a name's place on its ring."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
