"""Notices in targets' answers, and verdicts on sending to a target."""

import enum
import typing

import attrs

from quetzalward_core import clock

# Longest time for which a target may ask for no requests. A longer one is
# more probably an error than a plan, and would outlast any deployment.
MAX_REST_MS = 86_400_000


@attrs.frozen
class TargetNotice:
    """What an answer says of its target, apart from its limit."""

    is_leaving: bool = False
    # Time for which the target asks for no requests, `None` if it does not.
    rest_ms: clock.Millis | None = None
    # Headers that could not be read, as `name: value`.
    unreadable: tuple[str, ...] = ()


class Reason(enum.Enum):
    """Why a target may receive no request."""

    DRAINING = "draining"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    RESTING = "resting"
    # Another writer's entry stands over that of the target.
    WITHHELD = "withheld"


@attrs.frozen
class Allowed:
    """The target may receive requests."""


@attrs.frozen
class Refused:
    """The target may receive no requests."""

    reason: Reason
    # When that ends by itself, `None` if it does not.
    until_ms: clock.Millis | None = None


Verdict = Allowed | Refused


def rest_end_ms(verdicts: typing.Iterable[Verdict]) -> clock.Millis | None:
    """Return when the first of some targets may receive requests again.

    Returns `None` if one may receive them now, or none ever will.
    """
    ends_ms = []
    for verdict in verdicts:
        if isinstance(verdict, Allowed):
            return None
        if verdict.until_ms is not None:
            ends_ms.append(verdict.until_ms)
    return min(ends_ms, default=None)
