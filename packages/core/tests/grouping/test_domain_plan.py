"""Patterns of groups and spares for the hosts of a domain."""

import unittest

from grouping import builders
from quetzalward_core import fleet
from quetzalward_core.grouping import _domain_plan


def plan(
    hosts: int, total_by_model: dict[str, int] | None = None
) -> _domain_plan.Pattern:
    """Plan an empty domain for models of 16 and 4 hosts, shared equally."""
    models = [
        fleet.Model("large", 16, 0.5, 1.0, 16_000, 1_600),
        fleet.Model("small", 4, 0.5, 0.6, 12_000, 1_100),
    ]
    total = {} if total_by_model is None else total_by_model
    return _domain_plan.plan_domain(hosts, {}, total, models)


class PatternTest(unittest.TestCase):
    """Guards against models without capacity, and groups without spares."""

    def test_models_get_hosts_by_their_share_of_the_work(self) -> None:
        """Eight domains hold as many hosts of either model."""
        total: dict[str, int] = {}
        for _ in range(8):
            plan(37, total)
        self.assertEqual({"large": 8, "small": 32}, total)

    def test_odd_spare_goes_to_the_larger_groups(self) -> None:
        """Sixteen hosts stand idle while a large group lacks a member.

        With two spares of five, a grown domain's large group waited for a
        load of 16 s after its third loss.
        """
        pattern = plan(37)
        self.assertEqual({"large": 1, "small": 4}, pattern.groups_by_model)
        self.assertEqual({"large": 19, "small": 18}, pattern.hosts_by_model)

    def test_small_domain_keeps_a_spare(self) -> None:
        """A domain of 9 hosts is not packed full."""
        engine = builders.engine()
        pattern = _domain_plan.plan_domain(
            9, {}, {}, list(engine.models_by_name.values())
        )
        used = sum(
            engine.models_by_name[name].group_size * count
            for name, count in pattern.groups_by_model.items()
        )
        self.assertLess(used, 9)
        self.assertEqual(9, sum(pattern.hosts_by_model.values()))
