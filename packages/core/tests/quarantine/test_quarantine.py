"""Tests of finding the part of a prompt under which targets crash."""

import time
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
from quarantine import builders

from quetzalward_core import quarantine

NOW_MS = 10_000


def find(correlator: quarantine.Correlator) -> frozenset[str] | None:
    """Return what is found after the nodes have answered."""
    return correlator.find(NOW_MS, builders.ANSWER_MS)


class CorrelatorTest(unittest.TestCase):
    """Guards against blocks of sound parts, and against missed causes."""

    def crashes(self, count: int, *parts: str) -> list[quarantine.Crash]:
        """Return crashes at different times under the same parts."""
        return [builders.crash(9_000 + 150 * n, *parts) for n in range(count)]

    def test_part_of_three_incidents_is_found(self) -> None:
        """Three targets that crashed in turn are enough, two are not."""
        for count, found in ((2, None), (3, frozenset({"bad"}))):
            correlator = builders.correlator(*self.crashes(count, "bad"))
            self.assertEqual(found, find(correlator))

    def test_part_that_settled_since_is_not_the_cause(self) -> None:
        """The first part is shared with requests that were answered."""
        correlator = builders.correlator(*self.crashes(5, "hot", "bad"))
        correlator.add_sound("hot", 9_900)
        self.assertEqual(frozenset({"bad"}), find(correlator))

    def test_rare_first_part_is_not_blocked_with_the_cause(self) -> None:
        """A part that settled before, but not since, is shared as well."""
        correlator = builders.correlator(*self.crashes(5, "rare", "bad"))
        correlator.add_sound("rare", 8_000)
        self.assertEqual(frozenset({"bad"}), find(correlator))

    def test_parts_that_came_together_are_blocked_together(self) -> None:
        """Sound prompts with one of them pass, until one stands alone."""
        crashes = self.crashes(3, "new", "bad")
        correlator = builders.correlator(*crashes)
        both = frozenset({"new", "bad"})
        self.assertEqual(both, find(correlator))
        correlator = builders.correlator(
            *crashes, builders.crash(9_700, "other", "bad")
        )
        self.assertEqual(frozenset({"bad"}), find(correlator))

    def test_crashes_at_one_moment_count_once(self) -> None:
        """A zone or a rack ends with requests of a hot part at each target."""
        correlator = builders.correlator(
            *(builders.crash(9_500 + n % 20, "hot") for n in range(40))
        )
        self.assertIsNone(find(correlator))

    def test_one_request_alone_proves_nothing(self) -> None:
        """A request that is repeated may meet one failing target each time."""
        correlator = builders.correlator(
            *(
                builders.crash(9_000 + 150 * n, "p", request="same")
                for n in range(6)
            )
        )
        self.assertIsNone(find(correlator))

    def test_waiting_requests_weigh_less(self) -> None:
        """Most requests that a crash cuts off had not begun."""
        waiting = [
            builders.crash(
                8_500 + 150 * n, "p", weight=quarantine.CONTEXT_WEIGHT
            )
            for n in range(6)
        ]
        self.assertIsNone(find(builders.correlator(*waiting[:5])))
        self.assertEqual(frozenset({"p"}), find(builders.correlator(*waiting)))

    def test_more_is_asked_while_other_answers_are_cut_off_too(self) -> None:
        """With targets crashing everywhere, three in a row are chance."""
        others = [builders.crash(9_000, f"other{n}") for n in range(20)]
        crashes = self.crashes(6, "p")
        self.assertIsNone(find(builders.correlator(*crashes[:4], *others)))

    def test_no_part_that_settled_is_found_while_nothing_is_served(
        self,
    ) -> None:
        """All targets are gone: the part of all requests is not the cause."""
        correlator = builders.correlator(*self.crashes(6, "hot"), service=0)
        correlator.add_sound("hot", 1_000)
        self.assertIsNone(find(correlator))

    def test_nodes_are_asked_before_a_part_is_found(self) -> None:
        """Settled answers of other nodes are known only after that."""
        correlator = builders.correlator(*self.crashes(5, "p"))
        self.assertIsNone(correlator.find(NOW_MS - 1, builders.ANSWER_MS))

    def test_innocents_of_explained_crashes_are_cleared(self) -> None:
        """What a cause cut off is no evidence, also if reported later."""
        crashes = self.crashes(4, "bad")
        neighbours = [
            builders.crash(c.at_ms, "near", target=c.target) for c in crashes
        ]
        correlator = builders.correlator(*crashes, *neighbours[:2])
        correlator.explain(frozenset({"bad"}))
        for late in neighbours[2:]:
            correlator.add_crash(late)
        self.assertEqual((), correlator.suspects(NOW_MS))
        self.assertIsNone(find(correlator))

    def test_reports_are_repeated_without_effect(self) -> None:
        """A node repeats a crash until the holder must have received it."""
        crash = builders.crash(9_000, "p")
        correlator = builders.correlator(*[crash] * 10)
        self.assertEqual((), correlator.suspects(NOW_MS))

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(0, 9_900),
                st.sets(st.sampled_from("abcd"), min_size=1),
                st.sampled_from((1, 2)),
            ),
            max_size=30,
        ),
        st.dictionaries(st.sampled_from("abcd"), st.integers(0, 10_000)),
    )
    def test_found_parts_were_in_crashes_and_did_not_settle_since(
        self,
        rows: list[tuple[int, set[str], int]],
        sound_ms_by_part: dict[str, int],
    ) -> None:
        """Whatever the evidence, a part that settled last is not found."""
        correlator = builders.correlator(
            *(
                builders.crash(at_ms, *sorted(parts), weight=weight)
                for at_ms, parts, weight in rows
            )
        )
        for part, sound_ms in sound_ms_by_part.items():
            correlator.add_sound(part, sound_ms)
        found = find(correlator)
        if found is None:
            return
        self.assertTrue(found)
        for part in found:
            last_ms = max(at for at, parts, _ in rows if part in parts)
            self.assertLessEqual(sound_ms_by_part.get(part, 0), last_ms)


class LongPromptTest(unittest.TestCase):
    """Guards against a crashing part that is behind many sound ones."""

    def test_last_of_many_parts_is_found(self) -> None:
        """Sound requests have all the others."""
        for count in (4, 70, 700):
            shared = [f"p{n}" for n in range(count)]
            crashes = [
                builders.crash(9_000 + 150 * n, *shared, "bad")
                for n in range(4)
            ]
            correlator = builders.correlator(*crashes)
            for part in shared:
                correlator.add_sound(part, 5_000)
            with self.subTest(count):
                correlator.suspects(NOW_MS - builders.ANSWER_MS)
                self.assertEqual(frozenset({"bad"}), find(correlator))


class RepeatedRequestTest(unittest.TestCase):
    """Guards against a request that is sent on after it crashed targets.

    And against holding back for good what only met an outage.
    """

    SAME = quarantine.request_trait("c", b"POST", "h", b"/", b"x")

    def row(
        self, count: int, *parts: str, begin_ms: int = 9_000
    ) -> list[quarantine.Crash]:
        """Return crashes under one request that came again."""
        return [
            builders.crash(begin_ms + 150 * n, *parts, self.SAME)
            for n in range(count)
        ]

    def held(self, *crashes: quarantine.Crash) -> quarantine.Correlator:
        """Return a correlator that has considered the crashes."""
        correlator = builders.correlator(*crashes)
        self.assertIsNone(find(correlator))
        return correlator

    def test_request_is_held_from_the_third_target_on(self) -> None:
        """Its parts are not blamed, since other requests have them."""
        for count, held in ((2, set()), (3, {self.SAME}), (9, {self.SAME})):
            correlator = self.held(*self.row(count, "p"))
            self.assertEqual(held, set(correlator.held))

    def test_answer_in_between_frees_the_request(self) -> None:
        """It did not crash the target that answered."""
        correlator = self.held(*self.row(4))
        correlator.add_sound(self.SAME, 9_350)
        self.assertIsNone(find(correlator))
        self.assertEqual({}, correlator.held)

    def test_many_held_requests_do_not_stop_the_coordinator(self) -> None:
        """It concludes every 100 ms, beside its other work."""
        correlator = quarantine.Correlator(quarantine.Quarantine())
        for n in range(510):
            traits = [f"{k:08x}" for k in range(n, n + 60)]
            correlator.add_crash(
                builders.crash(
                    9_000 + 150 * (n % 3), *traits, f"request:{n // 3:016x}"
                )
            )
        correlator.suspects(NOW_MS - builders.ANSWER_MS)
        find(correlator)
        self.assertGreater(len(correlator.held), 50)
        with mock.patch.object(
            quarantine.Correlator, "held", new_callable=mock.PropertyMock
        ) as held:
            held.return_value = {}
            begin_s = time.process_time()
            find(correlator)
        self.assertLess(held.call_count, 10)
        self.assertLess(time.process_time() - begin_s, 0.1)

    def test_only_one_trial_is_made_at_a_time(self) -> None:
        """Requests come at all nodes at once."""
        correlator = self.held(*self.row(3))
        self.assertTrue(correlator.grant_trial(self.SAME, NOW_MS))
        self.assertFalse(correlator.grant_trial(self.SAME, NOW_MS))
        self.assertFalse(correlator.grant_trial("request:x", NOW_MS))

    def test_crash_in_a_trial_shows_the_cause(self) -> None:
        """Its own earlier crashes are no reason to doubt that."""
        correlator = self.held(*self.row(3))
        self.assertTrue(correlator.grant_trial(self.SAME, NOW_MS))
        correlator.add_crash(builders.crash(NOW_MS + 100, self.SAME))
        later_ms = NOW_MS + 600
        cause = correlator.find(later_ms, builders.ANSWER_MS)
        self.assertEqual(frozenset({self.SAME}), cause)

    def test_request_that_was_answered_before_gets_a_second_trial(
        self,
    ) -> None:
        """Requests that only look alike may crash for different reasons."""
        correlator = builders.correlator(*self.row(3))
        correlator.add_sound(self.SAME, 8_000)
        self.assertIsNone(find(correlator))
        for begin_ms, cause in (
            (NOW_MS, None),
            (NOW_MS + 1_000, frozenset({self.SAME})),
        ):
            self.assertTrue(correlator.grant_trial(self.SAME, begin_ms))
            crash = builders.crash(begin_ms + 100, self.SAME)
            correlator.add_crash(crash)
            found = correlator.find(begin_ms + 600, builders.ANSWER_MS)
            self.assertEqual(cause, found)

    def test_part_is_found_among_requests_that_look_alike(self) -> None:
        """Others with the same path, customer and body are answered."""
        correlator = builders.correlator(*self.row(4, "bad"))
        correlator.add_sound(self.SAME, 9_900)
        self.assertEqual(frozenset({"bad"}), find(correlator))

    def test_crash_beside_others_shows_nothing(self) -> None:
        """A zone may end in the middle of a trial."""
        correlator = self.held(*self.row(3))
        self.assertTrue(correlator.grant_trial(self.SAME, NOW_MS))
        correlator.add_crash(builders.crash(NOW_MS + 100, self.SAME))
        correlator.add_crash(builders.crash(NOW_MS + 110, "request:other"))
        later_ms = NOW_MS + 600
        self.assertIsNone(correlator.find(later_ms, builders.ANSWER_MS))
        self.assertEqual([self.SAME], list(correlator.held))

    def test_answer_in_a_trial_frees_the_request(self) -> None:
        """A sound request goes on once the outage is over."""
        correlator = self.held(*self.row(3))
        self.assertTrue(correlator.grant_trial(self.SAME, NOW_MS))
        correlator.add_sound(self.SAME, NOW_MS + 100)
        correlator.find(NOW_MS + 600, builders.ANSWER_MS)
        self.assertEqual({}, correlator.held)

    def test_three_trials_at_most(self) -> None:
        """Whatever becomes of them, no more requests reach targets."""
        correlator = self.held(*self.row(3))
        granted = 0
        for now_ms in range(NOW_MS, NOW_MS + 60_000, 500):
            if now_ms % 2_000 == 0:
                other = builders.crash(now_ms, "request:other")
                correlator.add_crash(other)
            correlator.find(now_ms, builders.ANSWER_MS)
            granted += correlator.grant_trial(self.SAME, now_ms)
        self.assertLessEqual(granted, 3)
        self.assertGreater(granted, 0)

    def test_trials_of_earlier_coordinators_count(self) -> None:
        """The next one may have known nothing of them."""
        for before, is_granted in ((2, True), (3, False)):
            correlator = self.held(*self.row(3))
            self.assertEqual(
                is_granted, correlator.grant_trial(self.SAME, NOW_MS, before)
            )

    def test_part_that_crashes_under_many_requests_is_found(self) -> None:
        """Also if each of them came again."""
        crashes = [
            builders.crash(
                8_000 + 150 * n,
                "bad",
                quarantine.request_trait("c", b"POST", "h", b"/", b"%d" % i),
            )
            for i in range(4)
            for n in (i, i + 5)
        ]
        correlator = builders.correlator(*crashes)
        self.assertEqual(frozenset({"bad"}), find(correlator))

    def test_flood_of_crashes_does_not_drop_a_row(self) -> None:
        """An outage may cut off hundreds of requests."""
        correlator = builders.correlator(*self.row(3, begin_ms=9_000))
        for n in range(2_000):
            correlator.add_crash(builders.crash(9_700, f"request:{n}"))
        self.assertIsNone(find(correlator))
        self.assertEqual([self.SAME], list(correlator.held))


class RequestGuardTest(unittest.TestCase):
    """Guards against repeats at one node, and refusals without end."""

    def setUp(self) -> None:
        """Let three targets crash under a request."""
        self.guard = quarantine.RequestGuard()
        for _ in range(3):
            self.assertTrue(self.guard.admits("r", 1_000))
            self.guard.record_crash("r", 1_000)

    def test_trial_comes_after_a_pause_and_alone(self) -> None:
        """It frees the request if it is answered."""
        self.assertFalse(self.guard.admits("r", 60_999))
        self.assertTrue(self.guard.admits("r", 61_000))
        self.assertFalse(self.guard.admits("r", 200_000))
        self.guard.record_answer("r")
        self.assertTrue(self.guard.admits("r", 200_000))

    def test_three_trials_at_most(self) -> None:
        """Whether they crash a target or end otherwise."""
        admitted = 0
        for now_ms in range(0, 3_600_000, 10_000):
            if self.guard.admits("r", now_ms):
                admitted += 1
                if admitted == 2:
                    self.guard.record_crash("r", now_ms)
                self.guard.end_trial("r")
        self.assertEqual(3, admitted)

    def test_memory_is_bounded(self) -> None:
        """Callers may send ever new requests."""
        for n in range(10_000):
            self.guard.record_crash(f"r{n}", 2_000)
        self.assertTrue(self.guard.admits("r", 2_000))


class RequestTraitTest(unittest.TestCase):
    """Guards against repeats that are not recognized, or mixed up."""

    FIELDS = ("c", b"POST", "h", b"/a?b", b"body")

    def test_each_field_counts(self) -> None:
        """Bytes that move from one field to the next make another request."""
        traits = {quarantine.request_trait(*self.FIELDS)}
        for fields in (
            ("d", b"POST", "h", b"/a?b", b"body"),
            ("c", b"PUT", "h", b"/a?b", b"body"),
            ("c", b"POST", "i", b"/a?b", b"body"),
            ("c", b"POST", "h", b"/a?", b"body"),
            ("c", b"POST", "h", b"/a?b", b""),
            ("c", b"POST", "h", b"/a?bb", b"ody"),
        ):
            traits.add(quarantine.request_trait(*fields))
        self.assertEqual(7, len(traits))
        self.assertEqual({24}, set(map(len, traits)))

    def test_no_part_of_a_prompt_is_taken_for_a_request(self) -> None:
        """Callers choose the ids of parts."""
        trait = quarantine.request_trait(*self.FIELDS)
        self.assertTrue(quarantine.is_request(trait))
        for part in quarantine.part_ids([trait, "request"]):
            self.assertFalse(quarantine.is_request(part))


class EvidenceLogTest(unittest.TestCase):
    """Guards against memory without bound and suspicion without end."""

    def test_suspicion_needs_two_targets_since_the_last_answer(self) -> None:
        """One crash is bad luck; a settled answer ends the suspicion."""
        log = quarantine.EvidenceLog()
        log.record_crash(builders.crash(1_000, "p"))
        self.assertFalse(log.has_suspect(["p"], 1_100))
        log.record_crash(builders.crash(1_200, "p"))
        self.assertTrue(log.has_suspect(["p"], 1_300))
        self.assertFalse(log.has_suspect(["p"], 20_000))
        log.record_sound(["p"], 1_250)
        self.assertFalse(log.has_suspect(["p"], 1_800))

    def test_streams_cut_off_together_are_judged_in_time(self) -> None:
        """Callers give up after a pause of 2 s, and one task judges all."""
        log = quarantine.EvidenceLog()
        parts = [f"{n:08x}" for n in range(700)]
        for n in range(512):
            log.record_crash(builders.crash(1_000 + n, *parts[:60]))
        for part in parts:
            log.record_sound([part], 2_000)
        begin_s = time.process_time()
        for _ in range(20):
            self.assertFalse(log.has_suspect(parts, 2_000))
        self.assertLess(time.process_time() - begin_s, 2.0)

    def test_memory_is_bounded(self) -> None:
        """Callers may send ever new parts, and many in one prompt."""
        log = quarantine.EvidenceLog()
        many = [f"p{n}" for n in range(1_000)]
        for n in range(3_000):
            log.record_crash(builders.crash(n, *quarantine.part_ids(many)))
            log.record_sound([f"s{n}", f"u{n}"], n)
        crashes = log.crashes_since(0)
        self.assertLessEqual(len(crashes), 512)
        self.assertLessEqual(sum(len(c.traits) for c in crashes), 32_768)
        self.assertEqual(2_999, max(c.at_ms for c in crashes))
        self.assertIsNone(log.sound_ms("s0"))
        self.assertEqual(2_999, log.sound_ms("s2999"))

    def test_answers_are_counted_by_the_age_of_their_beginning(self) -> None:
        """What began before the first crash does not show service since."""
        log = quarantine.EvidenceLog()
        for began_ms in (0, 1_000, 7_600, 8_900, 9_000, 9_010):
            log.record_sound([], began_ms)
        self.assertEqual((3, 0, 1, 0, 0, 0), log.sound_counts(9_000))


class PartIdsTest(unittest.TestCase):
    """Guards against messages that a caller's prompt makes too long."""

    def test_ids_are_bounded_and_told_apart(self) -> None:
        """Short ids stay as they are; repeated ones count once."""
        self.assertEqual(
            ("5c1e07a2", "b"), quarantine.part_ids(["5c1e07a2", "b", "b"])
        )
        long_ids = quarantine.part_ids(["x" * 999, "x" * 998, "\ud800" * 20])
        self.assertEqual(3, len(set(long_ids)))
        self.assertEqual({16}, {len(part) for part in long_ids})

    def test_no_part_of_a_long_prompt_is_left_out(self) -> None:
        """The last of hundreds may be the one that crashes targets."""
        self.assertEqual(999, len(quarantine.part_ids(map(str, range(999)))))


class QuarantineTest(unittest.TestCase):
    """Guards against refusing prompts that only share some parts."""

    def test_prompt_with_all_parts_of_a_block_is_refused(self) -> None:
        """Other parts do not matter."""
        blocks = quarantine.Quarantine()
        blocks.add(quarantine.Block(frozenset({"a", "b"})))
        self.assertIsNone(blocks.blocking(("a", "c")))
        self.assertIsNone(blocks.blocking(()))
        self.assertIsNotNone(blocks.blocking(("c", "b", "a")))

    def test_oldest_block_is_dropped_beyond_the_limit(self) -> None:
        """A caller may invent parts under which targets crash."""
        blocks = quarantine.Quarantine()
        dropped = [
            blocks.add(quarantine.Block(frozenset({str(n)})))
            for n in range(quarantine.MAX_BLOCKS + 1)
        ]
        self.assertEqual([None] * quarantine.MAX_BLOCKS, dropped[:-1])
        assert dropped[-1] is not None
        self.assertEqual(frozenset({"0"}), dropped[-1].traits)

    def test_saved_block_stays_saved(self) -> None:
        """A later message of a node that does not know must not undo it."""
        blocks = quarantine.Quarantine()
        parts = frozenset({"a"})
        blocks.add(quarantine.Block(parts, True))
        blocks.add(quarantine.Block(parts))
        self.assertTrue(blocks.blocks[0].saved)
        self.assertTrue(blocks.remove(parts))
        self.assertFalse(blocks.remove(parts))


if __name__ == "__main__":
    unittest.main()
