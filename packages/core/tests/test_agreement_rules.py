"""Boundary tests of lease timing, snapshots, intents and the codec."""

import random
import typing
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from quetzalward_core import agreement
from quetzalward_core import errors

DURATION_MS = agreement.LEASE_DURATION_MS
LINES = [
    random.Random(seed).randbytes(200).hex().encode() + b"\n"
    for seed in range(5)
]
FIXED = hypothesis.settings(derandomize=True, database=None, deadline=None)


def lease(renewed: int, epoch: int = 5) -> agreement.Lease:
    return agreement.Lease("zone/a", "n1#a", epoch, renewed, DURATION_MS)


class LeaseTest(unittest.TestCase):
    """Checks the timing rules of holders, challengers and successors."""

    def test_margin_is_five_percent_rounded_up(self) -> None:
        self.assertEqual(agreement.with_clock_margin(10_000), 10_500)
        self.assertEqual(agreement.with_clock_margin(1), 2)
        self.assertEqual(agreement.with_clock_margin(0), 0)

    def test_challenger_waits_duration_and_margin(self) -> None:
        watch = agreement.LeaseObserver()
        watch.observe(lease(7), 1_000)
        self.assertFalse(watch.may_claim(lease(7), 11_499))
        self.assertTrue(watch.may_claim(lease(7), 11_500))

    def test_challenger_starts_again_with_each_renewal(self) -> None:
        watch = agreement.LeaseObserver()
        watch.observe(lease(7), 1_000)
        watch.observe(lease(7), 5_000)
        self.assertTrue(watch.may_claim(lease(7), 11_500))
        watch.observe(lease(9), 11_000)
        self.assertFalse(watch.may_claim(lease(9), 11_500))
        self.assertTrue(watch.may_claim(lease(9), 21_500))

    def test_a_renewal_that_was_not_observed_forbids_a_claim(self) -> None:
        watch = agreement.LeaseObserver()
        watch.observe(lease(7), 1_000)
        self.assertFalse(watch.may_claim(lease(9), 50_000))

    def test_a_free_lease_may_be_claimed(self) -> None:
        self.assertTrue(agreement.LeaseObserver().may_claim(None, 0))

    def held(self) -> agreement.HeldLease:
        return agreement.HeldLease("zone/a", 5, DURATION_MS, 1_000, 1_100)

    def test_holder_counts_from_before_its_append(self) -> None:
        held = self.held()
        self.assertTrue(held.is_unexpired(10_999))
        self.assertFalse(held.is_unexpired(11_000))

    def test_holder_orders_only_with_two_seconds_left(self) -> None:
        held = self.held()
        self.assertTrue(held.may_order(lease(7), 9_000))
        self.assertFalse(held.may_order(lease(7), 9_001))
        held.record_renewal(4_000)
        self.assertTrue(held.may_order(lease(9), 12_000))
        self.assertFalse(held.may_order(lease(9), 12_001))

    def test_an_older_renewal_does_not_shorten_the_lease(self) -> None:
        held = self.held()
        held.record_renewal(4_000)
        held.record_renewal(2_000)
        self.assertTrue(held.may_order(lease(9), 12_000))

    def test_successor_waits_for_earlier_orders(self) -> None:
        held = self.held()
        first_ms = 1_100 + agreement.with_clock_margin(
            agreement.ORDER_LIFETIME_MS
        )
        self.assertFalse(held.may_order(lease(7), first_ms - 1))
        self.assertTrue(held.may_order(lease(7), first_ms))

    def test_a_lost_lease_allows_no_order(self) -> None:
        held = self.held()
        self.assertFalse(held.may_order(lease(9, epoch=8), 9_000))
        self.assertFalse(held.may_order(None, 9_000))

    def test_renewal_is_due_after_three_seconds(self) -> None:
        held = self.held()
        self.assertFalse(held.should_renew(3_999))
        self.assertTrue(held.should_renew(4_000))


class SnapshotTest(unittest.TestCase):
    """Checks the assembly of parts and when a snapshot is due."""

    def parts(self, name: str = "s") -> list[agreement.SnapshotPart]:
        snapshot = agreement.Snapshot(name, 9, LINES)
        return agreement.split_snapshot(snapshot, 200)

    def test_parts_in_any_order_and_repeated(self) -> None:
        parts = self.parts()
        self.assertGreater(len(parts), 4)
        for seed in range(20):
            order = parts + parts[:2]
            random.Random(seed).shuffle(order)
            assembler = agreement.SnapshotAssembler()
            found = [assembler.add(part) for part in order]
            compressed = next(p for p in found if p is not None)
            self.assertEqual(compressed.through_offset, 9)
            self.assertEqual(list(compressed.lines()), [b[:-1] for b in LINES])

    def test_damaged_data_is_an_error_of_a_listed_kind(self) -> None:
        whole = agreement.split_snapshot(agreement.Snapshot("s", 9, LINES))
        text = whole[0].data
        for damaged in ("", "!", text[:-8], text[:400], "eJw="):
            compressed = agreement.CompressedSnapshot("s", 9, 1, damaged)
            with self.assertRaises(errors.QuetzalwardError) as caught:
                list(compressed.lines())
            kind = caught.exception.kind
            self.assertIs(kind, errors.ErrorKind.MALFORMED_RECORD)

    def test_contradicting_parts_are_ignored(self) -> None:
        parts = self.parts()
        assembler = agreement.SnapshotAssembler()
        for part in parts[:-1]:
            self.assertIsNone(assembler.add(part))
        last = parts[-1]
        for wrong in (
            attrs.evolve(last, through_offset=10),
            attrs.evolve(last, parts=len(parts) - 1),
            attrs.evolve(last, part=len(parts)),
            attrs.evolve(last, part=-1),
        ):
            self.assertIsNone(assembler.add(wrong))
        self.assertIsNotNone(assembler.add(last))

    def test_interleaved_snapshots_do_not_mix(self) -> None:
        assembler = agreement.SnapshotAssembler()
        done = []
        for pair in zip(self.parts("a"), self.parts("b"), strict=True):
            done += [assembler.add(part) for part in pair]
        names = [compressed.snapshot_id for compressed in done if compressed]
        self.assertEqual(names, ["a", "b"])

    def test_unfinished_snapshots_are_bounded(self) -> None:
        assembler = agreement.SnapshotAssembler()
        for number in range(100):
            assembler.add(self.parts(f"s{number}")[0])
        self.assertLess(len(assembler._pending_by_id), 10)

    def due(self, **changes: int) -> bool:
        progress = agreement.SnapshotProgress(
            next_offset=10_000,
            first_offset=0,
            through_offset=9_000,
            records_since=990,
            age_ms=0,
        )
        changed = attrs.evolve(progress, **changes)
        return agreement.snapshot_due(changed, 3_600_000)

    def test_when_a_snapshot_is_due(self) -> None:
        self.assertFalse(self.due())
        self.assertTrue(self.due(records_since=5_000))
        self.assertTrue(self.due(age_ms=3_600_000))
        # A quarter of the retained records follows the last snapshot.
        self.assertFalse(self.due(first_offset=5_900))
        self.assertTrue(self.due(first_offset=6_100))
        # An idle log gets another snapshot only after the minimum interval.
        idle = {"records_since": 0, "first_offset": 8_999}
        self.assertFalse(self.due(**idle, age_ms=0))
        self.assertTrue(self.due(through_offset=9_000, **idle, age_ms=60_000))
        self.assertFalse(self.due(next_offset=0, age_ms=3_600_000))


class IntentTest(unittest.TestCase):
    """Checks the tracker's decision, which alone permits a dispatch."""

    def setUp(self) -> None:
        self.book = agreement.IntentTracker("n1#a")
        self.intent = self.book.create_intent("c", "k", "f", 1_000).intent_id

    def decide(
        self,
        result: agreement.EntryResult | None,
        maybe_appended: bool = True,
        in_time: bool = True,
    ) -> agreement.Decision:
        return self.book.decide(self.intent, result, maybe_appended, in_time)

    def test_dispatch_only_if_read_back_first_and_in_time(self) -> None:
        accepted = agreement.Accepted(1)
        self.assertIs(self.decide(accepted), agreement.Decision.DISPATCH)
        again = self.decide(accepted)
        self.assertIs(again, agreement.Decision.GIVE_UP)

    def test_too_late(self) -> None:
        decision = self.decide(agreement.Accepted(1), in_time=False)
        self.assertIs(decision, agreement.Decision.GIVE_UP)
        state = self.book.state(self.intent)
        self.assertIs(state, agreement.IntentState.ABANDONED)

    def test_not_read_back(self) -> None:
        self.assertIs(self.decide(None), agreement.Decision.GIVE_UP)
        late = self.decide(agreement.Accepted(1))
        self.assertIs(late, agreement.Decision.GIVE_UP)

    def test_never_sent(self) -> None:
        decision = self.decide(None, maybe_appended=False)
        self.assertIs(decision, agreement.Decision.NOT_RUN)

    def test_another_was_first(self) -> None:
        void = agreement.Void(1, agreement.VoidReason.KEY_TAKEN)
        self.assertIs(self.decide(void), agreement.Decision.TAKEN)

    def test_retention_is_one_that_the_fold_takes(self) -> None:
        for retention_ms in (-1, 0, 2**60):
            intent = self.book.create_intent("c", "k", "f", retention_ms)
            data = agreement.encode_batch("n1#a", 1, [intent])
            result = agreement.CallState().apply_batch(0, 0, data)
            assert result is not None
            self.assertIsInstance(result.results[0], agreement.Accepted)


class CopyTest(unittest.TestCase):
    """Guards snapshots written concurrently with applied records."""

    def test_copies_are_independent(self) -> None:
        intent = agreement.CallIntent("w/1", "c", "k", "f", "w", 1_000)
        cases: list[tuple[agreement.Fold, list[typing.Any]]] = [
            (
                agreement.ControlState(),
                [agreement.HostAdmitted("h1", 1)]
                + [agreement.HostAdmitted("h2", 1)],
            ),
            (
                agreement.CallState(),
                [intent, agreement.CallAbandoned("w/1", "c", "k")],
            ),
        ]
        for fold, entries in cases:
            for offset, entry in enumerate(entries):
                before = fold.to_bytes()
                copy = fold.copy()
                data = agreement.encode_batch("w", offset + 1, [entry])
                fold.apply_batch(offset, 0, data)
                self.assertEqual(copy.to_bytes(), before)
                copy.apply_batch(offset, 0, data)
                self.assertEqual(copy.to_bytes(), fold.to_bytes())

    def test_a_forgotten_writer_is_forgotten_everywhere(self) -> None:
        """The expiry of writers must not depend on where a fold started."""
        day_ms = 24 * 60 * 60 * 1000
        fold = agreement.ControlState()
        for offset in range(600):
            data = agreement.encode_batch(f"w{offset}", 1, [])
            fold.apply_batch(offset, offset * day_ms // 100, data)
            if offset == 300:
                other = agreement.ControlState.from_bytes(fold.to_bytes())
            elif offset > 300:
                other.apply_batch(offset, offset * day_ms // 100, data)
        self.assertEqual(fold.to_bytes(), other.to_bytes())
        self.assertEqual(fold.writer_seq("w0"), 0)
        self.assertEqual(fold.writer_seq("w599"), 1)


def _values(kind: typing.Any) -> strategies.SearchStrategy[typing.Any]:
    """Return a strategy for a field's type."""
    if kind is int:
        return strategies.integers(-(2**63) + 1, 2**63 - 1)
    if kind is bool:
        return strategies.booleans()
    if kind is str:
        return strategies.text(max_size=8)
    if kind == str | None:
        return strategies.none() | strategies.text(max_size=8)
    if kind == tuple[agreement.GroupHost, ...]:
        host = strategies.builds(
            agreement.GroupHost, _values(str), strategies.integers(0, 9)
        )
        return strategies.lists(host, max_size=3).map(tuple)
    json = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers(-9, 9)
        | strategies.floats(allow_nan=False, allow_infinity=False)
        | strategies.text(max_size=4),
        lambda inner: strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner),
        max_leaves=6,
    )
    return strategies.dictionaries(strategies.text(max_size=4), json)


def _entries() -> strategies.SearchStrategy[typing.Any]:
    return strategies.one_of(
        [
            strategies.builds(
                cls,
                **{f.name: _values(f.type) for f in attrs.fields(cls)},
            )
            for cls in agreement.KIND_BY_CLASS
        ]
    )


class CodecFuzzTest(unittest.TestCase):
    """Guards against entries changed by encoding, and against crashes."""

    @FIXED
    @hypothesis.given(strategies.lists(_entries(), max_size=4))
    def test_round_trip(self, entries: list[agreement.Entry]) -> None:
        data = agreement.encode_batch("w", 1, entries)
        batch = agreement.decode_batch(data)
        self.assertEqual(list(batch.entries), entries)

    @FIXED
    @hypothesis.given(strategies.lists(_entries(), max_size=4))
    def test_any_entry_is_applied_and_survives_a_snapshot(
        self, entries: list[agreement.Entry]
    ) -> None:
        data = agreement.encode_batch("w", 1, entries)
        folds: list[agreement.Fold] = [
            agreement.ControlState(),
            agreement.CallState(),
        ]
        for fold in folds:
            fold.apply_batch(0, 5, data)
            again = type(fold).from_bytes(fold.to_bytes())
            self.assertEqual(again.to_bytes(), fold.to_bytes())

    @FIXED
    @hypothesis.given(strategies.text(), strategies.binary())
    def test_any_text_is_a_record(self, text: str, data: bytes) -> None:
        fold = agreement.ControlState()
        fold.apply_batch(0, 0, text)
        fold.apply_batch(1, 0, data.decode("latin-1"))
        self.assertEqual(fold.next_offset, 2)


if __name__ == "__main__":
    unittest.main()
