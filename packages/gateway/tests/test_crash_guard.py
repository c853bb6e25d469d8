"""Tests of recognizing a request that comes again, and of its trials."""

import asyncio
import typing
import unittest
from unittest import mock

import attrs
import fakes

from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import quarantine


def request_trait(call: fakes.Call) -> str:
    """Return the trait that only repeats of a request have."""
    return call.crash_guard.traits[-1]


class IdentityTest(unittest.TestCase):
    """Guards against repeats that a node takes for new requests."""

    def call(self, body: bytes = b"b", **changes: typing.Any) -> fakes.Call:
        """Return a call whose request differs in some fields."""
        call = fakes.Call()
        call.raw = fakes.RawRequest(body, call.runtime.now_ms())
        call.customer = fleet.Customer("c")
        call.request = attrs.evolve(call.request, **changes)
        return call

    def test_what_differs_between_repeats_does_not_count(self) -> None:
        """Attempt, key, deadline, place in the stream, and other headers."""
        traits = {
            request_trait(self.call(**changes))
            for changes in (
                {},
                {"attempt_id": b"another"},
                {"api_key": "second key of the customer"},
                {"timeout_ms": 77},
                {"last_event_id": "12"},
                {"shared_parts": ("q",)},
                {"forwarded": [(b"idempotency-key", b"k"), (b"a", b"b")]},
                {"host": "H"},
            )
        }
        self.assertEqual(1, len(traits))

    def test_path_customer_and_body_count(self) -> None:
        """Two customers may send the same body."""
        other_customer = self.call()
        other_customer.customer = fleet.Customer("d")
        anonymous = self.call()
        anonymous.customer = None
        calls = [
            self.call(),
            other_customer,
            anonymous,
            self.call(target=b"/?query"),
            self.call(b""),
            self.call(b"x" * 2_000_000),
        ]
        self.assertEqual(len(calls), len(set(map(request_trait, calls))))

    def test_body_is_not_read_again_in_calm(self) -> None:
        """Nothing is blocked or held, and no target crashed."""
        call = self.call()
        with mock.patch.object(quarantine, "request_trait") as trait:
            guard = call.crash_guard
            self.assertFalse(guard.is_blocked)
            self.assertTrue(asyncio.run(guard.may_send(1_000)))
        trait.assert_not_called()

    def test_parts_count_at_models_only(self) -> None:
        """Other services do not read prompts."""
        call = self.call()
        self.assertEqual("p", call.crash_guard.traits[0])
        plain = self.call()
        plain.service = fleet.Service("s", "/", 0, 0.0)
        self.assertEqual(1, len(plain.crash_guard.traits))


class TrialTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a held request that is sent without a trial."""

    def setUp(self) -> None:
        """Hold a request."""
        self.call = fakes.Call()
        self.trials = self.call.runtime.state.trials
        self.request = request_trait(self.call)
        self.trials.held = {self.request: 0}

    def repeat(self) -> fakes.Call:
        """Return a repeat at the same node."""
        call = fakes.Call()
        call.runtime = self.call.runtime
        return call

    async def test_only_the_request_that_waits_is_sent(self) -> None:
        """A second one is refused at once; the grant is used once."""
        wait = asyncio.create_task(self.call.crash_guard.may_send(5_000))
        await asyncio.sleep(0.03)
        self.assertIn(self.request, self.trials.waiting)
        self.assertFalse(await self.repeat().crash_guard.may_send(5_000))
        self.trials.grant(self.request)
        self.assertTrue(await wait)
        self.assertFalse(await self.repeat().crash_guard.may_send(50))

    async def test_grant_that_comes_late_is_void(self) -> None:
        """The next repeat needs a trial of its own."""
        self.assertFalse(await self.call.crash_guard.may_send(30))
        self.trials.grant(self.request)
        self.assertFalse(await self.repeat().crash_guard.may_send(30))

    async def test_request_that_is_freed_meanwhile_is_sent(self) -> None:
        """Its trial was answered at another node."""
        wait = asyncio.create_task(self.call.crash_guard.may_send(5_000))
        await asyncio.sleep(0.03)
        self.trials.held = {}
        self.assertTrue(await wait)

    async def test_request_that_is_blocked_meanwhile_is_not_sent(self) -> None:
        """Its trial crashed a target at another node."""
        wait = asyncio.create_task(self.call.crash_guard.may_send(5_000))
        await asyncio.sleep(0.03)
        block = quarantine.Block(frozenset({self.request}))
        self.call.runtime.state.quarantine.add(block)
        self.trials.held = {}
        self.assertFalse(await wait)

    def test_refusal_says_not_run_only_if_that_is_true(self) -> None:
        """An earlier attempt of the same arrival may have run."""
        held = self.call.refusal_of_crash(False)
        self.assertIs(errors.ErrorKind.PROMPT_BLOCKED, held.kind)
        self.assertEqual(1_000, held.retry_after_ms)
        ran = self.call.refusal_of_crash(True)
        self.assertIs(errors.ErrorKind.TARGET_FAILED, ran.kind)
        self.assertIsNone(ran.retry_after_ms)


if __name__ == "__main__":
    unittest.main()
