"""Routing experiment: policies on the same generated requests."""

import concurrent.futures
import heapq
import itertools
import random
import typing

import attrs

from quetzalward_bench import _engine
from quetzalward_bench import _policies
from quetzalward_bench import _stats
from quetzalward_core import routing
from quetzalward_core import testing

REPORT_INTERVAL_MS = 1_000
EVENTS_INTERVAL_MS = 3_000
# Age of a report's content when the node gets it.
REPORT_LAG_MS = 300
SAMPLE_MS = 500
STRAGGLERS = 0.04
STRAGGLER_SLOWNESS = 3.0
TTFT_GOAL_MS = 430


@attrs.frozen
class Scale:
    """Size of one run."""

    nodes: int
    targets: int
    rate_per_s: float
    length_ms: int = 60_000
    warm_up_ms: int = 25_000


SMALL = Scale(7, 50, 330)
LARGE = Scale(380, 710, 4_700, 40_000, 20_000)


class Run:
    """One policy on one workload."""

    def __init__(
        self, scale: Scale, policy: _policies.Policy, seed: int
    ) -> None:
        """Generate the workload and targets from the seed."""
        rng = random.Random(seed)
        self.scale = scale
        self.policy = policy
        self.jobs = _engine.make_jobs(
            scale.rate_per_s, scale.length_ms, scale.nodes, rng
        )
        names = [f"t{n}" for n in range(scale.targets)]
        slow = set(rng.sample(names, round(scale.targets * STRAGGLERS)))
        self.slow = slow
        self.engines = {
            name: _engine.Engine(
                name, slowness=STRAGGLER_SLOWNESS if name in slow else 1.0
            )
            for name in names
        }
        self.groups = {name: testing.make_group(name) for name in names}
        self.nodes = [self._node(n, names, seed) for n in range(scale.nodes)]
        self.herding: list[float] = []
        self._seq = itertools.count()
        self._heap: list[tuple[float, int, typing.Callable[[int], None]]] = []
        # Reports of the past, so that a poll can return a lagging one.
        self._past: dict[str, list[routing.EngineReport]] = {
            name: [] for name in names
        }

    def _node(self, index: int, names: list[str], seed: int) -> _policies.Node:
        nodes = [f"n{n}" for n in range(self.scale.nodes)]
        found = sorted(routing.subset(f"n{index}", nodes, names))
        rng = random.Random(seed * 1_000 + index)
        # Round robin starts at a different place on each node.
        rng.shuffle(found)
        return _policies.Node(
            tuple(found), rng, {name: _policies.Watch() for name in found}
        )

    def at(self, when_ms: float, action: typing.Callable[[int], None]) -> None:
        """Plan an action."""
        heapq.heappush(self._heap, (when_ms, next(self._seq), action))

    def run(self) -> dict[str, float]:
        """Run to the end of the arrivals and return the figures."""
        rng = random.Random(1)
        self.at(0, self._snapshot)
        self.at(self.scale.warm_up_ms, self._sample)
        for index in range(len(self.nodes)):
            for name in self.nodes[index].subset:
                start_ms = rng.uniform(0, REPORT_INTERVAL_MS)
                self.at(start_ms, self._poller(index, name))
        pending = iter(self.jobs)
        job = next(pending, None)
        while job is not None:
            while self._heap and self._heap[0][0] <= job.arrived_ms:
                when_ms, _, action = heapq.heappop(self._heap)
                action(int(when_ms))
            self._dispatch(job)
            job = next(pending, None)
        while self._heap and self._heap[0][0] <= 4 * self.scale.length_ms:
            when_ms, _, action = heapq.heappop(self._heap)
            if when_ms <= self.scale.length_ms or self._ends(action):
                action(int(when_ms))
        return self._figures()

    @staticmethod
    def _ends(action: object) -> bool:
        """Return whether an action is the end of a job."""
        return isinstance(action, _End)

    def _dispatch(self, job: _engine.Job) -> None:
        now_ms = int(job.arrived_ms)
        node = self.nodes[job.node]
        job.target = self.policy.choose(node, job, now_ms)
        job.grant = next(self._seq)
        watch = node.watches[job.target]
        watch.tracker.sent(job.grant, now_ms)
        watch.prefixes.add(job.prefix)
        ends_ms = self.engines[job.target].arrive(job, job.arrived_ms)
        if ends_ms is not None:
            self.at(ends_ms, _End(self, job))

    def finish(self, job: _engine.Job, now_ms: int) -> None:
        """End a job and start the next one that waits."""
        node = self.nodes[job.node]
        engine = self.engines[job.target]
        node.watches[job.target].tracker.ended(job.grant, now_ms)
        node.ejector.observe(job.target, engine.token_ms)
        started = engine.end(now_ms)
        if started is not None:
            following, ends_ms = started
            self.at(ends_ms, _End(self, following))

    def _snapshot(self, now_ms: int) -> None:
        """Keep every engine's load for later polls."""
        for name, engine in self.engines.items():
            past = self._past[name]
            past.append(
                testing.make_report(
                    self.groups[name],
                    now_ms,
                    running=engine.running,
                    waiting=len(engine.waiting),
                    token_ms=engine.token_ms,
                    bearable=engine.capacity,
                )
            )
            del past[:-20]
        self.at(now_ms + 100, self._snapshot)

    def _poller(self, index: int, name: str) -> typing.Callable[[int], None]:
        """Return the repeated poll of one target by one node."""
        watch = self.nodes[index].watches[name]
        node = self.nodes[index]
        engine = self.engines[name]

        def poll(now_ms: int) -> None:
            for report in reversed(self._past[name]):
                if report.as_of_ms <= now_ms - REPORT_LAG_MS:
                    watch.report = report
                    watch.tracker.forget_before(report.as_of_ms)
                    node.ejector.observe(name, report.token_ms)
                    break
            if now_ms % EVENTS_INTERVAL_MS < REPORT_INTERVAL_MS:
                for prefix in engine.added[watch.events :]:
                    watch.prefixes.add(prefix)
                watch.events = len(engine.added)
            self.at(now_ms + REPORT_INTERVAL_MS, poll)

        return poll

    def _sample(self, now_ms: int) -> None:
        """Measure how uneven the load is."""
        loads = [engine.load for engine in self.engines.values()]
        self.herding.append(max(loads) / max(1e-9, _stats.mean(loads)))
        self.at(now_ms + SAMPLE_MS, self._sample)

    def _figures(self) -> dict[str, float]:
        jobs = [
            job for job in self.jobs if job.arrived_ms >= self.scale.warm_up_ms
        ]
        times = [job.first_token_ms for job in jobs]
        prompt = sum(job.prompt_tokens for job in jobs)
        cached = sum(job.cached_tokens for job in jobs)
        slow = sum(1 for job in jobs if job.target in self.slow)
        late = sum(1 for ms in times if ms > TTFT_GOAL_MS)
        return {
            "ttft_p50_ms": round(_stats.quantile(times, 0.5), 1),
            "ttft_p95_ms": round(_stats.quantile(times, 0.95), 1),
            "ttft_p99_ms": round(_stats.quantile(times, 0.99), 1),
            "late_share": round(late / len(times), 4),
            "cache_hit_share": round(cached / prompt, 3),
            "herding_max_over_mean": round(_stats.mean(self.herding), 2),
            "straggler_share": round(slow / len(jobs), 4),
        }


@attrs.frozen(eq=False)
class _End:
    """The end of a job as a planned action."""

    run: Run
    job: _engine.Job

    def __call__(self, now_ms: int) -> None:
        """End the job."""
        self.run.finish(self.job, now_ms)


BASELINES: dict[str, typing.Callable[[], _policies.Policy]] = {
    "random": _policies.RandomChoice,
    "round_robin": _policies.RoundRobin,
    "least_outstanding": _policies.LeastOutstanding,
    "least_reported": _policies.LeastReported,
}
VARIANTS: dict[str, typing.Callable[[], _policies.Policy]] = {
    "hot_cold": lambda: _policies.Present(rule=routing.ChoiceRule.HOT_COLD),
    "choices_2": lambda: _policies.Present(choices=2),
    "choices_5": lambda: _policies.Present(choices=5),
    "choices_24": lambda: _policies.Present(choices=24),
    "load_ms_0.5": lambda: _policies.Present(load_ms=0.5),
    "load_ms_2": lambda: _policies.Present(load_ms=2.0),
    "load_ms_10": lambda: _policies.Present(load_ms=10.0),
    "load_ms_20": lambda: _policies.Present(load_ms=20.0),
    "decay_ms_1000": lambda: _policies.Present(decay_ms=1_000.0),
    "decay_ms_5000": lambda: _policies.Present(decay_ms=5_000.0),
    "no_report_decay": lambda: _policies.Present(decay_ms=1e9),
    "no_ramp": lambda: _policies.Present(ramp_ms=0),
    "no_affinity": lambda: _policies.Present(affinity=False),
    "no_ejection": lambda: _policies.Present(ejection=False),
}

LARGE_VARIANTS = ("no_report_decay", "choices_24")
POLICIES = {"present": _policies.Present, **BASELINES, **VARIANTS}


def run_one(scale: Scale, name: str, seed: int) -> dict[str, float]:
    """Return the figures of one named policy."""
    return Run(scale, POLICIES[name](), seed).run()


def measure(
    scale: Scale, names: list[str], seed: int, processes: int
) -> dict[str, typing.Any]:
    """Return the figures of the named policies on one workload."""
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        futures = {
            name: pool.submit(run_one, scale, name, seed) for name in names
        }
        results = {name: future.result() for name, future in futures.items()}
    return {
        "scale": attrs.asdict(scale),
        "figures": results,
        "ratio_to_present": _stats.ratios(results, "present"),
    }


def main(
    seed: int = 1,
    large: bool = True,
    variants: bool = True,
    processes: int = 4,
) -> None:
    """Compare routing policies with 7 and with 380 nodes."""
    names = ["present", *BASELINES]
    if variants:
        names += VARIANTS
    document = {
        "seed": seed,
        "small": measure(SMALL, names, seed, processes),
    }
    if large:
        names = ["present", *BASELINES, *LARGE_VARIANTS]
        document["large"] = measure(LARGE, names, seed, processes)
    _stats.show(document)
