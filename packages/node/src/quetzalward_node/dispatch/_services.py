"""Choice of a replica of a plain service."""

import random

import attrs

from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import limits
from quetzalward_core import routing
from quetzalward_node.dispatch import _customers
from quetzalward_node import interfaces

# Delay that one call in progress adds for the next, against the zone penalty.
_CALL_MS = 5.0
_CHOICES = 3
# Time a request thread has to send a call after its grant.
GRANT_LIFETIME_MS = 1_000


@attrs.define
class _Service:
    """Measurements of one service's replicas."""

    ejector: routing.Ejector = attrs.field(factory=routing.Ejector)
    hedge: limits.HedgePolicy = attrs.field(factory=limits.HedgePolicy)
    in_flight: dict[str, int] = attrs.field(factory=dict)


class ServiceState:
    """Decides on every call to a plain service of one node."""

    def __init__(
        self,
        zone: str,
        customers: _customers.CustomerLimits,
        rng: random.Random,
    ) -> None:
        """Share the customers' limits with the drafts."""
        self._zone = zone
        self._customers = customers
        self._rng = rng
        self._services: dict[str, _Service] = {}
        self._open: dict[int, tuple[str, str, str]] = {}
        self._next_grant = 1

    @property
    def open_grants(self) -> int:
        """Return the number of grants that were not released."""
        return len(self._open)

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
                f"no service {call.service!r}",
            )
        if control.isolated:
            return errors.QuetzalwardError(
                errors.ErrorKind.NODE_ISOLATED,
                "neither the log nor a majority of nodes is reachable",
                limits.jittered_retry_after_ms(0, self._rng),
            )
        usable = [
            target
            for target in service.targets
            if target.zone not in control.zones_out
            and target.url not in call.excluded
        ]
        if not usable:
            return errors.QuetzalwardError(
                errors.ErrorKind.NO_TARGET,
                f"no replica of service {call.service!r} is in service",
                limits.jittered_retry_after_ms(0, self._rng),
            )
        place = f"service-call-{self._next_grant}"
        # A call with excluded replicas is a retry that was counted before.
        if not call.excluded:
            over = self._customers.admit(call.customer, place, control, now_ms)
            if over is not None:
                return over
        penalty_ms = control.configuration.routing.zone_penalty_ms
        target = self._pick(call.service, usable, penalty_ms, now_ms)
        return self._open_grant(call, target, place, now_ms)

    def _pick(
        self,
        name: str,
        usable: list[config.ServiceTarget],
        penalty_ms: float,
        now_ms: clock.Millis,
    ) -> config.ServiceTarget:
        """Return the cheapest of a few random replicas not ejected."""
        known = self._services.setdefault(name, _Service())
        urls = [target.url for target in usable]
        ejected = known.ejector.ejected(urls, now_ms)
        healthy = [one for one in usable if one.url not in ejected]
        drawn = self._rng.sample(healthy, min(_CHOICES, len(healthy)))

        def cost_ms(target: config.ServiceTarget) -> float:
            zone_ms = 0.0 if target.zone == self._zone else penalty_ms
            return known.in_flight.get(target.url, 0) * _CALL_MS + zone_ms

        return min(drawn, key=cost_ms)

    def _open_grant(
        self,
        call: interfaces.ServiceCall,
        target: config.ServiceTarget,
        place: str,
        now_ms: clock.Millis,
    ) -> interfaces.Grant:
        grant = interfaces.Grant(
            self._next_grant,
            call.request_id,
            target.url,
            target.url,
            target.zone,
            1 + len(call.excluded),
            now_ms + GRANT_LIFETIME_MS,
        )
        self._next_grant += 1
        self._open[grant.grant_id] = (call.service, target.url, place)
        in_flight = self._services[call.service].in_flight
        in_flight[target.url] = in_flight.get(target.url, 0) + 1
        return grant

    def release(
        self, grant: interfaces.Grant, report: interfaces.AttemptReport
    ) -> bool:
        """End a call; false if the grant was released before."""
        opened = self._open.pop(grant.grant_id, None)
        if opened is None:
            return False
        name, url, place = opened
        self._customers.finish(place)
        known = self._services[name]
        known.in_flight[url] -= 1
        if not known.in_flight[url]:
            del known.in_flight[url]
        if report.result is interfaces.AttemptResult.OK:
            known.ejector.succeeded(url)
            if report.first_token_ms is not None:
                known.hedge.observe(report.first_token_ms)
        elif report.result in (
            interfaces.AttemptResult.FAILED,
            interfaces.AttemptResult.TIMED_OUT,
        ):
            known.ejector.failed(url)
        return True

    def hedge_after_ms(self, service: str, repeatable: bool) -> float | None:
        """Return when a second attempt is due, or `None` for never."""
        known = self._services.get(service)
        return known.hedge.delay_ms(repeatable) if known else None
