"""Tests of the choice of targets on one node."""

import random
import unittest

import attrs

import fakes
from quetzalward_core import config
from quetzalward_core import routing
from quetzalward_core import testing
from quetzalward_node.dispatch import _pool
from quetzalward_node import interfaces

COUNT = 12


class PoolTest(unittest.TestCase):
    """Guards the choice by cache, speed, subset, capacity and model name."""

    def setUp(self) -> None:
        self.groups = [testing.make_group(f"g{n}") for n in range(COUNT)]
        self.names = [group.group_id for group in self.groups]
        self.pool = _pool.TargetPool(
            "n1",
            "z1",
            fakes.make_control(self.groups),
            random.Random(1),
            0,
        )
        self.publish()

    def publish(
        self,
        subset: list[str] | None = None,
        events: tuple[interfaces.CacheEvent, ...] = (),
        as_of_ms: int = 0,
        **by_target: dict[str, object],
    ) -> None:
        reports = {
            group.group_id: testing.make_report(
                group, as_of_ms, **by_target.get(group.group_id, {})
            )
            for group in self.groups
        }
        view = interfaces.TargetsView(
            frozenset(self.names if subset is None else subset),
            reports,
            {name: f"http://{name}" for name in self.names},
            None,
        )
        self.pool.apply_targets(view, events, as_of_ms)

    def chosen(self, now_ms: int = 0, **fields: object) -> set[str]:
        found = set()
        for number in range(60):
            request = fakes.make_request(number, **fields)
            choice = self.pool.choose(request, now_ms)
            if choice is not None:
                found.add(choice.target_id)
        return found

    def test_cached_prefix_attracts_until_it_is_evicted(self) -> None:
        prompt = "a long shared prompt " * 200
        ids = routing.prefix_ids(prompt)
        self.pool.sent(1, "g5", "", 0)
        added = tuple(interfaces.CacheEvent("g5", one, True) for one in ids)
        self.publish(events=added, as_of_ms=1)
        self.assertEqual(self.chosen(1, prompt=prompt), {"g5"})
        gone = tuple(interfaces.CacheEvent("g5", one, False) for one in ids)
        self.publish(events=gone, as_of_ms=2)
        self.assertNotEqual(self.chosen(2, prompt=prompt), {"g5"})

    def test_failed_target_is_not_chosen_until_a_newer_report(self) -> None:
        """Guards R3: the target may be cold and must not get a full load."""
        results = interfaces.AttemptResult
        for number, result in enumerate(
            (results.FAILED, results.TIMED_OUT, results.REFUSED)
        ):
            with self.subTest(result):
                now_ms = 10 * (number + 1)
                self.publish(as_of_ms=now_ms)
                self.pool.sent(number, "g5", "", now_ms)
                report = interfaces.AttemptReport(result)
                self.pool.ended(number, "g5", "m", now_ms, report, now_ms + 1)
                self.assertNotIn("g5", self.chosen(now_ms + 1))
                self.publish(as_of_ms=now_ms + 2)
                self.assertIn("g5", self.chosen(now_ms + 2))

    def test_cold_target_with_a_slot_is_chosen_beside_loaded_ones(
        self,
    ) -> None:
        """Guards against a target that gets no requests and stays cold."""
        warm = {"running": 60, "bearable": 96}
        cold = {"state": routing.EngineState.COLD, "bearable": 2}
        cold |= {"running": 0, "waiting": 0}
        others = {name: warm for name in self.names if name != "g5"}
        for now_ms in range(0, 12_000, 1_000):
            self.pool.apply_control(self.pool._control, now_ms)
            self.publish(as_of_ms=now_ms, g5=cold, **others)
        # 1.9 s after the reports the estimates have decayed to the mean load.
        self.assertIn("g5", self.chosen(12_900))

    def test_cold_target_loses_its_cache(self) -> None:
        prompt = "a long shared prompt " * 200
        self.pool.sent(1, "g5", prompt, 0)
        cold = {"state": routing.EngineState.COLD}
        self.publish(as_of_ms=1, g5=cold)
        self.publish(as_of_ms=2)
        self.assertNotEqual(self.chosen(2, prompt=prompt), {"g5"})

    def test_straggler_is_not_chosen(self) -> None:
        usual = {"running": 1}
        slow = {"running": 1, "token_ms": 90.0}
        by_target = dict.fromkeys(self.names, usual) | {"g3": slow}
        self.publish(as_of_ms=1, **by_target)  # type: ignore[arg-type]
        self.assertNotIn("g3", self.chosen(1))

    def test_random_policy_uses_every_free_target(self) -> None:
        # The random policy is the baseline of the experiments, which must not
        # benefit from ejection.
        control = fakes.make_control(self.groups)
        settings = attrs.evolve(
            control.configuration, routing=config.Routing(policy="random")
        )
        changed = attrs.evolve(control, configuration=settings)
        self.pool.apply_control(changed, 0)
        usual = {"running": 1}
        slow = {"running": 1, "token_ms": 90.0}
        full = {"running": 20}
        by_target = dict.fromkeys(self.names, usual) | {"g3": slow, "g4": full}
        self.publish(as_of_ms=1, **by_target)  # type: ignore[arg-type]
        self.assertEqual(self.chosen(1), set(self.names) - {"g4"})

    def test_slow_tokens_of_a_cold_start_do_not_eject(self) -> None:
        # When a zone returns, its targets warm up slowly; they were ejected as
        # stragglers as soon as they were warm.
        usual = {"running": 1}
        cold = {
            "running": 1,
            "token_ms": 90.0,
            "state": routing.EngineState.COLD,
        }
        by_target = dict.fromkeys(self.names, usual) | {"g3": cold}
        for at_ms in (1, 2, 3):
            self.publish(as_of_ms=at_ms, **by_target)  # type: ignore[arg-type]
        by_target = dict.fromkeys(self.names, usual)
        self.publish(as_of_ms=4, **by_target)  # type: ignore[arg-type]
        self.assertIn("g3", self.chosen(4))

    def test_straggler_is_chosen_if_no_other_target_has_capacity(self) -> None:
        usual = {"running": 20}
        slow = {"running": 1, "token_ms": 90.0}
        by_target = dict.fromkeys(self.names, usual) | {"g3": slow}
        self.publish(as_of_ms=1, **by_target)  # type: ignore[arg-type]
        self.assertEqual(self.chosen(1), {"g3"})

    def test_warm_targets_outside_the_subset_are_not_chosen(self) -> None:
        self.publish(subset=["g1", "g2"], as_of_ms=1)
        self.assertEqual(self.chosen(1), {"g1", "g2"})

    def test_adapter_request_goes_to_a_target_that_loaded_it(self) -> None:
        loaded = {"models": frozenset({"m", "m-tuned"})}
        self.publish(as_of_ms=1, g7=loaded)
        self.assertEqual(self.chosen(1, model="m-tuned"), {"g7"})

    def test_target_is_full_above_its_capacity_and_a_short_queue(self) -> None:
        # Guards against slots that stay unused until the next report, and
        # against an unbounded queue at the target.
        almost = {"running": 16, "waiting": 3}
        full = {"running": 16, "waiting": 4}
        by_target = dict.fromkeys(self.names, full) | {"g2": almost}
        self.publish(as_of_ms=1, **by_target)  # type: ignore[arg-type]
        self.assertEqual(self.chosen(1), {"g2"})

    def test_engine_without_capacity_is_full_by_its_queue(self) -> None:
        unknown = {"bearable": None}
        waiting = {"bearable": None, "waiting": 4, "running": 9}
        by_target = dict.fromkeys(self.names, waiting) | {"g2": unknown}
        self.publish(as_of_ms=1, **by_target)  # type: ignore[arg-type]
        self.assertEqual(self.chosen(1), {"g2"})

    def test_late_first_token_stops_requests_until_the_next_report(
        self,
    ) -> None:
        for number in range(20):
            self.pool.sent(number, "g1", "", 0)
            self.finish(number, "g1", 100.0)
        self.pool.sent(99, "g2", "", 0)
        self.publish(as_of_ms=5_000)
        self.assertTrue(self.pool.may_send("g2", "m", 5_001))
        self.finish(99, "g2", 5_000.0)
        self.assertFalse(self.pool.may_send("g2", "m", 5_001))
        self.assertTrue(self.pool.may_send("g1", "m", 5_001))
        self.publish(as_of_ms=5_002)
        self.assertTrue(self.pool.may_send("g2", "m", 5_002))

    def finish(self, grant: int, name: str, first_ms: float) -> None:
        report = interfaces.AttemptReport(
            interfaces.AttemptResult.OK, 5, first_ms, 30.0
        )
        self.pool.ended(grant, name, "m", 0, report, 5_001)
