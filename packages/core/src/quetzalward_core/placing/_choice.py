"""Choice of a group for a request, or its refusal."""

import math
import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.placing import _cost

# Requests that an engine may hold beyond its slots; each waits for the
# end of another answer, so more would only turn answers late.
QUEUE_AHEAD = 1.0
# Requests to expect beyond the shared loads, against the mean rate over their
# age: arrivals cluster, messages are lost, and a group that gets too many
# answers late, while one that gets too few only stands a little emptier. In
# played loads, 1 leaves up to half as many again late as 2.
UNSEEN_MARGIN = 2.0
# A group whose first event comes this much later than the earliest gets no
# request meant to spread the load.
MAX_DETOUR_MS = 150.0
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
    shared_age_ms: float = 0.0,
) -> Placement | Refusal:
    """Choose a group that answers early, or refuse.

    `left_ms` is the time until the caller's deadline. The choice answers
    the load of all nodes as shared `shared_age_ms` ago, plus what this node
    sent since. Other nodes have sent requests that are not seen yet: if all
    chose the least loaded group, they would all choose the same one, so
    groups are drawn by how far below the level they lie to which those
    requests would fill them.
    """
    if not candidates:
        return Refusal("no group serves the model", MIN_RETRY_AFTER_MS)
    open_: list[tuple[Candidate, float]] = []
    soonest = float("inf")
    for candidate in candidates:
        expected = candidate.slowness * _cost.first_event_ms(
            engine, model, candidate.load, prompt.prompt_tokens
        )
        expected += 2 * candidate.distance_ms
        if candidate.load.active >= engine.slots + QUEUE_AHEAD:
            wait = _cost.place_wait_ms(engine, model, candidate.load.active)
            soonest = min(soonest, candidate.slowness * wait)
        elif expected <= left_ms:
            open_.append((candidate, expected))
    if open_:
        return _draw_group(engine, model, open_, draw, shared_age_ms)
    if soonest == float("inf"):
        return Refusal("the deadline cannot be met", MIN_RETRY_AFTER_MS)
    return Refusal("all places are taken", spread_return(soonest, draw))


def _draw_group(
    engine: fleet.Engine,
    model: fleet.Model,
    candidates: list[tuple[Candidate, float]],
    draw: random.Random,
    shared_age_ms: float,
) -> Placement:
    """Draw a group by the part of the unseen requests that it should get."""
    earliest = min(expected for _, expected in candidates)
    near = [
        (candidate, expected)
        for candidate, expected in candidates
        if expected <= earliest + MAX_DETOUR_MS
    ]
    active = sum(candidate.load.active for candidate, _ in near)
    answer_ms = engine.typical_answer_tokens * _cost.step_ms(
        engine, model, active / len(near)
    )
    # As many answers as ended meanwhile were replaced by unseen requests.
    unseen = UNSEEN_MARGIN * active * shared_age_ms / answer_ms
    left = math.exp(-shared_age_ms / answer_ms)
    levels = [_level(candidate, left) for candidate, _ in near]
    rooms = _fill(levels, max(1.0, unseen))
    index = draw.choices(range(len(near)), rooms)[0]
    candidate, expected = near[index]
    return Placement(candidate.group, expected)


def _level(candidate: Candidate, left: float) -> float:
    """Return a group's work in requests; a slow one counts as fuller.

    `left` is the part of the requests counted that still runs. Prompts that
    were unread then have been read since.
    """
    return (candidate.load.active * left + 1) * candidate.slowness


def _fill(levels: list[float], amount: float) -> list[float]:
    """Return how `amount` divides if it fills the lowest levels first."""
    ordered = sorted(levels)
    level = ordered[0] + amount
    total = 0.0
    for count, value in enumerate(ordered, 1):
        total += value
        filled = (total + amount) / count
        if count == len(ordered) or filled <= ordered[count]:
            level = filled
            break
    return [max(0.0, level - value) for value in levels]


def spread_return(wait_ms: float, draw: random.Random) -> clock.Millis:
    """Return a Retry-After that spreads returns over the free places."""
    spread = wait_ms * (1 + draw.random())
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, spread)))
