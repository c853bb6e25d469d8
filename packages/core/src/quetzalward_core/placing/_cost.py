"""Predicted times of a group, from the engine's published cost."""

import attrs

from quetzalward_core import fleet

# Mean share of a pass that is over when a request arrives.
_HALF = 0.5


@attrs.frozen
class Prompt:
    """Size of a request for an engine, in tokens."""

    prompt_tokens: int
    max_output_tokens: int


@attrs.frozen
class Load:
    """Work at a group, over all nodes."""

    active: float = 0.0
    # Prompt tokens of requests that have not produced anything yet.
    unread_tokens: float = 0.0


def step_ms(engine: fleet.Engine, model: fleet.Model, active: float) -> float:
    """Return the time of one token step with `active` requests."""
    context_k = engine.typical_prompt_tokens / 1000
    return model.pace * (
        engine.step_ms
        + active
        * (engine.per_sequence_ms + engine.context_ms_per_k * context_k)
    )


def read_ms(engine: fleet.Engine, model: fleet.Model, tokens: float) -> float:
    """Return the time to read prompts of `tokens` tokens."""
    pairs_m = tokens * min(tokens, engine.typical_prompt_tokens) / 2e6
    return model.pace * (
        tokens / engine.read_tokens_per_ms + engine.pairs_ms_per_m * pairs_m
    )


def pass_ms(engine: fleet.Engine, model: fleet.Model, active: float) -> float:
    """Return the time between two looks at the waiting work."""
    return engine.stride * step_ms(engine, model, active)


def place_wait_ms(
    engine: fleet.Engine, model: fleet.Model, active: float
) -> float:
    """Return the wait until a place is free, 0 if one is free now."""
    above = active + 1 - engine.slots
    if above <= 0:
        return 0.0
    answer_ms = engine.typical_answer_tokens * step_ms(
        engine, model, engine.slots
    )
    answer_ms += read_ms(engine, model, engine.typical_prompt_tokens)
    return above * answer_ms / engine.slots


def first_event_ms(
    engine: fleet.Engine,
    model: fleet.Model,
    load: Load,
    prompt_tokens: int,
) -> float:
    """Return the time to a new request's first event."""
    running = min(load.active, engine.slots)
    one_pass = pass_ms(engine, model, running)
    reading = read_ms(engine, model, load.unread_tokens + prompt_tokens)
    waiting = place_wait_ms(engine, model, load.active)
    started = one_pass * _HALF if running else 0.0
    return waiting + started + reading + pass_ms(engine, model, running + 1)
