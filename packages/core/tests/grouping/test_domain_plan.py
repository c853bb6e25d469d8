"""Tests for the plan of groups and spares in a fabric domain."""

import unittest

from grouping import builders
from quetzalward_core import fleet
from quetzalward_core.grouping import _domain_plan


def plan_empty_domain(
    hosts: int, total_by_model: dict[str, int] | None = None
) -> _domain_plan.DomainPlan:
    """Plan an empty domain for models of 16 and 4 hosts, shared equally."""
    models = [
        fleet.Model("large", 16, 0.5, 1.0, 16_000, 1_600),
        fleet.Model("small", 4, 0.5, 0.6, 12_000, 1_100),
    ]
    total = {} if total_by_model is None else total_by_model
    return _domain_plan.plan_domain(hosts, {}, total, models)


class DomainPlanTest(unittest.TestCase):
    """Guards against models without capacity, and groups without spares."""

    def test_models_get_hosts_by_their_share_of_the_work(self) -> None:
        """Eight domains have equally many hosts of either model."""
        total: dict[str, int] = {}
        for _ in range(8):
            plan_empty_domain(37, total)
        self.assertEqual({"large": 8, "small": 32}, total)

    def test_odd_spare_goes_to_the_larger_groups(self) -> None:
        """A large group that lacks a member leaves 16 hosts idle.

        With two of five spares, the large group of a grown domain waited
        16 s for a load after its third loss.
        """
        plan = plan_empty_domain(37)
        self.assertEqual({"large": 1, "small": 4}, plan.groups_by_model)
        self.assertEqual({"large": 19, "small": 18}, plan.hosts_by_model)

    def test_small_domain_keeps_a_spare(self) -> None:
        """A domain of 9 hosts is not filled with groups."""
        engine = builders.engine()
        plan = _domain_plan.plan_domain(
            9, {}, {}, list(engine.models_by_name.values())
        )
        used = sum(
            engine.models_by_name[name].group_size * count
            for name, count in plan.groups_by_model.items()
        )
        self.assertLess(used, 9)
        self.assertEqual(9, sum(plan.hosts_by_model.values()))
