"""Tests of the customers' limits on one node."""

import unittest

import fakes
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import limits
from quetzalward_node.dispatch import _customers


class ExchangeTest(unittest.TestCase):
    """Guards the exchange of demands with the other nodes."""

    def setUp(self) -> None:
        self.limits = _customers.CustomerLimits("n1", 0)
        self.demands = fakes.DemandExchange()
        settings = config.Configuration(
            customers={"small": config.Customer((), 1.0, 10.0, 4)}
        )
        self.control = fakes.make_control(
            [], configuration=settings, nodes={"n1": "z1", "n2": "z2"}
        )

    def admit(self, number: int, now_ms: int) -> errors.ErrorKind | None:
        error = self.limits.admit("small", f"r{number}", self.control, now_ms)
        return error.kind if error else None

    def test_demand_is_published_once_per_interval(self) -> None:
        self.admit(1, 0)
        self.limits.exchange(self.demands, 999)
        self.assertEqual(self.demands.published, {})
        self.limits.exchange(self.demands, 1_000)
        published = self.demands.published["small"]
        self.assertEqual(published.in_use, 1)
        self.assertGreater(published.rate_per_s, 0)

    def test_others_demand_lowers_the_share(self) -> None:
        self.assertIsNone(self.admit(1, 0))
        self.assertIsNone(self.admit(2, 0))
        limited = errors.ErrorKind.CONCURRENCY_LIMITED
        self.assertIs(self.admit(3, 0), limited)
        self.limits.finish("r1")
        self.limits.finish("r2")
        self.demands.received = {"n2": {"small": limits.Demand(30.0, 20.0, 4)}}
        self.limits.exchange(self.demands, 1_000)
        self.assertIs(self.admit(4, 1_000), limited)

    def test_node_without_demand_frees_its_share(self) -> None:
        self.demands.received = {"n2": {"small": limits.Demand(30.0, 20.0, 4)}}
        self.limits.exchange(self.demands, 1_000)
        self.assertIsNotNone(self.admit(1, 1_000))
        self.demands.received = {"n2": {}}
        for now_ms in range(2_000, 9_000, 1_000):
            self.limits.exchange(self.demands, now_ms)
        self.assertIsNone(self.admit(2, 9_000))

    def test_changed_limit_applies_at_once(self) -> None:
        for number in (1, 2):
            self.assertIsNone(self.admit(number, 0))
        self.assertIsNotNone(self.admit(3, 0))
        settings = config.Configuration(
            customers={"small": config.Customer((), 1.0, 10.0, 40)}
        )
        self.control = fakes.make_control(
            [], configuration=settings, nodes=self.control.nodes
        )
        self.assertIsNone(self.admit(4, 0))
