"""Tests of groups, orders, host faults and the host list."""

import threading

import attrs
import support
import test_engines
import urllib3

from quetzalward_core import clock
from quetzalward_standins import _fleet


class MissingHostTest(test_engines.InProgressCase):
    """Guards against a replica that serves while a host is missing."""

    def setUp(self) -> None:
        super().setUp()
        self.serve("g1", [0, 1])

    def present(self) -> list[tuple[str, int]]:
        hosts = self.report(0)["hosts"]
        return [(host["host"], host["incarnation"]) for host in hosts]

    def test_dead_host_ends_streams_and_service(self) -> None:
        answer = self.begin(0)
        self.fault(action="kill", host="host-1")
        self.assert_broken(answer)
        self.assertEqual(503, self.chat(0, support.draft("q", 1)).status)
        self.assertEqual([("host-0", 1)], self.present())
        self.assertEqual("empty", self.report(0)["state"])

    def test_dead_first_host_does_not_answer(self) -> None:
        self.fault(action="kill", host="host-0")
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.report(0)
        self.assertEqual("g1", self.report(1)["target"])

    def test_paused_host_stops_service_until_it_resumes(self) -> None:
        answer = self.begin(0)
        self.fault(action="pause", host="host-1")
        self.assert_broken(answer)
        self.assertEqual(503, self.chat(0, support.draft("q", 1)).status)
        self.assertEqual([("host-0", 1)], self.present())
        self.fault(action="resume", host="host-1")
        self.assertEqual(200, self.chat(0, support.draft("q", 1)).status)
        self.assertEqual([("host-0", 1), ("host-1", 1)], self.present())

    def test_paused_first_host_is_silent_until_it_resumes(self) -> None:
        answer = self.begin(0)
        self.fault(action="pause", host="host-0")
        before = self.target().counts["tokens"]
        reports = []
        reader = threading.Thread(
            target=lambda: reports.append(self.report(0))
        )
        reader.start()
        self.assertEqual([], reports)
        self.assertEqual(before, self.target().counts["tokens"])
        self.fault(action="resume", host="host-0")
        reader.join()
        self.assertEqual("g1", reports[0]["target"])
        self.assert_broken(answer)

    def test_revived_host_is_a_stranger(self) -> None:
        self.fault(action="kill", host="host-1")
        self.fault(action="revive", host="host-1")
        self.assertEqual([("host-0", 1)], self.present())
        self.assertEqual(503, self.chat(0, support.draft("q", 1)).status)
        report = self.report(1)
        self.assertEqual("", report["target"])
        self.assertEqual(2, report["hosts"][0]["incarnation"])
        old = [{"host": "host-1", "incarnation": 1}]
        refused = self.order(1, "assign", 9, group="g2", hosts=old)
        self.assertEqual(409, refused.status)

    def test_failed_domain_kills_all_its_hosts(self) -> None:
        self.fault(action="kill", domain="domain-0")
        listed = [h["host"] for h in self.side.fleet.host_list()["hosts"]]
        self.assertEqual(["host-2", "host-3"], listed)


class OrderTest(support.EngineCase):
    """Guards against orders that differ from section 8 of the design."""

    def test_host_is_taken_from_its_older_group(self) -> None:
        self.serve("g1", [0, 1])
        self.serve("g2", [1, 2], fencing=2)
        self.assertEqual(503, self.chat(0, support.draft("q", 1)).status)
        self.assertEqual(200, self.chat(1, support.draft("q", 1)).status)
        self.assertEqual(1, len(self.report(0)["hosts"]))

    def test_old_token_is_honoured_or_ignored(self) -> None:
        self.serve("g1", [0, 1], fencing=10)
        self.fault(honours_fencing=True)
        refused = self.assign("g2", [2, 1], fencing=9)
        self.assertEqual(409, refused.status)
        self.assertEqual(10, refused.json()["highest"])
        self.assertEqual(409, self.order(0, "unload", 9).status)
        self.fault(honours_fencing=False)
        self.assertEqual(200, self.assign("g2", [2, 1], fencing=9).status)

    def test_repeated_order_has_no_second_effect(self) -> None:
        order = {"order_id": "x", "fencing": 1, "kind": "unload"}
        self.serve("g1", [0, 1])
        self.assertEqual(200, self.post(0, "/orders", order).status)
        self.serve("g2", [0, 1], fencing=2)
        self.assertEqual(200, self.post(0, "/orders", order).status)
        self.assertEqual("g2", self.report(0)["target"])

    def test_order_is_carried_out_after_a_pause(self) -> None:
        self.serve("g1", [0, 1])
        self.fault(action="pause", host="host-0")
        order = {"order_id": "x", "fencing": 1, "kind": "unload"}
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.pool.request(
                "POST",
                self.url(0) + "/orders",
                json=order,
                retries=False,
                timeout=0.2,
            )
        self.assertIsNotNone(self.side.fleet.hosts["host-0"].group)
        self.fault(action="resume", host="host-0")
        host = self.side.fleet.hosts["host-0"]
        support.wait_for(lambda: host.group is None, "late order")

    def test_load_adds_an_adapter_without_a_cold_start(self) -> None:
        self.serve("g1", [0, 1])
        self.assertEqual("warm", self.report(0)["state"])
        self.order(0, "load", 1, model="draft-legal")
        support.wait_for(
            lambda: "draft-legal" in self.report(0)["models"], "adapter"
        )
        self.assertEqual("warm", self.report(0)["state"])

    def test_load_outlasts_a_refusing_weight_store(self) -> None:
        self.platform.weights.faults = attrs.evolve(
            self.platform.weights.faults, outage=True
        )
        self.assign("g1", [0, 1])
        self.order(0, "load", 1)
        self.assertEqual("loading", self.report(0)["state"])
        self.platform.weights.faults = attrs.evolve(
            self.platform.weights.faults, outage=False
        )
        support.wait_for(
            lambda: self.report(0)["state"] == "warm", "end of load"
        )

    def test_unload_frees_the_hosts(self) -> None:
        self.serve("g1", [0, 1])
        self.assertEqual(200, self.order(0, "unload", 2, group="g1").status)
        self.assertEqual("", self.report(0)["target"])
        self.assertEqual("", self.report(1)["target"])


class HostListTest(support.EngineCase):
    """Guards against a host list that knows more than its lag allows."""

    def setUp(self) -> None:
        super().setUp()
        self.manual = clock.ManualClock(now_ms=10_000)
        specs = [_fleet.HostSpec(f"h{n}", "zone-a", "d") for n in range(2)]
        self.fleet = _fleet.Fleet(specs, self.engines, self.manual)
        self.fleet.publish("http://127.0.0.1:1")

    def names(self) -> list[str]:
        return [host["host"] for host in self.fleet.host_list()["hosts"]]

    def test_death_is_listed_after_the_lag(self) -> None:
        switches = attrs.evolve(self.fleet.switches, hosts_lag_ms=500)
        self.fleet.set_switches(switches)
        self.fleet.kill(self.fleet.hosts["h0"])
        self.manual.advance(499)
        self.assertEqual(["h0", "h1"], self.names())
        self.assertEqual(500, self.fleet.host_list()["age_ms"])
        self.manual.advance(1)
        self.assertEqual(["h1"], self.names())

    def test_frozen_list_grows_old(self) -> None:
        frozen = attrs.evolve(self.fleet.switches, hosts_frozen=True)
        self.fleet.set_switches(frozen)
        self.manual.advance(1)
        self.fleet.kill(self.fleet.hosts["h0"])
        self.manual.advance(60_000)
        self.assertEqual(["h0", "h1"], self.names())
        self.assertEqual(60_001, self.fleet.host_list()["age_ms"])

    def test_leaving_host_is_marked(self) -> None:
        self.fleet.leave(self.fleet.hosts["h0"])
        listed = self.fleet.host_list()["hosts"][0]
        self.assertEqual("leaving", listed["state"])

    def test_client_gets_urls_of_its_own(self) -> None:
        listed = self.fleet.host_list("node-1")["hosts"][0]
        self.assertEqual(
            "http://127.0.0.1:1/c/node-1/h/h0", listed["engine_url"]
        )
