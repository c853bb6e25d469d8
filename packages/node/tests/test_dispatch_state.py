"""Tests of the dispatch state: grants, queues and limits."""

import random
import typing
import unittest

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

import fakes
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import routing
from quetzalward_core import testing
from quetzalward_node.dispatch import _state
from quetzalward_node import interfaces

ZONES = fakes.ZONES
OK = interfaces.AttemptReport(interfaces.AttemptResult.OK, 10, 200.0, 30.0)


class Fixture:
    """A dispatch state over three groups, one in each zone."""

    def __init__(self, seed: int = 1, bearable: int = 2) -> None:
        self.groups = [
            testing.make_group(f"g{n}", zone=zone)
            for n, zone in enumerate(ZONES)
        ]
        self.control = fakes.ControlSource(fakes.make_control(self.groups))
        self.now_ms = 0
        self.bearable = bearable
        self.states = {
            group.group_id: routing.EngineState.WARM for group in self.groups
        }
        self.state = _state.DispatchState(
            "n1", "z1", self.control, random.Random(seed), 0
        )
        self.report()

    def report(self, **running: int) -> None:
        """Publish current reports; `running` counts requests by group."""
        reports = {
            group.group_id: testing.make_report(
                group,
                self.now_ms,
                running=running.get(group.group_id, 0),
                state=self.states[group.group_id],
                bearable=self.bearable,
            )
            for group in self.groups
        }
        view = interfaces.TargetsView(
            frozenset(reports),
            reports,
            {name: f"http://{name}" for name in reports},
            testing.make_host_list(self.groups, self.now_ms),
        )
        self.state.pool.apply_targets(view, (), self.now_ms)

    def advance(self, delta_ms: int) -> list[tuple[int, _state.Outcome]]:
        """Advance the time by heartbeats, each with new reports and a tick."""
        outcomes = []
        end_ms = self.now_ms + delta_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 1_000)
            loads = {
                group.group_id: self.state.pool.in_flight(group.group_id)
                for group in self.groups
            }
            self.state.refresh(self.now_ms)
            self.report(**loads)
            outcomes += self.state.tick(self.now_ms)
        return outcomes

    def submit(self, number: int, **fields: typing.Any) -> object:
        request = fakes.make_request(number, **fields)
        return self.state.submit(number, request, self.now_ms)

    def grants(self, count: int) -> list[interfaces.Grant]:
        found = [self.submit(n) for n in range(count)]
        assert all(isinstance(one, interfaces.Grant) for one in found), found
        return typing.cast(list[interfaces.Grant], found)


class GrantTest(unittest.TestCase):
    """Guards the rules that hold for each grant (R1, R3, R4, R8)."""

    def setUp(self) -> None:
        self.fixture = Fixture()

    def refused(self, outcome: object) -> errors.ErrorKind:
        self.assertIsInstance(outcome, errors.QuetzalwardError)
        return typing.cast(errors.QuetzalwardError, outcome).kind

    def test_work_spreads_over_free_targets_and_then_queues(self) -> None:
        grants = self.fixture.grants(6)
        targets = sorted(grant.target_id for grant in grants)
        self.assertEqual(targets, ["g0", "g0", "g1", "g1", "g2", "g2"])
        self.assertIsNone(self.fixture.submit(9))
        self.assertEqual(self.fixture.state.waiting, 1)

    def test_released_slot_serves_the_queue(self) -> None:
        grants = self.fixture.grants(6)
        self.fixture.submit(9)
        self.fixture.state.release(grants[0], OK, 10)
        [(ticket, outcome)] = self.fixture.state.tick(10)
        self.assertEqual(ticket, 9)
        assert isinstance(outcome, interfaces.Grant)
        self.assertEqual(outcome.target_id, grants[0].target_id)

    def test_zone_out_of_service_gets_no_grants(self) -> None:
        self.fixture.control.set(zones_out=frozenset({"z1", "z2"}))
        zones = {grant.zone for grant in self.fixture.grants(2)}
        self.assertEqual(zones, {"z3"})
        self.assertIsNone(self.fixture.submit(9))

    def test_draining_target_gets_no_grants(self) -> None:
        groups = dict(self.fixture.control.current.groups)
        groups["g0"] = attrs.evolve(groups["g0"], draining=True)
        self.fixture.control.set(groups=groups)
        targets = {grant.target_id for grant in self.fixture.grants(4)}
        self.assertEqual(targets, {"g1", "g2"})

    def test_control_view_is_read_again_before_the_grant(self) -> None:
        before = self.fixture.control.current
        out = attrs.evolve(before, zones_out=frozenset({"z1", "z2"}))
        # The first read is for the choice, the second for the grant.
        self.fixture.control.next_views = [before, out]
        outcome = self.fixture.submit(1)
        assert isinstance(outcome, interfaces.Grant)
        self.assertEqual(outcome.zone, "z3")

    def test_isolation_between_choice_and_grant_stops_the_grant(self) -> None:
        before = self.fixture.control.current
        self.fixture.control.next_views = [
            before,
            attrs.evolve(before, isolated=True),
        ]
        self.assertIsNone(self.fixture.submit(1))
        [(_, outcome)] = self.fixture.state.tick(0)
        self.assertIs(self.refused(outcome), errors.ErrorKind.NODE_ISOLATED)

    def test_old_reports_stop_new_work(self) -> None:
        self.fixture.now_ms = 3_001
        self.assertIsNone(self.fixture.submit(1))

    def test_node_and_request_states_that_are_rejected(self) -> None:
        kinds = errors.ErrorKind
        found = self.refused(self.fixture.submit(1, model="x"))
        self.assertIs(found, kinds.UNKNOWN_MODEL)
        self.fixture.control.set(groups={})
        self.assertIs(self.refused(self.fixture.submit(2)), kinds.NO_TARGET)
        self.fixture.control.set(isolated=True)
        found = self.refused(self.fixture.submit(3))
        self.assertIs(found, kinds.NODE_ISOLATED)
        self.fixture.state.stop_admission()
        found = self.refused(self.fixture.submit(4))
        self.assertIs(found, kinds.NODE_STOPPING)

    def test_adapter_needs_a_target_that_reports_it(self) -> None:
        self.assertIsNone(self.fixture.submit(1, model="m-tuned"))

    def test_failed_targets_are_excluded_from_a_retry(self) -> None:
        for n in range(5):
            excluded = frozenset({"g0", "g1"})
            outcome = self.fixture.submit(n, attempt=2, excluded=excluded)
            if n < 2:
                assert isinstance(outcome, interfaces.Grant)
                self.assertEqual(outcome.target_id, "g2")
            else:
                self.assertIsNone(outcome)

    def test_refusing_target_gets_no_grants_until_its_next_report(
        self,
    ) -> None:
        [grant] = self.fixture.grants(1)
        refused = interfaces.AttemptReport(interfaces.AttemptResult.REFUSED)
        self.fixture.state.release(grant, refused, 0)
        targets = {one.target_id for one in self.fixture.grants(4)}
        self.assertNotIn(grant.target_id, targets)


class DoubtTest(unittest.TestCase):
    """Guards against the load of a warm target on one that became cold (R3).

    Three nodes that each learned of it only by their own attempts or polls
    together sent it more requests than it bears.
    """

    def setUp(self) -> None:
        self.fixture = Fixture()

    def doubts_after(
        self, result: interfaces.AttemptResult
    ) -> tuple[str, frozenset[str]]:
        [grant] = self.fixture.grants(1)
        report = interfaces.AttemptReport(result)
        self.fixture.state.release(grant, report, 0)
        return grant.target_id, self.fixture.state.pool.take_doubts()

    def test_failed_and_cold_attempts_raise_a_doubt_once(self) -> None:
        for result in (
            interfaces.AttemptResult.FAILED,
            interfaces.AttemptResult.TIMED_OUT,
            interfaces.AttemptResult.COLD,
        ):
            with self.subTest(result=result):
                self.setUp()
                target_id, doubts = self.doubts_after(result)
                self.assertEqual({target_id}, doubts)
                self.assertEqual(
                    frozenset(), self.fixture.state.pool.take_doubts()
                )

    def test_refusal_for_load_raises_no_doubt(self) -> None:
        _, doubts = self.doubts_after(interfaces.AttemptResult.REFUSED)
        self.assertEqual(frozenset(), doubts)

    def test_doubted_target_gets_no_grants_until_a_newer_report(self) -> None:
        self.fixture.state.pool.doubt("g1", 0)
        targets = {one.target_id for one in self.fixture.grants(4)}
        self.assertEqual({"g0", "g2"}, targets)
        self.fixture.advance(1_000)
        outcome = self.fixture.submit(9)
        assert isinstance(outcome, interfaces.Grant)
        self.assertEqual("g1", outcome.target_id)

    def test_unknown_target_is_ignored(self) -> None:
        self.fixture.state.pool.doubt("elsewhere", 0)
        self.assertEqual(6, len(self.fixture.grants(6)))


class ColdTest(unittest.TestCase):
    """Guards against full load on a cold target (R3)."""

    def setUp(self) -> None:
        self.fixture = Fixture(bearable=1)

    def all_cold(self) -> None:
        cold = routing.EngineState.COLD
        self.fixture.states = dict.fromkeys(self.fixture.states, cold)
        self.fixture.now_ms += 1
        self.fixture.report()

    def test_cold_targets_take_work_only_by_slots(self) -> None:
        self.all_cold()
        self.assertIsNone(self.fixture.submit(1, deadline_ms=90_000))
        self.fixture.state.withdraw(1)
        self.fixture.advance(6_000)
        grants = self.fixture.grants(3)
        self.assertEqual(len({grant.target_id for grant in grants}), 3)
        self.assertIsNone(self.fixture.submit(9))

    def test_slots_need_current_ownership(self) -> None:
        self.all_cold()
        self.fixture.advance(6_000)
        self.fixture.control.set(ownership_current=False)
        self.assertIsNone(self.fixture.submit(1))

    def test_refusal_as_cold_moves_queued_work(self) -> None:
        grants = self.fixture.grants(3)
        self.fixture.submit(9)
        cold = interfaces.AttemptReport(interfaces.AttemptResult.COLD)
        self.fixture.state.release(grants[0], cold, 0)
        self.assertEqual(self.fixture.state.tick(0), [])
        self.fixture.state.release(grants[1], OK, 0)
        [(_, outcome)] = self.fixture.state.tick(0)
        assert isinstance(outcome, interfaces.Grant)
        self.assertEqual(outcome.target_id, grants[1].target_id)


class QueueTest(unittest.TestCase):
    """Guards against endless waits and leaked concurrency slots."""

    def setUp(self) -> None:
        self.fixture = Fixture()
        self.grants = self.fixture.grants(6)

    def test_waiting_ends_with_an_error(self) -> None:
        self.fixture.submit(8, deadline_ms=2_000)
        self.fixture.submit(9)
        kinds = [
            (ticket, typing.cast(errors.QuetzalwardError, outcome).kind)
            for ticket, outcome in self.fixture.advance(5_000)
        ]
        unreachable = errors.ErrorKind.DEADLINE_UNREACHABLE
        overloaded = errors.ErrorKind.OVERLOADED
        self.assertEqual(kinds, [(8, unreachable), (9, overloaded)])
        self.assertEqual(self.fixture.state.customers.in_use("small"), 6)

    def test_withdrawn_request_frees_its_concurrency_slot(self) -> None:
        self.fixture.submit(9)
        self.fixture.state.withdraw(9)
        self.assertEqual(self.fixture.state.waiting, 0)
        self.assertEqual(self.fixture.state.customers.in_use("small"), 6)

    def test_request_that_would_wait_too_long_is_rejected_at_once(
        self,
    ) -> None:
        for n in range(10, 20):
            self.fixture.submit(n)
        now_ms = 0
        for grant in self.grants[:4]:
            now_ms += 800
            self.fixture.state.release(grant, OK, now_ms)
            self.fixture.state.tick(now_ms)
        self.fixture.now_ms = now_ms
        outcome = self.fixture.submit(30)
        assert isinstance(outcome, errors.QuetzalwardError), outcome
        self.assertIs(outcome.kind, errors.ErrorKind.OVERLOADED)
        assert outcome.retry_after_ms is not None
        self.assertGreaterEqual(outcome.retry_after_ms, 1_000)

    def test_random_policy_does_not_reject_early(self) -> None:
        # The random policy is the baseline of the experiments, which must not
        # benefit from early rejection.
        settings = attrs.evolve(
            self.fixture.control.current.configuration,
            routing=config.Routing(policy="random"),
        )
        self.fixture.control.set(configuration=settings)
        for n in range(10, 20):
            self.fixture.submit(n)
        now_ms = 0
        for grant in self.grants[:4]:
            now_ms += 800
            self.fixture.state.release(grant, OK, now_ms)
            self.fixture.state.tick(now_ms)
        self.fixture.now_ms = now_ms
        self.assertIsNone(self.fixture.submit(30))

    def test_retries_are_served_before_the_queue(self) -> None:
        self.fixture.submit(9)
        self.fixture.submit(10, attempt=2)
        self.fixture.state.release(self.grants[0], OK, 1)
        tickets = [ticket for ticket, _ in self.fixture.state.tick(1)]
        self.assertEqual(tickets, [10])

    def test_concurrency_limit_counts_until_finish(self) -> None:
        customer = config.Customer((), max_concurrency=6)
        self.fixture.control.set(
            configuration=attrs.evolve(
                self.fixture.control.current.configuration,
                customers={"small": customer},
            )
        )
        outcome = self.fixture.submit(9)
        assert isinstance(outcome, errors.QuetzalwardError)
        limited = errors.ErrorKind.CONCURRENCY_LIMITED
        self.assertIs(outcome.kind, limited)
        self.fixture.state.finish("r0")
        self.fixture.state.finish("r0")
        self.assertIsNone(self.fixture.submit(9))


class StateMachine(stateful.RuleBasedStateMachine):
    """Random requests, reports and control changes on one node.

    Guards against leaked grants and concurrency slots, and against grants that
    break R1, R3, R4 or R8 at the time of the grant.
    """

    @stateful.initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        self.fixture = Fixture(seed)
        self.number = 0
        self.open: dict[int, interfaces.Grant] = {}
        self.queued: set[int] = set()
        self.active: set[str] = set()
        self.cold_since_ms: dict[str, int] = {}

    def check_grant(self, grant: interfaces.Grant) -> None:
        control = self.fixture.control.current
        group = control.groups[grant.target_id]
        assert not control.isolated
        assert not group.draining
        assert grant.zone not in control.zones_out
        engine = self.fixture.states[grant.target_id]
        assert engine is not routing.EngineState.LOADING
        if engine is routing.EngineState.COLD:
            # Earlier, other nodes may still treat the target as warm.
            since_ms = self.cold_since_ms[grant.target_id]
            assert self.fixture.now_ms - since_ms >= 5_250
        in_flight = self.fixture.state.pool.in_flight(grant.target_id)
        assert in_flight <= self.fixture.bearable
        self.open[grant.grant_id] = grant
        self.active.add(grant.request_id)

    def record_outcome(self, ticket: int, outcome: object) -> None:
        self.queued.discard(ticket)
        if outcome is None:
            self.queued.add(ticket)
            self.active.add(f"r{ticket}")
        elif isinstance(outcome, interfaces.Grant):
            self.check_grant(outcome)
        else:
            self.active.discard(f"r{ticket}")

    @stateful.rule(
        customer=st.sampled_from(("small", "large")),
        wait_ms=st.integers(0, 8_000),
    )
    def submit(self, customer: str, wait_ms: int) -> None:
        self.number += 1
        deadline_ms = self.fixture.now_ms + wait_ms
        outcome = self.fixture.submit(
            self.number, customer=customer, deadline_ms=deadline_ms
        )
        self.record_outcome(self.number, outcome)

    @stateful.rule(delta_ms=st.integers(1, 3_000))
    def advance(self, delta_ms: int) -> None:
        for ticket, outcome in self.fixture.advance(delta_ms):
            self.record_outcome(ticket, outcome)

    @stateful.rule(
        pick=st.integers(0, 50),
        result=st.sampled_from(interfaces.AttemptResult),
    )
    def release(self, pick: int, result: interfaces.AttemptResult) -> None:
        if not self.open:
            return
        grant_id = sorted(self.open)[pick % len(self.open)]
        grant = self.open.pop(grant_id)
        report = interfaces.AttemptReport(result, 5, 100.0, 30.0)
        now_ms = self.fixture.now_ms
        assert self.fixture.state.release(grant, report, now_ms)
        assert not self.fixture.state.release(grant, report, now_ms)
        self.fixture.state.finish(grant.request_id)
        self.active.discard(grant.request_id)

    @stateful.rule(pick=st.integers(0, 50))
    def withdraw(self, pick: int) -> None:
        if self.queued:
            ticket = sorted(self.queued)[pick % len(self.queued)]
            self.fixture.state.withdraw(ticket)
            self.queued.discard(ticket)
            self.active.discard(f"r{ticket}")

    @stateful.rule(zones=st.sets(st.sampled_from(ZONES)))
    def take_zones_out(self, zones: set[str]) -> None:
        self.fixture.control.set(zones_out=frozenset(zones))

    @stateful.rule(isolated=st.booleans())
    def isolate(self, isolated: bool) -> None:
        self.fixture.control.set(isolated=isolated)

    @stateful.rule(name=st.sampled_from(("g0", "g1", "g2")))
    def drain_or_undrain(self, name: str) -> None:
        groups = dict(self.fixture.control.current.groups)
        draining = not groups[name].draining
        groups[name] = attrs.evolve(groups[name], draining=draining)
        self.fixture.control.set(groups=groups)

    @stateful.rule(
        name=st.sampled_from(("g0", "g1", "g2")),
        engine=st.sampled_from(("cold", "warm", "loading")),
    )
    def transition_engine(self, name: str, engine: str) -> None:
        before = self.fixture.states[name]
        self.fixture.states[name] = routing.EngineState(engine)
        if before is routing.EngineState.WARM and engine == "cold":
            self.cold_since_ms[name] = self.fixture.now_ms + 1
        elif engine == "cold":
            self.cold_since_ms.setdefault(name, -5_250)
        loads = {
            group.group_id: self.fixture.state.pool.in_flight(group.group_id)
            for group in self.fixture.groups
        }
        self.fixture.now_ms += 1
        self.fixture.report(**loads)

    @stateful.invariant()
    def nothing_leaks(self) -> None:
        if not hasattr(self, "fixture"):
            return
        state = self.fixture.state
        assert state.open_grants == len(self.open)
        assert state.waiting == len(self.queued)
        slots_in_use = sum(
            state.customers.in_use(c) for c in ("small", "large")
        )
        assert slots_in_use == len(self.active)


StateMachineTest = StateMachine.TestCase
StateMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=50
)
