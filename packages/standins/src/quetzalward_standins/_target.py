"""One stand-in engine: a target with a continuous-batching scheduler."""

import collections
import itertools
import queue
import threading
import time

import attrs

from quetzalward_core import clock
from quetzalward_standins import _cache
from quetzalward_standins import _http

# Marks in a sequence's queue besides token indices.
END = -1
FAILED = -2
# A scheduler that falls further behind than this gives up the lost time.
MAX_BEHIND_S = 0.25


@attrs.frozen
class EngineSettings:
    """Speed and limits of the engines."""

    # Interval between tokens: token_ms + running * token_ms_per_running.
    token_ms: float = 20.0
    token_ms_per_running: float = 0.5
    # Prefill of one block of the prompt that the cache does not hold.
    prefill_block_ms: float = 15.0
    max_running: int = 32
    max_waiting: int = 256
    # Requests at once that a cold target survives.
    bearable: int = 2
    # A cold target turns warm after this time or this many whole requests.
    warm_after_ms: int = 5000
    warm_after_requests: int = 4
    # A cold target is slower by this factor.
    cold_factor: float = 2.0
    cached_prefixes: int = 1024
    cache_event_lag_ms: int = 500
    cache_event_gap: float = 0.05
    report_every_ms: int = 200
    report_lag_ms: int = 300
    hosts_lag_ms: int = 500
    honours_fencing: bool = False
    seed: int = 1


class RefusedError(Exception):
    """The engine refuses a request before it runs any of it."""

    def __init__(self, status: int, error: str) -> None:
        """Give the HTTP status and the name of the error."""
        super().__init__(error)
        self.status = status
        self.error = error


class Sequence:
    """One request inside the engine."""

    def __init__(
        self,
        request_id: str,
        prefixes: list[str],
        start: int,
        stop: int,
        priority: int = 0,
    ) -> None:
        """Describe the tokens from `start` up to but without `stop`.

        Larger priorities leave the waiting queue first.
        """
        self.request_id = request_id
        self.prefixes = prefixes
        self.index = start
        self.stop = stop
        self.priority = priority
        self.arrival = 0
        self.ready_ms = 0.0
        # Token indices, then `END` or `FAILED`.
        self.events: queue.SimpleQueue[int] = queue.SimpleQueue()


class Target:
    """A group's engine: state, batch and prefix cache."""

    def __init__(
        self,
        target_id: str,
        epoch: int,
        settings: EngineSettings,
        source: clock.Clock,
    ) -> None:
        """Start empty, and start the scheduler's thread."""
        self.id = target_id
        self.epoch = epoch
        self.state = "empty"
        self.models: list[str] = []
        self.slow_factor = 1.0
        self.counts: collections.Counter[str] = collections.Counter()
        self.last_request_ms: clock.Millis | None = None
        self._settings = settings
        self._clock = source
        self._changed = threading.Condition()
        self._running: list[Sequence] = []
        self._waiting: list[Sequence] = []
        self._arrivals = itertools.count()
        self._cold_since_ms = 0
        self._cold_requests = 0
        self._broken = False
        self._frozen = False
        self._closed = False
        self._cache = _cache.PrefixCache(
            settings.cached_prefixes,
            settings.cache_event_lag_ms,
            settings.cache_event_gap,
            settings.seed,
        )
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def submit(self, sequence: Sequence) -> None:
        """Accept a request, or raise `RefusedError`.

        A cold target that gets more than it can bear fails them all.
        """
        with self._changed:
            self._update_warmth()
            self._check_serving()
            self.last_request_ms = self._clock.now_ms()
            self.counts["requests"] += 1
            sequence.arrival = next(self._arrivals)
            self._waiting.append(sequence)
            self._waiting.sort(key=lambda s: (-s.priority, s.arrival))
            load = len(self._running) + len(self._waiting)
            if self.state == "cold":
                self.counts["cold_requests"] += 1
                if load > self._settings.bearable:
                    self.counts["falls"] += 1
                    self._fail_sequences()
                    self._become_cold()
            self._changed.notify_all()

    def _check_serving(self) -> None:
        if self._closed or self._broken:
            self.counts["refused_incomplete"] += 1
            raise RefusedError(503, "incomplete")
        if self.state not in ("cold", "warm"):
            raise RefusedError(503, self.state)
        if len(self._waiting) >= self._settings.max_waiting:
            raise RefusedError(429, "queue_full")

    def cancel(self, request_id: str) -> bool:
        """Drop a request; tell whether the engine had it."""
        with self._changed:
            for sequences in (self._running, self._waiting):
                for sequence in sequences:
                    if sequence.request_id == request_id:
                        sequences.remove(sequence)
                        sequence.events.put(FAILED)
                        self.counts["cancelled"] += 1
                        return True
        return False

    def drop(self, sequence: Sequence) -> None:
        """Drop one request whose caller has gone."""
        with self._changed:
            for sequences in (self._running, self._waiting):
                if sequence in sequences:
                    sequences.remove(sequence)
                    self.counts["cancelled"] += 1

    def loading(self) -> None:
        """Enter the state of a first load."""
        with self._changed:
            if self.state == "empty":
                self.state = "loading"

    def loaded(self, models: list[str]) -> None:
        """Serve these models too; a first load ends in the state cold."""
        with self._changed:
            if self._closed:
                return
            self.models += [m for m in models if m not in self.models]
            if self.state in ("empty", "loading"):
                self._become_cold()

    def remove_models(self, models: list[str]) -> None:
        """Stop serving models; the last one leaves the engine empty."""
        with self._changed:
            self.models = [m for m in self.models if m not in models]
            if not self.models:
                self.state = "empty"
                self._fail_sequences()

    def make_cold(self) -> None:
        """Turn cold without warning; fails if the load is too large now."""
        with self._changed:
            if self.state != "warm":
                return
            self._become_cold()
            load = len(self._running) + len(self._waiting)
            if load > self._settings.bearable:
                self.counts["falls"] += 1
                self._fail_sequences()

    def fail_requests(self) -> None:
        """Fail all requests and turn cold, as a restarted engine does."""
        with self._changed:
            self._fail_sequences()
            if self.state in ("cold", "warm"):
                self._become_cold()

    def break_(self, *, lost: bool) -> None:
        """Fail because a host is missing; `lost` loses the weights too."""
        with self._changed:
            self._broken = True
            self._frozen = False
            self._fail_sequences()
            if lost:
                self.state = "empty"
                self.models = []
            self._changed.notify_all()

    def freeze(self) -> None:
        """Stop without closing anything, as a paused process does."""
        with self._changed:
            self._broken = True
            self._frozen = True

    def resume(self) -> None:
        """Start again cold after all hosts are back from a pause."""
        with self._changed:
            self._frozen = False
            self._broken = False
            self._fail_sequences()
            if self.state in ("cold", "warm"):
                self._become_cold()
            self._changed.notify_all()

    def close(self) -> None:
        """Fail all requests and end the scheduler's thread."""
        with self._changed:
            self._closed = True
            self._frozen = False
            self.state = "empty"
            self.models = []
            self._fail_sequences()
            self._changed.notify_all()

    def snapshot(self) -> dict[str, _http.Json]:
        """Return the engine's part of a report."""
        settings = self._settings
        with self._changed:
            self._update_warmth()
            running = len(self._running)
            cold = self.state == "cold"
            return {
                "state": self.state,
                "models": list(self.models),
                "running": running,
                "waiting": len(self._waiting),
                "kv_used": round(min(1.0, running / settings.max_running), 3),
                "token_ms": round(self._interval_ms(max(1, running)), 3),
                "bearable": (
                    settings.bearable if cold else settings.max_running
                ),
            }

    def cache_events(self, after: int) -> tuple[list[_cache.CacheEvent], int]:
        """Return the visible cache events above `after`."""
        with self._changed:
            return self._cache.events(after, self._clock.now_ms())

    def has_prefix(self, prefix: str) -> bool:
        """Tell whether the cache can export a prefix."""
        with self._changed:
            return prefix in self._cache

    def import_prefix(self, prefix: str) -> None:
        """Put a prefix that another target exported into the cache."""
        with self._changed:
            self._cache.touch([prefix], self._clock.now_ms())

    def _become_cold(self) -> None:
        self.state = "cold"
        self._cold_since_ms = self._clock.now_ms()
        self._cold_requests = 0
        self._cache.clear()

    def _update_warmth(self) -> None:
        settings = self._settings
        if self.state != "cold" or self._broken:
            return
        cold_ms = self._clock.now_ms() - self._cold_since_ms
        if (
            cold_ms >= settings.warm_after_ms
            or self._cold_requests >= settings.warm_after_requests
        ):
            self.state = "warm"

    def _fail_sequences(self) -> None:
        for sequence in self._running + self._waiting:
            sequence.events.put(FAILED)
            self.counts["failed"] += 1
        self._running.clear()
        self._waiting.clear()

    def _interval_ms(self, running: int) -> float:
        settings = self._settings
        factor = self.slow_factor
        if self.state == "cold":
            factor *= settings.cold_factor
        interval_ms = settings.token_ms
        interval_ms += settings.token_ms_per_running * running
        return interval_ms * factor

    def _run(self) -> None:
        due = time.monotonic()
        while True:
            with self._changed:
                while not self._closed and (
                    self._frozen or not (self._running or self._waiting)
                ):
                    self._changed.wait()
                    due = time.monotonic()
                if self._closed:
                    return
                self._admit()
                interval_ms = self._interval_ms(len(self._running))
            due = max(
                due + interval_ms / 1000, time.monotonic() - MAX_BEHIND_S
            )
            time.sleep(max(0.0, due - time.monotonic()))
            with self._changed:
                if not self._frozen:
                    self._emit()

    def _admit(self) -> None:
        settings = self._settings
        now_ms = self._clock.now_ms()
        while self._waiting and len(self._running) < settings.max_running:
            sequence = self._waiting.pop(0)
            missing = self._cache.touch(sequence.prefixes, now_ms)
            prefill_ms = missing * settings.prefill_block_ms
            sequence.ready_ms = now_ms + prefill_ms * self.slow_factor
            self._running.append(sequence)

    def _emit(self) -> None:
        now_ms = self._clock.now_ms()
        finished = []
        for sequence in self._running:
            if sequence.ready_ms > now_ms:
                continue
            if sequence.index < sequence.stop:
                sequence.events.put(sequence.index)
                sequence.index += 1
                self.counts["tokens"] += 1
            if sequence.index >= sequence.stop:
                sequence.events.put(END)
                finished.append(sequence)
        for sequence in finished:
            self._running.remove(sequence)
            self.counts["finished"] += 1
            self._cold_requests += 1
        if finished:
            self._update_warmth()
