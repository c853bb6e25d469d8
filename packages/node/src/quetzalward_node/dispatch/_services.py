"""Admission and replica selection for calls to plain services."""

import random

import attrs

from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import limits
from quetzalward_core import routing
from quetzalward_node.dispatch import _customers
from quetzalward_node import interfaces

# Cost of each call in progress at a replica, comparable to the zone penalty.
_IN_FLIGHT_COST_MS = 5.0
_SAMPLED_REPLICAS = 3
# Time in which the request thread must send the call once it has a grant.
GRANT_LIFETIME_MS = 1_000


@attrs.define
class _ServiceStats:
    """Measurements of one service's replicas."""

    ejector: routing.Ejector = attrs.field(factory=routing.Ejector)
    hedge: limits.HedgePolicy = attrs.field(factory=limits.HedgePolicy)
    in_flight: dict[str, int] = attrs.field(factory=dict)


class ServiceState:
    """Admits the calls to plain services on one node and routes them."""

    def __init__(
        self,
        zone: str,
        customers: _customers.CustomerLimits,
        rng: random.Random,
    ) -> None:
        """Start without grants; `customers` is shared with the drafts."""
        self._zone = zone
        self._customers = customers
        self._rng = rng
        self._stats_by_service: dict[str, _ServiceStats] = {}
        self._calls_by_grant_id: dict[int, tuple[str, str, str]] = {}
        self._next_grant_id = 1

    @property
    def open_grants(self) -> int:
        """Return the number of unreleased grants."""
        return len(self._calls_by_grant_id)

    def choose(
        self,
        call: interfaces.ServiceCall,
        control: interfaces.ControlView,
        now_ms: clock.Millis,
    ) -> interfaces.Grant | errors.QuetzalwardError:
        """Return a grant for a replica, or the error for the caller."""
        service = control.configuration.services.get(call.service)
        if service is None:
            return errors.QuetzalwardError(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f"unknown service {call.service!r}",
            )
        if control.isolated:
            return errors.QuetzalwardError(
                errors.ErrorKind.NODE_ISOLATED,
                "neither the log nor a majority of nodes is reachable",
                limits.jittered_retry_after_ms(0, self._rng),
            )
        candidates = [
            target
            for target in service.targets
            if target.zone not in control.zones_out
            and target.url not in call.excluded
        ]
        if not candidates:
            return errors.QuetzalwardError(
                errors.ErrorKind.NO_TARGET,
                f"no replica of service {call.service!r} is in service",
                limits.jittered_retry_after_ms(0, self._rng),
            )
        admission_id = f"service-call-{self._next_grant_id}"
        # A call with excluded replicas is a retry of an admitted call.
        if not call.excluded:
            limit_error = self._customers.admit(
                call.customer, admission_id, control, now_ms
            )
            if limit_error is not None:
                return limit_error
        penalty_ms = control.configuration.routing.zone_penalty_ms
        target = self._select_replica(
            call.service, candidates, penalty_ms, now_ms
        )
        return self._open_grant(call, target, admission_id, now_ms)

    def _select_replica(
        self,
        name: str,
        candidates: list[config.ServiceTarget],
        penalty_ms: float,
        now_ms: clock.Millis,
    ) -> config.ServiceTarget:
        """Return the cheapest of a random sample of non-ejected replicas."""
        stats = self._stats_by_service.setdefault(name, _ServiceStats())
        urls = [target.url for target in candidates]
        ejected = stats.ejector.ejected(urls, now_ms)
        healthy = [one for one in candidates if one.url not in ejected]
        sampled = self._rng.sample(
            healthy, min(_SAMPLED_REPLICAS, len(healthy))
        )

        def cost_ms(target: config.ServiceTarget) -> float:
            zone_ms = 0.0 if target.zone == self._zone else penalty_ms
            return (
                stats.in_flight.get(target.url, 0) * _IN_FLIGHT_COST_MS
                + zone_ms
            )

        return min(sampled, key=cost_ms)

    def _open_grant(
        self,
        call: interfaces.ServiceCall,
        target: config.ServiceTarget,
        admission_id: str,
        now_ms: clock.Millis,
    ) -> interfaces.Grant:
        grant = interfaces.Grant(
            self._next_grant_id,
            call.request_id,
            target.url,
            target.url,
            target.zone,
            1 + len(call.excluded),
            now_ms + GRANT_LIFETIME_MS,
        )
        self._next_grant_id += 1
        self._calls_by_grant_id[grant.grant_id] = (
            call.service,
            target.url,
            admission_id,
        )
        in_flight = self._stats_by_service[call.service].in_flight
        in_flight[target.url] = in_flight.get(target.url, 0) + 1
        return grant

    def release(
        self, grant: interfaces.Grant, report: interfaces.AttemptReport
    ) -> bool:
        """End a call; false if the grant was already released."""
        opened = self._calls_by_grant_id.pop(grant.grant_id, None)
        if opened is None:
            return False
        name, url, admission_id = opened
        self._customers.finish(admission_id)
        stats = self._stats_by_service[name]
        stats.in_flight[url] -= 1
        if not stats.in_flight[url]:
            del stats.in_flight[url]
        if report.result is interfaces.AttemptResult.OK:
            stats.ejector.succeeded(url)
            if report.first_token_ms is not None:
                stats.hedge.observe(report.first_token_ms)
        elif report.result in (
            interfaces.AttemptResult.FAILED,
            interfaces.AttemptResult.TIMED_OUT,
        ):
            stats.ejector.failed(url)
        return True

    def hedge_after_ms(self, service: str, repeatable: bool) -> float | None:
        """Return the delay before a second attempt, or `None` for never."""
        stats = self._stats_by_service.get(service)
        return stats.hedge.delay_ms(repeatable) if stats else None
