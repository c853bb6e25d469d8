"""Choice of a group for a request, or its refusal."""

import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.placing import _cost

# Requests that an engine may hold beyond its slots; each waits for the
# end of another answer, so more would only turn answers late.
QUEUE_AHEAD = 1.0
# Nodes that see the same loads would all choose the same group; a random
# share of the predicted time spreads them.
SPREAD = 0.15
# Bounds of Retry-After: below, callers return before a place is free;
# above, they would not return within their deadline.
MIN_RETRY_AFTER_MS = 300
MAX_RETRY_AFTER_MS = 2_500


@attrs.frozen
class Candidate:
    """A group that can take the request."""

    group: str
    load: _cost.Load
    # Measured against predicted time between events; 1 is as published.
    slowness: float
    # One way.
    distance_ms: float = 0.0


@attrs.frozen
class Placement:
    """The group that a request goes to and its predicted first event."""

    group: str
    first_event_ms: float


@attrs.frozen
class Refusal:
    """No group can take the request; when to come back."""

    reason: str
    retry_after_ms: clock.Millis


def choose_group(
    engine: fleet.Engine,
    model: fleet.Model,
    prompt: _cost.Prompt,
    candidates: typing.Sequence[Candidate],
    left_ms: float,
    draw: random.Random,
) -> Placement | Refusal:
    """Choose the group with the earliest first event.

    `left_ms` is the time until the caller's deadline. The choice answers
    the load of all nodes as last shared, plus what this node sent since.
    """
    if not candidates:
        return Refusal("no group serves the model", MIN_RETRY_AFTER_MS)
    best: Placement | None = None
    best_cost = float("inf")
    soonest = float("inf")
    for candidate in candidates:
        expected = candidate.slowness * _cost.first_event_ms(
            engine, model, candidate.load, prompt.prompt_tokens
        )
        expected += 2 * candidate.distance_ms
        if candidate.load.active >= engine.slots + QUEUE_AHEAD:
            wait = _cost.place_wait_ms(engine, model, candidate.load.active)
            soonest = min(soonest, candidate.slowness * wait)
            continue
        if expected > left_ms:
            continue
        cost = expected * (1 + SPREAD * draw.random())
        if cost < best_cost:
            best = Placement(candidate.group, expected)
            best_cost = cost
    if best is not None:
        return best
    if soonest == float("inf"):
        return Refusal("the deadline cannot be met", MIN_RETRY_AFTER_MS)
    return Refusal("all places are taken", spread_return(soonest, draw))


def spread_return(wait_ms: float, draw: random.Random) -> clock.Millis:
    """Return a Retry-After that spreads returns over the free places."""
    spread = wait_ms * (1 + draw.random())
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, spread)))
