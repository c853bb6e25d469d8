"""Requests that crashed targets, as a node without peers records them."""

import collections

import attrs

from quetzalward_core import clock

# Crashes in a row after which a request is refused.
MAX_CRASHES = 3
# Time after the last crash until the request is sent once more, as a trial.
TRIAL_PAUSE_MS = 60_000
# Trials in all; after that the request is refused until the node restarts.
MAX_TRIALS = 3
# Limit of the memory; the requests that came least lately are forgotten.
MAX_REQUESTS = 4_096


@attrs.define
class _Row:
    """Crashes under one request since its last answer."""

    crashes: int = 0
    last_ms: clock.Millis = 0
    trials: int = 0
    is_on_trial: bool = False


class RequestGuard:
    """Refuses requests under which target after target crashed."""

    def __init__(self) -> None:
        """Start without crashes."""
        self._row_by_request: collections.OrderedDict[str, _Row] = (
            collections.OrderedDict()
        )

    def admits(self, request: str, now_ms: clock.Millis) -> bool:
        """Tell whether a request may be sent to a target now.

        One that is refused gets a trial after a pause, one at a time.
        """
        row = self._row_by_request.get(request)
        if row is None or row.crashes < MAX_CRASHES:
            return True
        if (
            row.is_on_trial
            or row.trials >= MAX_TRIALS
            or now_ms - row.last_ms < TRIAL_PAUSE_MS
        ):
            return False
        row.trials += 1
        row.is_on_trial = True
        row.last_ms = now_ms
        return True

    def record_crash(self, request: str, now_ms: clock.Millis) -> None:
        """Record that a target crashed under a request."""
        row = self._row_by_request.pop(request, None) or _Row()
        self._row_by_request[request] = row
        while len(self._row_by_request) > MAX_REQUESTS:
            self._row_by_request.popitem(last=False)
        row.crashes += 1
        row.last_ms = now_ms
        row.is_on_trial = False

    def is_suspect(self, request: str) -> bool:
        """Tell whether no further attempt of a request may follow."""
        row = self._row_by_request.get(request)
        return row is not None and row.crashes >= MAX_CRASHES

    def record_answer(self, request: str) -> None:
        """Record that a target answered a request."""
        self._row_by_request.pop(request, None)

    def end_trial(self, request: str) -> None:
        """Record that a request ended with neither a crash nor an answer."""
        row = self._row_by_request.get(request)
        if row is not None:
            row.is_on_trial = False
