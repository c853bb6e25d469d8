"""Schedule of polls of the targets and the host list."""

import random
import typing

import attrs

from quetzalward_core import clock

# A poll takes about 1 ms of a core. `MAX_INTERVAL_MS` takes precedence over
# this rate, because reports must stay younger than 3 s.
MAX_POLLS_PER_S = 10
MAX_INTERVAL_MS = 1_800
# Cache events only supplement the prefixes known from own requests.
EVENTS_INTERVAL_MS = 15_000
MAX_BACKOFF_MS = 8_000
HOSTS_INTERVAL_MS = 2_000
MAX_HOSTS_INTERVAL_MS = 20_000
# Limit for the host list, out of the node's 29 KB/s of control traffic.
MAX_HOSTS_BYTES_PER_S = 8_000
# Decoding a host list takes about 5 microseconds per host.
MAX_HOSTS_PER_S = 400


@attrs.define
class _PollState:
    """Polling state of one target."""

    due_ms: clock.Millis
    events_due_ms: clock.Millis
    failures: int = 0
    in_progress: bool = False
    was_polled: bool = False


@attrs.frozen
class DuePoll:
    """A target that is due for a poll."""

    target_id: str
    with_events: bool


class Schedule:
    """Spreads polls over time and backs off from failing targets."""

    def __init__(self, rng: random.Random) -> None:
        """Start without targets; the host list is due at once."""
        self._rng = rng
        self._polls: dict[str, _PollState] = {}
        self._hosts_due_ms: clock.Millis | None = None
        self._hosts_in_progress = False

    def set_targets(
        self, targets: typing.Collection[str], now_ms: clock.Millis
    ) -> None:
        """Poll exactly these targets from now on; new ones are due at once."""
        for target_id in set(self._polls) - set(targets):
            del self._polls[target_id]
        for target_id in set(targets) - set(self._polls):
            self._polls[target_id] = _PollState(now_ms, now_ms)

    def start_due(self, now_ms: clock.Millis) -> list[DuePoll]:
        """Return the due targets and mark their polls as in progress."""
        found = []
        for target_id, poll in self._polls.items():
            if poll.in_progress or poll.due_ms > now_ms:
                continue
            poll.in_progress = True
            with_events = poll.events_due_ms <= now_ms
            if with_events:
                poll.events_due_ms = now_ms + EVENTS_INTERVAL_MS
            found.append(DuePoll(target_id, with_events))
        return found

    def finish(
        self,
        target_id: str,
        succeeded: bool,
        interval_ms: int,
        now_ms: clock.Millis,
    ) -> None:
        """Schedule a target's next poll after one has ended.

        `interval_ms` is the interval of the engines' reports.
        """
        poll = self._polls.get(target_id)
        if poll is None:
            return
        poll.in_progress = False
        min_interval_ms = len(self._polls) * clock.MILLIS_PER_SECOND
        min_interval_ms //= MAX_POLLS_PER_S
        wait_ms = min(max(interval_ms, min_interval_ms), MAX_INTERVAL_MS)
        poll.failures = 0 if succeeded else poll.failures + 1
        if poll.failures > 1:
            wait_ms = min(wait_ms << min(poll.failures, 6), MAX_BACKOFF_MS)
        # The first interval is random over a wide range, so that targets added
        # together are not polled at the same time.
        min_fraction = 0.9 if poll.was_polled else 0.1
        poll.was_polled = True
        poll.due_ms = now_ms + int(
            wait_ms * self._rng.uniform(min_fraction, 1.0)
        )

    def start_hosts_if_due(self, now_ms: clock.Millis) -> bool:
        """Return whether the host list is due; if so, mark it in progress."""
        if self._hosts_in_progress:
            return False
        if self._hosts_due_ms is not None and self._hosts_due_ms > now_ms:
            return False
        self._hosts_in_progress = True
        return True

    def finish_hosts(
        self, wire_bytes: int, hosts: int, now_ms: clock.Millis
    ) -> None:
        """Schedule the next read after one of `hosts` hosts has ended."""
        self._hosts_in_progress = False
        min_interval_s = max(
            wire_bytes / MAX_HOSTS_BYTES_PER_S, hosts / MAX_HOSTS_PER_S
        )
        min_interval_ms = int(min_interval_s * clock.MILLIS_PER_SECOND)
        wait_ms = min(
            max(HOSTS_INTERVAL_MS, min_interval_ms), MAX_HOSTS_INTERVAL_MS
        )
        self._hosts_due_ms = now_ms + int(
            wait_ms * self._rng.uniform(0.8, 1.0)
        )
