"""Tests for routes, the target directory and configuration freshness."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from quetzalward_core import fleet


def route(name: str, prefix: str, **changes: object) -> fleet.Route:
    """Return a route with default values."""
    values: dict[str, object] = {
        "name": name,
        "host": "a.example",
        "path_prefix": prefix,
        "kind": fleet.RequestKind.IDEMPOTENT,
        "timeout_ms": 1_000,
        "objective_ms": 200,
        "pause_ms": 200,
        "priority": 1,
        "weight_by_service": {"one": 1.0},
        "max_attempts": 2,
        "anonymous": False,
        "can_resume": False,
    }
    values.update(changes)
    return fleet.Route(**values)  # type: ignore[arg-type]


def target(target_id: str, **changes: object) -> fleet.Target:
    """Return a target with default values."""
    values: dict[str, object] = {
        "id": target_id,
        "service": "one",
        "address": fleet.Address("127.0.0.1", 80),
        "zone": "z1",
        "draining": False,
        "cold_left_ms": 0,
        "born_ms": 1,
    }
    values.update(changes)
    return fleet.Target(**values)  # type: ignore[arg-type]


class RouteTest(unittest.TestCase):
    """Guards against requests routed to the wrong service."""

    def test_longest_prefix_wins(self) -> None:
        """A nested prefix takes the request from the outer one."""
        table = fleet.RouteTable((route("a", "/x/"), route("b", "/x/y/")))
        found = table.find("a.example", "/x/y/1")
        self.assertEqual("b", found.name if found else None)
        found = table.find("A.example:80", "/x/z")
        self.assertEqual("a", found.name if found else None)

    def test_prefix_ends_at_a_slash(self) -> None:
        """`/xy` does not begin with the prefix `/x/`."""
        table = fleet.RouteTable((route("a", "/x/"),))
        self.assertIsNone(table.find("a.example", "/xy"))
        self.assertIsNone(table.find("b.example", "/x/"))

    @hypothesis.given(st.lists(st.sampled_from("ab"), max_size=6))
    def test_agrees_with_a_search_of_all_routes(
        self, parts: list[str]
    ) -> None:
        """The table finds what a linear search by length finds."""
        prefixes = ["/", "/a/", "/a/b/", "/b/", "/a/b/a/"]
        table = fleet.RouteTable(tuple(route(p, p) for p in prefixes))
        path = "/" + "/".join(parts)
        fitting = [p for p in prefixes if path.startswith(p)]
        found = table.find("a.example", path)
        expected = max(fitting, key=len) if fitting else None
        self.assertEqual(expected, found.name if found else None)

    def test_service_without_weight_is_never_drawn(self) -> None:
        """A service with a weight of zero gets no requests."""
        split = route("a", "/", weight_by_service={"one": 0, "two": 1})
        self.assertEqual("two", fleet.pick_service(split, random.Random(1)))


class DirectoryTest(unittest.TestCase):
    """Guards against targets lost to an outage of the store."""

    def test_entry_that_lapses_in_an_outage_may_return(self) -> None:
        """Within 2 s of the store's return, removals are deferred."""
        directory = fleet.Directory()
        directory.record_contact(0, 0)
        directory.replace([target("a"), target("b")], 0)
        directory.record_contact(5_990, 6_000)
        self.assertFalse(directory.remove("a", 6_000))
        self.assertFalse(directory.remove("b", 6_000))
        directory.put(target("a"), 7_000)
        self.assertEqual([], directory.expire(7_900))
        self.assertEqual(["b"], directory.expire(8_000))
        self.assertIsNotNone(directory.get("a"))

    def test_entry_that_lapses_while_the_store_is_well_is_gone(self) -> None:
        """Without an outage a removal takes effect at once."""
        directory = fleet.Directory()
        for now_ms in range(0, 3_000, 500):
            directory.record_contact(now_ms - 10, now_ms)
        directory.put(target("a"), 2_500)
        self.assertTrue(directory.remove("a", 2_600))
        self.assertIsNone(directory.get("a"))

    def test_long_wait_for_a_change_is_no_outage(self) -> None:
        """A removal returned by a read of several seconds is not deferred."""
        directory = fleet.Directory()
        directory.record_contact(0, 10)
        directory.put(target("a"), 10)
        directory.record_contact(1_010, 3_500)
        self.assertTrue(directory.remove("a", 3_500))

    def test_cold_start_runs_down(self) -> None:
        """The remaining time counts from when the entry was received."""
        directory = fleet.Directory()
        directory.put(target("a", cold_left_ms=3_000), 1_000)
        self.assertEqual(2_000, directory.cold_left_ms("a", 2_000))
        self.assertEqual(0, directory.cold_left_ms("a", 9_000))


class RestoreTest(unittest.TestCase):
    """Guards against requests to targets that an older copy lists again."""

    def setUp(self) -> None:
        """Know two targets from before the restore."""
        self.directory = fleet.Directory()
        self.directory.replace(
            [target("a", sequence=5), target("b", sequence=5)], 0
        )

    def test_draining_target_stays_draining(self) -> None:
        """DRAIN holds for what this node has read, whatever the copy says."""
        self.directory.put(target("a", sequence=6, draining=True), 10)
        left_out = self.directory.restore(
            [target("a", sequence=5), target("b", sequence=5)], 20
        )
        found = self.directory.get("a")
        assert found is not None
        self.assertTrue(found.draining)
        self.assertEqual(["a"], left_out)

    def test_entry_of_an_earlier_life_is_left_out(self) -> None:
        """The coordinator took the group apart that the present life is in."""
        present = target("a", born_ms=9, sequence=1)
        self.directory.put(present, 10)
        older = target("a", born_ms=3, sequence=7)
        self.assertEqual(["a"], self.directory.restore([older], 20))
        self.assertEqual(present, self.directory.get("a"))

    def test_new_life_of_a_target_is_applied(self) -> None:
        """Its count of entries begins anew."""
        self.directory.restore([target("a", born_ms=9, sequence=1)], 20)
        found = self.directory.get("a")
        assert found is not None
        self.assertEqual(9, found.born_ms)

    def test_removed_target_does_not_come_back(self) -> None:
        """The copy is from before its removal, which is written again."""
        self.directory.remove("a", 10)
        self.directory.restore([target("a", sequence=5), target("b")], 20)
        self.assertIsNone(self.directory.get("a"))
        self.directory.remove("a", 500)
        self.directory.expire(20 + fleet.RETURN_GRACE_MS)
        self.assertIsNone(self.directory.get("a"))

    def test_removed_target_that_stays_listed_returns(self) -> None:
        """Its entry had lapsed, but the target is alive."""
        self.directory.remove("a", 10)
        self.directory.restore([target("a", sequence=5), target("b")], 20)
        self.directory.expire(20 + fleet.RETURN_GRACE_MS)
        self.assertIsNotNone(self.directory.get("a"))

    def test_removed_target_that_writes_on_is_back_at_once(self) -> None:
        """An entry that this node has not seen is no copy."""
        self.directory.remove("a", 10)
        self.directory.restore([target("a", sequence=6), target("b")], 20)
        self.assertIsNotNone(self.directory.get("a"))

    def test_missing_entry_is_kept_for_the_grace(self) -> None:
        """Targets write again within 2 s of the store's return."""
        self.directory.restore([target("b", sequence=5)], 20)
        self.assertIsNotNone(self.directory.get("a"))
        self.directory.expire(20 + fleet.RETURN_GRACE_MS)
        self.assertIsNone(self.directory.get("a"))


class FreshnessTest(unittest.TestCase):
    """Guards against revoked keys that still work."""

    def test_trust_ends_before_the_bound(self) -> None:
        """No request with a key is served at the bound itself."""
        freshness = fleet.Freshness(5_000)
        self.assertFalse(freshness.may_serve_keys(0))
        freshness.confirm(0)
        self.assertTrue(freshness.may_serve_keys(4_500))
        self.assertFalse(freshness.may_serve_keys(5_000))

    def test_readiness_ends_earlier(self) -> None:
        """A node stops being ready while requests are still served."""
        freshness = fleet.Freshness(5_000)
        freshness.confirm(0)
        self.assertFalse(freshness.is_ready(3_000))
        self.assertTrue(freshness.may_serve_keys(3_000))

    def test_confirmation_never_goes_back(self) -> None:
        """An answer that arrives late does not replace a newer one."""
        freshness = fleet.Freshness(5_000)
        freshness.confirm(1_000)
        freshness.confirm(500)
        self.assertEqual(1_000, freshness.confirmed_ms)


if __name__ == "__main__":
    unittest.main()
