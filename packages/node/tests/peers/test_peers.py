"""Tests of the peers task over real connections on the loopback."""

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
# Far beyond any wait of a healthy run; only a fault uses it up.
PATIENCE_S = 30.0


class Log(fakes.Log):
    """A log whose head may be out of reach."""

    head_ms = 0

    def head_age_ms(self) -> clock.Millis:
        """Return the age that the test set."""
        return self.head_ms


class Desk:
    """Answers for a dispatcher."""

    def answer(self, intent_id: str) -> interfaces.DispatcherAnswer:
        """Say that every intent but one is in progress."""
        if intent_id == "abandoned":
            return interfaces.DispatcherAnswer.ABANDONED
        return interfaces.DispatcherAnswer.IN_PROGRESS


class Cluster:
    """Nodes that listen on free ports and share a fold."""

    def __init__(
        self,
        count: int,
        secrets: typing.Sequence[bytes] = (),
        tls: _settings.TlsSettings | None = None,
    ) -> None:
        """Start `count` nodes."""
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
                Desk(),
                serve_without_log=membership.MAJORITY,
                tls=tls,
                rng=random.Random(index),
            )
            port = task.listen("127.0.0.1:0")
            self.logs.append(log)
            self.tasks.append(task)
            self.join(index, port)

    def join(self, index: int, port: int) -> None:
        """Append a node's record."""
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
        """Append a record."""
        self.store.append(f"op{self.store.offset}", 1, [entry])

    def run(self, rounds: int) -> None:
        """Let all nodes do rounds of one second."""
        for _ in range(rounds):
            for task in self.tasks:
                task.round()
            self.clock.advance(1_000)

    def lose_log(self) -> None:
        """Let no node read the log's head any more."""
        for log in self.logs:
            log.head_ms = membership.FRESHNESS_LIMIT_MS + 1

    def stop(self) -> None:
        """Stop all nodes."""
        for task in self.tasks:
            task.stop()


class PeersTestCase(unittest.TestCase):
    """A cluster that ends with the test."""

    def cluster(self, count: int, **options: typing.Any) -> Cluster:
        """Return a running cluster."""
        cluster = Cluster(count, **options)
        self.addCleanup(cluster.stop)
        return cluster


class ExchangeTest(PeersTestCase):
    """Guards against nodes that stop serving, or go on, without the log."""

    def test_nodes_learn_of_each_other(self) -> None:
        cluster = self.cluster(4)
        cluster.run(4)
        for task in cluster.tasks:
            revisions = task.knowledge.revision_by_node()
            self.assertEqual(sorted(revisions), ["n0", "n1", "n2", "n3"])

    def test_a_majority_goes_on_without_the_log(self) -> None:
        cluster = self.cluster(3)
        cluster.run(3)
        cluster.lose_log()
        cluster.run(8)
        for task in cluster.tasks:
            self.assertFalse(task.knowledge.isolated())

    def test_a_node_alone_is_isolated(self) -> None:
        cluster = self.cluster(3)
        cluster.run(3)
        cluster.lose_log()
        for task in cluster.tasks[1:]:
            task.stop()
        cluster.clock.advance(6_000)
        cluster.tasks[0].round()
        self.assertTrue(cluster.tasks[0].knowledge.isolated())

    def test_wrong_secret_is_refused(self) -> None:
        cluster = self.cluster(2, secrets=(SECRET, SECRET[::-1]))
        cluster.run(2)
        for task in cluster.tasks:
            self.assertEqual(task.exchanges, 0)
            self.assertGreater(task.failures, 0)
        self.assertNotIn("n1", cluster.tasks[0].knowledge.revision_by_node())

    def test_short_secret_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            self.cluster(1, secrets=(b"short",))

    def test_oversized_message_is_refused(self) -> None:
        cluster = self.cluster(2)
        node = cluster.store.fold.view().nodes_by_name["n1"]
        peer = _channels.Peer("n1", node.peers)
        body = b"x" * (_channels.MAX_MESSAGE_BYTES + 1)
        with self.assertRaises(_channels.CallError):
            cluster.tasks[0]._channels.call(peer, "Exchange", body, 2_000)

    def test_garbage_is_refused(self) -> None:
        cluster = self.cluster(2)
        node = cluster.store.fold.view().nodes_by_name["n1"]
        peer = _channels.Peer("n1", node.peers)
        for method in ("Exchange", "AskCall", "StopOrder"):
            with self.assertRaises(_channels.CallError):
                cluster.tasks[0]._channels.call(peer, method, b"\xff", 2_000)


class AgeTest(unittest.TestCase):
    """Guards against old requests that look like signs of life."""

    def setUp(self) -> None:
        """Create one node's knowledge in a fleet of three."""
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
        self.log.head_ms = membership.FRESHNESS_LIMIT_MS + 1

    def request(self, sequence: int) -> _codec.NumberedDigest:
        """Return a digest in which n1 has just heard n2."""
        keys = membership.node_key("n1") + membership.node_key("n2")
        digest = membership.Digest("n1", b"", keys, b"\0\0")
        return _codec.NumberedDigest(digest, 5, sequence)

    def test_a_request_proves_that_peers_live(self) -> None:
        self.assertTrue(self.knowledge.isolated())
        self.knowledge.receive_request("n1", self.request(1))
        self.assertFalse(self.knowledge.isolated())

    def test_a_repeated_request_proves_nothing(self) -> None:
        self.knowledge.receive_request("n1", self.request(1))
        for _ in range(6):
            self.clock.advance(1_000)
            self.knowledge.begin_round({})
        self.knowledge.receive_request("n1", self.request(1))
        self.assertTrue(self.knowledge.isolated())

    def test_a_request_from_before_a_pause_proves_nothing(self) -> None:
        """It lay in the socket's buffer while the process was paused."""
        self.clock.advance(30_000)
        self.knowledge.receive_request("n1", self.request(1))
        self.assertTrue(self.knowledge.isolated())
        self.knowledge.begin_round({})
        self.knowledge.receive_request("n1", self.request(2))
        self.assertTrue(self.knowledge.isolated())

    def test_requests_count_again_some_time_after_a_pause(self) -> None:
        self.clock.advance(30_000)
        for _ in range(7):
            self.knowledge.begin_round({})
            self.clock.advance(1_000)
        self.knowledge.receive_request("n1", self.request(1))
        self.assertFalse(self.knowledge.isolated())


class StopOrderTest(PeersTestCase):
    """Guards against stop orders that wait for the log (R4, R8)."""

    def test_reaches_a_node_and_travels_on(self) -> None:
        cluster = self.cluster(3)
        confirmed = cluster.tasks[0].send_stop("n1", ZONE, "z9", 0)
        self.assertTrue(confirmed)
        self.assertTrue(cluster.tasks[1].knowledge.zone_stopped("z9"))
        cluster.run(3)
        for task in cluster.tasks:
            self.assertTrue(task.knowledge.zone_stopped("z9"))
            self.assertFalse(task.knowledge.zone_stopped("z8"))

    def test_a_later_bring_back_on_the_log_ends_it(self) -> None:
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
        self.assertFalse(cluster.tasks[0].send_stop("n1", ZONE, "z9", 0))
        self.assertFalse(cluster.tasks[0].send_stop("n7", ZONE, "z9", 0))


class DoubtTest(PeersTestCase):
    """Guards against a cold target that only one node knows of (R3)."""

    def listen(self, cluster: Cluster) -> "queue.Queue[tuple[int, str]]":
        """Return what the nodes hear, with the number of the node."""
        heard: queue.Queue[tuple[int, str]] = queue.Queue()
        for index, task in enumerate(cluster.tasks):
            task.on_doubted(
                lambda target, index=index: heard.put((index, target))
            )
        return heard

    def hearers(
        self, heard: "queue.Queue[tuple[int, str]]", count: int
    ) -> set[int]:
        return {heard.get(timeout=PATIENCE_S)[0] for _ in range(count)}

    def test_every_other_node_hears_it_once(self) -> None:
        cluster = self.cluster(4)
        heard = self.listen(cluster)
        cluster.tasks[0].announce_doubt("g1")
        self.assertEqual({1, 2, 3}, self.hearers(heard, 3))
        cluster.tasks[0].announce_doubt("g1")
        cluster.tasks[1].announce_doubt("g1")
        cluster.tasks[1].announce_doubt("g2")
        told = {heard.get(timeout=PATIENCE_S) for _ in range(3)}
        self.assertEqual({(0, "g2"), (2, "g2"), (3, "g2")}, told)

    def test_a_later_doubt_is_told_again(self) -> None:
        cluster = self.cluster(2)
        heard = self.listen(cluster)
        cluster.tasks[0].announce_doubt("g1")
        self.hearers(heard, 1)
        cluster.clock.advance(_task.DOUBT_GAP_MS)
        cluster.tasks[0].announce_doubt("g1")
        self.hearers(heard, 1)

    def test_a_large_fleet_passes_it_on(self) -> None:
        # Each node tells 8 of the 13 others; the seeds are the nodes' numbers.
        cluster = self.cluster(14)
        heard = self.listen(cluster)
        cluster.tasks[0].announce_doubt("g1")
        self.assertEqual(set(range(1, 14)), self.hearers(heard, 13))

    def test_a_dead_node_holds_nobody_up(self) -> None:
        cluster = self.cluster(3)
        heard = self.listen(cluster)
        cluster.tasks[1].stop()
        cluster.tasks[0].announce_doubt("g1")
        self.assertEqual({2}, self.hearers(heard, 1))

    def test_a_name_beyond_the_bound_is_refused(self) -> None:
        cluster = self.cluster(2)
        heard = self.listen(cluster)
        cluster.tasks[0].announce_doubt("g" * (_codec.MAX_NAME_CHARS + 1))
        cluster.tasks[0].announce_doubt("g1")
        self.assertEqual((1, "g1"), heard.get(timeout=PATIENCE_S))
        self.assertTrue(heard.empty())


class AskCallTest(PeersTestCase):
    """Guards against wrong statements about calls that must not repeat."""

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
        """The fold may name the old process while the new one answers."""
        cluster = self.cluster(2)
        cluster.logs[1].name = "n1#newer"
        answer = cluster.tasks[0].ask("n1#nonce1", "i1")
        self.assertIs(answer, interfaces.DispatcherAnswer.UNREACHABLE)

    def test_dead_dispatcher(self) -> None:
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
    """Guards against plain connections where the settings ask for TLS."""

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

    def test_plain_client_is_refused(self) -> None:
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
