"""Tests of the operators' port: authentication, configuration, stop orders."""

import json
import threading
import typing
import unittest
import unittest.mock

import in_memory_control_log
import urllib3

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import testing
from quetzalward_node import control
from quetzalward_node import operators

BOOTSTRAP_TOKEN = "bootstrap-token"


class _Fleet:
    def status_by_node(self) -> dict[str, typing.Any]:
        return {}


class _StopOrders:
    def __init__(self) -> None:
        self.sent: list[tuple[str, str, int]] = []

    def stop_zone(self, zone: str, basis: int) -> None:
        self.sent.append(("zone", zone, basis))

    def stop_target(self, target: str, basis: int) -> None:
        self.sent.append(("target", target, basis))

    def basis_by_name(self, kind: str) -> dict[str, int]:
        return {name: basis for k, name, basis in self.sent if k == kind}


class OperatorsTest(unittest.TestCase):
    """Runs the real server on a free port over an in-memory control log."""

    def setUp(self) -> None:
        self.log = in_memory_control_log.InMemoryControlLog()
        self.stop_orders = _StopOrders()
        self.not_ready_reasons: list[str] = []
        self.drained = 0
        self.pending = operators.PendingStops(self.log, clock.SystemClock())
        api = operators.OperatorsApi(
            control=self.log,
            configuration=self._configuration,
            fleet=_Fleet(),
            stop_orders=self.stop_orders,
            pending=self.pending,
            time=clock.SystemClock(),
            zones_out=lambda: control.zones_out(
                self.log.state(), self.stop_orders.basis_by_name("zone")
            ),
            targets_draining=lambda: control.targets_draining(
                self.log.state(), self.stop_orders.basis_by_name("target")
            ),
            targets=dict,
            not_ready=lambda: self.not_ready_reasons,
            drain=self._drain,
        )
        observability = operators.Observability(
            lambda: self.not_ready_reasons,
            lambda: "m 1\n",
            "text/plain",
            lambda _: [],
        )
        self.server = operators.OperatorsServer(
            ("127.0.0.1", 0),
            api,
            observability,
            testing.sha256(BOOTSTRAP_TOKEN),
        )
        self.server.prepare()
        thread = threading.Thread(target=self.server.serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.stop)
        self.pool = urllib3.PoolManager()
        self.addCleanup(self.pool.clear)

    def _configuration(self) -> config.Configuration:
        return config.from_document(self.log.state().config_document)

    def _drain(self) -> None:
        self.drained += 1

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        token: str = testing.OPERATOR_TOKEN,
    ) -> tuple[int, typing.Any]:
        answer = self.pool.request(
            method,
            f"http://127.0.0.1:{self.server.port}{path}",
            body=body if isinstance(body, bytes) else json.dumps(body),
            headers={"Authorization": f"Bearer {token}"},
            retries=False,
        )
        try:
            return answer.status, json.loads(answer.data)
        except ValueError:
            return answer.status, answer.data.decode()

    def publish(self, base: int, token: str, **sections: object) -> int:
        status, value = self.call(
            "POST",
            "/operators/v1/config",
            {
                "base_revision": base,
                "document": testing.config_document(**sections),
                "publication_id": f"from-{base}",
            },
            token,
        )
        self.assertEqual(status, 200, value)
        return int(value["revision"])

    def test_bootstrap_token_is_invalid_once_an_operator_exists(self) -> None:
        self.publish(0, BOOTSTRAP_TOKEN)
        status, value = self.call(
            "GET", "/operators/v1/config", token=BOOTSTRAP_TOKEN
        )
        self.assertEqual((status, value["kind"]), (401, "unauthenticated"))
        status, _ = self.call("GET", "/operators/v1/config")
        self.assertEqual(status, 200)

    def test_second_publication_on_the_same_base_conflicts(self) -> None:
        first = self.publish(0, BOOTSTRAP_TOKEN)
        self.publish(first, testing.OPERATOR_TOKEN)
        status, value = self.call(
            "POST",
            "/operators/v1/config",
            {"base_revision": first, "document": testing.config_document()},
        )
        self.assertEqual((status, value["kind"]), (409, "config_conflict"))
        self.assertEqual(value["outcome"], "not_run")
        _, history = self.call("GET", "/operators/v1/config/history")
        ids = [entry["publication_id"] for entry in history["revisions"]]
        self.assertEqual(ids, ["from-0", f"from-{first}"])

    def test_invalid_configuration_never_reaches_the_log(self) -> None:
        before = self.log.control_state.next_offset
        status, value = self.call(
            "POST",
            "/operators/v1/config",
            {"base_revision": 0, "document": {"models": {"draft": 3}}},
            BOOTSTRAP_TOKEN,
        )
        self.assertEqual((status, value["kind"]), (422, "config_invalid"))
        self.assertEqual(self.log.control_state.next_offset, before)

    def test_zone_stop_is_in_force_before_it_is_on_the_log(self) -> None:
        self.publish(0, BOOTSTRAP_TOKEN)
        self.log.available = False
        status, value = self.call(
            "POST", "/operators/v1/zones/zone-a", {"state": "out"}
        )
        self.assertEqual((status, value), (200, {"on_log": False}))
        self.assertEqual(self.stop_orders.sent, [("zone", "zone-a", 0)])
        self.log.available = True
        self.pending.start()
        self.addCleanup(self.pending.stop)
        wait = threading.Event()
        for _ in range(500):
            if self.pending.count() == 0:
                break
            wait.wait(0.02)
        self.assertTrue(self.log.state().zone_out("zone-a"))

    def test_restoring_a_zone_needs_the_log(self) -> None:
        self.publish(0, BOOTSTRAP_TOKEN)
        path = "/operators/v1/zones/zone-a"
        self.call("POST", path, {"state": "out"})
        self.log.available = False
        status, value = self.call("POST", path, {"state": "in"})
        self.assertEqual((status, value["kind"]), (503, "log_unavailable"))
        self.assertTrue(self.log.state().zone_out("zone-a"))
        self.log.available = True
        self.assertEqual(self.call("POST", path, {"state": "in"})[0], 200)
        self.assertFalse(self.log.state().zone_out("zone-a"))

    def test_zone_stop_does_not_wait_for_an_unavailable_log(self) -> None:
        # Guards against a delay of 2 s per node (the append's timeout) when an
        # operator sends an order to all nodes during a log outage.
        self.publish(0, BOOTSTRAP_TOKEN)
        self.log.age_ms = 6_000
        self.log.append = unittest.mock.Mock()  # type: ignore[method-assign]
        status, value = self.call(
            "POST", "/operators/v1/zones/zone-a", {"state": "out"}
        )
        self.assertEqual((status, value), (200, {"on_log": False}))
        self.log.append.assert_not_called()
        self.assertEqual(self.pending.count(), 1)

    def test_direct_zone_stop_is_shown_until_the_zone_is_restored(
        self,
    ) -> None:
        # Guards against the state "in" for a zone that gets no work, and
        # against a restore that reports success while the stop order stays in
        # force.
        self.publish(0, BOOTSTRAP_TOKEN)
        path = "/operators/v1/zones/zone-a"
        self.log.available = False
        self.call("POST", path, {"state": "out"})
        rows = self.call("GET", "/operators/v1/zones")[1]["zones"]
        states = {row["zone"]: row["state"] for row in rows}
        self.assertEqual(states["zone-a"], "out")
        status = self.call("GET", "/operators/v1/status")[1]
        self.assertEqual(status["zones_out"], ["zone-a"])
        code, value = self.call("POST", path, {"state": "in"})
        self.assertEqual((code, value["kind"]), (503, "log_unavailable"))
        self.log.available = True
        self.assertEqual(self.call("POST", path, {"state": "in"})[0], 200)
        status = self.call("GET", "/operators/v1/status")[1]
        self.assertEqual(status["zones_out"], [])
        # The pending order is older than the restore.
        self.pending.start()
        self.addCleanup(self.pending.stop)
        wait = threading.Event()
        for _ in range(500):
            if self.pending.count() == 0:
                break
            wait.wait(0.02)
        self.assertEqual(self.pending.count(), 0)
        self.assertFalse(self.log.state().zone_out("zone-a"))

    def test_stop_order_with_an_older_basis_is_not_appended(self) -> None:
        stop = agreement.ZoneSet("zone-a", "out", 0, "ops")
        self.log.append([stop], 0)
        changed = self.log.state().zones_by_name["zone-a"].changed
        self.log.append([agreement.ZoneSet("zone-a", "in", changed, "o")], 0)
        self.assertTrue(self.pending.submit(stop))
        self.assertFalse(self.log.state().zone_out("zone-a"))

    def test_readiness_and_health_need_no_token(self) -> None:
        self.assertEqual(self.call("GET", "/readyz", token="")[0], 200)
        self.not_ready_reasons.append("log not read yet")
        status, text = self.call("GET", "/readyz", token="")
        self.assertEqual((status, text), (503, "log not read yet\n"))
        self.assertEqual(self.call("GET", "/healthz", token="")[0], 200)
        self.assertEqual(self.call("GET", "/metrics", token="")[1], "m 1\n")

    def test_invalid_bodies_are_malformed_requests(self) -> None:
        self.publish(0, BOOTSTRAP_TOKEN)
        bodies: list[object] = [
            b"{",
            b"\xff\xfe",
            b"[" * 100_000,
            [],
            {"state": 3},
            {"state": "sideways"},
            None,
        ]
        for body in bodies:
            with self.subTest(str(body)[:20]):
                status, value = self.call(
                    "POST", "/operators/v1/zones/zone-a", body
                )
                self.assertEqual(status, 400)
                self.assertEqual(value["kind"], "malformed_request")

    def test_unknown_paths_methods_and_names(self) -> None:
        self.publish(0, BOOTSTRAP_TOKEN)
        self.assertEqual(self.call("GET", "/operators/v1/x")[0], 404)
        self.assertEqual(self.call("DELETE", "/operators/v1/config")[0], 405)
        path = "/operators/v1/zones/zone-x"
        self.assertEqual(self.call("POST", path, {"state": "out"})[0], 404)

    def test_drain_request_starts_a_drain(self) -> None:
        self.publish(0, BOOTSTRAP_TOKEN)
        self.assertEqual(self.call("POST", "/operators/v1/drain")[0], 200)
        self.assertEqual(self.drained, 1)
