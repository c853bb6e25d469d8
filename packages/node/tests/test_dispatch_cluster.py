"""Test of the dispatch states of several nodes that share one target."""

import random
import typing

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

import fakes
from quetzalward_core import config
from quetzalward_core import routing
from quetzalward_core import testing
from quetzalward_node.dispatch import _state
from quetzalward_node import interfaces

NAMES = ("a", "b", "c")
REQUEST_MS = 20_000
MAX_LAG_MS = 5_000
BEARABLE = 2
GROUP = testing.make_group("t1")
ENDED = interfaces.AttemptReport(interfaces.AttemptResult.CANCELLED)


def settings() -> config.Configuration:
    return config.Configuration(
        zones={"z1": config.Zone("r1")},
        models={"m": config.Model(2, 1)},
        customers={"small": config.Customer((), 1.0, 1e6, 10_000)},
        limits=config.Limits(request_timeout_ms=REQUEST_MS),
    )


@attrs.define
class Node:
    """One node with its delayed control view."""

    control: fakes.ControlSource
    state: _state.DispatchState
    applied_index: int = 0
    grants: list[interfaces.Grant] = attrs.field(factory=list)


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Guards R3 across all nodes, and R4 and R8 in each node's own view.

    Nodes join and leave, and each node sees the fold up to 5 s late. The
    engine changes between cold and warm, and its reports are delayed.
    """

    @stateful.initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        self.now_ms = 0
        self.number = 0
        self.engine = routing.EngineState.COLD
        self.folds: list[tuple[int, frozenset[str]]] = [(0, frozenset("ab"))]
        # Start time of each request at the engine, by node and grant.
        self.running: dict[tuple[str, int], int] = {}
        self.reports: list[routing.EngineReport] = []
        self.nodes: dict[str, Node] = {}
        for index, name in enumerate(NAMES):
            control = fakes.ControlSource(
                fakes.make_control(
                    [GROUP],
                    configuration=settings(),
                    nodes={"a": "z1", "b": "z1"},
                )
            )
            rng = random.Random(seed * 10 + index)
            state = _state.DispatchState(name, "z1", control, rng, 0)
            self.nodes[name] = Node(control, state)
        self.step(0)

    def step(self, back: int) -> None:
        """Update the views, publish a report to the nodes, serve queues."""
        self.reports.append(
            testing.make_report(
                GROUP,
                self.now_ms,
                state=self.engine,
                running=len(self.running),
                bearable=BEARABLE if self.cold else 16,
            )
        )
        report = self.reports[max(0, len(self.reports) - 1 - back)]
        for name, node in self.nodes.items():
            for index in range(node.applied_index + 1, len(self.folds)):
                if self.folds[index][0] <= self.now_ms - MAX_LAG_MS:
                    self.apply_membership(node, index)
            self.publish(node, report)
            for _, outcome in node.state.tick(self.now_ms):
                self.record_outcome(name, outcome)

    def publish(self, node: Node, report: routing.EngineReport) -> None:
        known = node.state.pool._view.reports.get("t1")
        if known is not None and known.as_of_ms >= report.as_of_ms:
            return
        node.state.refresh(self.now_ms)
        view = interfaces.TargetsView(
            frozenset({"t1"}), {"t1": report}, {"t1": "http://t1"}, None
        )
        node.state.pool.apply_targets(view, (), self.now_ms)

    def apply_membership(self, node: Node, index: int) -> None:
        node.applied_index = index
        node.control.set(nodes=dict.fromkeys(self.folds[index][1], "z1"))
        node.state.refresh(self.now_ms)

    @property
    def cold(self) -> bool:
        return self.engine is routing.EngineState.COLD

    def record_outcome(self, name: str, outcome: object) -> None:
        """Start the attempt of a grant and check the rules."""
        if not isinstance(outcome, interfaces.Grant):
            return
        node = self.nodes[name]
        control = node.control.current
        assert not control.groups["t1"].draining
        assert "z1" not in control.zones_out
        node.grants.append(outcome)
        self.running[(name, outcome.grant_id)] = self.now_ms
        known_cold = node.state.pool._slots.is_cold("t1")
        if self.cold and known_cold:
            assert len(self.running) <= BEARABLE

    @stateful.rule(
        delta_ms=st.integers(200, 1_000),
        times=st.integers(1, 8),
        back=st.integers(0, 2),
        sending=st.booleans(),
    )
    def advance(
        self, delta_ms: int, times: int, back: int, sending: bool
    ) -> None:
        for _ in range(times):
            self.now_ms += delta_ms
            for key, since_ms in list(self.running.items()):
                if since_ms <= self.now_ms - REQUEST_MS:
                    self.end(key)
            self.step(back)
            for name in NAMES if sending else ():
                self.submit(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def submit(self, name: str) -> None:
        self.number += 1
        request = fakes.make_request(
            self.number, deadline_ms=self.now_ms + 2_000
        )
        state = self.nodes[name].state
        self.record_outcome(
            name, state.submit(self.number, request, self.now_ms)
        )

    @stateful.rule(
        name=st.sampled_from(NAMES), readers=st.sets(st.sampled_from(NAMES))
    )
    def join_or_leave(self, name: str, readers: set[str]) -> None:
        changed = self.folds[-1][1] ^ {name}
        if changed:
            self.folds.append((self.now_ms, changed))
        for reader in sorted(readers):
            self.apply_membership(self.nodes[reader], len(self.folds) - 1)

    @stateful.rule()
    def toggle_engine_state(self) -> None:
        warm = routing.EngineState.WARM
        self.engine = warm if self.cold else routing.EngineState.COLD

    @stateful.rule(name=st.sampled_from(NAMES), draining=st.booleans())
    def submit_while_stopped(self, name: str, draining: bool) -> None:
        """Submit while the zone is out of service or the target draining."""
        control = self.nodes[name].control
        before = control.current
        if draining:
            group = attrs.evolve(GROUP, draining=True)
            control.set(groups={"t1": group})
        else:
            control.set(zones_out=frozenset({"z1"}))
        self.submit(name)
        control.current = before

    @stateful.rule(pick=st.integers(0, 100), count=st.integers(1, 8))
    def finish(self, pick: int, count: int) -> None:
        for _ in range(min(count, len(self.running))):
            self.end(sorted(self.running)[pick % len(self.running)])

    def end(self, key: tuple[str, int]) -> None:
        del self.running[key]
        name, grant_id = key
        node = self.nodes[name]
        [grant] = [g for g in node.grants if g.grant_id == grant_id]
        node.grants.remove(grant)
        node.state.release(grant, ENDED, self.now_ms)
        node.state.finish(grant.request_id)

    @stateful.invariant()
    def nothing_leaks(self) -> None:
        for node in getattr(self, "nodes", {}).values():
            assert node.state.open_grants == len(node.grants)
            slots_in_use = node.state.customers.in_use("small")
            assert slots_in_use == len(node.grants) + node.state.waiting


ClusterMachineTest: typing.Any = ClusterMachine.TestCase
ClusterMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=50
)
