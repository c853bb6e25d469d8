"""Early rejection of requests whose deadline cannot be met."""

import random

import attrs

from quetzalward_core import clock
from quetzalward_core import errors

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 30_000
# Before the first measurement, a request is not rejected on a guess.
_SMOOTHING = 0.1
_MAX_INTERVAL_MS = 60_000.0


@attrs.define
class DrainRate:
    """Mean time between departures from a queue that is not empty."""

    interval_ms: float | None = None
    _last_ms: clock.Millis | None = None

    def departed(self, now_ms: clock.Millis, still_waiting: bool) -> None:
        """Note that a request left the queue for a target."""
        if self._last_ms is not None:
            elapsed_ms = float(now_ms - self._last_ms)
            if self.interval_ms is None:
                self.interval_ms = elapsed_ms
            else:
                change_ms = elapsed_ms - self.interval_ms
                self.interval_ms += _SMOOTHING * change_ms
        self._last_ms = now_ms if still_waiting else None

    def wait_ms(self, ahead: int, now_ms: clock.Millis) -> float:
        """Return the expected wait behind `ahead` requests.

        A queue that has not moved for longer than usual counts as slower.
        """
        interval_ms = self.interval_ms or 0.0
        if self._last_ms is not None:
            interval_ms = max(interval_ms, now_ms - self._last_ms)
        return ahead * min(interval_ms, _MAX_INTERVAL_MS)


@attrs.frozen
class Rejection:
    """Why a request is not queued and when to come back."""

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
    """Return a rejection if the request would miss its deadline in the queue.

    `first_token_ms` is the usual time from dispatch to the first token.
    """
    if now_ms + wait_ms + first_token_ms > deadline_ms:
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        excess_ms = now_ms + wait_ms + first_token_ms - deadline_ms
        return Rejection(kind, retry_after(excess_ms, rng))
    if wait_ms > max_queue_ms:
        excess_ms = wait_ms - max_queue_ms
        return Rejection(
            errors.ErrorKind.OVERLOADED, retry_after(excess_ms, rng)
        )
    return None


def retry_after(wait_ms: float, rng: random.Random) -> int:
    """Return a `Retry-After` of `wait_ms` with jitter, within bounds.

    The jitter keeps callers that were refused together apart.
    """
    spread_ms = max(wait_ms, MIN_RETRY_AFTER_MS) * (1 + rng.random() / 2)
    return int(min(spread_ms, MAX_RETRY_AFTER_MS))
