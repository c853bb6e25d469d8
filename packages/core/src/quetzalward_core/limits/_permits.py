"""Division of targets' limits among nodes, by permits for a few requests.

Whatever a node may send to a limited target, it sends on a permit of the
coordinator. A permit that was issued and neither used nor expired counts as a
request that may still come. With those, a target gets at most `burst` requests
at once, and its limit in the long run, however many nodes there are and
whichever messages are lost.
"""

import collections
import math
import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.limits import _demand_rate
from quetzalward_core.limits import _named_limit

# Time for which a node may use a permit.
PERMIT_MS = 2_000
# Requests that may be permitted and not sent yet, and those of this time.
BASE_BURST = 2.0
BURST_S = 1.0
# A target that names less still gets requests at this rate: only its answers
# show that the limit has ended. The platform's bound leaves room for more.
MIN_PER_S = 0.25
# Nodes that are compared for each permit. A few random ones spread permits
# nearly as well as all do.
SAMPLED_NODES = 8
# A permit is issued without a request that waits for it only to a node that
# will probably use it within this time.
MAX_IDLE_S = 1.0
# A permit is for the requests of this time, so that their number a second does
# not grow with the limits.
BATCH_S = 0.1
# A node that reported nothing for this long gets no permits.
REPORT_MAX_AGE_MS = 2_500
# Expired permits are remembered for this long, in case that a report of their
# use is late.
EXPIRED_MEMORY_MS = 5_000


_NO_DEMAND = _demand_rate.PoolDemand(0.0)


def burst(per_s: float) -> float:
    """Return how many permitted requests may still come at a time."""
    return BASE_BURST + BURST_S * per_s


@attrs.frozen
class Permit:
    """The right of one node to send a target some requests."""

    node: str
    # Counts the permits of a term.
    serial: int
    key: _named_limit.TargetKey
    issued_ms: clock.Millis
    count: int = 1


@attrs.define
class _Issued:
    permit: Permit
    used: int = 0

    def record_used(self, used: int) -> int:
        """Record the use as reported; return how much more that is."""
        known, self.used = self.used, min(self.permit.count, max(0, used))
        self.used = max(known, self.used)
        return self.used - known

    @property
    def unused(self) -> int:
        return self.permit.count - self.used


@attrs.define
class _Bucket:
    pool: _named_limit.PoolKey
    per_s: float
    updated_ms: clock.Millis
    # Requests that may be permitted at once; below 0 after a late report.
    level: float = 0.0
    # Permitted requests that may still come, and the permits that are valid.
    unused: int = 0
    issued_by_serial: dict[int, _Issued] = attrs.field(factory=dict)

    def refill(self, now_ms: clock.Millis) -> None:
        elapsed_ms = max(0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        self.level += self.per_s * elapsed_ms / clock.MILLIS_PER_SECOND
        room = burst(self.per_s) - self.unused
        self.level = min(self.level, max(0.0, room))


@attrs.define
class _NodeDemand:
    by_pool: dict[_named_limit.PoolKey, _demand_rate.PoolDemand]
    received_ms: clock.Millis


class PermitIssuer:
    """Issues permits for all limited targets to the nodes that need them."""

    def __init__(self, rng: random.Random) -> None:
        """Start without targets and nodes."""
        self._rng = rng
        self._bucket_by_key: dict[_named_limit.TargetKey, _Bucket] = {}
        self._demand_by_node: dict[str, _NodeDemand] = {}
        # Permitted requests that may still come, by node and pool.
        self._held: collections.Counter[tuple[str, _named_limit.PoolKey]] = (
            collections.Counter()
        )
        # Targets of the valid permits.
        self._key_by_serial: dict[int, _named_limit.TargetKey] = {}
        self._expired_by_serial: dict[int, _Issued] = {}
        self._last_serial = 0

    def set_limits(
        self,
        limits: typing.Mapping[
            _named_limit.TargetKey, tuple[_named_limit.PoolKey, float]
        ],
        now_ms: clock.Millis,
    ) -> None:
        """Set the limits of all targets; a new one starts without permits."""
        for key, bucket in list(self._bucket_by_key.items()):
            if key not in limits or limits[key][0] != bucket.pool:
                self._remove(key)
        for key, (pool, named_per_s) in limits.items():
            per_s = max(MIN_PER_S, named_per_s)
            found = self._bucket_by_key.get(key)
            if found is None:
                self._bucket_by_key[key] = _Bucket(pool, per_s, now_ms)
            elif found.per_s != per_s:
                found.refill(now_ms)
                found.per_s = per_s

    def _remove(self, key: _named_limit.TargetKey) -> None:
        bucket = self._bucket_by_key.pop(key)
        for serial, issued in bucket.issued_by_serial.items():
            del self._key_by_serial[serial]
            self._held[issued.permit.node, bucket.pool] -= issued.unused

    def record_demand(
        self,
        node: str,
        by_pool: dict[_named_limit.PoolKey, _demand_rate.PoolDemand],
        now_ms: clock.Millis,
    ) -> None:
        """Record what a node needs of each pool."""
        self._demand_by_node[node] = _NodeDemand(by_pool, now_ms)

    def record_used(self, used: typing.Iterable[tuple[int, int]]) -> None:
        """Record how many requests were sent by permit; it may be repeated."""
        for serial, count in used:
            expired = self._expired_by_serial.get(serial)
            if expired is not None:
                bucket = self._bucket_by_key.get(expired.permit.key)
                late = expired.record_used(count)
                if bucket is not None:
                    bucket.level -= late
            key = self._key_by_serial.get(serial)
            if key is not None:
                bucket = self._bucket_by_key[key]
                issued = bucket.issued_by_serial[serial]
                more = issued.record_used(count)
                bucket.unused -= more
                self._held[issued.permit.node, bucket.pool] -= more

    def issue(
        self, now_ms: clock.Millis, report_ms: clock.Millis
    ) -> list[Permit]:
        """Return the permits that are due.

        `report_ms` is the time that a report of a permit's use may take.
        """
        self._expire(now_ms, report_ms)
        nodes = list(self._demand_by_node)
        issued: list[Permit] = []
        if not nodes:
            return issued
        for key, bucket in self._bucket_by_key.items():
            bucket.refill(now_ms)
            while bucket.level >= 1:
                node = self._choose_node(nodes, bucket.pool)
                if node is None:
                    break
                issued.append(self._issue_one(node, key, bucket, now_ms))
        return issued

    def _issue_one(
        self,
        node: str,
        key: _named_limit.TargetKey,
        bucket: _Bucket,
        now_ms: clock.Millis,
    ) -> Permit:
        self._last_serial += 1
        demand = self._demand(node, bucket.pool).per_s
        count = min(
            math.floor(bucket.level),
            max(1, math.floor(bucket.per_s * BATCH_S)),
            max(1, math.floor(demand * MAX_IDLE_S)),
        )
        permit = Permit(node, self._last_serial, key, now_ms, count)
        bucket.level -= count
        bucket.unused += count
        bucket.issued_by_serial[permit.serial] = _Issued(permit)
        self._key_by_serial[permit.serial] = key
        self._held[node, bucket.pool] += count
        return permit

    def _choose_node(
        self, nodes: list[str], pool: _named_limit.PoolKey
    ) -> str | None:
        """Return the node that will probably use its next permit first.

        Returns `None` if that would take longer than `MAX_IDLE_S`.
        """
        waiting = [
            node
            for node in nodes
            if self._demand(node, pool).waiting > self._held[node, pool]
        ]
        if waiting:
            return self._rng.choice(waiting)
        if len(nodes) > SAMPLED_NODES:
            nodes = self._rng.sample(nodes, SAMPLED_NODES)
        node = min(nodes, key=lambda name: self._idle_s(name, pool))
        return node if self._idle_s(node, pool) <= MAX_IDLE_S else None

    def _demand(
        self, node: str, pool: _named_limit.PoolKey
    ) -> _demand_rate.PoolDemand:
        return self._demand_by_node[node].by_pool.get(pool, _NO_DEMAND)

    def _idle_s(self, node: str, pool: _named_limit.PoolKey) -> float:
        """Return the time after which a node would use one more permit."""
        per_s = self._demand(node, pool).per_s
        if per_s <= 0:
            return float("inf")
        return (self._held[node, pool] + self._rng.random()) / per_s

    def _expire(self, now_ms: clock.Millis, report_ms: clock.Millis) -> None:
        """Take back permits that nodes can use no longer, and lost nodes."""
        for bucket in self._bucket_by_key.values():
            for serial, issued in list(bucket.issued_by_serial.items()):
                permit = issued.permit
                if now_ms - permit.issued_ms <= PERMIT_MS + report_ms:
                    # They are in the order of their issue.
                    break
                del bucket.issued_by_serial[serial]
                del self._key_by_serial[serial]
                bucket.level += issued.unused
                bucket.unused -= issued.unused
                self._held[permit.node, bucket.pool] -= issued.unused
                self._expired_by_serial[serial] = issued
        for serial, issued in list(self._expired_by_serial.items()):
            age_ms = now_ms - issued.permit.issued_ms
            if age_ms > PERMIT_MS + report_ms + EXPIRED_MEMORY_MS:
                del self._expired_by_serial[serial]
        for node, demand in list(self._demand_by_node.items()):
            if now_ms - demand.received_ms > REPORT_MAX_AGE_MS:
                del self._demand_by_node[node]
