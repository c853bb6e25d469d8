"""Latency predictions for a group, from the engine's published costs."""

import attrs

from quetzalward_core import fleet

# A request arrives halfway through a pass on average.
_MEAN_PASS_REMAINDER = 0.5


@attrs.frozen
class Prompt:
    """Size of a request in tokens."""

    prompt_tokens: int
    max_output_tokens: int


@attrs.frozen
class Load:
    """Load of a group from all nodes."""

    active: float = 0.0
    # Prompt tokens of requests without a first event.
    pending_prefill_tokens: float = 0.0


def step_ms(engine: fleet.Engine, model: fleet.Model, active: float) -> float:
    """Return the duration of a decode step with `active` requests."""
    context_k = engine.typical_prompt_tokens / 1000
    return model.pace * (
        engine.step_ms
        + active
        * (engine.per_sequence_ms + engine.context_ms_per_k * context_k)
    )


def prefill_ms(
    engine: fleet.Engine, model: fleet.Model, tokens: float
) -> float:
    """Return the duration of the prefill of `tokens` prompt tokens."""
    pairs_m = tokens * min(tokens, engine.typical_prompt_tokens) / 2e6
    return model.pace * (
        tokens / engine.read_tokens_per_ms + engine.pairs_ms_per_m * pairs_m
    )


def pass_ms(engine: fleet.Engine, model: fleet.Model, active: float) -> float:
    """Return the duration of a pass; waiting requests start between passes."""
    return engine.stride * step_ms(engine, model, active)


def slot_wait_ms(
    engine: fleet.Engine, model: fleet.Model, active: float
) -> float:
    """Return the wait for a free slot, 0 if there is one now."""
    excess = active + 1 - engine.slots
    if excess <= 0:
        return 0.0
    answer_ms = engine.typical_answer_tokens * step_ms(
        engine, model, engine.slots
    )
    answer_ms += prefill_ms(engine, model, engine.typical_prompt_tokens)
    return excess * answer_ms / engine.slots


def first_event_ms(
    engine: fleet.Engine,
    model: fleet.Model,
    load: Load,
    prompt_tokens: int,
) -> float:
    """Return the expected time until a new request's first event."""
    running = min(load.active, engine.slots)
    one_pass = pass_ms(engine, model, running)
    prefill = prefill_ms(
        engine, model, load.pending_prefill_tokens + prompt_tokens
    )
    slot_wait = slot_wait_ms(engine, model, load.active)
    pass_remainder = one_pass * _MEAN_PASS_REMAINDER if running else 0.0
    return (
        slot_wait
        + pass_remainder
        + prefill
        + pass_ms(engine, model, running + 1)
    )


def whole_answer_ms(
    engine: fleet.Engine, model: fleet.Model, load: Load, prompt: Prompt
) -> float:
    """Return the time until the last event of the longest answer."""
    return first_event_ms(
        engine, model, load, prompt.prompt_tokens
    ) + prompt.max_output_tokens * step_ms(engine, model, engine.slots)
