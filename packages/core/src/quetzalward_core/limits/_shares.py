"""Division of a customer's limits among nodes by gossiped demand.

For itself a node uses the smallest demand it published in the last window; for
each other node it counts the largest one received in the window. As each node
hears from every other one at least once per window, the shares of all nodes
sum to at most the limit. Only while the set of nodes changes can they exceed
it, by the ratio of the node counts.
"""

import collections
import math
import typing

import attrs

from quetzalward_core import clock

# A node that hears from no other for this long is isolated and admits nothing.
DEMAND_WINDOW_MS = 5_000


@attrs.frozen
class Demand:
    """The demand of one customer on one node."""

    # Requests per second that arrived, admitted or not.
    rate_per_s: float = 0.0
    # Concurrent requests: in progress, queued or rejected.
    concurrency: float = 0.0
    in_use: int = 0


@attrs.frozen
class Share:
    """What one node may admit for one customer."""

    rate_per_s: float
    concurrency: int


@attrs.define
class _NodeDemand:
    """Demand of one node in the last window, oldest first."""

    samples: collections.deque[tuple[clock.Millis, Demand]]
    largest: Demand
    in_use: int


class DemandHistory:
    """Demand of one customer by node over the last window."""

    def __init__(self, node: str) -> None:
        """Start without demand; `node` is the name of this node."""
        self._node = node
        self._demand_by_node: dict[str, _NodeDemand] = {}

    def record(self, node: str, demand: Demand, now_ms: clock.Millis) -> None:
        """Record the demand that a node, including this one, published."""
        known = self._demand_by_node.get(node)
        if known is None:
            samples = collections.deque([(now_ms, demand)])
            self._demand_by_node[node] = _NodeDemand(
                samples, demand, demand.in_use
            )
            return
        known.in_use = demand.in_use
        samples = known.samples
        last = samples[-1][1]
        changed = (
            last.rate_per_s != demand.rate_per_s
            or last.concurrency != demand.concurrency
        )
        if changed:
            samples.append((now_ms, demand))
        # The newest entry that is older than the window is kept, as its value
        # still holds at the start of the window.
        while len(samples) > 1 and samples[1][0] <= now_ms - DEMAND_WINDOW_MS:
            samples.popleft()
            changed = True
        if changed:
            known.largest = Demand(
                max(one.rate_per_s for _, one in samples),
                max(one.concurrency for _, one in samples),
            )

    def share(
        self,
        rate_per_s: float,
        max_concurrency: int,
        nodes: typing.Collection[str],
        now_ms: clock.Millis,
    ) -> Share:
        """Return this node's share of the customer's limits.

        `nodes` are the names of the live nodes.
        """
        rate_sum = concurrency_sum = 0.0
        in_use = 0
        for name in nodes:
            known = self._demand_by_node.get(name)
            if known is not None and name != self._node:
                rate_sum += known.largest.rate_per_s
                concurrency_sum += known.largest.concurrency
                in_use += known.in_use
        own = self._usable_demand(now_ms)
        count = len(nodes) + (self._node not in nodes)
        rate = node_share(rate_per_s, own.rate_per_s, rate_sum, count)
        share = node_share(
            max_concurrency, own.concurrency, concurrency_sum, count
        )
        # Without this minimum of one, a limit below the number of nodes would
        # admit no request at all.
        min_concurrency = 1 if in_use < max_concurrency else 0
        return Share(rate, max(min_concurrency, math.floor(share + 1e-9)))

    def _usable_demand(self, now_ms: clock.Millis) -> Demand:
        """Return this node's demand that every other node has received."""
        known = self._demand_by_node.get(self._node)
        if known is None or known.samples[0][0] > now_ms - DEMAND_WINDOW_MS:
            return Demand()
        return Demand(
            min(one.rate_per_s for _, one in known.samples),
            min(one.concurrency for _, one in known.samples),
        )


def node_share(limit: float, own: float, others: float, count: int) -> float:
    """Return one node's share of a limit.

    `own` and `others` are the demand of this node and of the other nodes,
    `count` the number of nodes. If the total demand is over the limit, shares
    are proportional to demand; otherwise each node gets its demand and an
    equal part of the rest.
    """
    total = own + others
    if total > limit:
        return limit * own / total
    return own + (limit - total) / count
