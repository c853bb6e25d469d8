"""The demo behind `make demo`: callers go on while parts fail."""

import sys
import time
import typing

import attrs
import urllib3

from quetzalward_standins import callers
from quetzalward_standins import cluster

DRAFT_TOKENS = 40
DRAFTERS = 12
BOOKERS = 3
PAUSE_S = 0.05
CALL_TIMEOUT_S = 45.0
WARM_UP_TIMEOUT_S = 90.0
OPERATE_TIMEOUT_S = 20.0
# How long each situation lasts.
PHASE_S = 6.0
ZONE = "zone-b"


def run(
    spec: cluster.ClusterSpec = cluster.ClusterSpec(),
    phase_s: float = PHASE_S,
) -> int:
    """Run the demo and return the number of failures."""
    running = cluster.Cluster(spec)
    try:
        running.start()
        outcome = Demo(running, phase_s).run()
    except cluster.ClusterError as error:
        say(str(error))
        outcome = Outcome(0, 0, (str(error),))
    finally:
        running.stop()
    # After the stop, so that no node's log line follows the last line.
    return finish(outcome)


def say(text: str) -> None:
    """Print one step."""
    print(f"demo: {text}", flush=True)


@attrs.frozen
class Outcome:
    """What the callers saw in the whole demo."""

    drafts: int
    bookings: int
    failures: tuple[str, ...]


def finish(outcome: Outcome) -> int:
    """Print the failures and the last line; return their number."""
    failures = outcome.failures
    for failure in failures:
        print(f"demo: failure: {failure}", file=sys.stderr)
    say(
        f"{outcome.drafts} drafts whole, {outcome.bookings} bookings once, "
        f"{len(failures)} failures"
    )
    return len(failures)


class Demo:
    """Calls on a running cluster while parts of it fail and return."""

    def __init__(self, running: cluster.Cluster, phase_s: float) -> None:
        """Prepare callers for the cluster's first customer."""
        self._phase_s = phase_s
        self._cluster = running
        pool = urllib3.PoolManager(num_pools=64, maxsize=64)
        entries = [
            callers.Entry(node.name, node.url, node.operators_url)
            for node in running.nodes
        ]
        self._balancer = callers.Balancer(entries, pool)
        self._caller = callers.Caller(
            self._balancer, pool, running.api_key, running.booking_path
        )
        self._load = callers.Load(
            self._caller, running.model, DRAFT_TOKENS, CALL_TIMEOUT_S
        )

    def run(self) -> Outcome:
        """Run all situations and return what the callers saw."""
        self._balancer.start()
        try:
            self._caller.draft(
                self._cluster.model, "first", 4, WARM_UP_TIMEOUT_S
            )
        except callers.CallFailed as error:
            return Outcome(0, 0, (f"no target came into service: {error}",))
        say("a target is in service; callers start")
        self._load.start(DRAFTERS, BOOKERS, PAUSE_S)
        steps: list[typing.Callable[[], None]] = [
            self._wait,
            self._kill_host,
            self._take_zone_out,
            self._bring_zone_back,
            self._stop_node,
        ]
        problems = []
        for step in steps:
            try:
                step()
            except cluster.ClusterError as error:
                problems.append(str(error))
        self._load.stop()
        self._balancer.stop()
        tally = self._load.tally
        executions = self._cluster.read("service", "/executions")
        once, wrong = callers.check_bookings(tally.keys, executions)
        failures = (*problems, *tally.failures, *wrong)
        return Outcome(tally.drafts, once, failures)

    def _wait(self) -> None:
        time.sleep(self._phase_s)

    def _kill_host(self) -> None:
        targets = self._cluster.read("engines", "/stats")["targets"]
        serving = [
            target
            for target in targets.values()
            if target["complete"] and target["state"] in ("cold", "warm")
        ]
        if not serving:
            raise cluster.ClusterError("no replica serves, none is killed")
        busiest = max(serving, key=lambda target: target["running"])
        host = busiest["hosts"][-1]
        say(f"host {host} of a replica fails")
        self._cluster.inject("engines", action="kill", host=host)
        self._wait()
        self._cluster.inject("engines", action="revive", host=host)

    def _take_zone_out(self) -> None:
        say(f"{ZONE} is taken out")
        self._set_zone("out")
        self._wait()
        before = self._requests_in_zone()
        self._wait()
        late = self._requests_in_zone() - before
        say(f"{late} attempts reached {ZONE} from {self._phase_s:.0f} s on")

    def _bring_zone_back(self) -> None:
        say(f"{ZONE} is brought back")
        self._set_zone("in")
        self._wait()

    def _stop_node(self) -> None:
        node = self._cluster.nodes[0]
        say(f"{node.name} is stopped gracefully")
        assert node.process
        node.process.terminate()
        self._wait()

    def _set_zone(self, state: str) -> None:
        deadline = time.monotonic() + OPERATE_TIMEOUT_S
        reason = ""
        while time.monotonic() < deadline:
            for node in self._cluster.nodes:
                answer = self._cluster.operate(
                    node, "POST", f"/zones/{ZONE}", {"state": state}
                )
                if answer and answer.status < 300:
                    return
                if answer:
                    reason = f"{node.name}: {answer.status} {answer.data!r}"
            time.sleep(1)
        raise cluster.ClusterError(f"zone not set {state}; last {reason}")

    def _requests_in_zone(self) -> int:
        targets = self._cluster.read("engines", "/stats")["targets"]
        return sum(
            target["counts"].get("requests", 0)
            for target in targets.values()
            if target["zone"] == ZONE
        )
