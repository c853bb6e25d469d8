"""Plans the groups and spare hosts of each model in a fabric domain."""

import math
import typing

import attrs

from quetzalward_core import fleet

# Share of a domain's hosts that stay out of groups as staged spares. A spare
# replaces a lost member within 1 to 2 s; loading weights takes 12 to 16 s.
RESERVE_SHARE = 0.15
# Share of the work that a model has at least, for relative capacities.
MIN_SHARE = 0.01


@attrs.define
class DomainPlan:
    """Groups and staged hosts wanted in one domain, by model."""

    groups_by_model: dict[str, int]
    hosts_by_model: dict[str, int]


def reserve_size(hosts: int) -> int:
    """Return the number of hosts of a domain to keep out of groups."""
    return max(1, math.floor(hosts * RESERVE_SHARE)) if hosts else 0


def models_by_relative_capacity(
    models: typing.Iterable[fleet.Model],
    groups_by_model: typing.Mapping[str, int],
) -> list[fleet.Model]:
    """Return the models by capacity per share of the work, least first."""
    return sorted(
        models,
        key=lambda m: (
            groups_by_model.get(m.name, 0)
            * m.group_size
            / max(m.share, MIN_SHARE),
            -m.share,
            m.name,
        ),
    )


def plan_domain(
    hosts: int,
    existing_by_model: typing.Mapping[str, int],
    total_by_model: dict[str, int],
    models: typing.Sequence[fleet.Model],
) -> DomainPlan:
    """Return the plan of a domain, which keeps its existing groups.

    `total_by_model` counts the groups of the whole fleet. It is incremented
    for each group added here, so that the fleet as a whole is balanced.
    """
    size_by_model = {m.name: m.group_size for m in models}
    groups = dict(existing_by_model)
    used = sum(size_by_model.get(n, 0) * c for n, c in groups.items())
    remaining = hosts - used - reserve_size(hosts)
    while True:
        for model in models_by_relative_capacity(models, total_by_model):
            if model.group_size <= remaining:
                break
        else:
            break
        groups[model.name] = groups.get(model.name, 0) + 1
        total_by_model[model.name] = total_by_model.get(model.name, 0) + 1
        remaining -= model.group_size
    spares = max(
        0,
        hosts
        - sum(size_by_model[n] * groups.get(n, 0) for n in size_by_model),
    )
    return DomainPlan(groups, _add_spares(groups, size_by_model, spares))


def _add_spares(
    groups: typing.Mapping[str, int],
    size_by_model: typing.Mapping[str, int],
    spares: int,
) -> dict[str, int]:
    """Return the hosts by model, with spares in proportion to members.

    A remainder goes to the model with the larger groups, because more hosts
    are idle while one of its groups waits for a load.
    """
    if not size_by_model:
        return {}
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
