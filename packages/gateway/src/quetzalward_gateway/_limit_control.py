"""Shares targets' limits between nodes, and issues permits as the holder."""

import random

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import limits
from quetzalward_gateway import _runtime

# Time for which a changed list is repeated with each of the holder's messages.
REPEAT_MS = 1_000
# Interval of unchanged lists, for nodes that have just started and as a sign
# that there is a coordinator.
KEEPALIVE_MS = 500
# Time for which empty lists are sent after the last limit has ended.
LINGER_MS = 10_000
# A grant is sent twice, this far apart, as the first may be lost.
GRANT_REPEAT_MS = 100
# Statuses in which the use of a permit is reported.
REPORTED_STATUSES = 3
# Allowance for the delivery of a report, beyond the intervals between two.
DELIVERY_MS = 200


def _row(limit: limits.ListedLimit) -> coordination.LimitRow:
    return coordination.LimitRow(*limit.key, *limit.pool, limit.per_s)


def _listed(row: coordination.LimitRow) -> limits.ListedLimit:
    return limits.ListedLimit(
        (row.target_id, row.born_ms), (row.service, row.model), row.per_s
    )


class LimitControl:
    """Reports what this node saw; as the holder, lists limits and permits."""

    def __init__(
        self, runtime: _runtime.Runtime, node: str, rng: random.Random
    ) -> None:
        """Start without a term."""
        self._runtime = runtime
        self._node = node
        self._rng = rng
        self._limits = runtime.state.target_limits
        # As the holder.
        self._table: limits.LimitTable | None = None
        self._issuer = limits.PermitIssuer(rng)
        self._known: list[limits.ListedLimit] = []
        self._changed_ms: clock.Millis | None = None
        self._is_urgent = False
        self._sent_ms: clock.Millis = 0
        # Permits to send to each node, with the times at which they are due.
        self._outbox: dict[str, list[tuple[clock.Millis, limits.Permit]]] = {}

    # As any node.

    def report(
        self, term: int, now_ms: clock.Millis, interval_ms: float
    ) -> coordination.LimitReport | None:
        """Return what the holder needs to know, `None` if that is nothing.

        `interval_ms` is the time until the next report.
        """
        observations = tuple(
            coordination.ObservationRow(
                _row(seen.limit),
                -1 if seen.named_ms is None else now_ms - seen.named_ms,
                tuple(now_ms - sent_ms for sent_ms in seen.unnamed_sent_ms),
            )
            for seen in self._limits.observations(now_ms)
        )
        demand = tuple(
            coordination.DemandRow(*pool, round(need.per_s, 2), need.waiting)
            for pool, need in self._limits.demand(now_ms).items()
        )
        repeat_ms = int(REPORTED_STATUSES * interval_ms)
        used = tuple(self._limits.used(now_ms, repeat_ms))
        if not observations and not demand and not used:
            return None
        return coordination.LimitReport(
            self._node, term, observations, demand, used
        )

    def apply_list(
        self, message: coordination.LimitList, now_ms: clock.Millis
    ) -> None:
        """Apply the holder's list; the caller has checked its term."""
        self._limits.follow_term(message.term)
        self._apply([_listed(row) for row in message.limits], now_ms)

    def apply_grant(
        self, message: coordination.PermitGrant, now_ms: clock.Millis
    ) -> None:
        """Receive permits; the caller has checked the term."""
        self._limits.follow_term(message.term)
        self._limits.add_permits(
            message.term,
            [
                limits.Permit(
                    self._node,
                    row.serial,
                    (row.target_id, row.born_ms),
                    now_ms - row.age_ms,
                    row.count,
                )
                for row in message.permits
            ],
            now_ms,
        )

    def _apply(
        self, listed: list[limits.ListedLimit], now_ms: clock.Millis
    ) -> None:
        for key, per_s in self._limits.apply_list(listed, now_ms):
            self._runtime.log.event(
                "target_limit",
                target=key[0],
                limit_per_s=per_s,
                source="coordinator",
            )

    # As the holder.

    def begin_term(self, term: int, now_ms: clock.Millis) -> None:
        """Start to list limits, with those that this node knows."""
        self._limits.follow_term(term)
        self._table = limits.LimitTable()
        self._issuer = limits.PermitIssuer(self._rng)
        self._outbox.clear()
        self._known = self._limits.all_limits()
        self._table.adopt(self._known, now_ms)
        self._changed_ms = now_ms if self._known else None
        self._is_urgent = False

    def end_term(self) -> None:
        """Stop listing limits."""
        self._table = None

    def record(
        self, report: coordination.LimitReport, now_ms: clock.Millis
    ) -> None:
        """Record a node's report."""
        if self._table is None:
            return
        for row in report.observations:
            age_ms = row.named_age_ms
            seen = limits.Observation(
                _listed(row.limit),
                None if age_ms < 0 else now_ms - age_ms,
                tuple(now_ms - age_ms for age_ms in row.unnamed_ages_ms),
            )
            if self._table.record(report.node, seen) is not None:
                self._is_urgent = True
        self._issuer.record_demand(
            report.node,
            {
                (row.service, row.model): limits.PoolDemand(
                    row.per_s, row.waiting
                )
                for row in report.demand
            },
            now_ms,
        )
        self._issuer.record_used(report.used)

    def run(self, term: int, now_ms: clock.Millis, interval_ms: float) -> None:
        """Update the list and issue permits; call it each tick."""
        if self._table is None:
            return
        own = self.report(term, now_ms, interval_ms)
        if own is not None:
            self.record(own, now_ms)
        if self._changed_ms is None and not self._table.listed():
            return
        directory = self._runtime.state.directory
        born_ms_by_id = {t.id: t.born_ms for t in directory.all()}
        self._table.forget_gone(born_ms_by_id, now_ms)
        self._table.take_ended(now_ms)
        known = self._table.listed()
        if known != self._known:
            self._known = known
            self._changed_ms = now_ms
        if self._changed_ms is None:
            return
        self._apply(known, now_ms)
        self._issuer.set_limits(
            {row.key: (row.pool, row.per_s) for row in known}, now_ms
        )
        report_ms = int(2 * interval_ms) + DELIVERY_MS
        for permit in self._issuer.issue(now_ms, report_ms):
            self._runtime.metrics.count("permits", amount=permit.count)
            if permit.node == self._node:
                self._limits.add_permits(term, [permit], now_ms)
                continue
            queue = self._outbox.setdefault(permit.node, [])
            queue.append((now_ms, permit))
            queue.append((now_ms + GRANT_REPEAT_MS, permit))

    def list_due(
        self, term: int, now_ms: clock.Millis
    ) -> coordination.LimitList | None:
        """Return the list if it is due to be sent."""
        if self._changed_ms is None:
            return None
        age_ms = now_ms - self._changed_ms
        if not self._known and age_ms > LINGER_MS:
            self._changed_ms = None
            return None
        if age_ms > REPEAT_MS and now_ms - self._sent_ms < KEEPALIVE_MS:
            return None
        self._sent_ms = now_ms
        self._is_urgent = False
        return coordination.LimitList(
            self._node, term, tuple(_row(limit) for limit in self._known)
        )

    def grants_due(
        self, term: int, now_ms: clock.Millis
    ) -> dict[str, coordination.PermitGrant]:
        """Return the messages with permits that are due, by node."""
        grants = {}
        for node, queue in list(self._outbox.items()):
            due = sorted(
                {permit for due_ms, permit in queue if due_ms <= now_ms},
                key=lambda permit: permit.serial,
            )
            if not due:
                continue
            rest = [item for item in queue if item[0] > now_ms]
            self._outbox[node] = rest
            if not rest:
                del self._outbox[node]
            grants[node] = coordination.PermitGrant(
                self._node,
                term,
                tuple(
                    coordination.PermitRow(
                        permit.serial,
                        *permit.key,
                        now_ms - permit.issued_ms,
                        permit.count,
                    )
                    for permit in due
                ),
            )
        return grants

    @property
    def is_urgent(self) -> bool:
        """Tell whether there is a new limit that has not been sent yet."""
        return self._is_urgent
