"""Bounds on what all nodes together may send to one target."""

import random

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core import limits
from quetzalward_core import placing
from quetzalward_gateway import _settings

# Placement failed only for want of permits.
LIMITED = placing.Refusal(
    "all targets have reached their limits", placing.MIN_RETRY_AFTER_MS
)


def pool_of(service: fleet.Service, model: str = "") -> limits.PoolKey:
    """Return the pool of the targets that serve a model, or a service.

    Callers choose the model's name; an unknown one has no pool of its own.
    """
    engine = service.engine
    is_known = engine is not None and model in engine.models_by_name
    return (service.name, model if is_known else "")


class TargetAdmission:
    """Decides which targets this node may send one more request.

    Other nodes send to the same targets: cold targets tolerate few requests,
    and a target may name a limit of its own.
    """

    def __init__(
        self,
        settings: _settings.Settings,
        directory: fleet.Directory,
        target_limits: limits.TargetLimits,
    ) -> None:
        """Start without recorded requests."""
        self._bounds = settings.bounds
        self._directory = directory
        self._limits = target_limits
        self._cold_starts = placing.ColdStartBudget(settings.node)
        self._returns_by_pool: dict[limits.PoolKey, limits.ReturnSchedule] = {}

    def tolerates_cold(
        self,
        service: fleet.Service,
        target: fleet.Target,
        nodes: int,
        now_ms: clock.Millis,
    ) -> bool:
        """Tell whether a target that is or turns cold bears a request."""
        if service.cold_max_requests_per_s <= 0:
            return True
        limit = placing.ColdStartLimit(
            service.cold_max_requests_per_s,
            service.cold_max_requests_per_s * self._bounds.cold_ratio
            + self._bounds.cold_slack,
        )
        is_cold = self._directory.cold_left_ms(target.id, now_ms) > 0
        return self._cold_starts.allows(
            target.id, limit.allowed_per_s(is_cold), nodes, now_ms, is_cold
        )

    def is_within_limit(
        self, target: fleet.Target, nodes: int, now_ms: clock.Millis
    ) -> bool:
        """Tell whether this node may use some of a target's limit."""
        return self._limits.allows(target.key, nodes, now_ms)

    def record_request(
        self, target: fleet.Target, now_ms: clock.Millis
    ) -> bool:
        """Count a request that is about to be sent.

        Tells whether it was sent on a permit.
        """
        self._cold_starts.record_request(target.id, now_ms)
        return self._limits.use_permit(target.key, now_ms)

    def refusal(
        self,
        pool: limits.PoolKey,
        nodes: int,
        now_ms: clock.Millis,
        rng: random.Random,
    ) -> placing.Refusal:
        """Return `LIMITED` with the time after which to return.

        The callers that all nodes refuse return at the rate of the limits.
        """
        schedule = self._returns_by_pool.get(pool)
        if schedule is None:
            schedule = self._returns_by_pool[pool] = limits.ReturnSchedule()
        wait_ms = schedule.book(
            self._limits.pool_rate(pool) / max(1, nodes),
            placing.MAX_RETRY_AFTER_MS,
            now_ms,
        )
        return placing.Refusal(
            LIMITED.reason, placing.jittered_retry_after_ms(wait_ms, rng)
        )

    def forget_gone(self, now_ms: clock.Millis) -> None:
        """Drop what is known of targets that no longer exist."""
        born_ms_by_id = {t.id: t.born_ms for t in self._directory.all()}
        self._cold_starts.retain(set(born_ms_by_id))
        self._limits.forget_gone(born_ms_by_id, now_ms)
