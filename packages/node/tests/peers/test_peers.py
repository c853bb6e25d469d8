"""Tests of the peers task over real loopback connections."""

import datetime
import ipaddress
import pathlib
import queue
import random
import tempfile
import typing
import unittest

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid
from groups import fakes

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import membership
from quetzalward_node import _settings
from quetzalward_node import interfaces
from quetzalward_node import peers
from quetzalward_node.peers import _channels
from quetzalward_node.peers import _codec
from quetzalward_node.peers import _knowledge
from quetzalward_node.peers import _task

SECRET = b"0123456789abcdef"
ZONE = membership.StopKind.ZONE
# Only a failing test waits this long.
WAIT_TIMEOUT_S = 30.0


class Log(fakes.Log):
    """A log with a settable head age."""

    fixed_head_age_ms = 0

    def head_age_ms(self) -> clock.Millis:
        """Return the age that the test set."""
        return self.fixed_head_age_ms


class FakeIntentResponder:
    """A dispatcher's side of `DispatcherQuery`."""

    def answer(self, intent_id: str) -> interfaces.DispatcherAnswer:
        """Return `ABANDONED` for one intent, `IN_PROGRESS` for all others."""
        if intent_id == "abandoned":
            return interfaces.DispatcherAnswer.ABANDONED
        return interfaces.DispatcherAnswer.IN_PROGRESS


class Cluster:
    """Nodes that listen on free ports and read the same fold."""

    def __init__(
        self,
        count: int,
        secrets: typing.Sequence[bytes] = (),
        tls: _settings.TlsSettings | None = None,
    ) -> None:
        """Create `count` nodes that listen and have joined."""
        self.clock = clock.ManualClock(100_000)
        self.store = fakes.Store()
        self.logs: list[Log] = []
        self.tasks: list[peers.PeersTask] = []
        for index in range(count):
            log = Log(self.store, f"n{index}#nonce{index}")
            task = peers.PeersTask(
                f"n{index}",
                secrets[index] if secrets else SECRET,
                log,
                self.clock,
                FakeIntentResponder(),
                serve_without_log=membership.MAJORITY,
                tls=tls,
                rng=random.Random(index),
            )
            port = task.listen("127.0.0.1:0")
            self.logs.append(log)
            self.tasks.append(task)
            self.join(index, port)

    def join(self, index: int, port: int) -> None:
        """Append the record with which a node joins."""
        entry = agreement.NodeJoined(
            f"n{index}",
            f"nonce{index}",
            "z0",
            "r",
            "127.0.0.1:1",
            f"127.0.0.1:{port}",
            "127.0.0.1:2",
        )
        self.publish(entry)

    def publish(self, entry: agreement.Entry) -> None:
        """Append a record to the shared log."""
        self.store.append(f"op{self.store.offset}", 1, [entry])

    def run(self, rounds: int) -> None:
        """Run rounds on all nodes, one second apart."""
        for _ in range(rounds):
            for task in self.tasks:
                task.run_round()
            self.clock.advance(1_000)

    def make_log_unreachable(self) -> None:
        """Make the head age of every node exceed the freshness limit."""
        for log in self.logs:
            log.fixed_head_age_ms = membership.FRESHNESS_LIMIT_MS + 1

    def stop(self) -> None:
        """Stop all nodes."""
        for task in self.tasks:
            task.stop()


class PeersTestCase(unittest.TestCase):
    """Creates clusters that are stopped after the test."""

    def cluster(self, count: int, **options: typing.Any) -> Cluster:
        """Return a running cluster."""
        cluster = Cluster(count, **options)
        self.addCleanup(cluster.stop)
        return cluster


class ExchangeTest(PeersTestCase):
    """Guards against wrong isolation decisions while the log is down."""

    def test_nodes_learn_of_each_other(self) -> None:
        cluster = self.cluster(4)
        cluster.run(4)
        for task in cluster.tasks:
            revisions = task.knowledge.revision_by_node()
            self.assertEqual(sorted(revisions), ["n0", "n1", "n2", "n3"])

    def test_a_majority_keeps_serving_without_the_log(self) -> None:
        cluster = self.cluster(3)
        cluster.run(3)
        cluster.make_log_unreachable()
        cluster.run(8)
        for task in cluster.tasks:
            self.assertFalse(task.knowledge.isolated())

    def test_a_node_alone_is_isolated(self) -> None:
        cluster = self.cluster(3)
        cluster.run(3)
        cluster.make_log_unreachable()
        for task in cluster.tasks[1:]:
            task.stop()
        cluster.clock.advance(6_000)
        cluster.tasks[0].run_round()
        self.assertTrue(cluster.tasks[0].knowledge.isolated())

    def test_wrong_secret_is_rejected(self) -> None:
        cluster = self.cluster(2, secrets=(SECRET, SECRET[::-1]))
        cluster.run(2)
        for task in cluster.tasks:
            self.assertEqual(task.exchanges, 0)
            self.assertGreater(task.failures, 0)
        self.assertNotIn("n1", cluster.tasks[0].knowledge.revision_by_node())

    def test_short_secret_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            self.cluster(1, secrets=(b"short",))

    def test_oversized_message_is_rejected(self) -> None:
        cluster = self.cluster(2)
        node = cluster.store.fold.view().nodes_by_name["n1"]
        peer = _channels.Peer("n1", node.peers)
        body = b"x" * (_channels.MAX_MESSAGE_BYTES + 1)
        with self.assertRaises(_channels.CallError):
            cluster.tasks[0]._channels.call(peer, "Exchange", body, 2_000)

    def test_undecodable_message_is_rejected(self) -> None:
        cluster = self.cluster(2)
        node = cluster.store.fold.view().nodes_by_name["n1"]
        peer = _channels.Peer("n1", node.peers)
        for method in ("Exchange", "AskCall", "StopOrder"):
            with self.assertRaises(_channels.CallError):
                cluster.tasks[0]._channels.call(peer, method, b"\xff", 2_000)


class AgeTest(unittest.TestCase):
    """Guards against taking old requests for proof of life."""

    def setUp(self) -> None:
        """Create the membership of one node in a fleet of three."""
        self.clock = clock.ManualClock(100_000)
        store = fakes.Store()
        self.log = Log(store, "n0#a")
        for index in range(3):
            entry = agreement.NodeJoined(
                f"n{index}", "a", "z0", "r", "", "", ""
            )
            store.append(f"op{index}", 1, [entry])
        self.knowledge = _knowledge.SharedMembership(
            "n0", self.log, self.clock, "majority", random.Random(1)
        )
        self.knowledge.begin_round({})
        self.log.fixed_head_age_ms = membership.FRESHNESS_LIMIT_MS + 1

    def request(self, sequence: int) -> _codec.NumberedDigest:
        """Return a digest in which n1 has just heard n2."""
        keys = membership.node_key("n1") + membership.node_key("n2")
        digest = membership.Digest("n1", b"", keys, b"\0\0")
        return _codec.NumberedDigest(digest, 5, sequence)

    def test_a_request_is_proof_of_life(self) -> None:
        self.assertTrue(self.knowledge.isolated())
        self.knowledge.merge_request("n1", self.request(1))
        self.assertFalse(self.knowledge.isolated())

    def test_a_repeated_request_is_no_proof_of_life(self) -> None:
        self.knowledge.merge_request("n1", self.request(1))
        for _ in range(6):
            self.clock.advance(1_000)
            self.knowledge.begin_round({})
        self.knowledge.merge_request("n1", self.request(1))
        self.assertTrue(self.knowledge.isolated())

    def test_a_request_buffered_during_a_pause_is_no_proof_of_life(
        self,
    ) -> None:
        """It waits in the socket buffer while the process is paused."""
        self.clock.advance(30_000)
        self.knowledge.merge_request("n1", self.request(1))
        self.assertTrue(self.knowledge.isolated())
        self.knowledge.begin_round({})
        self.knowledge.merge_request("n1", self.request(2))
        self.assertTrue(self.knowledge.isolated())

    def test_requests_count_again_after_the_recovery_time(self) -> None:
        self.clock.advance(30_000)
        for _ in range(7):
            self.knowledge.begin_round({})
            self.clock.advance(1_000)
        self.knowledge.merge_request("n1", self.request(1))
        self.assertFalse(self.knowledge.isolated())


class StopOrderTest(PeersTestCase):
    """Guards against stop orders that depend on the log (R4, R8)."""

    def test_order_reaches_a_node_and_spreads(self) -> None:
        cluster = self.cluster(3)
        confirmed = cluster.tasks[0].send_stop_order("n1", ZONE, "z9", 0)
        self.assertTrue(confirmed)
        self.assertTrue(cluster.tasks[1].knowledge.zone_stopped("z9"))
        cluster.run(3)
        for task in cluster.tasks:
            self.assertTrue(task.knowledge.zone_stopped("z9"))
            self.assertFalse(task.knowledge.zone_stopped("z8"))

    def test_a_later_bring_back_on_the_log_ends_the_order(self) -> None:
        cluster = self.cluster(2)
        cluster.run(1)
        cluster.tasks[0].knowledge.add_stop(ZONE, "z9", 0)
        cluster.publish(agreement.ZoneSet("z9", "out", 0, "op"))
        changed = cluster.store.fold.view().zones_by_name["z9"].changed
        cluster.run(2)
        cluster.publish(agreement.ZoneSet("z9", "in", changed, "op"))
        cluster.run(2)
        for task in cluster.tasks:
            self.assertFalse(task.knowledge.zone_stopped("z9"))

    def test_an_order_after_the_bring_back_stays(self) -> None:
        cluster = self.cluster(1)
        cluster.publish(agreement.ZoneSet("z9", "in", 0, "op"))
        changed = cluster.store.fold.view().zones_by_name["z9"].changed
        knowledge = cluster.tasks[0].knowledge
        self.assertTrue(knowledge.add_stop(ZONE, "z9", changed))
        self.assertTrue(knowledge.zone_stopped("z9"))

    def test_target_drain(self) -> None:
        cluster = self.cluster(1)
        knowledge = cluster.tasks[0].knowledge
        kind = membership.StopKind.TARGET
        self.assertTrue(knowledge.add_stop(kind, "g1", 0))
        self.assertTrue(knowledge.target_stopped("g1"))

    def test_unreachable_node_does_not_confirm(self) -> None:
        cluster = self.cluster(2)
        cluster.tasks[1].stop()
        self.assertFalse(cluster.tasks[0].send_stop_order("n1", ZONE, "z9", 0))
        self.assertFalse(cluster.tasks[0].send_stop_order("n7", ZONE, "z9", 0))


class DoubtTest(PeersTestCase):
    """Guards against a cold target known to only one node (R3)."""

    def collect_notices(
        self, cluster: Cluster
    ) -> "queue.Queue[tuple[int, str]]":
        """Return a queue of the notified nodes' indexes and targets."""
        notices: queue.Queue[tuple[int, str]] = queue.Queue()
        for index, task in enumerate(cluster.tasks):
            task.on_suspect(
                lambda target, index=index: notices.put((index, target))
            )
        return notices

    def notified_nodes(
        self, notices: "queue.Queue[tuple[int, str]]", count: int
    ) -> set[int]:
        return {notices.get(timeout=WAIT_TIMEOUT_S)[0] for _ in range(count)}

    def test_every_other_node_is_notified_once(self) -> None:
        cluster = self.cluster(4)
        notices = self.collect_notices(cluster)
        cluster.tasks[0].broadcast_suspect("g1")
        self.assertEqual({1, 2, 3}, self.notified_nodes(notices, 3))
        cluster.tasks[0].broadcast_suspect("g1")
        cluster.tasks[1].broadcast_suspect("g1")
        cluster.tasks[1].broadcast_suspect("g2")
        notices_of_g2 = {notices.get(timeout=WAIT_TIMEOUT_S) for _ in range(3)}
        self.assertEqual({(0, "g2"), (2, "g2"), (3, "g2")}, notices_of_g2)

    def test_a_later_suspicion_is_sent_again(self) -> None:
        cluster = self.cluster(2)
        notices = self.collect_notices(cluster)
        cluster.tasks[0].broadcast_suspect("g1")
        self.notified_nodes(notices, 1)
        cluster.clock.advance(_task.SUSPECT_INTERVAL_MS)
        cluster.tasks[0].broadcast_suspect("g1")
        self.notified_nodes(notices, 1)

    def test_receivers_forward_in_a_large_fleet(self) -> None:
        # Each node notifies 8 of the 13 others, chosen with its index as seed.
        cluster = self.cluster(14)
        notices = self.collect_notices(cluster)
        cluster.tasks[0].broadcast_suspect("g1")
        self.assertEqual(set(range(1, 14)), self.notified_nodes(notices, 13))

    def test_a_dead_node_does_not_delay_the_others(self) -> None:
        cluster = self.cluster(3)
        notices = self.collect_notices(cluster)
        cluster.tasks[1].stop()
        cluster.tasks[0].broadcast_suspect("g1")
        self.assertEqual({2}, self.notified_nodes(notices, 1))

    def test_a_too_long_name_is_rejected(self) -> None:
        cluster = self.cluster(2)
        notices = self.collect_notices(cluster)
        cluster.tasks[0].broadcast_suspect("g" * (_codec.MAX_NAME_CHARS + 1))
        cluster.tasks[0].broadcast_suspect("g1")
        self.assertEqual((1, "g1"), notices.get(timeout=WAIT_TIMEOUT_S))
        self.assertTrue(notices.empty())


class AskCallTest(PeersTestCase):
    """Guards against wrong answers about calls that must not run twice."""

    def test_answers_of_the_dispatcher(self) -> None:
        cluster = self.cluster(2)
        ask = cluster.tasks[0].ask
        answers = interfaces.DispatcherAnswer
        self.assertIs(ask("n1#nonce1", "i1"), answers.IN_PROGRESS)
        self.assertIs(ask("n1#nonce1", "abandoned"), answers.ABANDONED)

    def test_another_start_of_the_node_is_not_the_dispatcher(self) -> None:
        cluster = self.cluster(2)
        answer = cluster.tasks[0].ask("n1#earlier", "i1")
        self.assertIs(answer, interfaces.DispatcherAnswer.UNREACHABLE)

    def test_process_that_restarted_since_the_fold_does_not_answer(
        self,
    ) -> None:
        """The fold may name the old process while the new one responds."""
        cluster = self.cluster(2)
        cluster.logs[1].name = "n1#newer"
        answer = cluster.tasks[0].ask("n1#nonce1", "i1")
        self.assertIs(answer, interfaces.DispatcherAnswer.UNREACHABLE)

    def test_stopped_dispatcher_is_unreachable(self) -> None:
        cluster = self.cluster(2)
        cluster.tasks[1].stop()
        answer = cluster.tasks[0].ask("n1#nonce1", "i1")
        self.assertIs(answer, interfaces.DispatcherAnswer.UNREACHABLE)


def write_tls(folder: pathlib.Path) -> _settings.TlsSettings:
    """Write a self-signed certificate for the loopback address."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "node")])
    now = datetime.datetime.now(datetime.timezone.utc)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    key_bytes = key.private_bytes(
        pem,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    (folder / "key.pem").write_bytes(key_bytes)
    (folder / "cert.pem").write_bytes(certificate.public_bytes(pem))
    return _settings.TlsSettings(
        str(folder / "cert.pem"),
        str(folder / "key.pem"),
        str(folder / "cert.pem"),
    )


class TlsTest(PeersTestCase):
    """Guards against plaintext connections when TLS is configured."""

    def setUp(self) -> None:
        """Write the key files."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.tls = write_tls(self.folder)

    def test_exchange(self) -> None:
        cluster = self.cluster(2, tls=self.tls)
        cluster.run(2)
        self.assertGreater(cluster.tasks[0].exchanges, 0)

    def test_plaintext_client_is_rejected(self) -> None:
        cluster = self.cluster(2, tls=self.tls)
        node = cluster.store.fold.view().nodes_by_name["n1"]
        plain = self.cluster(1)
        with self.assertRaises(_channels.CallError):
            plain.tasks[0]._channels.call(
                _channels.Peer("n1", node.peers), "Exchange", b"", 2_000
            )

    def test_replaced_key_files_are_used(self) -> None:
        cluster = self.cluster(2, tls=self.tls)
        cluster.run(1)
        write_tls(self.folder)
        for task in cluster.tasks:
            task.exchanges = 0
        cluster.run(2)
        self.assertGreater(cluster.tasks[0].exchanges, 0)
