"""Outlier ejection, with a lower bound on the targets that stay in use."""

import statistics
import typing

import attrs

from quetzalward_core import clock

EJECTION_MS = 10_000
MAX_EJECTION_MS = 160_000
# Consecutive failures that eject a target.
FAILURE_LIMIT = 3
# Targets with measurements below which a median is not meaningful.
MIN_MEASURED = 3
_SMOOTHING = 0.2


@attrs.define
class _TargetStats:
    """Latency and failures of one target, and its ejections."""

    token_ms: float | None = None
    failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_ms: clock.Millis | None = None
    # End of the last ejection; one that follows soon lasts longer.
    ejection_end_ms: clock.Millis | None = None


class Ejector:
    """Ejects outliers in inter-token latency among one model's targets."""

    def __init__(
        self, ratio: float = 2.0, max_fraction: float = 1 / 3
    ) -> None:
        """Eject above `ratio` times the median, up to `max_fraction`."""
        self._ratio = ratio
        self._max_fraction = max_fraction
        self._stats_by_id: dict[str, _TargetStats] = {}

    def configure(self, ratio: float, max_fraction: float) -> None:
        """Change the settings from the next decision on."""
        self._ratio = ratio
        self._max_fraction = max_fraction

    def observe(self, target_id: str, token_ms: float) -> None:
        """Record a measured or reported inter-token latency."""
        stats = self._stats_by_id.setdefault(target_id, _TargetStats())
        if stats.token_ms is None:
            stats.token_ms = token_ms
            return
        stats.token_ms += _SMOOTHING * (token_ms - stats.token_ms)

    def succeeded(self, target_id: str) -> None:
        """Record an answer, which resets the count of consecutive failures."""
        self._stats_by_id.setdefault(target_id, _TargetStats()).failures = 0

    def failed(self, target_id: str) -> None:
        """Record a failed or timed-out attempt."""
        self._stats_by_id.setdefault(target_id, _TargetStats()).failures += 1

    def retain(self, targets: typing.Collection[str]) -> None:
        """Remove targets that are no longer watched."""
        for target_id in set(self._stats_by_id) - set(targets):
            del self._stats_by_id[target_id]

    def last_ejection_end_ms(self, target_id: str) -> clock.Millis | None:
        """Return when the target's last ejection ended, if one did."""
        stats = self._stats_by_id.get(target_id)
        return stats.ejection_end_ms if stats else None

    def ejected(
        self, targets: typing.Collection[str], now_ms: clock.Millis
    ) -> frozenset[str]:
        """Update the ejections and return the ejected targets.

        These are never more than the maximum fraction of `targets`. Targets
        with the most failures, then the slowest, are ejected first.
        """
        self._expire(now_ms)
        limit = int(len(targets) * self._max_fraction + 1e-9)
        current = [name for name in targets if self._is_ejected(name)]
        candidates = self._ejection_candidates(targets)
        for target_id in candidates[: max(0, limit - len(current))]:
            self._eject(target_id, now_ms)
            current.append(target_id)
        if len(current) > limit:
            # `targets` has shrunk since; the worst ones stay ejected.
            current.sort(key=self._severity, reverse=True)
        return frozenset(current[:limit])

    def _is_ejected(self, target_id: str) -> bool:
        stats = self._stats_by_id.get(target_id)
        return stats is not None and stats.ejected_until_ms is not None

    def _severity(self, target_id: str) -> tuple[int, float, str]:
        """Return a sort key, largest for the worst target."""
        stats = self._stats_by_id[target_id]
        return (stats.failures, stats.token_ms or 0.0, target_id)

    def _ejection_candidates(
        self, targets: typing.Collection[str]
    ) -> list[str]:
        """Return the outliers that are not ejected yet, worst first."""
        known = {
            name: self._stats_by_id[name]
            for name in targets
            if name in self._stats_by_id
        }
        speeds = [e.token_ms for e in known.values() if e.token_ms is not None]
        bound = float("inf")
        if len(speeds) >= MIN_MEASURED:
            bound = self._ratio * statistics.median(speeds)
        found = [
            name
            for name, stats in known.items()
            if stats.ejected_until_ms is None
            and (
                stats.failures >= FAILURE_LIMIT
                or (stats.token_ms or 0.0) > bound
            )
        ]
        return sorted(found, key=self._severity, reverse=True)

    def _eject(self, target_id: str, now_ms: clock.Millis) -> None:
        """Start an ejection, longer if the last one ended recently."""
        stats = self._stats_by_id[target_id]
        ejection_end_ms = stats.ejection_end_ms
        if (
            ejection_end_ms is not None
            and now_ms - ejection_end_ms > MAX_EJECTION_MS
        ):
            stats.consecutive_ejections = 0
        length_ms = EJECTION_MS << min(stats.consecutive_ejections, 4)
        stats.ejected_until_ms = now_ms + min(length_ms, MAX_EJECTION_MS)
        stats.consecutive_ejections += 1

    def _expire(self, now_ms: clock.Millis) -> None:
        """End expired ejections and reset their targets' statistics."""
        for stats in self._stats_by_id.values():
            if (
                stats.ejected_until_ms is not None
                and stats.ejected_until_ms <= now_ms
            ):
                stats.ejection_end_ms = stats.ejected_until_ms
                stats.ejected_until_ms = None
                stats.token_ms = None
                stats.failures = 0
