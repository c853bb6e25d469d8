"""Limits of targets as one node knows them, and its permits.

The coordinator collects what answers say, lists the limits to all nodes and
issues permits. Without a coordinator each node draws permits for itself, at
random times and so rarely that all nodes together stay below the limit.
"""

import collections
import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.limits import _absence
from quetzalward_core.limits import _demand_rate
from quetzalward_core.limits import _named_limit
from quetzalward_core.limits import _permits

# Time without a list of the coordinator after which a node draws permits.
COORDINATOR_SILENCE_MS = 1_500
# Share of a limit that all nodes together draw permits for.
DRAWN_SHARE = 0.5
DRAWN_PERMIT_MS = 1_000
# Limits above it count as this one while permits are drawn.
MAX_DRAWN_PER_S = 1_000.0
# Time for which a node reports an answer to the coordinator, and in which its
# own answers count for more than an older list.
REPORT_MS = 1_000
# Time after which a limit that the coordinator does not list is given up.
UNLISTED_MS = 2_000
# Time for which answers without a limit are reported.
UNNAMED_MAX_AGE_MS = 10_000
# Longest wait of a request for a permit: a report, the answer to it, and both
# once more. After one that waited in vain, others are refused at once.
MAX_WAIT_MS = 300
IN_VAIN_MS = 500


@attrs.frozen
class ListedLimit:
    """A target's limit as the coordinator lists it."""

    key: _named_limit.TargetKey
    pool: _named_limit.PoolKey
    per_s: float


@attrs.frozen
class Observation:
    """What a node's answers said of a target, by the node's clock."""

    limit: ListedLimit
    # When the last answer with the limit was received, `None` if none was.
    named_ms: clock.Millis | None
    # When the requests were sent whose answers named none since.
    unnamed_sent_ms: tuple[clock.Millis, ...]


@attrs.define
class _HeldPermit:
    expires_ms: clock.Millis
    # `None` if the node drew the permit itself.
    serial: int | None
    left: int = 1
    used: int = 0


@attrs.define
class _TargetLimit:
    pool: _named_limit.PoolKey
    per_s: float
    is_listed: bool = False
    own_named_ms: clock.Millis | None = None
    unnamed_sent_ms: collections.deque[clock.Millis] = attrs.field(
        factory=lambda: collections.deque(maxlen=_named_limit.ENDING_ANSWERS)
    )
    permits: list[_HeldPermit] = attrs.field(factory=list)
    next_draw_ms: float | None = None

    def set_rate(self, per_s: float) -> None:
        """Change the limit; permits for a higher one are void."""
        if per_s < self.per_s:
            self.permits.clear()
        self.per_s = per_s


class TargetLimits:
    """Limits of targets, and what this node may send to them."""

    def __init__(self, rng: random.Random) -> None:
        """Start without limits; `rng` decides when permits are drawn."""
        self._rng = rng
        self._limit_by_key: dict[_named_limit.TargetKey, _TargetLimit] = {}
        self._demand_by_pool: dict[
            _named_limit.PoolKey, _demand_rate.DemandRate
        ] = {}
        self._waiting_by_pool: collections.Counter[_named_limit.PoolKey] = (
            collections.Counter()
        )
        # When a request last waited for a permit in vain.
        self._in_vain_ms_by_pool: dict[_named_limit.PoolKey, clock.Millis] = {}
        self._absences = _absence.AbsenceTracker()
        self._term = -1
        self._listed_ms: clock.Millis | None = None
        # Expiry of the permits that were received, by serial.
        self._received: dict[int, clock.Millis] = {}
        # How many requests were sent by permit, and when the last one.
        self._use_by_serial: dict[int, tuple[int, clock.Millis]] = {}

    # Requests.

    def per_s(self, key: _named_limit.TargetKey) -> float | None:
        """Return a target's limit, `None` if it has none."""
        limit = self._limit_by_key.get(key)
        return None if limit is None else limit.per_s

    def record_demand(
        self, pool: _named_limit.PoolKey, now_ms: clock.Millis
    ) -> None:
        """Count a request of a caller."""
        rate = self._demand_by_pool.get(pool)
        if rate is None:
            rate = self._demand_by_pool[pool] = _demand_rate.DemandRate()
        rate.record(now_ms)

    def may_wait(
        self, pool: _named_limit.PoolKey, now_ms: clock.Millis
    ) -> bool:
        """Tell whether a request may wait for a permit.

        It may not if another one has just waited in vain.
        """
        refused_ms = self._in_vain_ms_by_pool.get(pool)
        return refused_ms is None or now_ms - refused_ms >= IN_VAIN_MS

    def begin_wait(self, pool: _named_limit.PoolKey) -> None:
        """Count a request that waits for a permit."""
        self._waiting_by_pool[pool] += 1

    def end_wait(
        self,
        pool: _named_limit.PoolKey,
        is_placed: bool,
        now_ms: clock.Millis,
    ) -> None:
        """Count a request no more, and record whether it was placed."""
        self._waiting_by_pool[pool] -= 1
        if is_placed:
            self._in_vain_ms_by_pool.pop(pool, None)
        else:
            self._in_vain_ms_by_pool[pool] = now_ms

    def allows(
        self, key: _named_limit.TargetKey, nodes: int, now_ms: clock.Millis
    ) -> bool:
        """Tell whether this node may send a target one more request."""
        limit = self._limit_by_key.get(key)
        if limit is None:
            return True
        self._draw(limit, nodes, now_ms)
        limit.permits = [p for p in limit.permits if p.expires_ms > now_ms]
        return bool(limit.permits)

    def use_permit(
        self, key: _named_limit.TargetKey, now_ms: clock.Millis
    ) -> bool:
        """Use a permit as a request is sent; tell whether one was needed.

        That is the one that expires first.
        """
        limit = self._limit_by_key.get(key)
        if limit is None or not limit.permits:
            return False
        permit = min(limit.permits, key=lambda p: p.expires_ms)
        permit.left -= 1
        permit.used += 1
        if not permit.left:
            limit.permits.remove(permit)
        if permit.serial is not None:
            self._use_by_serial[permit.serial] = (permit.used, now_ms)
        return True

    def _draw(
        self, limit: _TargetLimit, nodes: int, now_ms: clock.Millis
    ) -> None:
        """Draw the permits that are due while there is no coordinator."""
        if not self._is_coordinator_silent(now_ms):
            limit.next_draw_ms = None
            return
        per_s = min(MAX_DRAWN_PER_S, max(_permits.MIN_PER_S, limit.per_s))
        per_ms = DRAWN_SHARE * per_s / max(1, nodes) / clock.MILLIS_PER_SECOND
        if limit.next_draw_ms is None:
            limit.next_draw_ms = now_ms + self._rng.expovariate(per_ms)
        # Draws before that have expired.
        since_ms = now_ms - DRAWN_PERMIT_MS
        if limit.next_draw_ms < since_ms:
            limit.next_draw_ms = since_ms + self._rng.expovariate(per_ms)
        while limit.next_draw_ms <= now_ms:
            expires_ms = int(limit.next_draw_ms) + DRAWN_PERMIT_MS
            limit.permits.append(_HeldPermit(expires_ms, None))
            limit.next_draw_ms += self._rng.expovariate(per_ms)

    def _is_coordinator_silent(self, now_ms: clock.Millis) -> bool:
        return (
            self._listed_ms is None
            or now_ms - self._listed_ms > COORDINATOR_SILENCE_MS
        )

    # Answers.

    def observe(
        self,
        key: _named_limit.TargetKey,
        pool: _named_limit.PoolKey,
        notice: _named_limit.LimitNotice,
        sent_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> bool:
        """Record what an answer says; tell whether the limit changed.

        `sent_ms` is when its request was sent.
        """
        limit = self._limit_by_key.get(key)
        if notice.per_s is None:
            if limit is not None:
                self._observe_unnamed(key, limit, sent_ms, now_ms)
            return key not in self._limit_by_key and limit is not None
        if limit is None:
            limit = _TargetLimit(pool, notice.per_s)
            self._limit_by_key[key] = limit
            is_change = True
        else:
            is_change = limit.per_s != notice.per_s
            limit.set_rate(notice.per_s)
        limit.pool = pool
        limit.own_named_ms = now_ms
        limit.unnamed_sent_ms.clear()
        return is_change

    def _observe_unnamed(
        self,
        key: _named_limit.TargetKey,
        limit: _TargetLimit,
        sent_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> None:
        named_ms = limit.own_named_ms
        if named_ms is not None and sent_ms <= named_ms:
            return
        limit.unnamed_sent_ms.append(sent_ms)
        is_ended = len(limit.unnamed_sent_ms) >= _named_limit.ENDING_ANSWERS
        if is_ended and self._is_coordinator_silent(now_ms):
            del self._limit_by_key[key]

    # Exchange with the coordinator.

    def follow_term(self, term: int) -> None:
        """Forget serials of permits if another coordinator issues them."""
        if term != self._term:
            self._term = term
            self._received.clear()
            self._use_by_serial.clear()

    def apply_list(
        self, listed: typing.Iterable[ListedLimit], now_ms: clock.Millis
    ) -> list[tuple[_named_limit.TargetKey, float | None]]:
        """Apply the coordinator's list; return the limits that changed."""
        self._listed_ms = now_ms
        changes: list[tuple[_named_limit.TargetKey, float | None]] = []
        listed_keys = set()
        for row in listed:
            listed_keys.add(row.key)
            limit = self._limit_by_key.get(row.key)
            if limit is None:
                limit = _TargetLimit(row.pool, row.per_s)
                self._limit_by_key[row.key] = limit
                changes.append((row.key, row.per_s))
            elif limit.per_s != row.per_s and not self._is_recent(
                limit, REPORT_MS, now_ms
            ):
                limit.set_rate(row.per_s)
                changes.append((row.key, row.per_s))
            limit.is_listed = True
        for key, limit in list(self._limit_by_key.items()):
            if key in listed_keys:
                continue
            limit.is_listed = False
            if not self._is_recent(limit, UNLISTED_MS, now_ms):
                del self._limit_by_key[key]
                changes.append((key, None))
        return changes

    @staticmethod
    def _is_recent(
        limit: _TargetLimit, age_ms: clock.Millis, now_ms: clock.Millis
    ) -> bool:
        named_ms = limit.own_named_ms
        return named_ms is not None and now_ms - named_ms <= age_ms

    def add_permits(
        self,
        term: int,
        permits: typing.Iterable[_permits.Permit],
        now_ms: clock.Millis,
    ) -> None:
        """Receive permits; those received before are ignored.

        `issued_ms` of the permits is on this node's clock.
        """
        if term != self._term:
            return
        for serial, expires_ms in list(self._received.items()):
            if expires_ms <= now_ms:
                del self._received[serial]
        for permit in permits:
            expires_ms = permit.issued_ms + _permits.PERMIT_MS
            limit = self._limit_by_key.get(permit.key)
            if (
                limit is None
                or permit.serial in self._received
                or expires_ms <= now_ms
            ):
                continue
            self._received[permit.serial] = expires_ms
            limit.permits.append(
                _HeldPermit(expires_ms, permit.serial, permit.count)
            )

    def observations(self, now_ms: clock.Millis) -> list[Observation]:
        """Return what answers said that the coordinator may not know."""
        found = []
        for key, limit in self._limit_by_key.items():
            unnamed_ms = tuple(
                sent_ms
                for sent_ms in limit.unnamed_sent_ms
                if now_ms - sent_ms <= UNNAMED_MAX_AGE_MS
            )
            is_news = not limit.is_listed and limit.own_named_ms is not None
            if (
                is_news
                or unnamed_ms
                or self._is_recent(limit, REPORT_MS, now_ms)
            ):
                listed = ListedLimit(key, limit.pool, limit.per_s)
                found.append(
                    Observation(listed, limit.own_named_ms, unnamed_ms)
                )
        return found

    def demand(
        self, now_ms: clock.Millis
    ) -> dict[_named_limit.PoolKey, _demand_rate.PoolDemand]:
        """Return what this node needs of the pools with limited targets."""
        pools = {limit.pool for limit in self._limit_by_key.values()}
        return {
            pool: _demand_rate.PoolDemand(
                self._demand_by_pool[pool].per_s(now_ms),
                self._waiting_by_pool[pool],
            )
            for pool in pools
            if pool in self._demand_by_pool
        }

    def used(
        self, now_ms: clock.Millis, repeat_ms: clock.Millis
    ) -> list[tuple[int, int]]:
        """Return how many requests were sent by permit.

        Only permits that were used within `repeat_ms` are listed.
        """
        for serial, (_, used_ms) in list(self._use_by_serial.items()):
            if used_ms < now_ms - repeat_ms:
                del self._use_by_serial[serial]
        return [(n, count) for n, (count, _) in self._use_by_serial.items()]

    def all_limits(self) -> list[ListedLimit]:
        """Return all limits."""
        return [
            ListedLimit(key, limit.pool, limit.per_s)
            for key, limit in self._limit_by_key.items()
        ]

    def pool_rate(self, pool: _named_limit.PoolKey) -> float:
        """Return the sum of the limits of a pool's targets."""
        return sum(
            limit.per_s
            for limit in self._limit_by_key.values()
            if limit.pool == pool
        )

    def forget_gone(
        self,
        born_ms_by_id: typing.Mapping[str, int],
        now_ms: clock.Millis,
    ) -> None:
        """Forget targets that are gone or have restarted."""
        keys = self._limit_by_key
        for key in self._absences.gone(keys, born_ms_by_id, now_ms):
            del self._limit_by_key[key]
