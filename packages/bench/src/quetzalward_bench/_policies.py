"""Routing policies that an experiment compares."""

import random
import typing

import attrs

from quetzalward_bench import _engine
from quetzalward_core import coldstart
from quetzalward_core import routing


@attrs.define(eq=False)
class Watch:
    """What one node knows of one target."""

    tracker: routing.LoadTracker = attrs.field(factory=routing.LoadTracker)
    prefixes: routing.PrefixIndex = attrs.field(factory=routing.PrefixIndex)
    report: routing.EngineReport | None = None
    events: int = 0


@attrs.define(eq=False)
class Node:
    """One node with its subset of targets."""

    subset: tuple[str, ...]
    rng: random.Random
    watches: dict[str, Watch] = attrs.field(factory=dict)
    ejector: routing.Ejector = attrs.field(factory=routing.Ejector)
    turn: int = 0


class Policy(typing.Protocol):
    """Chooses a target for a job."""

    def choose(self, node: Node, job: _engine.Job, now_ms: int) -> str:
        """Return the target's name."""


class RandomChoice:
    """Any target with equal probability."""

    def choose(self, node: Node, job: _engine.Job, now_ms: int) -> str:
        """Return the target's name."""
        return node.rng.choice(node.subset)


class RoundRobin:
    """The targets in turn."""

    def choose(self, node: Node, job: _engine.Job, now_ms: int) -> str:
        """Return the target's name."""
        node.turn += 1
        return node.subset[node.turn % len(node.subset)]


class LeastOutstanding:
    """The target with the fewest of this node's own requests."""

    def choose(self, node: Node, job: _engine.Job, now_ms: int) -> str:
        """Return the target's name."""
        return min(
            node.subset,
            key=lambda name: (
                len(node.watches[name].tracker.in_flight),
                node.rng.random(),
            ),
        )


class LeastReported:
    """The target with the smallest load in its last report."""

    def choose(self, node: Node, job: _engine.Job, now_ms: int) -> str:
        """Return the target's name."""

        def load(name: str) -> tuple[int, float]:
            report = node.watches[name].report
            return (report.load if report else 0, node.rng.random())

        return min(node.subset, key=load)


@attrs.frozen
class Present:
    """The project's policy, with parameters to weigh."""

    choices: int = routing.DEFAULT_CHOICES
    load_ms: float = routing.CostParameters().load_ms
    rule: routing.ChoiceRule = routing.ChoiceRule.COST
    decay_ms: float = routing.REPORT_DECAY_MS
    affinity: bool = True
    ejection: bool = True
    ramp_ms: int = coldstart.RAMP_MS

    def choose(self, node: Node, job: _engine.Job, now_ms: int) -> str:
        """Return the target's name."""
        names: typing.Sequence[str] = node.subset
        if self.ejection:
            ejected = node.ejector.ejected(node.subset, now_ms)
            names = [name for name in names if name not in ejected]
        loads = [
            one.report.load for one in node.watches.values() if one.report
        ]
        mean = sum(loads) / len(loads) if loads else 0.0
        best = routing.choose(
            [self._candidate(node, n, job, mean, now_ms) for n in names],
            job.prompt_tokens,
            job.prefix[0] if self.affinity and job.prefix else None,
            node.rng,
            self.choices,
            routing.CostParameters(
                prefill_ms_per_token=_engine.PREFILL_MS_PER_TOKEN,
                load_ms=self.load_ms,
                service_ms=7_700.0,
            ),
            self.rule,
        )
        assert best is not None
        return best.target_id

    def _candidate(
        self,
        node: Node,
        name: str,
        job: _engine.Job,
        mean: float,
        now_ms: int,
    ) -> routing.Candidate:
        watch = node.watches[name]
        load = float(len(watch.tracker.in_flight))
        if watch.report is not None:
            load = routing.estimate_load(
                watch.report, watch.tracker, mean, now_ms, self.decay_ms
            )
        load = coldstart.ramp_load(
            load,
            mean,
            node.ejector.last_ejection_end_ms(name),
            now_ms,
            self.ramp_ms,
        )
        cached = watch.prefixes.cached_tokens(job.prefix)
        capacity = watch.report.bearable if watch.report else None
        return routing.Candidate(name, load, capacity, cached, True)
