"""Tests of the checks and figures of experiments on real processes."""

import json
import typing
import unittest

from quetzalward_bench import _client
from quetzalward_bench import _schedule
from quetzalward_bench import weighted
from quetzalward_bench import zone
from quetzalward_standins import answers


class CheckTest(unittest.TestCase):
    """Guards against a check that misses a wrong answer."""

    def setUp(self) -> None:
        self.body = _schedule.body("c", 0, 1, 3)
        self.mark = answers.digest(answers.question(self.body))

    def take(self, texts: list[str], done: bool = True) -> _client.Record:
        record = _client.Record("c", 0.0)
        check = _client.Check(self.body, record)
        for at, text in enumerate(texts):
            document = {"choices": [{"delta": {"content": text}}]}
            line = b"data: " + json.dumps(document).encode()
            check.take(line, 0.1 + 0.02 * at)
        if done:
            check.take(b"data: [DONE]", 1.0)
        return record

    def test_whole_answer(self) -> None:
        record = self.take([answers.token(self.mark, n) for n in range(3)])
        self.assertTrue(record.whole)
        self.assertIsNone(record.wrong)
        self.assertTrue(zone.is_good(record))

    def test_missing_foreign_and_repeated_tokens(self) -> None:
        own = [answers.token(self.mark, n) for n in range(3)]
        foreign = answers.token("00000000", 1)
        cases = {
            "missing": [own[0], own[2]],
            "at the end": own[:2],
            "foreign": [own[0], foreign, own[2]],
            "repeated": [own[0], own[0], own[1], own[2]],
        }
        for name, texts in cases.items():
            with self.subTest(name):
                self.assertIsNotNone(self.take(texts).wrong)

    def test_broken_off_answer_is_not_whole(self) -> None:
        texts = [answers.token(self.mark, n) for n in range(3)]
        record = self.take(texts, done=False)
        self.assertFalse(record.whole)
        self.assertFalse(zone.is_good(record))


class FigureTest(unittest.TestCase):
    """Guards against figures that cannot be compared between runs."""

    def test_load_repeats_exactly(self) -> None:
        def load() -> list[_schedule.Arrival]:
            return _schedule.arrivals(_schedule.CUSTOMERS, 10.0, 5, 1)

        self.assertEqual(load(), load())

    def test_weights_sum_to_one(self) -> None:
        for operator, weights in weighted.WEIGHTS.items():
            self.assertAlmostEqual(sum(weights.values()), 1.0, msg=operator)

    def test_gain_has_the_sign_of_the_saving(self) -> None:
        cases: tuple[tuple[float, float, float], ...] = (
            (1.0, 2.0, 0.5),
            (2.0, 1.0, -0.5),
            (0.0, 0.0, 0.0),
            (0.0, 3.0, 1.0),
        )
        for present, baseline, expected in cases:
            found: typing.Any = weighted.gain(present, baseline)
            self.assertEqual(found, expected)
