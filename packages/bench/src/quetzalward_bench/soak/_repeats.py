"""Requests of the soak that end each target, and come again unchanged."""

import itertools
import random

import attrs

from quetzalward_bench.soak import _crash_bounds
from quetzalward_standins import platform

# Number of ends with which the time begins in which nodes must learn of a
# request.
LEARNED_CRASHES = 3
# Share of requests that are such a repeat while there is one.
_CRASHING_SHARE = 0.05


@attrs.frozen
class CrashingRequest:
    """A kind of request, and the body by which targets know it."""

    kind: str
    body: bytes


class CrashingRequests:
    """Draws the requests that crash targets."""

    def __init__(self, rng: random.Random) -> None:
        """Start without one."""
        self._rng = rng
        self._requests: list[CrashingRequest] = []
        self._numbers = itertools.count(1)

    def add(self, kind: str) -> CrashingRequest:
        """Let callers send a new request again and again."""
        request = CrashingRequest(kind, b"crash%d" % next(self._numbers))
        self._requests.append(request)
        return request

    def remove(self, request: CrashingRequest) -> None:
        """Let callers send a request no more."""
        self._requests.remove(request)

    def draw(self) -> CrashingRequest | None:
        """Return the next request of a caller if it crashes targets."""
        if not self._requests or self._rng.random() >= _CRASHING_SHARE:
            return None
        return self._rng.choice(self._requests)


def check(
    body_by_attempt: dict[str, bytes],
    targets: platform.Targets,
    undisturbed_since_s: float,
) -> list[str]:
    """Return each request that was sent to targets too often after crashes."""
    cause_by_attempt = {
        attempt_id: body.decode()
        for attempt_id, body in body_by_attempt.items()
    }
    return _crash_bounds.check(
        cause_by_attempt, LEARNED_CRASHES, targets, undisturbed_since_s
    )
