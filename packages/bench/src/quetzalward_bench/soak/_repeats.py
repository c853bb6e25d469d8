"""Requests of the soak that end each target, and come again unchanged."""

import itertools
import random

import attrs

from quetzalward_standins import platform

# Bounds that the platform states: with which number of ends the time begins in
# which nodes must learn of a request, the time, and how many more of its
# repeats may reach targets then.
LEARNED_CRASHES = 3
CONTACT_S = 3.0
MAX_LATER_REQUESTS = 3
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
    crash_times_by_body: dict[bytes, list[float]] = {}
    for crash in targets.crashes:
        body = body_by_attempt.get(crash.attempt_id)
        if body is not None:
            crash_times_by_body.setdefault(body, []).append(crash.at_s)
    errors = []
    for body, times_s in crash_times_by_body.items():
        if len(times_s) < LEARNED_CRASHES:
            continue
        begin_s = max(
            times_s[LEARNED_CRASHES - 1] + CONTACT_S, undisturbed_since_s
        )
        later = [
            execution
            for execution in targets.executions
            if execution.at_s > begin_s
            and body_by_attempt.get(execution.attempt_id) == body
        ]
        if len(later) > MAX_LATER_REQUESTS:
            errors.append(
                f"{body.decode()}: {len(later)} repeats reached targets later "
                f"than {CONTACT_S} s after {LEARNED_CRASHES} targets had "
                f"ended under it; {len(times_s)} ended in all"
            )
    return errors
