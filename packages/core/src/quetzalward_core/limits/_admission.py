"""Early rejection of requests whose deadline cannot be met."""

import random

import attrs

from quetzalward_core import clock
from quetzalward_core import errors

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 30_000
_SMOOTHING_FACTOR = 0.1
_MAX_INTERVAL_MS = 60_000.0


@attrs.define
class DrainRate:
    """Estimates the time between departures from a non-empty queue."""

    # `None` before the first measurement; the expected wait is 0 until then,
    # as a request is not rejected without a measurement.
    mean_interval_ms: float | None = None
    _last_departure_ms: clock.Millis | None = None

    def record_departure(
        self, now_ms: clock.Millis, still_waiting: bool
    ) -> None:
        """Record that a request left the queue for a target."""
        if self._last_departure_ms is not None:
            elapsed_ms = float(now_ms - self._last_departure_ms)
            if self.mean_interval_ms is None:
                self.mean_interval_ms = elapsed_ms
            else:
                change_ms = elapsed_ms - self.mean_interval_ms
                self.mean_interval_ms += _SMOOTHING_FACTOR * change_ms
        self._last_departure_ms = now_ms if still_waiting else None

    def expected_wait_ms(self, ahead: int, now_ms: clock.Millis) -> float:
        """Return the expected wait behind `ahead` requests, in milliseconds.

        A time since the last departure above the mean replaces the mean, so
        that a stalled queue counts as slow.
        """
        interval_ms = self.mean_interval_ms or 0.0
        if self._last_departure_ms is not None:
            interval_ms = max(interval_ms, now_ms - self._last_departure_ms)
        return ahead * min(interval_ms, _MAX_INTERVAL_MS)


@attrs.frozen
class Rejection:
    """Why a request is not queued and when to retry."""

    kind: errors.ErrorKind
    retry_after_ms: int


def check_wait(
    wait_ms: float,
    first_token_ms: float,
    now_ms: clock.Millis,
    deadline_ms: clock.Millis,
    max_queue_ms: int,
    rng: random.Random,
) -> Rejection | None:
    """Return a rejection if the wait in the queue would be too long.

    It is too long if the request would miss its deadline or wait for more
    than `max_queue_ms`. `first_token_ms` is the usual time from dispatch to
    the first token.
    """
    if now_ms + wait_ms + first_token_ms > deadline_ms:
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        excess_ms = now_ms + wait_ms + first_token_ms - deadline_ms
        return Rejection(kind, jittered_retry_after_ms(excess_ms, rng))
    if wait_ms > max_queue_ms:
        excess_ms = wait_ms - max_queue_ms
        return Rejection(
            errors.ErrorKind.OVERLOADED,
            jittered_retry_after_ms(excess_ms, rng),
        )
    return None


def jittered_retry_after_ms(wait_ms: float, rng: random.Random) -> int:
    """Return `wait_ms` plus up to 50 % jitter, within bounds.

    The jitter spreads the retries of callers that were rejected together.
    """
    jittered_ms = max(wait_ms, MIN_RETRY_AFTER_MS) * (1 + rng.random() / 2)
    return int(min(jittered_ms, MAX_RETRY_AFTER_MS))
