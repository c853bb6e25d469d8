"""Finds the part of a prompt, or the request, under which targets crash.

A crash cuts off all answers of its target, and most of them are not its cause.
A trait is the cause if target after target crashed under it and no answer to
it settled in between. Crashes at one time count once, since one fault may end
many targets. Parts that settled before and parts that always came together are
told from the cause as described at `Correlator.find`; `_holds` judges whole
requests.
"""

import collections
import math
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.quarantine import _evidence
from quetzalward_core.quarantine import _holds
from quetzalward_core.quarantine import _quarantine
from quetzalward_core.quarantine import _traits

# Crashes within this time of the first are one incident.
INCIDENT_MS = 100
# Probability, at most, that a part met all of its incidents by chance; smaller
# for a part with settled answers before.
MAX_CHANCE = 2e-6
MAX_SETTLED_CHANCE = 2e-8
# Least probability, for any attempt, to be cut off by chance when the answer
# had begun, and to be cut off at all before it settled. The measured share of
# the other attempts counts if it is higher.
MIN_BEGUN_CHANCE = 0.01
MIN_CUT_CHANCE = 0.1
MAX_ATTEMPT_CHANCE = 0.9
MIN_INCIDENTS = 3
# Distinct requests: one that is sent again and again could be unlucky.
MIN_REQUESTS = 2
# Requests that came again and again may explain the crashes under a part that
# they share, if they are no more than this.
MAX_REPEATED_REQUESTS = 3
# Answers that began after the first incident and settled. With fewer, all
# requests fail, and only a part without any settled answer differs from the
# others; it needs twice the incidents.
MIN_SERVICE = 5
UNSERVED_FACTOR = 2
# Parts of one block; a message must hold all blocks.
MAX_BLOCK_PARTS = 4
# Crashed targets from which on the nodes are asked about a part.
SUSPECT_TARGETS = 2
MAX_SUSPECTS = 64
# A suspect that no target crashed under for this long is not listed.
SUSPECT_MS = 10_000
# Targets whose crash is explained by a block; the oldest are forgotten.
MAX_EXPLAINED_TARGETS = 1_024

_SoundTable = dict[str, clock.Millis]


@attrs.define
class _Run:
    """Crashes under one trait since its last settled answer."""

    crashes: list[_evidence.Crash] = attrs.field(factory=list)

    def incident_weights(self) -> list[int]:
        """Return the highest weight of each incident."""
        weights: list[int] = []
        begin_ms: clock.Millis | None = None
        for crash in sorted(self.crashes, key=lambda c: c.at_ms):
            if begin_ms is None or crash.at_ms - begin_ms > INCIDENT_MS:
                begin_ms = crash.at_ms
                weights.append(crash.weight)
            else:
                weights[-1] = max(weights[-1], crash.weight)
        return weights

    def targets(self) -> set[str]:
        """Return the targets that crashed."""
        return {crash.target for crash in self.crashes}

    def is_repeated(self) -> bool:
        """Tell whether there are enough incidents, targets and requests."""
        return (
            len(self.incident_weights()) >= MIN_INCIDENTS
            and len(self.targets()) >= MIN_INCIDENTS
            and len({c.request for c in self.crashes}) >= MIN_REQUESTS
        )

    def is_explained_by_repeats(
        self, sound_ms_by_trait: _SoundTable, has_settled: bool
    ) -> bool:
        """Tell whether a few requests that came again explain the crashes.

        A request that was answered since is no explanation. If the part was
        in sound requests before, it is enough that they explain half of the
        targets.
        """
        arrivals_by_trait: dict[str, set[str]] = {}
        targets_by_trait: dict[str, set[str]] = {}
        for crash in self.crashes:
            for trait in crash.repeats:
                sound_ms = sound_ms_by_trait.get(trait)
                if sound_ms is None or sound_ms <= crash.at_ms:
                    targets = targets_by_trait.setdefault(trait, set())
                    targets.add(crash.target)
                    arrivals = arrivals_by_trait.setdefault(trait, set())
                    arrivals.add(crash.request)
        all_targets = self.targets()
        if all_targets in targets_by_trait.values():
            return True
        repeated = [
            targets
            for trait, targets in targets_by_trait.items()
            if len(arrivals_by_trait[trait]) > 1
        ]
        repeated.sort(key=len, reverse=True)
        if len(repeated) > MAX_REPEATED_REQUESTS and not has_settled:
            return False
        explained = set().union(*repeated[:MAX_REPEATED_REQUESTS])
        if has_settled:
            return 2 * len(explained) >= len(all_targets)
        return explained == all_targets

    def common_parts(self) -> set[str]:
        """Return the parts that all crashed requests had."""
        common = set.intersection(*(set(c.traits) for c in self.crashes))
        return {t for t in common if not _traits.is_request(t)}


class Correlator:
    """Evidence of all nodes, and the traits that it points to."""

    def __init__(self, quarantine: _quarantine.Quarantine) -> None:
        """Start without evidence; `quarantine` has the blocks in force."""
        self._quarantine = quarantine
        self._explained_targets: dict[str, None] = {}
        self._has_changed = False
        self._suspects: tuple[str, ...] = ()
        self._crashes = _evidence.CrashTable()
        self._sound_ms_by_trait: dict[str, clock.Millis] = {}
        self._holds = _holds.Holds()
        # Settled answers by node and age, and when they were reported.
        self._service_by_node: dict[
            str, tuple[tuple[int, ...], clock.Millis]
        ] = {}
        # When the nodes were first asked about a suspect.
        self._asked_ms_by_trait: dict[str, clock.Millis] = {}

    def add_crash(self, crash: _evidence.Crash) -> None:
        """Record a node's crash; a repeated report changes nothing."""
        if crash in self._crashes or crash.target in self._explained_targets:
            return
        if self._quarantine.blocking(crash.traits) is not None:
            self._explain_targets({crash.target})
            return
        self._has_changed = True
        self._crashes.add(crash)

    def add_sound(self, trait: str, began_ms: clock.Millis) -> None:
        """Record that an answer begun at `began_ms` settled with a trait."""
        known_ms = self._sound_ms_by_trait.get(trait)
        if known_ms is None or began_ms > known_ms:
            self._has_changed = True
            self._sound_ms_by_trait[trait] = began_ms

    def add_service(
        self, node: str, counts: tuple[int, ...], now_ms: clock.Millis
    ) -> None:
        """Record a node's settled answers by the age of their beginning."""
        self._service_by_node[node] = (counts, now_ms)

    def sound_ms(self, trait: str) -> clock.Millis | None:
        """Return when the last settled answer with a trait began."""
        return self._sound_ms_by_trait.get(trait)

    def suspects(self, now_ms: clock.Millis) -> tuple[str, ...]:
        """Return the traits about which the nodes are asked.

        Those without a settled answer come first, since most parts are shared
        with sound requests.
        """
        if not self._has_changed:
            return self._suspects
        self._has_changed = False
        held = self.held
        listed = [
            (
                _traits.is_request(trait),
                trait not in self._sound_ms_by_trait,
                len(run.targets()),
                trait,
            )
            for trait, run in self._runs().items()
            if len(run.targets()) >= SUSPECT_TARGETS
            and (
                now_ms - max(c.at_ms for c in run.crashes) <= SUSPECT_MS
                or trait in held
            )
            and not self._is_blocked(trait)
        ]
        listed.sort(reverse=True)
        requests = [row for row in listed if row[0]][:MAX_SUSPECTS]
        parts = [row for row in listed if not row[0]][:MAX_SUSPECTS]
        self._suspects = tuple(row[-1] for row in requests + parts)
        self._asked_ms_by_trait = {
            trait: self._asked_ms_by_trait.get(trait, now_ms)
            for trait in self._suspects
        }
        return self._suspects

    def _is_blocked(self, trait: str) -> bool:
        return self._quarantine.blocking((trait,)) is not None

    @property
    def crashes(self) -> typing.Collection[_evidence.Crash]:
        """Return the crashes that count, of all requests."""
        return self._crashes

    @property
    def held(self) -> dict[str, int]:
        """Return the requests that are sent as trials only, and how many."""
        return self._holds.trials_by_request

    def grant_trial(
        self, request: str, now_ms: clock.Millis, trials_before: int = 0
    ) -> bool:
        """Let a node send a request that is held, once.

        `trials_before` counts the trials that any coordinator granted.
        """
        return self._holds.grant(request, trials_before, self._crashes, now_ms)

    def find(
        self, now_ms: clock.Millis, answer_ms: float
    ) -> frozenset[str] | None:
        """Return the traits that crash targets together, or `None`.

        Call it regularly. A suspect is considered once the nodes had
        `answer_ms` to report settled answers.
        """
        answered = {
            trait
            for trait, asked_ms in self._asked_ms_by_trait.items()
            if now_ms - asked_ms >= answer_ms
        }
        if not answered and not self.held:
            return None
        runs = self._runs()
        considered = answered.union(self.held)
        causes = self._holds.update(
            {
                trait: run.crashes
                for trait, run in runs.items()
                if trait in considered
                and _traits.is_request(trait)
                and not self._is_blocked(trait)
            },
            self,
            now_ms,
        )
        if causes:
            return frozenset(causes[:1])
        return self._find_parts(
            {t: runs[t] for t in sorted(answered) if t in runs}, now_ms
        )

    def _find_parts(
        self, run_by_trait: dict[str, _Run], now_ms: clock.Millis
    ) -> frozenset[str] | None:
        """Return the parts of prompts that crash targets together.

        Parts without any settled answer come first. If several parts were in
        all of the crashed requests, those are returned that never settled,
        since sound requests share the others; if all did settle once, those
        that did not since. Crashes under a few repeated requests say nothing
        of their parts.
        """
        found: list[tuple[bool, float, int, str]] = []
        for part, run in run_by_trait.items():
            if _traits.is_request(part):
                continue
            has_settled = part in self._sound_ms_by_trait
            if not run.is_repeated() or run.is_explained_by_repeats(
                self._sound_ms_by_trait, has_settled
            ):
                continue
            chance_log = self._chance_log(run, now_ms)
            if chance_log <= self._max_chance_log(run, has_settled, now_ms):
                found.append(
                    (not has_settled, -chance_log, len(run.targets()), part)
                )
        if not found:
            return None
        run = run_by_trait[max(found)[-1]]
        common = run.common_parts()
        unsettled = {p for p in common if p not in self._sound_ms_by_trait}
        if not unsettled:
            first_ms = min(crash.at_ms for crash in run.crashes)
            unsettled = {
                p for p in common if self._sound_ms_by_trait[p] <= first_ms
            }
        return frozenset(sorted(unsettled)[:MAX_BLOCK_PARTS])

    def _chance_log(self, run: _Run, now_ms: clock.Millis) -> float:
        """Return the logarithm of the chance to meet a run's incidents.

        It is taken from the attempts of the last seconds, with prompts, at
        targets that the run does not explain.
        """
        since_ms = now_ms - _evidence.SERVICE_WINDOW_MS
        targets = run.targets()
        others = [
            crash
            for crash in self._crashes
            if crash.at_ms >= since_ms
            and crash.target not in targets
            and len(crash.traits) > len(crash.repeats)
        ]
        begun = sum(c.weight >= _evidence.BEGUN_WEIGHT for c in others)
        attempts = max(1, len(others) + self._service(since_ms))
        begun_chance = max(MIN_BEGUN_CHANCE, begun / attempts)
        cut_chance = max(MIN_CUT_CHANCE, len(others) / attempts)
        total = 0.0
        for weight in run.incident_weights():
            is_begun = weight >= _evidence.BEGUN_WEIGHT
            chance = begun_chance if is_begun else cut_chance
            total += math.log(min(MAX_ATTEMPT_CHANCE, chance))
        return total

    def _max_chance_log(
        self, run: _Run, has_settled: bool, now_ms: clock.Millis
    ) -> float:
        """Return the logarithm of the highest chance of a cause."""
        window_ms = now_ms - _evidence.SERVICE_WINDOW_MS
        first_ms = max(window_ms, min(c.at_ms for c in run.crashes))
        if self._service(first_ms) >= MIN_SERVICE:
            return math.log(MAX_SETTLED_CHANCE if has_settled else MAX_CHANCE)
        if has_settled:
            return -math.inf
        return UNSERVED_FACTOR * math.log(MAX_CHANCE)

    def explain(self, traits: frozenset[str]) -> list[_evidence.Crash]:
        """Drop the crashes of targets that ended under these traits.

        What else was cut off by them is no evidence against other traits.
        Returns the crashes of requests that had the traits. Those under one
        request stay, since a part of it may be the cause of them.
        """
        explained = [
            crash for crash in self._crashes if traits <= set(crash.traits)
        ]
        is_request = all(map(_traits.is_request, traits))
        self._explain_targets(
            {crash.target for crash in explained},
            explained if is_request else [],
        )
        return explained

    def _explain_targets(
        self,
        targets: set[str],
        kept: typing.Iterable[_evidence.Crash] = (),
    ) -> None:
        self._has_changed = True
        self._explained_targets.update(dict.fromkeys(targets))
        while len(self._explained_targets) > MAX_EXPLAINED_TARGETS:
            del self._explained_targets[next(iter(self._explained_targets))]
        kept = set(kept)
        for crash in list(self._crashes):
            if crash.target in targets and crash not in kept:
                self._crashes.remove(crash)

    def expire(self, now_ms: clock.Millis) -> None:
        """Drop what is too old to count."""
        self._has_changed = True
        since_ms = now_ms - _evidence.MAX_AGE_MS
        for crash in list(self._crashes):
            if crash.at_ms < since_ms:
                self._crashes.remove(crash)
        for trait, sound_ms in list(self._sound_ms_by_trait.items()):
            if sound_ms < since_ms:
                del self._sound_ms_by_trait[trait]

    def _service(self, since_ms: clock.Millis) -> int:
        """Return the settled answers of all nodes that began since a time."""
        total = 0
        for counts, reported_ms in self._service_by_node.values():
            for index, count in enumerate(counts):
                oldest_ms = (index + 1) * _evidence.SERVICE_INTERVAL_MS
                if reported_ms - oldest_ms >= since_ms:
                    total += count
        return total

    def _runs(self) -> dict[str, _Run]:
        """Return the crashes by trait, since its last settled answer.

        Where an answer had begun at a crashed target, those that had not, or
        were written already, are not its cause.
        """
        begun_targets = {
            crash.target
            for crash in self._crashes
            if crash.weight >= _evidence.BEGUN_WEIGHT
        }
        runs: typing.DefaultDict[str, _Run] = collections.defaultdict(_Run)
        for crash in self._crashes:
            if (
                crash.weight < _evidence.BEGUN_WEIGHT
                and crash.target in begun_targets
            ):
                continue
            for trait in crash.traits:
                sound_ms = self._sound_ms_by_trait.get(trait)
                if sound_ms is None or crash.at_ms >= sound_ms:
                    runs[trait].crashes.append(crash)
        return runs
