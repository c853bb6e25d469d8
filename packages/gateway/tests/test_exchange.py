"""Tests of the admission of callers' requests."""

import asyncio
import typing
import unittest
from unittest import mock

import fakes

from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _exchange
from quetzalward_gateway import _http
from quetzalward_gateway import _plain
from quetzalward_gateway import _ports
from quetzalward_gateway import _responses
from quetzalward_gateway import _runtime

KEY, UNKNOWN_KEY = "k1", "k2"


class Platform(fakes.Platform):
    """Decodes requests, whose only header is the API key."""

    def decode_request(
        self, method: bytes, target: bytes, headers: _http.Headers
    ) -> _ports.CallerRequest:
        """Return a request with the key of its headers."""
        key = headers[0][1].decode() if headers else None
        return _ports.CallerRequest(
            b"a", method, target, "h", "/", key, None, None, None, None, (), []
        )

    def refusal_headers(
        self, request: _ports.CallerRequest, retry_after_ms: int | None
    ) -> _http.Headers:
        """Return no headers."""
        return []


class KeyTest(unittest.TestCase):
    """Guards against requests that run although their key is not valid."""

    def status(
        self,
        configuration: fleet.Configuration,
        key: str | None,
    ) -> int | None:
        """Return the status of a request; `None` if it is passed on."""
        runtime = fakes.Runtime(platform=Platform())
        state = runtime.state
        record = _ports.Record(0, "config", b"")
        state.apply_configuration(
            configuration, record, coordination.UNKNOWN_ERA
        )
        state.directory.complete = True
        state.freshness.confirm(runtime.boot_ms())
        responder = fakes.Responder()
        headers = [] if key is None else [(b"authorization", key.encode())]
        raw = _responses.RawRequest(b"GET", b"/", headers, b"", 0)
        with mock.patch.object(_plain, "run") as run:
            asyncio.run(
                _exchange.handle(
                    typing.cast(_runtime.Runtime, runtime),
                    raw,
                    typing.cast(_responses.Responder, responder),
                )
            )
        self.assertEqual(responder.status is None, run.called)
        return responder.status

    def configuration(
        self, keys: list[str], requires_keys: bool, anonymous: bool = False
    ) -> fleet.Configuration:
        """Return a configuration with one route."""
        route = fakes.route(fleet.RequestKind.IDEMPOTENT, anonymous)
        return fakes.configuration(1, keys, (route,), requires_keys)

    def test_no_request_runs_once_the_last_key_is_taken_away(self) -> None:
        """A configuration without keys was one that checks none."""
        for keys in ([], [KEY]):
            configuration = self.configuration(keys, True)
            for key in (UNKNOWN_KEY, "", None):
                with self.subTest(keys=keys, key=key):
                    self.assertEqual(401, self.status(configuration, key))
        self.assertEqual(401, self.status(self.configuration([], True), KEY))

    def test_empty_key_is_no_key(self) -> None:
        """An empty entry admitted all requests that carry no key."""
        configuration = self.configuration([""], True)
        for key in ("", None):
            with self.subTest(key=key):
                self.assertEqual(401, self.status(configuration, key))

    def test_what_needs_no_key_is_passed_on(self) -> None:
        """Valid keys, anonymous routes, configurations without customers."""
        for configuration, key in (
            (self.configuration([KEY], True), KEY),
            (self.configuration([], True, anonymous=True), None),
            (self.configuration([], False), None),
        ):
            with self.subTest(configuration=configuration):
                self.assertIsNone(self.status(configuration, key))


if __name__ == "__main__":
    unittest.main()
