"""Ejection of stragglers, with a floor on the targets that stay."""

import statistics
import typing

import attrs

from quetzalward_core import clock

EJECTION_MS = 10_000
MAX_EJECTION_MS = 160_000
# Failures in a row, without a success between, that eject a target.
FAILURE_LIMIT = 3
# Fewer measured targets give no usable median.
MIN_MEASURED = 3
_SMOOTHING = 0.2


@attrs.define
class _Evidence:
    """What is known of one target's speed and failures."""

    token_ms: float | None = None
    failures: int = 0
    repetitions: int = 0
    until_ms: clock.Millis | None = None
    # Kept after an ejection ends to decide whether the next one is a repeat.
    ended_ms: clock.Millis | None = None


class Ejector:
    """Ejects targets of one model whose inter-token latency stands out."""

    def __init__(
        self, ratio: float = 2.0, max_fraction: float = 1 / 3
    ) -> None:
        """Eject above `ratio` times the median, at most `max_fraction`."""
        self._ratio = ratio
        self._max_fraction = max_fraction
        self._evidence: dict[str, _Evidence] = {}

    def configure(self, ratio: float, max_fraction: float) -> None:
        """Apply changed settings to the next decision."""
        self._ratio = ratio
        self._max_fraction = max_fraction

    def observe(self, target_id: str, token_ms: float) -> None:
        """Note a measured or reported inter-token latency."""
        evidence = self._evidence.setdefault(target_id, _Evidence())
        if evidence.token_ms is None:
            evidence.token_ms = token_ms
            return
        evidence.token_ms += _SMOOTHING * (token_ms - evidence.token_ms)

    def succeeded(self, target_id: str) -> None:
        """Note an answer, which ends a row of failures."""
        self._evidence.setdefault(target_id, _Evidence()).failures = 0

    def failed(self, target_id: str) -> None:
        """Note a failed or timed out attempt."""
        self._evidence.setdefault(target_id, _Evidence()).failures += 1

    def retain(self, targets: typing.Collection[str]) -> None:
        """Forget targets that are no longer watched."""
        for target_id in set(self._evidence) - set(targets):
            del self._evidence[target_id]

    def returned_ms(self, target_id: str) -> clock.Millis | None:
        """Return when the target's last ejection ended, if one did."""
        evidence = self._evidence.get(target_id)
        return evidence.ended_ms if evidence else None

    def ejected(
        self, targets: typing.Collection[str], now_ms: clock.Millis
    ) -> frozenset[str]:
        """Return the targets to leave out, after updating the ejections.

        Never more than the fraction of `targets`; the slowest go first.
        """
        self._expire(now_ms)
        limit = int(len(targets) * self._max_fraction + 1e-9)
        current = [name for name in targets if self._is_ejected(name)]
        suspects = self._suspects(targets)
        for target_id in suspects[: max(0, limit - len(current))]:
            self._eject(target_id, now_ms)
            current.append(target_id)
        if len(current) > limit:
            # The set shrank since the ejection; the slowest stay out.
            current.sort(key=self._badness, reverse=True)
        return frozenset(current[:limit])

    def _is_ejected(self, target_id: str) -> bool:
        evidence = self._evidence.get(target_id)
        return evidence is not None and evidence.until_ms is not None

    def _badness(self, target_id: str) -> tuple[int, float, str]:
        """Return a sort key, largest for the worst target."""
        evidence = self._evidence[target_id]
        return (evidence.failures, evidence.token_ms or 0.0, target_id)

    def _suspects(self, targets: typing.Collection[str]) -> list[str]:
        """Return targets that deserve ejection, worst first."""
        known = {
            name: self._evidence[name]
            for name in targets
            if name in self._evidence
        }
        speeds = [e.token_ms for e in known.values() if e.token_ms is not None]
        bound = float("inf")
        if len(speeds) >= MIN_MEASURED:
            bound = self._ratio * statistics.median(speeds)
        found = [
            name
            for name, evidence in known.items()
            if evidence.until_ms is None
            and (
                evidence.failures >= FAILURE_LIMIT
                or (evidence.token_ms or 0.0) > bound
            )
        ]
        return sorted(found, key=self._badness, reverse=True)

    def _eject(self, target_id: str, now_ms: clock.Millis) -> None:
        """Start an ejection, longer if the last one ended recently."""
        evidence = self._evidence[target_id]
        ended_ms = evidence.ended_ms
        if ended_ms is not None and now_ms - ended_ms > MAX_EJECTION_MS:
            evidence.repetitions = 0
        length_ms = EJECTION_MS << min(evidence.repetitions, 4)
        evidence.until_ms = now_ms + min(length_ms, MAX_EJECTION_MS)
        evidence.repetitions += 1

    def _expire(self, now_ms: clock.Millis) -> None:
        """End ejections whose time is over and forget their evidence."""
        for evidence in self._evidence.values():
            if evidence.until_ms is not None and evidence.until_ms <= now_ms:
                evidence.ended_ms = evidence.until_ms
                evidence.until_ms = None
                evidence.token_ms = None
                evidence.failures = 0
