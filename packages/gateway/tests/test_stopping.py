"""Tests of what a node that stops admits, and how it ends the rest."""

import typing
import unittest

import attrs
import fakes

from quetzalward_core import draining
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import placing
from quetzalward_gateway import _runtime
from quetzalward_gateway import _stopping

GRACE_MS = 8_000
PLAIN = fleet.Service("s", "/", 0, 0.0)
MODEL = fleet.Model("m", 1, 1.0, 1.0, 1_000, 100)


class StoppingTest(unittest.TestCase):
    """Guards against requests that a stopping node takes in vain."""

    def setUp(self) -> None:
        """Take a request that may not be repeated."""
        self.fake = fakes.Call()
        self.fake.service = PLAIN
        self.call = typing.cast(_runtime.Call, self.fake)

    def drain(self, since_ms: int) -> draining.Drain:
        """Return a stop that began some time ago."""
        return draining.Drain(self.fake.runtime.now_ms() - since_ms, GRACE_MS)

    def put_target(self, latency_ms: float) -> None:
        """Make the only target answer in this time."""
        state = self.fake.runtime.state
        now_ms = self.fake.runtime.now_ms()
        target = fleet.Target("t", "s", fakes.ADDRESS, "z", False, 0, 1)
        state.directory.put(target, now_ms)
        for _ in range(40):
            state.outcomes.observe("t", True, latency_ms, now_ms)

    def test_request_that_ends_in_time_is_served(self) -> None:
        """Its attempts end before the node does."""
        self.put_target(20.0)
        drain = self.drain(3_000)
        self.assertIs(self.call, _stopping.admit(self.call, drain))
        self.assertLess(self.call.deadline_ms, drain.answer_ms)

    def test_request_that_cannot_end_in_time_is_refused(self) -> None:
        """The caller goes to another node at once."""
        self.put_target(700.0)
        refused = _stopping.admit(self.call, self.drain(3_000))
        assert isinstance(refused, _runtime.Refused)
        self.assertIs(errors.ErrorKind.NODE_STOPPING, refused.kind)
        self.assertEqual(_stopping.RETRY_AFTER_MS, refused.retry_after_ms)

    def test_request_to_a_service_that_became_slow_is_refused(self) -> None:
        """Its usual latency does not show that yet."""
        self.put_target(20.0)
        other = fakes.Call()
        other.service = PLAIN
        other.raw = fakes.RawRequest(
            received_ms=self.fake.runtime.now_ms() - 4_900
        )
        self.fake.runtime.calls.add(other)
        refused = _stopping.admit(self.call, self.drain(3_000))
        self.assertIsInstance(refused, _runtime.Refused)

    def test_long_stream_is_refused(self) -> None:
        """It would be cut without a status."""
        engine = fakes.engine()
        engine.models_by_name["m"] = MODEL
        self.fake.service = fleet.Service("s", "/", 0, 0.0, engine)
        self.fake.request = attrs.evolve(
            self.fake.request, prompt=placing.Prompt(10, 20)
        )
        self.assertIs(self.call, _stopping.admit(self.call, self.drain(1_000)))
        refused = _stopping.admit(self.call, self.drain(3_000))
        self.assertIsInstance(refused, _runtime.Refused)

    def test_end_of_a_request_that_was_sent_promises_nothing(self) -> None:
        """It may have run."""
        self.call.is_sent = True
        _stopping.end(self.call)
        self.assertEqual([errors.ErrorKind.TARGET_TIMEOUT], self.fake.refusals)

    def test_end_of_a_request_that_was_not_sent_is_a_refusal(self) -> None:
        """It certainly has not run."""
        _stopping.end(self.call)
        self.assertEqual([errors.ErrorKind.NODE_STOPPING], self.fake.refusals)

    def test_stream_that_has_begun_is_cut_and_logged(self) -> None:
        """A status cannot follow its head."""
        self.fake.responder.start_stream(200, [])
        _stopping.end(self.call)
        self.assertTrue(self.fake.responder.aborted)
        self.assertEqual(["request_cut"], self.fake.runtime.log.names)


if __name__ == "__main__":
    unittest.main()
