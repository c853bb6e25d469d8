"""Selection of one target among a few sampled candidates."""

import enum
import hashlib
import random
import typing

import attrs

DEFAULT_CHOICES = 3
# Load quantile among the candidates above which a target counts as hot.
HOT_QUANTILE = 0.8


@attrs.frozen
class CostParameters:
    """Weights that turn load and prompt into milliseconds."""

    # Prefill of one token that is not in the prefix cache.
    prefill_ms_per_token: float = 0.1
    # Delay of a first token per request already at the target. Less (2) makes
    # the load uneven, more (10) costs cache hits.
    load_ms: float = 5.0
    # Time that a request occupies a slot; delays new ones at a full target.
    service_ms: float = 4_000.0
    zone_penalty_ms: float = 2.0


@attrs.frozen
class Candidate:
    """A target that the request may go to, with its estimates."""

    target_id: str
    load: float
    # Concurrent requests before new ones queue; `None` if unknown.
    capacity: int | None
    cached_tokens: int
    same_zone: bool


class ChoiceRule(enum.StrEnum):
    """How one of the sampled candidates is selected."""

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
    """Return the target that caches, or should cache, the prompt's prefix.

    Without a known cache entry, rendezvous hashing of prefix and target names
    the target, so that nodes agree without a message.
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

    Sampling prevents nodes with the same stale report from all choosing the
    same target. Only the sampled targets need estimates.
    """
    drawn = rng.sample(names, min(choices, len(names)))
    affinity = affinity_target(names, cached_tokens, first_prefix)
    if affinity is not None and affinity not in drawn:
        drawn.append(affinity)
    return drawn


def cheapest(
    candidates: typing.Sequence[Candidate],
    prompt_tokens: int,
    parameters: CostParameters,
) -> Candidate | None:
    """Return the candidate with the lowest cost, `None` if there are none."""
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
    """Drop targets above the load quantile; keep at least the least loaded."""
    loads = sorted(one.load for one in candidates)
    limit = loads[int(HOT_QUANTILE * (len(loads) - 1))]
    cool = [one for one in drawn if one.load <= limit]
    return cool or [min(drawn, key=lambda one: one.load)]
