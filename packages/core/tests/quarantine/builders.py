"""Builders of evidence of crashing prompts."""

import itertools

from quetzalward_core import quarantine

ANSWER_MS = 400
_numbers = itertools.count()


def crash(
    at_ms: int,
    *parts: str,
    target: str | None = None,
    request: str | None = None,
    weight: int = quarantine.BEGUN_WEIGHT,
) -> quarantine.Crash:
    """Return a crash of a new target under a new request."""
    number = next(_numbers)
    return quarantine.Crash(
        request or f"r{number}", target or f"t{number}", parts, weight, at_ms
    )


def correlator(
    *crashes: quarantine.Crash, service: int = 100, now_ms: int = 10_000
) -> quarantine.Correlator:
    """Return a correlator that has asked the nodes about its suspects."""
    result = quarantine.Correlator(quarantine.Quarantine())
    for item in crashes:
        result.add_crash(item)
    result.suspects(now_ms - ANSWER_MS)
    result.add_service("a", (service, 0), now_ms)
    return result
