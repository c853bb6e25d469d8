"""Placement of missing replicas in fabric domains."""

import collections
import itertools
import typing

from quetzalward_core.formation import _greedy
from quetzalward_core.formation import _model
from quetzalward_core.formation import _score

# Each round refills every domain once; further rounds bring the result no
# closer to the exhaustive optimum.
IMPROVEMENT_ROUNDS = 3
# Placements in more domains are not improved: the run time of improvement
# grows with the square of the number of domains.
MAX_IMPROVED_DOMAINS = 24
# Up to this number, domains are also refilled in pairs. Refilling only single
# domains uses fewer accelerators than the optimum in about 1 of 1,000 small
# cases.
MAX_PAIRED_DOMAINS = 8

_RankFunction = typing.Callable[
    ["_PartialPlacement", _model.Demand, _model.DomainCapacity], typing.Any
]


class _PartialPlacement:
    """A placement under construction."""

    def __init__(
        self,
        demands: typing.Sequence[_model.Demand],
        capacities: typing.Sequence[_model.DomainCapacity],
    ) -> None:
        """Start with nothing placed."""
        self.demand_by_model = {demand.model: demand for demand in demands}
        self.free_by_key = {
            capacity.key: capacity.free_hosts for capacity in capacities
        }
        self.holders_by_key = {
            capacity.key: collections.Counter(capacity.weight_holders_by_model)
            for capacity in capacities
        }
        self.count_by_zone = {
            demand.model: collections.Counter(demand.existing_by_zone)
            for demand in demands
        }
        self.missing_by_model = {
            demand.model: demand.count for demand in demands
        }
        self.replicas: list[_model.PlacedReplica] = []

    def fits(
        self, demand: _model.Demand, capacity: _model.DomainCapacity
    ) -> bool:
        """Tell whether one more replica may and can go in a domain."""
        allowed = capacity.key.zone in demand.zones
        return (
            allowed
            and self.free_by_key[capacity.key] >= demand.hosts_per_replica
        )

    def add(self, replica: _model.PlacedReplica) -> None:
        """Place one replica."""
        size = self.demand_by_model[replica.model].hosts_per_replica
        self.free_by_key[replica.key] -= size
        self.holders_by_key[replica.key][replica.model] -= size
        self.count_by_zone[replica.model][replica.key.zone] += 1
        self.missing_by_model[replica.model] -= 1
        self.replicas.append(replica)

    def weight_holders(
        self, demand: _model.Demand, capacity: _model.DomainCapacity
    ) -> int:
        """Return how many hosts of one more replica would hold its weights."""
        holders = self.holders_by_key[capacity.key][demand.model]
        return max(0, min(demand.hosts_per_replica, holders))


def _best_fit_rank(
    partial: _PartialPlacement,
    demand: _model.Demand,
    capacity: _model.DomainCapacity,
) -> typing.Any:
    """Prefer the fullest domain, then the zone with the fewest replicas."""
    return (
        partial.free_by_key[capacity.key] - demand.hosts_per_replica,
        partial.count_by_zone[demand.model][capacity.key.zone],
        -partial.weight_holders(demand, capacity),
        capacity.key.zone,
        capacity.key.domain,
    )


def _spread_rank(
    partial: _PartialPlacement,
    demand: _model.Demand,
    capacity: _model.DomainCapacity,
) -> typing.Any:
    """Prefer the zone with the fewest replicas, then weight holders."""
    return (
        partial.count_by_zone[demand.model][capacity.key.zone],
        -partial.weight_holders(demand, capacity),
        partial.free_by_key[capacity.key] - demand.hosts_per_replica,
        capacity.key.zone,
        capacity.key.domain,
    )


def _place_missing(
    partial: _PartialPlacement,
    order: typing.Sequence[str],
    capacities: typing.Sequence[_model.DomainCapacity],
    rank_function: _RankFunction,
) -> None:
    """Place missing replicas in the order of their models.

    Each goes in the domain with the smallest rank.
    """
    unplaceable: set[str] = set()
    for model in order:
        if model in unplaceable or not partial.missing_by_model[model]:
            continue
        demand = partial.demand_by_model[model]
        suitable = [
            capacity
            for capacity in capacities
            if partial.fits(demand, capacity)
        ]
        if not suitable:
            unplaceable.add(model)
            continue
        best = min(
            suitable,
            key=lambda capacity: rank_function(partial, demand, capacity),
        )
        partial.add(_model.PlacedReplica(model, best.key))


def _construction_orders(
    demands: typing.Sequence[_model.Demand],
) -> list[list[str]]:
    """Return the orders of models in which placements are constructed.

    By priority, by hosts per replica, and by number of allowed zones.
    """
    by_priority = _score.priority_order(demands)
    size = {demand.model: demand.hosts_per_replica for demand in demands}
    zone_count_by_model = {
        demand.model: len(demand.zones) for demand in demands
    }
    by_size = sorted(by_priority, key=lambda model: -size[model])
    by_zone_count = sorted(
        by_priority, key=lambda model: zone_count_by_model[model]
    )
    orders = [by_priority]
    for order in (by_size, by_zone_count):
        if order not in orders:
            orders.append(order)
    return orders


def _fullest_choices(
    sizes: typing.Sequence[int],
    counts: typing.Mapping[int, int],
    free: int,
) -> list[dict[int, int]]:
    """Return ways to fill `free` hosts, as replica counts by replica size.

    There is one for each reachable total of hosts, the largest first, and
    eight at most.
    """
    by_total: dict[int, dict[int, int]] = {0: {}}
    for size in sizes:
        for total, chosen in sorted(by_total.items()):
            for count in range(1, counts[size] + 1):
                reached = total + count * size
                if reached > free:
                    break
                by_total.setdefault(reached, {**chosen, size: count})
    return [by_total[total] for total in sorted(by_total, reverse=True)[:8]]


def _refilled_placements(
    demands: typing.Sequence[_model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
    replicas: typing.Sequence[_model.PlacedReplica],
    capacity: _model.DomainCapacity,
    cleared: typing.Collection[_model.DomainKey],
) -> typing.Iterator[list[_model.PlacedReplica]]:
    """Yield placements that fill one domain first, then all others.

    The replicas in the cleared domains are placed anew; all others stay.
    """
    kept = [replica for replica in replicas if replica.key not in cleared]
    base = _PartialPlacement(demands, capacities)
    for replica in kept:
        base.add(replica)
    usable = [d for d in demands if capacity.key.zone in d.zones]
    counts: collections.Counter[int] = collections.Counter()
    for demand in usable:
        counts[demand.hosts_per_replica] += base.missing_by_model[demand.model]
    sizes = sorted(counts, reverse=True)
    size_by_model = {
        demand.model: demand.hosts_per_replica for demand in usable
    }
    for chosen in _fullest_choices(sizes, counts, capacity.free_hosts):
        partial = _PartialPlacement(demands, capacities)
        for replica in kept:
            partial.add(replica)
        remaining_by_size = dict(chosen)
        for model in _score.priority_order(demands):
            size = size_by_model.get(model, 0)
            if remaining_by_size.get(size) and partial.missing_by_model[model]:
                remaining_by_size[size] -= 1
                partial.add(_model.PlacedReplica(model, capacity.key))
        for order in _construction_orders(demands):
            trial = _PartialPlacement(demands, capacities)
            for replica in partial.replicas:
                trial.add(replica)
            _place_missing(trial, order, capacities, _spread_rank)
            yield trial.replicas


def _domains_to_clear(
    capacities: typing.Sequence[_model.DomainCapacity],
) -> typing.Iterator[tuple[_model.DomainCapacity, set[_model.DomainKey]]]:
    """Yield each domain to fill first, with the domains to clear for it."""
    for capacity in capacities:
        yield capacity, {capacity.key}
    if len(capacities) > MAX_PAIRED_DOMAINS:
        return
    for capacity, other in itertools.permutations(capacities, 2):
        yield capacity, {capacity.key, other.key}


def _improve(
    demands: typing.Sequence[_model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
    replicas: list[_model.PlacedReplica],
) -> list[_model.PlacedReplica]:
    """Refill domains, singly or in pairs, while the score increases."""
    value = _score.score(demands, capacities, replicas)
    for _ in range(IMPROVEMENT_ROUNDS):
        before = value
        for capacity, cleared in _domains_to_clear(capacities):
            for other in _refilled_placements(
                demands, capacities, replicas, capacity, cleared
            ):
                other_value = _score.score(demands, capacities, other)
                if other_value > value:
                    replicas, value = other, other_value
        if value == before:
            break
    return replicas


def _may_improve(
    demands: typing.Sequence[_model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
    replicas: typing.Sequence[_model.PlacedReplica],
) -> bool:
    """Tell whether another placement could put more hosts in service.

    None can if every replica is placed or every host is used.
    """
    size = {demand.model: demand.hosts_per_replica for demand in demands}
    used = sum(size[replica.model] for replica in replicas)
    all_placed = len(replicas) == sum(demand.count for demand in demands)
    return not all_placed and used < sum(
        capacity.free_hosts for capacity in capacities
    )


def place(
    demands: typing.Sequence[_model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
) -> list[_model.PlacedReplica]:
    """Return the replicas to form, most urgent first.

    Takes the best of several constructed placements, one of them first fit,
    and improves it by refilling domains.
    """
    capacities = sorted(
        capacities,
        key=lambda capacity: (capacity.key.zone, capacity.key.domain),
    )
    best = _greedy.place(demands, capacities)
    best_score = _score.score(demands, capacities, best)
    for order in _construction_orders(demands):
        for rank_function in (_best_fit_rank, _spread_rank):
            partial = _PartialPlacement(demands, capacities)
            _place_missing(partial, order, capacities, rank_function)
            value = _score.score(demands, capacities, partial.replicas)
            if value > best_score:
                best, best_score = partial.replicas, value
    if len(capacities) <= MAX_IMPROVED_DOMAINS and _may_improve(
        demands, capacities, best
    ):
        best = _improve(demands, capacities, best)
    rank = {m: i for i, m in enumerate(_score.priority_order(demands))}
    return sorted(
        best, key=lambda s: (rank[s.model], s.key.zone, s.key.domain)
    )
