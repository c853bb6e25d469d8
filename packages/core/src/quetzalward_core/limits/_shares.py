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


class DemandHistory:
    """Demands of one customer by node over the last window."""

    def __init__(self, node: str) -> None:
        """Keep the history for the node named `node`."""
        self._node = node
        self._seen: dict[str, collections.deque[tuple[int, Demand]]] = {}

    def note(self, node: str, demand: Demand, now_ms: clock.Millis) -> None:
        """Record what a node, also this one, published."""
        history = self._seen.setdefault(node, collections.deque())
        history.append((now_ms, demand))
        # One entry as old as the window is kept as its first value.
        while len(history) > 1 and history[1][0] <= now_ms - DEMAND_WINDOW_MS:
            history.popleft()

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
        others = [name for name in nodes if name != self._node]
        own = self._claim(now_ms)
        seen = [self._largest(name) for name in others]
        count = len(others) + 1
        rate = divide(
            rate_per_s, own.rate_per_s, sum(d.rate_per_s for d in seen), count
        )
        places = divide(
            max_concurrency,
            own.concurrency,
            sum(d.concurrency for d in seen),
            count,
        )
        free = sum(d.in_use for d in seen) < max_concurrency
        # Without the one, a limit below the number of nodes admits nobody.
        least = 1 if free else 0
        return Share(rate, max(least, math.floor(places + 1e-9)))

    def _claim(self, now_ms: clock.Millis) -> Demand:
        """Return the demand that every other node has heard of by now."""
        history = self._seen.get(self._node)
        if not history or history[0][0] > now_ms - DEMAND_WINDOW_MS:
            return Demand()
        return Demand(
            min(demand.rate_per_s for _, demand in history),
            min(demand.concurrency for _, demand in history),
        )

    def _largest(self, node: str) -> Demand:
        """Return the largest demand that a node may claim now."""
        history = self._seen.get(node)
        if not history:
            return Demand()
        return Demand(
            max(demand.rate_per_s for _, demand in history),
            max(demand.concurrency for _, demand in history),
            history[-1][1].in_use,
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
