"""Tests of whole plans under random failures."""

import typing
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from quetzalward_core import config
from quetzalward_core import formation
from quetzalward_core import testing

_KIND = formation.ActionKind
_STATE = formation.GroupState
ZONES = ("z0", "z1", "z2")
STEP_MS = 3_000


def advance(fleet: formation.Fleet) -> formation.Fleet:
    """Advance time: missing hosts age, groups reach their next state."""
    hosts = {}
    for name, host in fleet.hosts.items():
        if host.presence is formation.Presence.MISSING:
            host = attrs.evolve(host, missing_ms=host.missing_ms + STEP_MS)
        hosts[name] = host
    groups = {}
    for name, group in fleet.groups.items():
        if group.state is _STATE.FORMING:
            group = attrs.evolve(group, state=_STATE.LOADING)
        elif group.state is _STATE.LOADING and group.load_started:
            group = attrs.evolve(group, state=_STATE.SERVING)
        elif group.state is _STATE.DRAINING:
            group = attrs.evolve(group, drained=True)
        groups[name] = group
    return attrs.evolve(fleet, hosts=hosts, groups=groups)


def with_host(
    fleet: formation.Fleet, name: str, **changes: typing.Any
) -> formation.Fleet:
    """Return the fleet with one host changed."""
    host = attrs.evolve(fleet.hosts[name], **changes)
    return attrs.evolve(fleet, hosts={**fleet.hosts, name: host})


def with_returned_host(
    fleet: formation.Fleet, name: str, new: bool
) -> formation.Fleet:
    """Return the fleet after a host returned.

    With `new`, the host was restarted: it has a new incarnation and no
    weights.
    """
    host = fleet.hosts[name]
    return with_host(
        fleet,
        name,
        presence=formation.Presence.LIVE,
        missing_ms=0,
        incarnation=host.incarnation + int(new),
        held_model=None if new else host.held_model,
    )


def run_until_stable(fleet: formation.Fleet, epoch: int) -> formation.Fleet:
    """Plan and apply until nothing changes; fail after 60 plans."""
    for step in range(60):
        plan = formation.make_plan(fleet)
        following = advance(
            formation.apply_plan(fleet, plan, epoch + 100 * step)
        )
        if not plan.actions and following == fleet:
            return fleet
        fleet = following
    raise AssertionError("the fleet still changes after 60 plans")


MODELS = {
    "a": config.Model(4, 3, importance=2),
    "b": config.Model(3, 2),
    "c": config.Model(2, 2, zones=("z0", "z1")),
}

Event = tuple[str, int]
events = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                "lose",
                "lose",
                "restart",
                "return",
                "leave",
                "domain",
                "out",
                "in",
                "drain",
                "undrain",
                "wait",
                "wait",
            )
        ),
        strategies.integers(0, 1_000),
    ),
    max_size=24,
)


def apply_event(fleet: formation.Fleet, event: Event) -> formation.Fleet:
    """Return the fleet after one random event."""
    kind, number = event
    name = sorted(fleet.hosts)[number % len(fleet.hosts)]
    zone = ZONES[number % len(ZONES)]
    missing = {"presence": formation.Presence.MISSING}
    if kind == "lose":
        return with_host(fleet, name, **missing)
    if kind in ("restart", "return"):
        return with_returned_host(fleet, name, kind == "restart")
    if kind == "leave":
        return with_host(fleet, name, presence=formation.Presence.LEAVING)
    if kind == "domain":
        for other, host in fleet.hosts.items():
            if host.domain == fleet.hosts[name].domain:
                fleet = with_host(fleet, other, **missing)
    if kind in ("out", "in"):
        out = fleet.zones_out - {zone}
        if kind == "out":
            out |= {zone}
        return attrs.evolve(fleet, zones_out=out)
    if kind == "drain" and fleet.groups:
        group = sorted(fleet.groups)[number % len(fleet.groups)]
        drained = fleet.drained_targets | {group}
        return attrs.evolve(fleet, drained_targets=drained)
    if kind == "undrain":
        return attrs.evolve(fleet, drained_targets=frozenset())
    return advance(fleet)


def needed_groups(fleet: formation.Fleet) -> dict[str, str]:
    """Return the model of each serving group that has no reason to stop."""
    found = {}
    for group in fleet.groups.values():
        hosts = [fleet.hosts[name] for name in group.incarnations]
        live = all(
            host.presence is formation.Presence.LIVE
            and host.incarnation == group.incarnations[host.host]
            for host in hosts
        )
        stopped = (
            group.zone in fleet.zones_out
            or group.group in fleet.drained_targets
        )
        if live and not stopped and group.state is _STATE.SERVING:
            found[group.group] = group.model
    return found


class PlanTest(unittest.TestCase):
    """Guards against plans that break R1 or R2, or stop needed groups."""

    def check(self, fleet: formation.Fleet, plan: formation.Plan) -> None:
        """Check one plan against the fleet that it was made for."""
        ended = {
            action.group
            for action in plan.actions
            if action.kind in (_KIND.DISSOLVE, _KIND.UNLOAD, _KIND.CANCEL)
        }
        taken = {
            name
            for group in fleet.groups.values()
            if group.group not in ended
            for name in group.incarnations
        }
        for action in plan.of_kind(_KIND.FORM):
            self.assertFalse(taken & set(action.hosts))
            taken |= set(action.hosts)
            hosts = [fleet.hosts[name] for name in action.hosts]
            self.assertEqual({h.domain for h in hosts}, {action.domain})
            self.assertEqual({h.zone for h in hosts}, {action.zone})
            self.assertNotIn(action.zone, fleet.zones_out)
            for host in hosts:
                self.assertIs(host.presence, formation.Presence.LIVE)
            size = fleet.models[action.model].hosts_per_replica
            self.assertEqual(len(hosts), size)
        self.check_needed(fleet, plan)

    def check_needed(
        self, fleet: formation.Fleet, plan: formation.Plan
    ) -> None:
        """Check that stopped healthy groups are beyond the declared count."""
        healthy = needed_groups(fleet)
        stopping = {
            action.group
            for action in plan.actions
            if action.kind
            in (
                _KIND.DRAIN,
                _KIND.CANCEL,
                _KIND.DISSOLVE,
                _KIND.UNLOAD,
                _KIND.BREAK,
            )
        }
        for model, declared in fleet.models.items():
            mine = {g for g, name in healthy.items() if name == model}
            if mine & stopping:
                left = len(mine - stopping)
                self.assertGreaterEqual(left, declared.replicas)

    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(events)
    def test_invariants_under_failures(self, history: list[Event]) -> None:
        fleet = run_until_stable(testing.formation_fleet(MODELS, 3, 2, 6), 1)
        epoch = 10_000
        for event in history:
            fleet = apply_event(fleet, event)
            plan = formation.make_plan(fleet)
            self.check(fleet, plan)
            fleet = formation.apply_plan(fleet, plan, epoch)
            epoch += 100
        self.check_recovery(fleet, epoch)

    def check_recovery(self, fleet: formation.Fleet, epoch: int) -> None:
        """Check that all replicas serve again once all faults are cleared."""
        for name in fleet.hosts:
            fleet = with_returned_host(fleet, name, new=False)
        fleet = attrs.evolve(
            fleet, zones_out=frozenset(), drained_targets=frozenset()
        )
        fleet = run_until_stable(fleet, epoch)
        for model, declared in MODELS.items():
            serving = [
                group
                for group in fleet.groups.values()
                if group.model == model and group.state is _STATE.SERVING
            ]
            self.assertEqual(len(serving), declared.replicas, model)

    @hypothesis.settings(
        derandomize=True, max_examples=60, deadline=None, database=None
    )
    @hypothesis.given(events, strategies.randoms(use_true_random=False))
    def test_plan_is_independent_of_input_order(
        self, history: list[Event], random: typing.Any
    ) -> None:
        fleet = testing.formation_fleet(MODELS, 3, 2, 6)
        for index, event in enumerate(history):
            fleet = apply_event(fleet, event)
            plan = formation.make_plan(fleet)
            hosts = list(fleet.hosts.items())
            groups = list(fleet.groups.items())
            random.shuffle(hosts)
            random.shuffle(groups)
            shuffled = attrs.evolve(
                fleet, hosts=dict(hosts), groups=dict(groups)
            )
            self.assertEqual(formation.make_plan(shuffled), plan)
            fleet = formation.apply_plan(fleet, plan, 100 * index + 1)

    def test_parts_of_the_zones_make_up_the_plan(self) -> None:
        """An action in no zone's part would never be executed."""
        plan = formation.make_plan(testing.formation_fleet(MODELS))
        parts = [plan.for_zone(zone).actions for zone in ZONES]
        together = [action for part in parts for action in part]
        self.assertCountEqual(together, plan.actions)


class HysteresisTest(unittest.TestCase):
    """Guards against re-forming a group after a short absence of a host."""

    def setUp(self) -> None:
        """Form one group, with a spare host in its domain."""
        models = {"a": config.Model(4, 1)}
        fleet = testing.formation_fleet(models, 1, 1, 5)
        self.fleet = run_until_stable(fleet, 1)
        (group,) = self.fleet.groups.values()
        self.member = sorted(group.incarnations)[0]

    def plan_without_member(self, missing_ms: int) -> formation.Plan:
        """Return the plan once a host has been missing for `missing_ms`."""
        return formation.make_plan(
            with_host(
                self.fleet,
                self.member,
                presence=formation.Presence.MISSING,
                missing_ms=missing_ms,
            )
        )

    def test_short_gap_changes_nothing(self) -> None:
        plan = self.plan_without_member(formation.REFORM_AFTER_MS - 1)
        self.assertEqual(plan.actions, ())

    def test_long_gap_reforms_the_group(self) -> None:
        plan = self.plan_without_member(formation.REFORM_AFTER_MS)
        kinds = [action.kind for action in plan.actions]
        self.assertEqual(kinds, [_KIND.BREAK, _KIND.DISSOLVE, _KIND.FORM])
        self.assertNotIn(self.member, plan.actions[-1].hosts)

    def test_stale_host_list_changes_no_group(self) -> None:
        fleet = attrs.evolve(
            self.fleet,
            host_list_age_ms=formation.HOST_LIST_MAX_AGE_MS + 1,
            hosts={},
        )
        self.assertEqual(formation.make_plan(fleet).actions, ())

    def test_broken_group_is_kept_if_no_spare_host_exists(self) -> None:
        """If it were dissolved, its return would need a weight load."""
        models = {"a": config.Model(5, 1)}
        fleet = run_until_stable(testing.formation_fleet(models, 1, 1, 5), 1)
        name = sorted(fleet.hosts)[0]
        lost = with_host(
            fleet,
            name,
            presence=formation.Presence.MISSING,
            missing_ms=formation.REFORM_AFTER_MS,
        )
        plan = formation.make_plan(lost)
        self.assertEqual([a.kind for a in plan.actions], [_KIND.BREAK])
        broken = formation.apply_plan(lost, plan, 10)
        again = with_returned_host(broken, name, new=False)
        plan = formation.make_plan(again)
        self.assertEqual(plan.actions[0].kind, _KIND.REPAIR)

    def test_flapping_host_is_left_out(self) -> None:
        """The group is re-formed once, without the flapping host."""
        fleet, forms = self.fleet, 0
        for step in range(20):
            fleet = with_host(
                fleet,
                self.member,
                presence=formation.Presence.MISSING,
                missing_ms=formation.REFORM_AFTER_MS,
            )
            for _ in range(2):
                plan = formation.make_plan(fleet)
                forms += len(plan.of_kind(_KIND.FORM))
                fleet = formation.apply_plan(fleet, plan, 100 * step + 50)
                fleet = with_returned_host(fleet, self.member, new=True)
        self.assertEqual(forms, 1)


class DrainTest(unittest.TestCase):
    """Guards against planned changes that abort requests."""

    def setUp(self) -> None:
        """Form one replica in each of three zones, with spare hosts."""
        self.models = {"a": config.Model(4, 3, importance=2)}
        fleet = testing.formation_fleet(self.models, 3, 1, 8)
        self.fleet = run_until_stable(fleet, 1)

    def test_leaving_host_drains_its_group_first(self) -> None:
        group = sorted(self.fleet.groups.values(), key=lambda g: g.group)[0]
        name = sorted(group.incarnations)[0]
        leaving = formation.Presence.LEAVING
        fleet = with_host(self.fleet, name, presence=leaving)
        plan = formation.make_plan(fleet)
        self.assertEqual(
            [action.kind for action in plan.actions],
            [_KIND.DRAIN, _KIND.FORM],
        )

    def test_zone_resumes_without_a_load(self) -> None:
        """Groups drained with their zone resume with the weights they hold."""
        out = attrs.evolve(
            self.fleet,
            zones_out=frozenset({"z1"}),
            models={"a": config.Model(4, 3, zones=("z0", "z1", "z2"))},
        )
        hosts = {
            name: host
            for name, host in out.hosts.items()
            if host.zone == "z1" or name in _assigned_hosts(out)
        }
        out = run_until_stable(attrs.evolve(out, hosts=hosts), 100)
        states = {group.zone: group.state for group in out.groups.values()}
        self.assertIs(states["z1"], _STATE.DRAINING)
        back = attrs.evolve(out, zones_out=frozenset())
        plan = formation.make_plan(back)
        self.assertEqual([a.kind for a in plan.actions], [_KIND.RESUME])

    def test_surplus_serving_group_waits_for_its_replacement(self) -> None:
        """If it were drained first, too few replicas would serve meanwhile."""
        fleet = attrs.evolve(self.fleet, zones_out=frozenset({"z1"}))
        fleet = run_until_stable(fleet, 100)
        fleet = attrs.evolve(
            fleet,
            zones_out=frozenset(),
            groups={
                name: group
                for name, group in fleet.groups.items()
                if group.zone != "z1"
            },
        )
        plan = formation.make_plan(fleet)
        self.assertEqual([a.kind for a in plan.actions], [_KIND.FORM])
        fleet = formation.apply_plan(fleet, plan, 500)
        self.assertEqual(formation.make_plan(fleet).actions, ())
        fleet = run_until_stable(fleet, 600)
        zones = sorted(group.zone for group in fleet.groups.values())
        self.assertEqual(zones, ["z0", "z1", "z2"])


def _assigned_hosts(fleet: formation.Fleet) -> set[str]:
    """Return the hosts of all groups."""
    return {
        name for group in fleet.groups.values() for name in group.incarnations
    }


class LoadOrderTest(unittest.TestCase):
    """Guards against weight loads that start before more urgent ones."""

    def fleet(self, load_slots: int) -> formation.Fleet:
        """Return a fleet in which six groups wait for a weight load."""
        models = {
            "common": config.Model(2, 4, importance=3),
            "rare": config.Model(2, 2, importance=1),
        }
        fleet = testing.formation_fleet(models, 3, 1, 4)
        plan = formation.make_plan(fleet)
        fleet = advance(formation.apply_plan(fleet, plan, 1))
        return attrs.evolve(fleet, load_slots=load_slots)

    def test_first_replicas_come_first(self) -> None:
        loads = formation.make_plan(self.fleet(10)).of_kind(_KIND.LOAD)
        models = [action.model for action in loads]
        self.assertEqual(models[:2], ["common", "rare"])

    def test_loads_are_limited_to_the_load_slots(self) -> None:
        fleet = self.fleet(2)
        plan = formation.make_plan(fleet)
        self.assertEqual(len(plan.of_kind(_KIND.LOAD)), 2)
        loading = formation.apply_plan(fleet, plan, 100)
        self.assertEqual(formation.make_plan(loading).actions, ())

    def test_hosts_with_weights_need_no_slot(self) -> None:
        fleet = self.fleet(0)
        group = fleet.groups["g1"]
        for name in group.incarnations:
            fleet = with_host(fleet, name, held_model=group.model)
        loads = formation.make_plan(fleet).of_kind(_KIND.LOAD)
        self.assertEqual([action.group for action in loads], ["g1"])
