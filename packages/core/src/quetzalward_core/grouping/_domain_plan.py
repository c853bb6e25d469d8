"""How many groups of each model the hosts of a domain should form."""

import math
import typing

import attrs

from quetzalward_core import fleet

# Hosts of a domain that stay out of groups, staged and ready to replace a
# lost member within a second or two instead of a load's 12 to 16 s.
RESERVE_SHARE = 0.15


@attrs.define
class Pattern:
    """Groups and staged hosts wanted in one domain, by model."""

    groups_by_model: dict[str, int]
    hosts_by_model: dict[str, int]


def reserve(hosts: int) -> int:
    """Return the hosts of a domain to keep out of groups."""
    return max(1, math.floor(hosts * RESERVE_SHARE)) if hosts else 0


def neediest(
    models: typing.Iterable[fleet.Model],
    groups_by_model: typing.Mapping[str, int],
) -> list[fleet.Model]:
    """Return the models by how little capacity their share of work has."""
    return sorted(
        models,
        key=lambda m: (
            groups_by_model.get(m.name, 0) * m.group_size / max(m.share, 0.01),
            -m.share,
            m.name,
        ),
    )


def plan_domain(
    hosts: int,
    standing_by_model: typing.Mapping[str, int],
    total_by_model: dict[str, int],
    models: typing.Sequence[fleet.Model],
) -> Pattern:
    """Return the pattern of a domain that keeps its standing groups.

    `total_by_model` counts the groups of the whole fleet and is raised by
    what this domain adds, so that the fleet as a whole is balanced.
    """
    size_by_model = {m.name: m.group_size for m in models}
    groups = dict(standing_by_model)
    used = sum(size_by_model.get(n, 0) * c for n, c in groups.items())
    left = hosts - used - reserve(hosts)
    while True:
        for model in neediest(models, total_by_model):
            if model.group_size <= left:
                break
        else:
            break
        groups[model.name] = groups.get(model.name, 0) + 1
        total_by_model[model.name] = total_by_model.get(model.name, 0) + 1
        left -= model.group_size
    spares = max(
        0,
        hosts
        - sum(size_by_model[n] * groups.get(n, 0) for n in size_by_model),
    )
    return Pattern(groups, _with_spares(groups, size_by_model, spares))


def _with_spares(
    groups: typing.Mapping[str, int],
    size_by_model: typing.Mapping[str, int],
    spares: int,
) -> dict[str, int]:
    """Divide the spare hosts by the members that they may replace.

    The odd one goes to the larger groups: more hosts stand idle while one
    of those waits for a load.
    """
    wanted = {n: size * groups.get(n, 0) for n, size in size_by_model.items()}
    extra = dict.fromkeys(size_by_model, 0)
    for _ in range(spares):
        name = min(
            size_by_model,
            key=lambda n: (
                (extra[n] + 1) / (wanted[n] + 1),
                -size_by_model[n],
                n,
            ),
        )
        extra[name] += 1
    return {n: wanted[n] + extra[n] for n in size_by_model}
