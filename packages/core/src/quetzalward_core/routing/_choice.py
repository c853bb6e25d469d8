"""Choice of one target among a few candidates."""

import enum
import hashlib
import random
import typing

import attrs

DEFAULT_CHOICES = 3
# Share of candidates' loads above which a target counts as hot.
HOT_QUANTILE = 0.8


@attrs.frozen
class CostParameters:
    """Weights that turn load and prompt into milliseconds."""

    # Prefill of one token that is not in the prefix cache.
    prefill_ms_per_token: float = 0.1
    # Delay that each request already at the target adds to a first token.
    # Measured: 2 raises the uneven load, 10 loses cache hits.
    load_ms: float = 5.0
    # Time a request holds its place when the target has none free.
    service_ms: float = 4_000.0
    zone_penalty_ms: float = 2.0


@attrs.frozen
class Candidate:
    """A target that may get the request, with its estimates."""

    target_id: str
    load: float
    # Concurrent requests before new ones wait; `None` if not known.
    capacity: int | None
    cached_tokens: int
    same_zone: bool


class ChoiceRule(enum.StrEnum):
    """How the winner among the candidates is found."""

    COST = "cost"
    HOT_COLD = "hot_cold"


def cost_ms(
    candidate: Candidate, prompt_tokens: int, parameters: CostParameters
) -> float:
    """Return the expected time to first token in milliseconds."""
    cost = candidate.load * parameters.load_ms
    if candidate.capacity:
        excess = max(0.0, candidate.load + 1 - candidate.capacity)
        cost += excess * parameters.service_ms / candidate.capacity
    missing = max(0, prompt_tokens - candidate.cached_tokens)
    cost += missing * parameters.prefill_ms_per_token
    if not candidate.same_zone:
        cost += parameters.zone_penalty_ms
    return cost


def affinity_target(
    names: typing.Sequence[str],
    cached_tokens: typing.Callable[[str], int],
    first_prefix: str | None,
) -> str | None:
    """Return the target that has, or should get, the prompt's prefix.

    Without a known cache entry the target with the largest hash of prefix and
    target is the prefix's home, so that nodes agree without a message.
    """
    if first_prefix is None or not names:
        return None
    best = max(names, key=cached_tokens)
    if cached_tokens(best):
        return best
    return max(names, key=lambda name: _weight(first_prefix, name))


def _weight(prefix: str, target_id: str) -> bytes:
    """Return the rendezvous weight of a target for a prefix."""
    data = f"{prefix}\0{target_id}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def draw(
    names: typing.Sequence[str],
    cached_tokens: typing.Callable[[str], int],
    first_prefix: str | None,
    rng: random.Random,
    choices: int = DEFAULT_CHOICES,
) -> list[str]:
    """Return `choices` random targets and the affinity target.

    Sampling keeps nodes that hold the same stale report from all choosing the
    same target. Only the drawn ones need estimates.
    """
    drawn = rng.sample(names, min(choices, len(names)))
    affine = affinity_target(names, cached_tokens, first_prefix)
    if affine is not None and affine not in drawn:
        drawn.append(affine)
    return drawn


def cheapest(
    candidates: typing.Sequence[Candidate],
    prompt_tokens: int,
    parameters: CostParameters,
) -> Candidate | None:
    """Return the candidate with the least cost, `None` without any."""
    return min(
        candidates,
        key=lambda one: cost_ms(one, prompt_tokens, parameters),
        default=None,
    )


def choose(
    candidates: typing.Sequence[Candidate],
    prompt_tokens: int,
    first_prefix: str | None,
    rng: random.Random,
    choices: int = DEFAULT_CHOICES,
    parameters: CostParameters = CostParameters(),
    rule: ChoiceRule = ChoiceRule.COST,
) -> Candidate | None:
    """Return the cheapest of the targets that `draw` returns."""
    by_id = {one.target_id: one for one in candidates}
    names = draw(
        list(by_id),
        lambda name: by_id[name].cached_tokens,
        first_prefix,
        rng,
        choices,
    )
    drawn = [by_id[name] for name in names]
    if rule is ChoiceRule.HOT_COLD and drawn:
        drawn = _without_hot(drawn, candidates)
    return cheapest(drawn, prompt_tokens, parameters)


def _without_hot(
    drawn: list[Candidate], candidates: typing.Sequence[Candidate]
) -> list[Candidate]:
    """Drop drawn targets above the load quantile, or keep the least loaded."""
    loads = sorted(one.load for one in candidates)
    limit = loads[int(HOT_QUANTILE * (len(loads) - 1))]
    cool = [one for one in drawn if one.load <= limit]
    return cool or [min(drawn, key=lambda one: one.load)]
