"""Tests of the codec, the charts and the rule of each record."""

import json
import unittest

from quetzalward_core import agreement
from quetzalward_core import charts
from quetzalward_core import errors

RETENTION_MS = 1_000


class Log:
    """Applies records to a fold, numbering each writer's batches."""

    def __init__(self, state: agreement.Fold) -> None:
        self.state = state
        self.time_ms = 0
        self.records: list[tuple[int, int, str]] = []
        self.seq_by_writer: dict[str, int] = {}

    def add(
        self, *entries: agreement.Entry, writer: str = "n1#a"
    ) -> tuple[agreement.EntryResult, ...]:
        seq = self.seq_by_writer.get(writer, 0) + 1
        self.seq_by_writer[writer] = seq
        data = agreement.encode_batch(writer, seq, entries)
        result = self.raw(data)
        assert result is not None
        return result.results

    def raw(self, data: str) -> agreement.BatchResult | None:
        record = (self.state.next_offset, self.time_ms, data)
        self.records.append(record)
        return self.state.apply_batch(*record)


class CodecTest(unittest.TestCase):
    """Guards against records that nodes could decode differently."""

    def test_bad_batches_are_counted_not_raised(self) -> None:
        bad = [
            "",
            "[]",
            "null",
            "[" * 5_000,
            '{"writer":"a","seq":0,"entries":[]}',
            '{"writer":"a","seq":true,"entries":[]}',
            '{"writer":"a","seq":1,"entries":{}}',
            '{"writer":"a","seq":1,"entries":[1e999]}',
            '{"writer":"a","seq":1,"entries":[NaN]}',
            '{"writer":"a","seq":1,"entries":[],"more":1}',
            '{"writer":"a","seq":1,"entries":[' + "9" * 5_000 + "]}",
        ]
        log = Log(agreement.ControlState())
        for data in bad:
            with self.assertRaises(errors.QuetzalwardError) as caught:
                agreement.decode_batch(data)
            kind = caught.exception.kind
            self.assertIs(kind, errors.ErrorKind.MALFORMED_RECORD)
            result = log.raw(data)
            assert result is not None
            self.assertIs(result.void, agreement.VoidReason.MALFORMED)
        self.assertEqual(log.state.void_by_reason["malformed"], len(bad))

    def test_bad_entries_do_not_spoil_their_neighbours(self) -> None:
        entries = [
            {"kind": "from_the_future"},
            {"kind": "node_left", "name": 5, "nonce": ""},
            {"kind": "node_left", "name": "a"},
            {"kind": "call_unknown", "intent_id": "", "customer": ""}
            | {"key": ""},
            {"kind": "zone_set", "zone": "z", "state": "out", "basis": 0}
            | {"operator": "o"},
            7,
        ]
        log = Log(agreement.ControlState())
        batch = {"writer": "w", "seq": 1, "entries": entries}
        result = log.raw(json.dumps(batch))
        assert result is not None
        reasons = [getattr(r, "reason", None) for r in result.results]
        reason = agreement.VoidReason
        self.assertEqual(
            reasons,
            [
                reason.UNKNOWN_KIND,
                reason.MALFORMED,
                reason.MALFORMED,
                reason.WRONG_STREAM,
                None,
                reason.MALFORMED,
            ],
        )

    def test_positions_never_equal_none(self) -> None:
        self.assertEqual(agreement.position_of(0, 0), 1)
        last = agreement.position_of(0, agreement.MAX_BATCH_ENTRIES - 1)
        self.assertLess(last, agreement.position_of(1, 0))
        self.assertEqual(agreement.offset_of(last), 0)
        self.assertEqual(agreement.offset_of(last + 1), 1)


class ChartTest(unittest.TestCase):
    """Guards against invalid charts and acceptance of unknown events."""

    def test_charts_load_and_refuse_unknown_events(self) -> None:
        for name in ("group", "target", "node", "zone"):
            chart = charts.load_chart(name)
            self.assertIn(chart.initial, chart.states)
            with self.assertRaises(errors.UnknownEventError):
                chart.step(chart.initial, "no_such_event")


class ControlTest(unittest.TestCase):
    """Checks each rule of the control records."""

    def setUp(self) -> None:
        self.state = agreement.ControlState()
        self.log = Log(self.state)

    def reasons(self, *entries: agreement.Entry) -> list[str | None]:
        return [
            r.reason.value if isinstance(r, agreement.Void) else None
            for r in self.log.add(*entries)
        ]

    def position(self, entry: agreement.Entry) -> int:
        (result,) = self.log.add(entry)
        self.assertIsInstance(result, agreement.Accepted)
        return result.position

    def claim(self, expected: int, holder: str = "n1#a") -> int:
        return self.position(
            agreement.LeaseClaimed("zone/a", holder, expected, 10_000)
        )

    def test_configuration_conflict_by_offset(self) -> None:
        first = agreement.ConfigProposed(0, {"a": 1}, "ann")
        second = agreement.ConfigProposed(0, {"a": 2}, "bob")
        self.assertEqual(self.reasons(first, second), [None, "stale_base"])
        view = self.state.view()
        self.assertEqual(view.config_document, {"a": 1})
        self.assertEqual(view.config_revision, 1)
        for number in range(60):
            revision = self.state.view().config_revision
            self.position(agreement.ConfigProposed(revision, {}, str(number)))
        view = self.state.view()
        self.assertEqual(len(view.config_history), 50)
        self.assertEqual(view.config_history[-1].operator, "59")

    def test_bring_back_needs_the_last_change(self) -> None:
        out = self.position(agreement.ZoneSet("a", "out", 0, "ann"))
        again = self.position(agreement.ZoneSet("a", "out", 0, "bob"))
        stale = agreement.ZoneSet("a", "in", out, "ann")
        self.assertEqual(self.reasons(stale), ["stale_base"])
        self.assertTrue(self.state.view().zone_out("a"))
        self.position(agreement.ZoneSet("a", "in", again, "ann"))
        self.assertFalse(self.state.view().zone_out("a"))
        odd = agreement.ZoneSet("a", "sideways", 0, "ann")
        self.assertEqual(self.reasons(odd), ["unknown_event"])

    def test_drain_end_needs_the_last_change(self) -> None:
        drain = self.position(agreement.TargetDrainSet("t", True, 0, "ann"))
        late = agreement.TargetDrainSet("t", False, drain - 1, "bob")
        self.assertEqual(self.reasons(late), ["stale_base"])
        self.assertTrue(self.state.view().draining("t"))
        self.position(agreement.TargetDrainSet("t", False, drain, "bob"))
        self.assertFalse(self.state.view().draining("t"))

    def test_expiry_does_not_hit_a_restarted_node(self) -> None:
        def joined(nonce: str) -> agreement.NodeJoined:
            addresses = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
            return agreement.NodeJoined("n", nonce, "a", "r", *addresses)

        self.position(joined("1"))
        self.position(joined("2"))
        expired = agreement.NodeExpired("n", "1")
        self.assertEqual(self.reasons(expired), ["unknown_node"])
        self.position(agreement.NodeLeft("n", "2"))
        self.assertEqual(dict(self.state.view().nodes_by_name), {})

    def test_lease_claims_and_renewals(self) -> None:
        epoch = self.claim(0)
        rival = agreement.LeaseClaimed("zone/a", "n2#a", 0, 10_000)
        self.assertEqual(self.reasons(rival), ["stale_lease"])
        renewal = agreement.LeaseRenewed("zone/a", "n1#a", epoch)
        renewed = self.position(renewal)
        overtaken = agreement.LeaseClaimed("zone/a", "n2#a", epoch, 10_000)
        self.assertEqual(self.reasons(overtaken), ["stale_lease"])
        self.claim(renewed, "n2#a")
        self.assertEqual(self.reasons(renewal), ["stale_lease"])

    def test_an_old_claim_of_the_same_holder_is_lost(self) -> None:
        old = self.claim(0)
        self.claim(old)
        renewal = agreement.LeaseRenewed("zone/a", "n1#a", old)
        release = agreement.LeaseReleased("zone/a", "n1#a", old)
        self.assertEqual(
            self.reasons(renewal, release), ["stale_lease", "stale_lease"]
        )

    def test_group_rules(self) -> None:
        host = agreement.GroupHost
        epoch = self.claim(0)
        for name in ("h1", "h2", "h3"):
            self.position(agreement.HostAdmitted(name, 1))

        def formed(
            group: str, *hosts: agreement.GroupHost, lease_epoch: int = epoch
        ) -> agreement.GroupFormed:
            return agreement.GroupFormed(
                group, "m", "d", "a", hosts, "zone/a", lease_epoch
            )

        pair = (host("h1", 1), host("h2", 1))
        group_epoch = self.position(formed("g1", *pair))
        cases = [
            (formed("g2", host("h1", 1)), "host_taken"),
            (formed("g1", host("h3", 1)), "group_exists"),
            (formed("g2", host("h3", 2)), "unknown_host"),
            (formed("g2", host("h3", 1), lease_epoch=9), "stale_lease"),
            (formed("g2"), "malformed"),
            (formed("g2", host("h3", 1), host("h3", 1)), "malformed"),
        ]
        for entry, reason in cases:
            self.assertEqual(self.reasons(entry), [reason])
        change = agreement.GroupStateChanged
        cases2 = [
            (change("g1", group_epoch, "loaded", epoch), "unknown_event"),
            (change("g1", group_epoch - 1, "assigned", epoch), "stale_epoch"),
            (change("g1", group_epoch, "assigned", epoch - 1), "stale_lease"),
            (change("g9", group_epoch, "assigned", epoch), "unknown_group"),
        ]
        for changed, reason in cases2:
            self.assertEqual(self.reasons(changed), [reason])
        for event in ("assigned", "loaded", "host_lost", "dissolve"):
            self.position(change("g1", group_epoch, event, epoch))
        self.position(formed("g2", host("h1", 1)))
        group = self.state.view().group_of_host("h1")
        assert group is not None
        self.assertEqual((group.group, group.state), ("g2", "forming"))

    def test_state_change_without_any_lease_is_void(self) -> None:
        epoch = self.claim(0)
        self.position(agreement.HostAdmitted("h", 1))
        hosts = (agreement.GroupHost("h", 1),)
        group_epoch = self.position(
            agreement.GroupFormed("g", "m", "d", "a", hosts, "zone/a", epoch)
        )
        self.position(agreement.LeaseReleased("zone/a", "n1#a", epoch))
        change = agreement.GroupStateChanged("g", group_epoch, "assigned", 0)
        self.assertEqual(self.reasons(change), ["stale_lease"])

    def test_a_view_never_changes(self) -> None:
        before = self.state.view()
        self.position(agreement.HostAdmitted("h", 1))
        middle = self.state.view()
        self.position(agreement.HostRemoved("h", 1))
        self.assertEqual(dict(before.hosts_by_id), {})
        self.assertEqual(list(middle.hosts_by_id), ["h"])

    def test_duplicate_and_old_offsets_have_no_effect(self) -> None:
        self.position(agreement.HostAdmitted("h", 1))
        offset, time_ms, data = self.log.records[-1]
        before = self.state.to_bytes()
        self.assertIsNone(self.state.apply_batch(offset, time_ms, data))
        self.assertEqual(self.state.to_bytes(), before)
        result = self.state.apply_batch(offset + 1, time_ms, data)
        assert result is not None
        duplicate = agreement.VoidReason.DUPLICATE_BATCH
        self.assertIs(result.void, duplicate)
        with self.assertRaises(errors.LogGapError):
            self.state.apply_batch(offset + 3, time_ms, data)


class CallTest(unittest.TestCase):
    """Checks each rule of the call records."""

    def setUp(self) -> None:
        self.state = agreement.CallState()
        self.log = Log(self.state)

    def intent(
        self, number: int, writer: str = "n1#a", fingerprint: str = "f"
    ) -> agreement.CallIntent:
        return agreement.CallIntent(
            f"{writer}/{number}", "c", "k", fingerprint, writer, RETENTION_MS
        )

    def reason(
        self, entry: agreement.Entry, writer: str = "n1#a"
    ) -> str | None:
        (result,) = self.log.add(entry, writer=writer)
        void = isinstance(result, agreement.Void)
        return result.reason.value if void else None  # type: ignore

    def test_first_intent_wins(self) -> None:
        self.assertIsNone(self.reason(self.intent(1)))
        self.assertEqual(
            self.reason(self.intent(1, "n2#a"), "n2#a"), "key_taken"
        )
        other = self.intent(2, "n2#a", "other")
        self.assertEqual(self.reason(other, "n2#a"), "key_reused")
        forged = self.intent(3, "n3#a")
        self.assertEqual(self.reason(forged), "wrong_writer")

    def test_only_the_dispatcher_abandons(self) -> None:
        self.reason(self.intent(1))
        abandoned = agreement.CallAbandoned("n1#a/1", "c", "k")
        self.assertEqual(self.reason(abandoned, "n2#a"), "wrong_writer")
        self.assertIsNotNone(self.state.lookup("c", "k"))
        self.assertIsNone(self.reason(abandoned))
        self.assertIsNone(self.state.lookup("c", "k"))
        self.assertIsNone(self.reason(self.intent(1, "n2#a"), "n2#a"))

    def test_abandoned_before_its_intent(self) -> None:
        abandoned = agreement.CallAbandoned("n1#a/1", "c", "k")
        self.assertEqual(self.reason(abandoned, "n2#a"), "wrong_writer")
        self.assertIsNone(self.reason(abandoned))
        self.assertEqual(self.reason(self.intent(1)), "abandoned")
        self.assertIsNone(self.reason(self.intent(2)))

    def test_an_unknown_key_is_not_claimed_again(self) -> None:
        self.reason(self.intent(1))
        self.reason(agreement.CallUnknown("n1#a/1", "c", "k"))
        self.assertEqual(
            self.reason(self.intent(1, "n2#a"), "n2#a"), "key_taken"
        )

    def test_results_replace_unknown_but_not_results(self) -> None:
        self.reason(self.intent(1))
        unknown = agreement.CallUnknown("n1#a/1", "c", "k")
        self.assertIsNone(self.reason(unknown, "n2#a"))
        result = agreement.CallResult("n1#a/1", "c", "k", 201, "text", "Ym8=")
        self.assertIsNone(self.reason(result))
        self.assertEqual(self.reason(unknown), "wrong_state")
        self.assertEqual(self.reason(result), "wrong_state")
        abandoned = agreement.CallAbandoned("n1#a/1", "c", "k")
        self.assertEqual(self.reason(abandoned), "wrong_state")
        known = self.state.lookup("c", "k")
        assert known is not None
        self.assertEqual((known.status, known.body), (201, "Ym8="))

    def test_keys_expire_by_log_time_after_their_last_record(self) -> None:
        self.reason(self.intent(1))
        self.log.time_ms = RETENTION_MS
        self.reason(agreement.CallUnknown("n1#a/1", "c", "k"))
        self.log.time_ms = 2 * RETENTION_MS
        self.log.raw("")
        self.assertIsNotNone(self.state.lookup("c", "k"))
        self.log.time_ms = 2 * RETENTION_MS + 1
        self.log.raw("")
        self.assertIsNone(self.state.lookup("c", "k"))

    def test_a_log_clock_that_steps_back_shortens_no_retention(self) -> None:
        self.log.time_ms = 5_000
        self.log.raw("")
        self.log.time_ms = 0
        self.reason(self.intent(1))
        self.log.time_ms = 5_000 + RETENTION_MS
        self.log.raw("")
        self.assertIsNotNone(self.state.lookup("c", "k"))

    def test_a_result_of_another_intent_is_void(self) -> None:
        self.reason(self.intent(1))
        other = agreement.CallResult("n1#a/2", "c", "k", 201, "t", None)
        self.assertEqual(self.reason(other), "wrong_intent")
        known = self.state.lookup("c", "k")
        assert known is not None
        self.assertIs(known.state, agreement.KeyState.OPEN)

    def test_bytes_round_trip(self) -> None:
        self.reason(self.intent(1))
        self.reason(agreement.CallAbandoned("n1#a/9", "c", "other"))
        data = self.state.to_bytes()
        again = agreement.CallState.from_bytes(data)
        self.assertEqual(again.to_bytes(), data)
        self.assertEqual(again.lookup("c", "k"), self.state.lookup("c", "k"))
        with self.assertRaises(errors.QuetzalwardError):
            agreement.ControlState.from_bytes(data)


if __name__ == "__main__":
    unittest.main()
