"""Tests of error responses."""

import json
import unittest

from quetzalward_core import errors
from quetzalward_node import _problems


class ProblemTest(unittest.TestCase):
    """Guards against an error response without its required members."""

    def test_every_kind_has_all_members(self):
        for kind, problem_type in errors.PROBLEM_TYPES.items():
            error = errors.QuetzalwardError(kind, "why", 1_200)
            status, headers, body = _problems.render(error)
            problem = json.loads(body)
            self.assertEqual(problem_type.status, status)
            self.assertEqual(problem_type.status, problem["status"])
            self.assertEqual(kind.value, problem["kind"])
            self.assertEqual(problem_type.retryable, problem["retryable"])
            self.assertEqual(problem_type.outcome.value, problem["outcome"])
            self.assertEqual(problem_type.remedy, problem["remedy"])
            self.assertEqual(problem_type.title, problem["title"])
            self.assertIn(kind.value, problem["type"])
            self.assertIn("why", problem["error"]["message"])
            self.assertEqual(kind.value, problem["error"]["code"])
            self.assertIn(("Retry-After", "2"), headers)

    def test_known_outcome_overrides_the_table(self):
        for outcome, retryable in (
            (errors.Outcome.NOT_RUN, True),
            (errors.Outcome.RAN, False),
        ):
            error = errors.QuetzalwardError(
                errors.ErrorKind.TARGET_FAILED, "why", outcome=outcome
            )
            problem = _problems.problem(error)
            self.assertEqual(outcome.value, problem["outcome"])
            self.assertEqual(retryable, problem["retryable"])

    def test_retry_after_is_rounded_up_and_never_zero(self):
        seconds = [_problems.retry_after_s(ms) for ms in (0, 1, 1000, 1001)]
        self.assertEqual([1, 1, 1, 2], seconds)
