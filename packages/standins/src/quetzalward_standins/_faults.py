"""Switches, rate limits and losses that the stand-ins share."""

import random
import threading
import typing

import cattrs

from quetzalward_core import clock
from quetzalward_standins import _http

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_T = typing.TypeVar("_T")


class RateLimit:
    """A token bucket; its owner guards it against concurrent use."""

    def __init__(
        self, source: clock.Clock, rate_per_s: float, burst: float
    ) -> None:
        """Start with a full bucket of `burst` tokens."""
        self._clock = source
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_ms = source.now_ms()

    def take(self) -> clock.Millis:
        """Take one token and return 0, or return the wait in ms for it."""
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._filled_ms) * self._rate_per_s / 1000
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_ms = now_ms
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return int((1 - self._tokens) * 1000 / self._rate_per_s) + 1


class LossSwitch:
    """Decides which answers are lost; the seed fixes the choice."""

    def __init__(self, seed: int = 1) -> None:
        """Start with no loss."""
        self._lock = threading.Lock()
        self._random = random.Random(seed)
        self._count = 0
        self._probability = 0.0

    def set(self, count: int, probability: float) -> None:
        """Lose the next `count` answers, then each with `probability`."""
        with self._lock:
            self._count = count
            self._probability = probability

    def check(self) -> None:
        """Raise `DropConnection` if this answer is to be lost."""
        with self._lock:
            if self._count > 0:
                self._count -= 1
                raise _http.DropConnection
            if self._random.random() < self._probability:
                raise _http.DropConnection


def from_document(document: _http.Json, cls: type[_T]) -> _T:
    """Structure a JSON document, or raise `BadRequest`."""
    try:
        return _CONVERTER.structure(document, cls)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise _http.BadRequest(reasons) from error


def merge(current: _T, changes: dict[str, _http.Json]) -> _T:
    """Return switches with the named ones replaced, or raise `BadRequest`.

    Switches that `changes` does not name keep their values.
    """
    document = {**_CONVERTER.unstructure(current), **changes}
    return from_document(document, type(current))


def to_document(value: object) -> _http.Json:
    """Return an attrs object as JSON data."""
    return _CONVERTER.unstructure(value)
