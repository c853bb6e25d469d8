"""Requests that crashed several targets, and the trials that judge them.

A row of crashes does not tell a request that crashes its targets from a sound
one that is repeated through an outage. Such a request is held: it is sent only
as a trial, by one node and once. An answer frees it. A crash while nothing
else crashes shows that it is the cause.
"""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.quarantine import _evidence

# Targets that crashed in a row under a request that is held.
HOLD_TARGETS = 3
# Time without other crashes at the service after which a trial is conclusive.
CALM_MS = 2_000
# Trials of one request that may be made beside other crashes, and in all.
MAX_NOISY_TRIALS = 2
MAX_TRIALS = 3
# Time in which a trial ends the target, or its answer settles.
TRIAL_MS = 4_000
# Time after a crash in which all nodes report what else was cut off.
REPORT_MS = 300
# Trials at one time, while they succeed. One alone is conclusive.
MAX_PARALLEL_TRIALS = 32
# Requests that may explain the crashes of other targets. If more are held,
# they met an outage.
MAX_EXPLAINING = 3
# Limit of the list that the nodes are sent.
MAX_HELD = 512


@attrs.define
class _Trial:
    """A trial that has been granted."""

    granted_ms: clock.Millis
    # Whether nothing else crashed, and no other trial was made.
    is_conclusive: bool


@attrs.define
class _Held:
    """A request that is held."""

    # Since its last settled answer.
    crash_by_target: dict[str, _evidence.Crash]
    trial: _Trial | None = None
    trials: int = 0
    noisy_trials: int = 0
    # Conclusive trials that crashed their target.
    failed_trials: int = 0
    # Whether it was answered before. Requests that differ by more than what
    # makes them repeats, such as the parts of their prompts, look like that.
    has_settled: bool = False

    @property
    def service(self) -> str:
        """Return the service that the request is sent to."""
        return next(iter(self.crash_by_target.values())).service

    def update(
        self,
        crashes: typing.Iterable[_evidence.Crash],
        since_ms: clock.Millis,
    ) -> None:
        """Add crashes, and drop those before a time.

        Those that another request explains stay: this one may be a cause as
        well, which only a trial shows.
        """
        for crash in crashes:
            self.crash_by_target.setdefault(crash.target, crash)
        self.crash_by_target = {
            target: crash
            for target, crash in self.crash_by_target.items()
            if crash.at_ms >= since_ms
        }


class Evidence(typing.Protocol):
    """What is known of all requests."""

    @property
    def crashes(self) -> typing.Collection[_evidence.Crash]:
        """Return the crashes of all requests."""

    def sound_ms(self, trait: str) -> clock.Millis | None:
        """Return when the last settled answer with a trait began."""


class Holds:
    """Holds requests, grants trials and judges their outcome."""

    def __init__(self) -> None:
        """Start without requests."""
        self._held_by_request: dict[str, _Held] = {}
        self._parallel = 1

    @property
    def trials_by_request(self) -> dict[str, int]:
        """Return the requests that are held, and the trials of each."""
        return {
            request: held.trials
            for request, held in self._held_by_request.items()
        }

    def update(
        self,
        crashes_by_request: dict[str, list[_evidence.Crash]],
        evidence: "Evidence",
        now_ms: clock.Millis,
    ) -> list[str]:
        """Hold and free requests; return those that are shown to be a cause.

        `crashes_by_request` has the crashes since each one's last answer.
        """
        known, self._held_by_request = self._held_by_request, {}
        for request in {**known, **crashes_by_request}:
            held = known.get(request) or _Held({})
            sound_ms = evidence.sound_ms(request) or 0
            held.has_settled = sound_ms > 0
            held.update(
                crashes_by_request.get(request, ()),
                max(sound_ms, now_ms - _evidence.MAX_AGE_MS),
            )
            is_full = len(self._held_by_request) >= MAX_HELD
            if len(held.crash_by_target) < HOLD_TARGETS or is_full:
                self._end_trial(held, is_crash=False)
            else:
                self._held_by_request[request] = held
        causes = []
        for request, held in list(self._held_by_request.items()):
            if self._judge(held, evidence.crashes, now_ms):
                del self._held_by_request[request]
                causes.append(request)
        return causes

    def _judge(
        self,
        held: _Held,
        crashes: typing.Collection[_evidence.Crash],
        now_ms: clock.Millis,
    ) -> bool:
        """End a trial that is over; true if it shows that it is the cause."""
        trial = held.trial
        if trial is None:
            return False
        crashed_ms = [
            crash.at_ms
            for crash in held.crash_by_target.values()
            if crash.at_ms >= trial.granted_ms
        ]
        if not crashed_ms:
            if now_ms - trial.granted_ms > TRIAL_MS:
                self._end_trial(held, is_crash=True)
            return False
        if now_ms - min(crashed_ms) < REPORT_MS:
            return False
        self._end_trial(held, is_crash=True)
        if not trial.is_conclusive:
            return False
        if self._is_noisy(held.service, crashes, now_ms):
            held.noisy_trials += 1
            return False
        held.failed_trials += 1
        return held.failed_trials > held.has_settled

    def _end_trial(self, held: _Held, is_crash: bool) -> None:
        if held.trial is not None:
            held.trial = None
            parallel = 1 if is_crash else 2 * self._parallel
            self._parallel = min(parallel, MAX_PARALLEL_TRIALS)

    def grant(
        self,
        request: str,
        trials_before: int,
        crashes: typing.Collection[_evidence.Crash],
        now_ms: clock.Millis,
    ) -> bool:
        """Grant a trial of a request if that is possible now.

        `trials_before` counts those of earlier coordinators as well, and
        `crashes` are those of all requests.
        """
        held = self._held_by_request.get(request)
        if held is None or held.trial is not None:
            return False
        if trials_before > held.trials:
            held.trials = trials_before
            held.noisy_trials = min(trials_before, MAX_NOISY_TRIALS)
        service = held.service
        trials = sum(
            other.trial is not None and other.service == service
            for other in self._held_by_request.values()
        )
        if held.trials >= MAX_TRIALS or trials >= self._parallel:
            return False
        is_noisy = trials > 0 or self._is_noisy(service, crashes, now_ms)
        if is_noisy and held.noisy_trials >= MAX_NOISY_TRIALS:
            return False
        held.trials += 1
        held.noisy_trials += is_noisy
        held.trial = _Trial(now_ms, not is_noisy)
        return True

    def _is_noisy(
        self,
        service: str,
        crashes: typing.Collection[_evidence.Crash],
        now_ms: clock.Millis,
    ) -> bool:
        """Tell whether targets of a service crashed that no request explains.

        Those that are held explain the crashes of their targets.
        """
        explained: set[str] = set()
        if len(self._held_by_request) <= MAX_EXPLAINING:
            for held in self._held_by_request.values():
                explained |= held.crash_by_target.keys()
        return any(
            crash.service == service
            and crash.target not in explained
            and now_ms - crash.at_ms < CALM_MS
            for crash in crashes
        )
