"""Selection of a group for a request, or refusal of the request."""

import math
import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.placing import _cost

# Requests that an engine may hold beyond its slots. Each waits for another
# answer to end, so a longer queue would only delay answers.
MAX_QUEUED_REQUESTS = 1.0
# Multiple of the mean arrival rate at which requests are assumed to have come
# in since the loads were reported. Arrivals are bursty and reports get lost;
# an overloaded group answers late, while an underloaded one only has some
# spare slots. With 1, up to half as many more answers are late than with 2.
UNREPORTED_MARGIN = 2.0
# Groups whose expected first event is later than the earliest by more than
# this are excluded from load spreading.
MAX_SPREAD_DELAY_MS = 150.0
# Bounds of Retry-After. Sooner, callers would retry before a slot is free;
# later, they could not retry within their deadline.
MIN_RETRY_AFTER_MS = 300
MAX_RETRY_AFTER_MS = 2_500


@attrs.frozen
class Candidate:
    """A group that can take the request."""

    group: str
    load: _cost.Load
    # Ratio of measured to predicted time between events; 1 matches the
    # published cost.
    slowness: float
    one_way_latency_ms: float = 0.0


@attrs.frozen
class Placement:
    """The group that serves a request, and its predicted first event."""

    group: str
    first_event_ms: float


@attrs.frozen
class Refusal:
    """Why no group can take the request, and when to retry."""

    reason: str
    retry_after_ms: clock.Millis


def choose_group(
    engine: fleet.Engine,
    model: fleet.Model,
    prompt: _cost.Prompt,
    candidates: typing.Sequence[Candidate],
    remaining_ms: float,
    rng: random.Random,
    load_age_ms: float = 0.0,
) -> Placement | Refusal:
    """Choose a group with an early first event, or refuse the request.

    `remaining_ms` is the time until the caller's deadline. The loads of the
    candidates are those that all nodes reported `load_age_ms` ago, plus what
    this node has sent since. Requests that other nodes sent since are not
    reported yet. If every node chose the least loaded group, all would choose
    the same one. Groups are therefore sampled at random, weighted by the share
    that each would get if the unreported requests filled the least loaded
    groups first.
    """
    if not candidates:
        return Refusal("no group serves the model", MIN_RETRY_AFTER_MS)
    feasible: list[tuple[Candidate, float]] = []
    min_wait_ms = float("inf")
    for candidate in candidates:
        expected_ms = candidate.slowness * _cost.first_event_ms(
            engine, model, candidate.load, prompt.prompt_tokens
        )
        expected_ms += 2 * candidate.one_way_latency_ms
        if candidate.load.active >= engine.slots + MAX_QUEUED_REQUESTS:
            wait_ms = _cost.slot_wait_ms(engine, model, candidate.load.active)
            min_wait_ms = min(min_wait_ms, candidate.slowness * wait_ms)
        elif expected_ms <= remaining_ms:
            feasible.append((candidate, expected_ms))
    if feasible:
        return _sample_group(engine, model, feasible, rng, load_age_ms)
    if min_wait_ms == float("inf"):
        return Refusal("the deadline cannot be met", MIN_RETRY_AFTER_MS)
    return Refusal(
        "all places are taken", jittered_retry_after_ms(min_wait_ms, rng)
    )


def _sample_group(
    engine: fleet.Engine,
    model: fleet.Model,
    candidates: list[tuple[Candidate, float]],
    rng: random.Random,
    load_age_ms: float,
) -> Placement:
    """Sample a group, weighted by its share of the unreported requests."""
    earliest_ms = min(expected_ms for _, expected_ms in candidates)
    near = [
        (candidate, expected_ms)
        for candidate, expected_ms in candidates
        if expected_ms <= earliest_ms + MAX_SPREAD_DELAY_MS
    ]
    active = sum(candidate.load.active for candidate, _ in near)
    answer_ms = engine.typical_answer_tokens * _cost.step_ms(
        engine, model, active / len(near)
    )
    # Assumes that an unreported request replaced each answer that ended since.
    unreported = UNREPORTED_MARGIN * active * load_age_ms / answer_ms
    remaining_share = math.exp(-load_age_ms / answer_ms)
    levels = [_fill_level(candidate, remaining_share) for candidate, _ in near]
    weights = _water_fill(levels, max(1.0, unreported))
    index = rng.choices(range(len(near)), weights)[0]
    candidate, expected_ms = near[index]
    return Placement(candidate.group, expected_ms)


def _fill_level(candidate: Candidate, remaining_share: float) -> float:
    """Return a group's load in requests, weighted by its slowness.

    `remaining_share` is the share of the reported requests that still run.
    Prompts that were pending when the load was reported have been prefilled
    since, so pending prefill tokens do not count.
    """
    return (candidate.load.active * remaining_share + 1) * candidate.slowness


def _water_fill(levels: list[float], amount: float) -> list[float]:
    """Return the part of `amount` for each level, lowest filled first."""
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


def spread_retry_after_ms(
    wait_ms: clock.Millis, rng: random.Random
) -> clock.Millis:
    """Return a Retry-After that is never earlier than the wait is over.

    It spreads the return of the callers, by `MAX_RETRY_AFTER_MS` at most.
    """
    spread_ms = rng.random() * min(wait_ms, MAX_RETRY_AFTER_MS)
    return max(MIN_RETRY_AFTER_MS, math.ceil(wait_ms + spread_ms))


def jittered_retry_after_ms(
    wait_ms: float, rng: random.Random
) -> clock.Millis:
    """Return a Retry-After with jitter, so that retries do not coincide."""
    jittered_ms = wait_ms * (1 + rng.random())
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, jittered_ms)))
