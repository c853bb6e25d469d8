"""Tests of the era of the platform's store."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from quetzalward_core import coordination

CHANGE = coordination.EraChange


class StoreEraTest(unittest.TestCase):
    """Guards against offsets of one era being used in another."""

    def test_first_era_is_no_restore(self) -> None:
        """A node that has just started has no offsets yet."""
        era = coordination.StoreEra()
        self.assertIs(CHANGE.NONE, era.observe(7, 0, 5))
        self.assertEqual(7, era.number)

    def test_higher_era_is_a_restore(self) -> None:
        """Also one that skips eras, and to a call of before."""
        era = coordination.StoreEra()
        era.observe(1, 0, 5)
        self.assertIs(CHANGE.RESTORED, era.observe(4, 0, 9))

    def test_late_answer_of_the_era_before_is_outdated(self) -> None:
        """A slow answer may overtake none, but be overtaken."""
        era = coordination.StoreEra()
        era.observe(2, 0, 5)
        self.assertIs(CHANGE.OUTDATED, era.observe(1, 4, 9))
        self.assertEqual(2, era.number)

    def test_lower_era_in_answer_to_a_later_call_is_a_restore(self) -> None:
        """Eras are numbers of an outside system and may begin anew."""
        era = coordination.StoreEra()
        era.observe(5, 0, 5)
        self.assertIs(CHANGE.RESTORED, era.observe(1, 6, 9))
        self.assertEqual(1, era.number)

    @given(
        st.lists(st.tuples(st.integers(0, 6), st.integers(0, 40)), max_size=12)
    )
    def test_late_answers_leave_the_newest_era(
        self, restores_and_delays: list[tuple[int, int]]
    ) -> None:
        """Answers in any order; each is of the era at which it was sent."""
        answers = []
        true_era, sent_ms = 1, 1
        for restores, delay_ms in restores_and_delays:
            true_era += restores
            sent_ms += 3
            answers.append((sent_ms + delay_ms, sent_ms, true_era))
        era = coordination.StoreEra()
        for received_ms, call_ms, number in sorted(answers):
            era.observe(number, call_ms, received_ms)
        if answers:
            self.assertEqual(true_era, era.number)


if __name__ == "__main__":
    unittest.main()
