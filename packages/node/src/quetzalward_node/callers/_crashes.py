"""Requests under which targets crash, as this node has seen them."""

import threading

from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_core import quarantine


class CrashGuard:
    """Refuses requests that crashed several targets; safe for all threads."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without crashes."""
        self._clock = clock
        self._guard = quarantine.RequestGuard()
        self._lock = threading.Lock()

    def check(self, request: str) -> None:
        """Raise `QuetzalwardError` if a request must not reach a target."""
        with self._lock:
            if self._guard.admits(request, self._clock.now_ms()):
                return
        raise errors.QuetzalwardError(
            errors.ErrorKind.PROMPT_BLOCKED,
            "targets crashed under this request",
        )

    def record_crash(self, request: str) -> None:
        """Record that a target crashed under a request."""
        with self._lock:
            self._guard.record_crash(request, self._clock.now_ms())

    def record_answer(self, request: str) -> None:
        """Record that a target answered a request."""
        with self._lock:
            self._guard.record_answer(request)

    def is_suspect(self, request: str) -> bool:
        """Tell whether no further attempt of a request may follow."""
        with self._lock:
            return self._guard.is_suspect(request)

    def end(self, request: str) -> None:
        """Record that a request has ended."""
        with self._lock:
            self._guard.end_trial(request)
