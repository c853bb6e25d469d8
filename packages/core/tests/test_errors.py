"""Tests of the table of error kinds."""

import unittest

from quetzalward_core import errors


class AnswersTest(unittest.TestCase):
    """Guards against a kind without a problem type or a false `not_run`."""

    def test_every_kind_has_a_problem_type(self) -> None:
        self.assertEqual(set(errors.ErrorKind), set(errors.PROBLEM_TYPES))

    def test_failures_after_dispatch_never_claim_not_run(self) -> None:
        after_dispatch = (
            errors.ErrorKind.TARGET_FAILED,
            errors.ErrorKind.TARGET_TIMEOUT,
            errors.ErrorKind.OUTCOME_UNKNOWN,
            errors.ErrorKind.INTERNAL,
        )
        for kind in after_dispatch:
            self.assertIsNot(
                errors.PROBLEM_TYPES[kind].outcome,
                errors.Outcome.NOT_RUN,
                kind,
            )
