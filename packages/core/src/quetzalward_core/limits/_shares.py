"""Division of a customer's limits over nodes by gossiped demand.

A node may use the demand it has published for a whole window, and counts the
largest demand it saw from each other node in that window. As every node hears
each other node once per window, the shares of all nodes sum to at most the
limit; only while the set of nodes changes can they exceed it, by the ratio of
the node counts.
"""

import collections
import math
import typing

import attrs

from quetzalward_core import clock

# A node that hears nobody for this long is isolated and admits nothing.
DEMAND_WINDOW_MS = 5_000


@attrs.frozen
class Demand:
    """What one customer wants of one node."""

    # Requests per second that arrived, admitted or not.
    rate_per_s: float = 0.0
    # Concurrent requests wanted: in progress, queued or refused.
    concurrency: float = 0.0
    in_use: int = 0


@attrs.frozen
class Share:
    """What one node may admit for one customer."""

    rate_per_s: float
    concurrency: int


@attrs.define
class _Seen:
    """Demands of one node in the last window, oldest first."""

    steps: collections.deque[tuple[clock.Millis, Demand]]
    largest: Demand
    in_use: int


class DemandHistory:
    """Demands of one customer by node over the last window."""

    def __init__(self, node: str) -> None:
        """Keep the history for the node named `node`."""
        self._node = node
        self._seen: dict[str, _Seen] = {}

    def note(self, node: str, demand: Demand, now_ms: clock.Millis) -> None:
        """Record what a node, also this one, published."""
        seen = self._seen.get(node)
        if seen is None:
            steps = collections.deque([(now_ms, demand)])
            self._seen[node] = _Seen(steps, demand, demand.in_use)
            return
        seen.in_use = demand.in_use
        steps = seen.steps
        last = steps[-1][1]
        changed = (
            last.rate_per_s != demand.rate_per_s
            or last.concurrency != demand.concurrency
        )
        if changed:
            steps.append((now_ms, demand))
        # One entry as old as the window is kept as its first value.
        while len(steps) > 1 and steps[1][0] <= now_ms - DEMAND_WINDOW_MS:
            steps.popleft()
            changed = True
        if changed:
            seen.largest = Demand(
                max(one.rate_per_s for _, one in steps),
                max(one.concurrency for _, one in steps),
            )

    def share(
        self,
        rate_per_s: float,
        max_concurrency: int,
        nodes: typing.Collection[str],
        now_ms: clock.Millis,
    ) -> Share:
        """Return this node's share of the customer's limits.

        `nodes` are the live nodes of the fold.
        """
        rates = places = 0.0
        in_use = 0
        for name in nodes:
            seen = self._seen.get(name)
            if seen is not None and name != self._node:
                rates += seen.largest.rate_per_s
                places += seen.largest.concurrency
                in_use += seen.in_use
        own = self._claim(now_ms)
        count = len(nodes) + (self._node not in nodes)
        rate = divide(rate_per_s, own.rate_per_s, rates, count)
        share = divide(max_concurrency, own.concurrency, places, count)
        # Without the one, a limit below the number of nodes admits nobody.
        least = 1 if in_use < max_concurrency else 0
        return Share(rate, max(least, math.floor(share + 1e-9)))

    def _claim(self, now_ms: clock.Millis) -> Demand:
        """Return the demand that every other node has heard of by now."""
        seen = self._seen.get(self._node)
        if seen is None or seen.steps[0][0] > now_ms - DEMAND_WINDOW_MS:
            return Demand()
        return Demand(
            min(one.rate_per_s for _, one in seen.steps),
            min(one.concurrency for _, one in seen.steps),
        )


def divide(limit: float, own: float, others: float, count: int) -> float:
    """Return one node's share of a limit.

    Over the limit shares are proportional to demand; under it each node gets
    its demand and an equal part of the rest.
    """
    total = own + others
    if total > limit:
        return limit * own / total
    return own + (limit - total) / count
