"""Limits experiments: loss of capacity, fairness, shares over nodes."""

import collections
import heapq
import random
import typing

import attrs

from quetzalward_bench import _stats
from quetzalward_core import limits

SERVICE_MS = 4_000
PLACES = 150
LENGTH_MS = 180_000
LOSS_MS = 60_000
DEADLINE_MS = 2_000
MAX_QUEUE_MS = 5_000
# Load before the loss, as a share of capacity.
LOAD = 0.9
LARGE_CUSTOMERS = 2
SMALL_CUSTOMERS = 8
# The large customers send this share of the requests.
LARGE_SHARE = 0.8


@attrs.frozen
class Request:
    """One generated request; `service_ms` is its time at a target."""

    number: int
    arrived_ms: float
    customer: str
    service_ms: float


def make_requests(seed: int) -> list[Request]:
    """Return Poisson arrivals of large and small customers."""
    rng = random.Random(seed)
    rate = LOAD * PLACES / SERVICE_MS
    now_ms = 0.0
    requests: list[Request] = []
    while True:
        now_ms += rng.expovariate(rate)
        if now_ms >= LENGTH_MS:
            return requests
        if rng.random() < LARGE_SHARE:
            customer = f"large{rng.randrange(LARGE_CUSTOMERS)}"
        else:
            customer = f"small{rng.randrange(SMALL_CUSTOMERS)}"
        requests.append(
            Request(
                len(requests),
                now_ms,
                customer,
                rng.uniform(0.5, 1.5) * SERVICE_MS,
            )
        )


class Node:
    """A node whose targets have a number of places."""

    def __init__(self, fair: bool, early: bool, seed: int) -> None:
        """Queue fairly or first in first out; reject early or never."""
        self.fair = fair
        self.early = early
        self.rng = random.Random(seed)
        self.queue: limits.FairQueue[Request] = limits.FairQueue()
        self.fifo: collections.deque[Request] = collections.deque()
        self.drain = limits.DrainRate()
        self.places = PLACES
        self.busy: list[float] = []
        self.waits: list[tuple[Request, float]] = []
        self.rejected: list[Request] = []
        self.late = 0

    def run(self, requests: list[Request]) -> None:
        """Serve all requests; a third of the places go at `LOSS_MS`."""
        for request in requests:
            self._advance(request.arrived_ms)
            if request.arrived_ms >= LOSS_MS:
                self.places = PLACES * 2 // 3
            self._arrive(request)
        self._advance(LENGTH_MS)

    def _advance(self, now_ms: float) -> None:
        """End what is over and start what waits."""
        while self.busy and self.busy[0] <= now_ms:
            ended_ms = heapq.heappop(self.busy)
            self._serve(ended_ms)

    def _arrive(self, request: Request) -> None:
        now_ms = request.arrived_ms
        if len(self.busy) < self.places and not self._waiting():
            self._start(request, now_ms)
            return
        if self.early and self._hopeless(request):
            self.rejected.append(request)
            return
        if self.fair:
            self.queue.push(
                str(request.number), request, request.customer, 0, 1.0, 1.0
            )
        else:
            self.fifo.append(request)

    def _hopeless(self, request: Request) -> bool:
        """Return whether the present rule rejects the request."""
        ahead = 1 + self.queue.position(request.customer, 0, 1.0, 1.0)
        now_ms = int(request.arrived_ms)
        rejection = limits.check_wait(
            self.drain.expected_wait_ms(ahead, now_ms),
            0.0,
            now_ms,
            now_ms + DEADLINE_MS,
            MAX_QUEUE_MS,
            self.rng,
        )
        return rejection is not None

    def _waiting(self) -> int:
        return len(self.queue) + len(self.fifo)

    def _next(self, now_ms: float) -> Request | None:
        """Return the next request; expired ones go if the node expires."""
        while self._waiting():
            request = self.queue.pop() if self.fair else self.fifo.popleft()
            assert request is not None
            if self.early and now_ms > request.arrived_ms + DEADLINE_MS:
                self.late += 1
                continue
            return request
        return None

    def _serve(self, now_ms: float) -> None:
        while len(self.busy) < self.places:
            request = self._next(now_ms)
            if request is None:
                return
            self.drain.record_departure(int(now_ms), bool(self._waiting()))
            self._start(request, now_ms)

    def _start(self, request: Request, now_ms: float) -> None:
        self.waits.append((request, now_ms - request.arrived_ms))
        heapq.heappush(self.busy, now_ms + request.service_ms)


def _figures(node: Node, requests: list[Request]) -> dict[str, float]:
    """Return goodput and fairness after the loss."""
    settled_ms = LOSS_MS + 10_000
    offered = [r for r in requests if r.arrived_ms >= settled_ms]
    served = [
        (r, wait_ms) for r, wait_ms in node.waits if r.arrived_ms >= settled_ms
    ]
    good = [r for r, wait_ms in served if wait_ms <= DEADLINE_MS]
    seconds = (LENGTH_MS - settled_ms) / 1_000
    shares = {}
    for kind in ("large", "small"):
        wanted = sum(1 for r in offered if r.customer.startswith(kind))
        got = sum(1 for r in good if r.customer.startswith(kind))
        shares[kind] = got / wanted
    waits = [wait_ms for _, wait_ms in served]
    return {
        "offered_per_s": round(len(offered) / seconds, 2),
        "goodput_per_s": round(len(good) / seconds, 2),
        "served_late_per_s": round((len(served) - len(good)) / seconds, 2),
        "wait_p95_ms": round(_stats.quantile(waits, 0.95), 1),
        "good_share_large": round(shares["large"], 3),
        "good_share_small": round(shares["small"], 3),
    }


def capacity_loss(seed: int) -> dict[str, typing.Any]:
    """Compare queues while a third of the capacity is gone."""
    requests = make_requests(seed)
    nodes = {
        "present": Node(True, True, seed),
        "fair_without_rejection": Node(True, False, seed),
        "fifo_with_rejection": Node(False, True, seed),
        "fifo_without_rejection": Node(False, False, seed),
    }
    results = {}
    for name, node in nodes.items():
        node.run(requests)
        results[name] = _figures(node, requests)
    return {
        "figures": results,
        "ratio_to_present": _stats.ratios(results, "present"),
    }


@attrs.define
class Gate:
    """One node's limit for one customer."""

    name: str
    history: limits.DemandHistory
    bucket: limits.TokenBucket
    share: float = 0.0
    arrivals: int = 0
    meter: limits.DemandMeter = attrs.field(factory=limits.DemandMeter)


def shares(
    count: int, skew: float, policy: str, seed: int
) -> dict[str, float]:
    """Return what one customer gets of its rate over several nodes.

    The customer wants 1.5 times its limit; `skew` is the share of the first
    node, the rest is even. The skewed node changes after half of the time.
    """
    rng = random.Random(seed)
    limit, wanted, length_s = 100.0, 150.0, 120
    names = [f"n{n}" for n in range(count)]
    gates = [
        Gate(name, limits.DemandHistory(name), limits.TokenBucket(0))
        for name in names
    ]
    admitted: list[int] = []
    for second in range(length_s):
        first = 0 if second < length_s // 2 else 1
        admitted.append(0)
        _gossip(gates, names, limit, policy, second, rng)
        for _ in range(int(wanted)):
            now_ms = second * 1_000 + rng.randrange(1_000)
            index = first if rng.random() < skew else rng.randrange(count)
            gate = gates[index]
            gate.arrivals += 1
            admitted[-1] += gate.bucket.take(gate.share, now_ms) is None
    settled = admitted[20 : length_s // 2] + admitted[length_s // 2 + 20 :]
    return {
        "admitted_share_of_limit": round(_stats.mean(settled) / limit, 3),
        "largest_second": round(max(admitted) / limit, 3),
        "after_shift_share": round(
            _stats.mean(admitted[length_s // 2 : length_s // 2 + 10]) / limit,
            3,
        ),
    }


def _gossip(
    gates: list[Gate],
    names: list[str],
    limit: float,
    policy: str,
    second: int,
    rng: random.Random,
) -> None:
    """Publish and spread demands once per second, with loss."""
    now_ms = second * 1_000
    demands = []
    for gate in gates:
        demands.append(limits.Demand(gate.meter.measure(gate.arrivals)))
        gate.arrivals = 0
        gate.history.record(gate.name, demands[-1], now_ms)
    for gate in gates:
        for name, demand in zip(names, demands):
            if name != gate.name and rng.random() < 0.8:
                gate.history.record(name, demand, now_ms)
        if policy == "present":
            found = gate.history.share(limit, 100, names, now_ms)
            gate.share = found.rate_per_s
        elif policy == "equal_parts":
            gate.share = limit / len(gates)
        else:
            gate.share = limit


def share_table(count: int, skew: float, seed: int) -> dict[str, typing.Any]:
    """Return each policy's figures for one number of nodes."""
    results = {
        policy: shares(count, skew, policy, seed)
        for policy in ("present", "equal_parts", "full_limit_per_node")
    }
    return {
        "figures": results,
        "ratio_to_present": _stats.ratios(results, "present"),
    }


def main(seed: int = 1) -> None:
    """Compare queues, rejection and division of limits."""
    _stats.show(
        {
            "seed": seed,
            "capacity_loss": capacity_loss(seed),
            "shares_7_nodes_even": share_table(7, 0.0, seed),
            "shares_7_nodes_skewed": share_table(7, 0.6, seed),
            "shares_60_nodes_skewed": share_table(60, 0.6, seed),
        }
    )
