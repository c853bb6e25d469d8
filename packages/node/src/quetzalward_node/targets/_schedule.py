"""When to poll each target and the host list."""

import random
import typing

import attrs

from quetzalward_core import clock

# A poll takes about 1 ms of a core. The largest interval wins over the rate,
# because reports must stay younger than 3 s.
MAX_POLLS_PER_S = 10
MAX_INTERVAL_MS = 1_800
# Cache events only add to what a node knows from the prefixes it sends.
EVENTS_INTERVAL_MS = 15_000
MAX_BACKOFF_MS = 8_000
HOSTS_INTERVAL_MS = 2_000
MAX_HOSTS_INTERVAL_MS = 20_000
# Share of the node's 29 KB/s of control traffic that the host list may use.
HOSTS_BYTES_PER_S = 8_000
# Reading a host list takes about 5 microseconds per host.
HOSTS_PER_S = 400


@attrs.define
class _Poll:
    """Polling state of one target."""

    due_ms: clock.Millis
    events_due_ms: clock.Millis
    failures: int = 0
    running: bool = False
    polled: bool = False


@attrs.frozen
class Due:
    """A target to poll now."""

    target_id: str
    with_events: bool


class Schedule:
    """Spreads polls over time and slows down for targets that fail."""

    def __init__(self, rng: random.Random) -> None:
        """Start without targets; the host list is due at once."""
        self._rng = rng
        self._polls: dict[str, _Poll] = {}
        self._hosts_due_ms: clock.Millis | None = None
        self._hosts_running = False

    def watch(
        self, targets: typing.Collection[str], now_ms: clock.Millis
    ) -> None:
        """Poll exactly these targets from now on; new ones at once."""
        for target_id in set(self._polls) - set(targets):
            del self._polls[target_id]
        for target_id in set(targets) - set(self._polls):
            self._polls[target_id] = _Poll(now_ms, now_ms)

    def due(self, now_ms: clock.Millis) -> list[Due]:
        """Return the targets to poll now and mark them as running."""
        found = []
        for target_id, poll in self._polls.items():
            if poll.running or poll.due_ms > now_ms:
                continue
            poll.running = True
            with_events = poll.events_due_ms <= now_ms
            if with_events:
                poll.events_due_ms = now_ms + EVENTS_INTERVAL_MS
            found.append(Due(target_id, with_events))
        return found

    def done(
        self,
        target_id: str,
        succeeded: bool,
        interval_ms: int,
        now_ms: clock.Millis,
    ) -> None:
        """Plan a target's next poll; `interval_ms` is the engines' own."""
        poll = self._polls.get(target_id)
        if poll is None:
            return
        poll.running = False
        paced_ms = len(self._polls) * clock.MILLIS_PER_SECOND
        paced_ms //= MAX_POLLS_PER_S
        wait_ms = min(max(interval_ms, paced_ms), MAX_INTERVAL_MS)
        poll.failures = 0 if succeeded else poll.failures + 1
        if poll.failures > 1:
            wait_ms = min(wait_ms << min(poll.failures, 6), MAX_BACKOFF_MS)
        # Targets first watched together are polled apart from then on.
        least = 0.9 if poll.polled else 0.1
        poll.polled = True
        poll.due_ms = now_ms + int(wait_ms * self._rng.uniform(least, 1.0))

    def hosts_due(self, now_ms: clock.Millis) -> bool:
        """Return whether to read the host list now, and mark it running."""
        if self._hosts_running:
            return False
        if self._hosts_due_ms is not None and self._hosts_due_ms > now_ms:
            return False
        self._hosts_running = True
        return True

    def hosts_done(
        self, wire_bytes: int, hosts: int, now_ms: clock.Millis
    ) -> None:
        """Plan the next read after one of this size."""
        self._hosts_running = False
        paced_s = max(wire_bytes / HOSTS_BYTES_PER_S, hosts / HOSTS_PER_S)
        paced_ms = int(paced_s * clock.MILLIS_PER_SECOND)
        wait_ms = min(max(HOSTS_INTERVAL_MS, paced_ms), MAX_HOSTS_INTERVAL_MS)
        self._hosts_due_ms = now_ms + int(
            wait_ms * self._rng.uniform(0.8, 1.0)
        )
