"""Tests of what follows from targets' notices."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from notices import builders
from quetzalward_core import notices

NOW_MS = 100_000
KEY = ("t1", 7)
KEYS = st.tuples(
    st.sampled_from(builders.IDS), st.sampled_from(builders.STARTS_MS)
)
RESTS_MS = st.one_of(
    st.integers(-5, 3_000),
    st.sampled_from((0, notices.MAX_REST_MS, notices.MAX_REST_MS + 1, 10**15)),
)


class TargetNoticesTest(unittest.TestCase):
    """Guards against requests to a target that leaves or rests."""

    def setUp(self) -> None:
        """Know nothing of any target."""
        self.notices = notices.TargetNotices()

    def verdict(
        self, born_ms: int = 7, now_ms: int = NOW_MS
    ) -> notices.Verdict:
        """Tell whether the target may receive a request."""
        return self.notices.admits(
            builders.target(born_ms=born_ms), (), now_ms
        )

    def test_leaving_ends_with_the_incarnation_only(self) -> None:
        """A restarted target at the same address is not leaving."""
        self.assertTrue(self.notices.observe_leaving(KEY))
        self.assertFalse(self.notices.observe_leaving(KEY))
        leaving = notices.Refused(notices.Reason.LEAVING)
        self.assertEqual(leaving, self.verdict(now_ms=NOW_MS + 10**9))
        self.assertEqual(notices.Allowed(), self.verdict(born_ms=8))

    def test_leaving_outlasts_a_missing_entry(self) -> None:
        """A restored store lists targets again that had left."""
        self.notices.observe_leaving(KEY)
        self.notices.forget_gone({}, NOW_MS)
        self.notices.forget_gone({"t1": 8}, NOW_MS + notices.ABSENT_MS)
        self.assertIsInstance(self.verdict(), notices.Refused)
        self.notices.forget_gone({"t1": 8}, NOW_MS + notices.ABSENT_MS + 1)
        self.assertEqual({}, self.notices._notices_by_key)

    def test_shorter_rest_does_not_end_a_longer_one(self) -> None:
        """Requests that were under way get answers of their own."""
        self.assertTrue(self.notices.observe_rest(KEY, 5_000, NOW_MS))
        self.assertFalse(self.notices.observe_rest(KEY, 1_000, NOW_MS + 10))
        resting = notices.Refused(notices.Reason.RESTING, NOW_MS + 5_000)
        self.assertEqual(resting, self.verdict(now_ms=NOW_MS + 4_999))
        self.assertEqual(
            notices.Allowed(), self.verdict(now_ms=NOW_MS + 5_000)
        )

    def test_rest_beyond_the_bound_changes_nothing(self) -> None:
        """Neither does one that is over at once, or never began."""
        for rest_ms in (-1, 0, notices.MAX_REST_MS + 1):
            self.assertFalse(self.notices.observe_rest(KEY, rest_ms, NOW_MS))
        self.assertEqual(notices.Allowed(), self.verdict())

    def test_rest_that_ended_takes_no_memory(self) -> None:
        """Targets rest often."""
        self.notices.observe_rest(KEY, 10, NOW_MS)
        self.notices.forget_gone({"t1": 7}, NOW_MS + 10)
        self.assertEqual({}, self.notices._notices_by_key)

    def test_coordinator_sees_a_leaving_target_as_draining(self) -> None:
        """Nothing else of its entry changes; a rest is no reason."""
        target = builders.target()
        self.notices.observe_rest(KEY, 10, NOW_MS)
        self.assertIs(target, self.notices.drained(target))
        self.notices.observe_leaving(KEY)
        self.assertEqual(
            builders.target(draining=True), self.notices.drained(target)
        )

    def test_earliest_end_of_all_rests(self) -> None:
        """There is none if a target is free, or none ever will be."""
        leaving = notices.Refused(notices.Reason.LEAVING)
        rests = [notices.Refused(notices.Reason.RESTING, n) for n in (9, 5)]
        for verdicts, end_ms in (
            ([*rests, leaving], 5),
            ([*rests, notices.Allowed()], None),
            ([leaving], None),
            ([], None),
        ):
            self.assertEqual(end_ms, notices.rest_end_ms(verdicts))


class Histories(stateful.RuleBasedStateMachine):
    """Random histories of answers, entries, restarts and evacuations."""

    def __init__(self) -> None:
        """Know nothing of any target."""
        super().__init__()
        self.notices = notices.TargetNotices()
        self.model = builders.Model()
        self.now_ms = NOW_MS
        self.evacuated: set[str] = set()
        self.entry_by_id = {
            target_id: builders.target(target_id) for target_id in builders.IDS
        }

    @stateful.rule(key=KEYS)
    def answer_leaving(self, key: tuple[str, int]) -> None:
        """Receive an answer of one life of a target, perhaps a late one."""
        self.notices.observe_leaving(key)
        self.model.leaving.append(key)

    @stateful.rule(key=KEYS, rest_ms=RESTS_MS)
    def answer_rest(self, key: tuple[str, int], rest_ms: int) -> None:
        """Receive a refusal with a time."""
        self.notices.observe_rest(key, rest_ms, self.now_ms)
        self.model.rests.append((key, self.now_ms, rest_ms))

    @stateful.rule(
        key=KEYS,
        draining=st.booleans(),
        zone=st.sampled_from(builders.ZONES),
    )
    def write_entry(
        self, key: tuple[str, int], draining: bool, zone: str
    ) -> None:
        """Read an entry, of an older or a newer life."""
        self.entry_by_id[key[0]] = builders.target(*key, draining, zone)

    @stateful.rule(target_id=st.sampled_from(builders.IDS))
    def remove_entry(self, target_id: str) -> None:
        """Read that an entry was removed."""
        self.entry_by_id.pop(target_id, None)

    @stateful.rule(zone=st.sampled_from(builders.ZONES))
    def evacuate_or_end(self, zone: str) -> None:
        """Evacuate a zone, or end that."""
        self.evacuated ^= {zone}

    @stateful.rule(ms=st.integers(0, 4_000))
    def advance(self, ms: int) -> None:
        """Let time pass."""
        self.now_ms += ms

    @stateful.rule()
    def forget(self) -> None:
        """Drop what is not needed."""
        self.notices.forget_gone(
            {t.id: t.born_ms for t in self.entry_by_id.values()}, self.now_ms
        )

    @stateful.invariant()
    def agrees_with_the_model(self) -> None:
        """All targets that entries name are decided alike."""
        for entry in self.entry_by_id.values():
            expected = self.model.verdict(entry, self.evacuated, self.now_ms)
            verdict = self.notices.admits(entry, self.evacuated, self.now_ms)
            assert verdict == expected, (entry, verdict, expected)
            leaves = entry.draining or entry.key in self.model.leaving
            assert self.notices.drained(entry).draining == leaves


HistoriesTest = Histories.TestCase
HistoriesTest.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None
)


if __name__ == "__main__":
    unittest.main()
