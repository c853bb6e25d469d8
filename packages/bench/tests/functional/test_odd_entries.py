"""Entries of another writer among those of the targets, real gateways."""

import asyncio
import json
import socket
import time
import typing
import unittest

from functional import gateway_case

from quetzalward_bench.soak import _run
from quetzalward_standins import group_targets
from quetzalward_standins.platform import _targets

SOUND = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "z0",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 1,
    "born": 1,
}
DEEP = "[" * 600 + "]" * 600
ODD_FIELDS: list[dict[str, typing.Any]] = [
    {"address": "127.0.0.1:70000"},
    {"address": "127.0.0.1:-1"},
    {"address": "127.0.0.1:1_000"},
    {"address": "127.0.0.1:\u0661\u0662"},
    {"address": "127.0.0.1\0:80"},
    {"address": "l" * 300 + ":80"},
    {"address": ":80"},
    {"address": "0.0.0.0:80"},
    {"address": 7},
    {"slots": -3},
    {"slots": 1e300},
    {"coldLeftMs": 1e300},
    {"coldLeftMs": -1e300},
    {"sequence": 1e300},
    {"born": -1e300},
    {"born": 10**300},
    {"domain": {"a": [1]}},
    {"staged": [[]]},
    {"group": {"name": "g", "epoch": 1e300, "rank": 0, "state": "open"}},
    {"group": {"name": "g", "epoch": 1, "rank": 1e300, "state": "open"}},
    {"state": "asleep"},
]
# Heads whose entry is overwritten, one after the other.
HEADS = 5
# Topic of the nodes' election in the store.
DUTY_TOPIC = "keyed.quetzalward-duty"
# Time from a change of an entry until it must be in force at all nodes.
# Of an attempt that left the sending out.
NOT_SENT_REASON = "nothing was sent, as the target is withheld"
APPLY_S = 2.0
OBSERVED_S = 4.0


def odd_values() -> list[bytes]:
    """Return values that no target writes."""
    values = [
        json.dumps({**SOUND, "service": service, **fields}).encode()
        for service in ("desk", "pool")
        for fields in ODD_FIELDS
    ]
    text = json.dumps(SOUND)
    for value in ("9" * 400, "9" * 6_000, DEEP, "[" * 100_000, "1e999"):
        values.append(text.replace('"slots": 6', f'"slots": {value}').encode())
    return [*values, b"\xff\xfe", b"{", b"null", b"[]", b"9" * 9_000]


class OddEntriesTest(gateway_case.GatewayCase):
    """Guards against an odd entry that ends a process or its following."""

    def put(self, key: str, value: bytes) -> None:
        """Write an entry as another writer."""
        self.store.put(_targets.TARGETS_TOPIC, key, value)

    def events(self, *names: str) -> list[dict[str, typing.Any]]:
        """Return the logged events of some names, of all nodes."""
        return [
            line
            for node in self.nodes
            for line in node.events()
            if line["event"] in names
        ]

    def executed_at(self, target_id: str, since_s: float) -> int:
        """Return the number of executions at a target since a time."""
        return sum(
            one.target_id == target_id and one.at_s >= since_s
            for one in self.targets.executions
        )

    def assert_undisturbed(self, pids: list[int], since_s: float) -> None:
        """Check that all processes run, without a fault, and serve."""
        self.assertEqual(pids, [node.pid for node in self.nodes])
        self.assertEqual([], [e for n in self.nodes for e in n.errors()])
        self.assertEqual([], self.outcomes.violations)
        for kind in ("draft", "book", "stock"):
            share = self.outcomes.success_share(since_s, kind)
            assert share is not None
            self.assertGreaterEqual(share, _run.RECOVERED_SUCCESS_SHARE, kind)

    async def test_targets_are_followed_past_odd_entries(self) -> None:
        """Targets that go and come after them are left and used."""
        pids = [node.pid for node in self.nodes]
        for number, value in enumerate(odd_values()):
            self.put(f"odd-{number}", value)
        self.put("odd\r\nkey", json.dumps(SOUND).encode())
        await asyncio.sleep(APPLY_S)
        for target_id in ("p0", "p1"):
            self.targets.kill(target_id)
        await asyncio.sleep(APPLY_S)
        gone_s = time.monotonic()
        await self.targets.restart("p0")
        await asyncio.sleep(APPLY_S)
        self.targets.kill("p2")
        await asyncio.sleep(APPLY_S)
        alone_s = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        self.assertGreater(self.executed_at("p0", alone_s), 0)
        self.assertEqual(0, self.executed_at("p1", gone_s))
        self.assert_undisturbed(pids, alone_s)
        invalid = self.events("target_entry_invalid")
        keys = {line["key"] for line in invalid}
        self.assertLessEqual({"odd-0", "odd-1"}, keys)
        for line in invalid:
            self.assertTrue(line["key"].startswith("odd"), line)
            self.assertTrue(line["reason"], line)

    async def next_head(self) -> group_targets.GroupTarget:
        """Return the head of a group that has just begun a stream."""
        count = len(self.targets.executions)
        while True:
            for one in self.targets.executions[count:]:
                head = self.targets.fleet.target_by_id.get(one.target_id)
                if head is not None:
                    return head
            await asyncio.sleep(0.005)

    async def test_odd_entry_over_that_of_a_head_cuts_no_stream(self) -> None:
        """The group was given up, and the stream cut or moved."""
        pids = [node.pid for node in self.nodes]
        began_s = time.monotonic()
        failed = len(self.events("attempt_failed", "stream_aborted"))
        for _ in range(HEADS):
            head = await self.next_head()
            membership = head.membership
            self.put(head.id, odd_values()[0])
            await asyncio.sleep(APPLY_S / 2)
            self.assertEqual(membership, head.membership)
            self.targets.write_again()
            await asyncio.sleep(APPLY_S / 2)
        events = self.events("attempt_failed", "stream_aborted")[failed:]
        # The entry may be overwritten between the choice of its target and
        # the sending, which is then left out.
        cuts = [e for e in events if e.get("reason") != NOT_SENT_REASON]
        self.assertEqual([], cuts)
        self.assert_undisturbed(pids, began_s)

    async def test_odd_entry_over_that_of_a_target_withholds_it(self) -> None:
        """It gets no new requests until it writes again."""
        pids = [node.pid for node in self.nodes]
        self.put("p0", odd_values()[0])
        await asyncio.sleep(APPLY_S)
        unused_s = time.monotonic()
        await asyncio.sleep(APPLY_S)
        self.assertEqual(0, self.executed_at("p0", unused_s))
        self.targets.write_again()
        await asyncio.sleep(APPLY_S)
        for target_id in ("p1", "p2"):
            self.targets.kill(target_id)
        await asyncio.sleep(APPLY_S)
        alone_s = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        self.assertGreater(self.executed_at("p0", alone_s), 0)
        self.assert_undisturbed(pids, alone_s)

    async def test_odd_term_ends_no_process(self) -> None:
        """Each node sent its status to the address that a term names."""
        pids = [node.pid for node in self.nodes]
        term = {"node": "x", "number": 10**9, "era": 1}
        for address in ("nowhere", "127.0.0.1:70000", "127.0.0.1"):
            value = json.dumps({**term, "address": address}).encode()
            self.store.put(DUTY_TOPIC, "coordinator", value)
            await asyncio.sleep(APPLY_S)
        await asyncio.sleep(APPLY_S)
        observed_s = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        self.assert_undisturbed(pids, observed_s)

    async def test_odd_status_ends_no_process(self) -> None:
        """The coordinator rounds the sum of what all nodes state."""
        pids = [node.pid for node in self.nodes]
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        work = [
            [m.group, m.epoch, float("inf"), float("inf"), 5, False, 1.0, 2]
            for target in self.targets.fleet.target_by_id.values()
            if (m := target.membership) is not None
        ]
        status = ["status", "x", 1, 1, 1, work, [], [], [1, 1, 1, 1]]
        began_s = time.monotonic()
        while time.monotonic() - began_s < OBSERVED_S:
            for node in self.nodes:
                data = json.dumps(status).encode()
                sock.sendto(data, ("127.0.0.1", node.peers_port))
            await asyncio.sleep(0.1)
        self.assert_undisturbed(pids, began_s)


if __name__ == "__main__":
    unittest.main()
