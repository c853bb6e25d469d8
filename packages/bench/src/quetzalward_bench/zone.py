"""Quality of service while an availability zone leaves and returns.

`python -m quetzalward_bench zone [--policies P,...] [--seed N]`: the same
open-loop load for each policy, on a cluster of its own. `cost` is the system
as it is, `random` the system with the routing baseline, and `direct` callers
that take the engines in turn without any node between.
"""

import asyncio
import itertools
import threading
import time
import typing
import uuid

import attrs
import urllib3

from quetzalward_bench import _client
from quetzalward_bench import _results
from quetzalward_bench import _schedule
from quetzalward_bench import _stats
from quetzalward_bench import _system
from quetzalward_bench import _zone_plot
from quetzalward_standins import _target
from quetzalward_standins import callers
from quetzalward_standins import cluster

POLICIES = ("cost", "random", "direct")
ZONE = "zone-b"
TOKENS = 60
# Targets of the design: first token and gap between tokens.
FIRST_LIMIT_MS = 430.0
GAP_LIMIT_MS = 46.0
# A zone that was taken out gets no new request after this time (R4).
TAKE_OUT_S = 5.0
# Engines are restarted, and so turn cold, this long before the zone returns.
COLD_LEAD_S = 3.0
BOOKERS = 2
BOOKING_PAUSE_S = 0.2
BOOKING_TIMEOUT_S = 30.0


@attrs.frozen
class Phases:
    """Lengths of a run's parts in seconds."""

    warm_up_s: float = 6.0
    before_s: float = 15.0
    away_s: float = 25.0
    after_s: float = 25.0

    @property
    def out_s(self) -> float:
        """Return when the zone is taken out."""
        return self.warm_up_s + self.before_s

    @property
    def in_s(self) -> float:
        """Return when the zone is brought back."""
        return self.out_s + self.away_s

    @property
    def end_s(self) -> float:
        """Return when the load ends."""
        return self.in_s + self.after_s

    def bounds(self) -> dict[str, tuple[float, float]]:
        """Return start and end of each measured phase."""
        return {
            "before": (self.warm_up_s, self.out_s),
            "away": (self.out_s, self.in_s),
            "after": (self.in_s, self.end_s),
        }


def cluster_spec(policy: str) -> cluster.ClusterSpec:
    """Return a cluster whose load without one zone is about 85%."""
    return cluster.ClusterSpec(
        engines=_target.EngineSettings(
            max_running=8,
            # Long enough that only careful use warms a target sooner.
            warm_after_ms=15_000,
            warm_after_requests=6,
        ),
        configuration={
            "customers": _schedule.customers_document(_schedule.CUSTOMERS),
            "routing": {"policy": "cost" if policy == "direct" else policy},
        },
    )


class Run:
    """One policy on one cluster."""

    def __init__(self, policy: str, phases: Phases, seed: int) -> None:
        """Prepare the load; `run` starts the cluster."""
        self._policy = policy
        self._phases = phases
        self._arrivals = _schedule.arrivals(
            _schedule.CUSTOMERS, phases.end_s, TOKENS, seed
        )
        self._cluster = cluster.Cluster(cluster_spec(policy))
        self._records: list[_client.Record] = []
        self._start_s = 0.0
        self._zone_out = False
        self._engines: list[tuple[str, str]] = []
        self._turns = itertools.count()
        self._notes: dict[str, float] = {}
        self._falls_by_phase: dict[str, int] = {}
        self._bookings = callers.Tally()

    def run(self) -> dict[str, typing.Any]:
        """Return the figures, violations and series of the run."""
        try:
            self._cluster.start()
            _system.wait_warm(self._cluster)
            self._find_engines()
            asyncio.run(self._run_load())
            return self._figures()
        finally:
            self._cluster.stop()

    def _find_engines(self) -> None:
        """Note the URL and zone of each replica's first host."""
        hosts = self._cluster.read("hosts", "/hosts")["hosts"]
        url_by_host = {host["host"]: host["engine_url"] for host in hosts}
        self._engines = sorted(
            (url_by_host[target["hosts"][0]], target["zone"])
            for target in _system.targets(self._cluster).values()
        )

    def _url(self) -> str:
        """Return where the next caller goes."""
        turn = next(self._turns)
        if self._policy != "direct":
            nodes = self._cluster.nodes
            return nodes[turn % len(nodes)].url
        usable = [
            url
            for url, zone in self._engines
            if zone != ZONE or not self._zone_out
        ]
        return usable[turn % len(usable)]

    async def _run_load(self) -> None:
        self._start_s = time.monotonic() + 0.5
        steps = asyncio.create_task(asyncio.to_thread(self._run_steps))
        booking = None
        if self._policy != "direct":
            booking = asyncio.create_task(asyncio.to_thread(self._book))
        tasks = []
        for arrival in self._arrivals:
            planned_s = self._start_s + arrival.at_s
            await asyncio.sleep(max(0.0, planned_s - time.monotonic()))
            record = _client.Record(arrival.customer.name, planned_s)
            self._records.append(record)
            tasks.append(
                asyncio.create_task(
                    _client.draft(
                        self._url(),
                        arrival.customer.api_key,
                        arrival.body,
                        record,
                    )
                )
            )
        await asyncio.gather(*tasks, steps)
        if booking is not None:
            await booking

    def _sleep_until(self, at_s: float) -> None:
        time.sleep(max(0.0, self._start_s + at_s - time.monotonic()))

    def _run_steps(self) -> None:
        """Take the zone out and bring it back cold."""
        phases = self._phases
        self._sleep_until(phases.warm_up_s)
        falls = self._falls()
        self._sleep_until(phases.out_s)
        self._zone_out = True
        confirmed_s = time.monotonic()
        if self._policy != "direct":
            confirmed_s = _system.set_zone(self._cluster, ZONE, "out")
        asked_s = self._start_s + phases.out_s
        self._notes["take_out_confirmed_ms"] = (confirmed_s - asked_s) * 1000
        self._falls_by_phase["before"] = self._falls() - falls
        time.sleep(max(0.0, confirmed_s + TAKE_OUT_S - time.monotonic()))
        counted = self._requests_in_zone()
        self._sleep_until(phases.in_s - COLD_LEAD_S)
        self._note_last_request(confirmed_s)
        self._cluster.inject("engines", action="cold", zone=ZONE)
        self._sleep_until(phases.in_s)
        self._notes["late_requests"] = self._requests_in_zone() - counted
        falls = self._falls() - falls
        self._falls_by_phase["away"] = falls - self._falls_by_phase["before"]
        before = self._falls()
        if self._policy != "direct":
            _system.set_zone(self._cluster, ZONE, "in")
        self._zone_out = False
        self._sleep_until(phases.end_s)
        self._falls_by_phase["after"] = self._falls() - before

    def _note_last_request(self, confirmed_s: float) -> None:
        ages = [
            target["last_request_age_ms"]
            for target in self._zone_targets()
            if target["last_request_age_ms"] is not None
        ]
        if ages:
            last_s = time.monotonic() - min(ages) / 1000
            self._notes["last_request_after_confirmed_ms"] = (
                last_s - confirmed_s
            ) * 1000

    def _zone_targets(self) -> list[dict[str, typing.Any]]:
        found = _system.targets(self._cluster).values()
        return [target for target in found if target["zone"] == ZONE]

    def _requests_in_zone(self) -> int:
        return sum(
            target["counts"].get("requests", 0)
            for target in self._zone_targets()
        )

    def _falls(self) -> int:
        totals = self._cluster.read("engines", "/stats")["totals"]
        return int(totals.get("falls", 0))

    def _book(self) -> None:
        """Make bookings with keys until the load ends."""
        pool = urllib3.PoolManager(num_pools=64, maxsize=64)
        entries = [
            callers.Entry(node.name, node.url, node.operators_url)
            for node in self._cluster.nodes
        ]
        balancer = callers.Balancer(entries, pool)
        balancer.start()
        caller = callers.Caller(
            balancer,
            pool,
            _schedule.CUSTOMERS[0].api_key,
            self._cluster.booking_path,
        )
        lock = threading.Lock()

        def repeat() -> None:
            while time.monotonic() < self._start_s + self._phases.end_s:
                key = str(uuid.uuid4())
                try:
                    caller.book(key, BOOKING_TIMEOUT_S)
                    with lock:
                        self._bookings.keys.append(key)
                except Exception as error:
                    with lock:
                        self._bookings.failures.append(repr(error))
                time.sleep(BOOKING_PAUSE_S)

        threads = [threading.Thread(target=repeat) for _ in range(BOOKERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        balancer.stop()

    def _figures(self) -> dict[str, typing.Any]:
        executions = self._cluster.read("service", "/executions")
        once, wrong = callers.check_bookings(self._bookings.keys, executions)
        figures = {
            "phases": {
                phase: self._phase_figures(*bounds)
                for phase, bounds in self._phases.bounds().items()
            },
            "cold_overloads": self._falls_by_phase,
            "cold_requests": self._cold_requests(),
            "bookings_once": once,
            "booking_failures": len(self._bookings.failures),
            **self._notes,
        }
        return {
            "figures": figures,
            "violations": self._violations(wrong),
            "series": self._series(),
        }

    def _cold_requests(self) -> int:
        totals = self._cluster.read("engines", "/stats")["totals"]
        return int(totals.get("cold_requests", 0))

    def _violations(self, wrong_bookings: list[str]) -> list[str]:
        found = [
            f"wrong token: {record.wrong}"
            for record in self._records
            if record.wrong is not None
        ]
        found += wrong_bookings
        late = self._notes["late_requests"]
        if late:
            found.append(f"{late:.0f} requests in {ZONE} after its take-out")
        overloads = sum(self._falls_by_phase.values())
        # Callers without a system know nothing of cold targets.
        if overloads and self._policy != "direct":
            found.append(f"{overloads} overloads of cold targets")
        return [f"{self._policy}: {text}" for text in found]

    def _phase_figures(
        self, start_s: float, end_s: float
    ) -> dict[str, dict[str, float]]:
        sizes = {c.name: c.size for c in _schedule.CUSTOMERS}
        length_s = end_s - start_s
        found = {}
        for size in ("large", "small"):
            records = [
                record
                for record in self._records
                if sizes[record.customer] == size
                and start_s <= record.planned_s - self._start_s < end_s
            ]
            found[size] = _summary(records, length_s)
        return found

    def _series(self) -> list[dict[str, typing.Any]]:
        """Return each request's outcome for the plot."""
        sizes = {c.name: c.size for c in _schedule.CUSTOMERS}
        return [
            {
                "at_s": record.planned_s - self._start_s,
                "size": sizes[record.customer],
                "good": is_good(record),
                "first_ms": record.first_ms,
            }
            for record in self._records
        ]


def is_good(record: _client.Record) -> bool:
    """Tell whether an answer is whole and within the design's limits."""
    if not record.whole or record.first_ms is None:
        return False
    gap_ms = _stats.quantile(record.gaps_ms, 0.95)
    return record.first_ms <= FIRST_LIMIT_MS and gap_ms <= GAP_LIMIT_MS


def _summary(
    records: list[_client.Record], length_s: float
) -> dict[str, float]:
    firsts = [r.first_ms for r in records if r.first_ms is not None]
    gaps = [gap for record in records for gap in record.gaps_ms]
    good = sum(is_good(record) for record in records)
    whole = sum(record.whole for record in records)
    figures = {
        "offered_per_s": len(records) / length_s,
        "whole_per_s": whole / length_s,
        "goodput_per_s": good / length_s,
        "good_share": good / len(records) if records else 0.0,
        "failed": float(len(records) - whole),
        "refused": float(sum(r.status in (429, 503) for r in records)),
    }
    for name, values in (("first", firsts), ("gap", gaps)):
        for share in (50, 95, 99):
            key = f"{name}_p{share}_ms"
            figures[key] = _stats.quantile(values, share / 100)
    return figures


def _show(policy: str, figures: dict[str, typing.Any]) -> None:
    for phase, by_size in figures["phases"].items():
        for size, row in by_size.items():
            print(
                f"{policy:7} {phase:7} {size:6}"
                f" offered {row['offered_per_s']:5.1f}/s"
                f" good {row['goodput_per_s']:5.1f}/s"
                f" failed {row['failed']:4.0f} first"
                f" {row['first_p50_ms']:5.0f} {row['first_p95_ms']:6.0f}"
                f" {row['first_p99_ms']:6.0f} gap {row['gap_p50_ms']:4.0f}"
                f" {row['gap_p95_ms']:4.0f} {row['gap_p99_ms']:4.0f}",
                flush=True,
            )
    rest = {key: figures[key] for key in figures if key != "phases"}
    print(f"{policy:7} {_results.rounded(rest, 0)}", flush=True)


def main(
    seed: int = 1,
    policies: str | tuple[str, ...] = POLICIES,
    folder: str = "",
    before_s: float = 15.0,
    away_s: float = 25.0,
    after_s: float = 25.0,
) -> None:
    """Compare policies while a zone leaves and returns."""
    if isinstance(policies, str):
        policies = tuple(policies.split(","))
    phases = Phases(before_s=before_s, away_s=away_s, after_s=after_s)
    document = {
        **_results.conditions(seed),
        "phases": attrs.asdict(phases),
        "figures": {},
        "violations": [],
    }
    series = {}
    for policy in policies:
        found = Run(policy, phases, seed).run()
        document["figures"][policy] = found["figures"]
        document["violations"] += found["violations"]
        series[policy] = found["series"]
        _show(policy, found["figures"])
    _results.write("zone", document, folder)
    _zone_plot.draw(series, phases.bounds(), _results.path("zone.png", folder))
    _results.finish(document["violations"])
