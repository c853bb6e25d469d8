"""Placement of missing replicas in fabric domains."""

import collections
import itertools
import typing

from quetzalward_core.formation import _greedy
from quetzalward_core.formation import _model
from quetzalward_core.formation import _score

# Each round refills every domain once; more rounds gained nothing in the
# comparison with the exhaustive optimum.
IMPROVEMENT_ROUNDS = 3
# Improvement takes time that grows with the square of this number.
IMPROVED_ROOMS = 24
# Up to this number, domains are also refilled in pairs. Single refills alone
# miss the optimum's accelerators in about 1 of 1,000 small cases.
PAIRED_ROOMS = 8

_Rule = typing.Callable[["_Draft", _model.Demand, _model.Room], typing.Any]


class _Draft:
    """A placement under construction."""

    def __init__(
        self,
        demands: typing.Sequence[_model.Demand],
        rooms: typing.Sequence[_model.Room],
    ) -> None:
        """Start with nothing placed."""
        self.demand_by_model = {demand.model: demand for demand in demands}
        self.free = {room.key: room.free for room in rooms}
        self.held = {
            room.key: collections.Counter(room.held_by_model) for room in rooms
        }
        self.count_by_zone = {
            demand.model: collections.Counter(demand.kept_by_zone)
            for demand in demands
        }
        self.left = {demand.model: demand.count for demand in demands}
        self.slots: list[_model.Slot] = []

    def fits(self, demand: _model.Demand, room: _model.Room) -> bool:
        """Return whether one more replica has room in a domain."""
        allowed = room.key.zone in demand.zones
        return allowed and self.free[room.key] >= demand.size

    def add(self, slot: _model.Slot) -> None:
        """Place one replica."""
        size = self.demand_by_model[slot.model].size
        self.free[slot.key] -= size
        self.held[slot.key][slot.model] -= size
        self.count_by_zone[slot.model][slot.key.zone] += 1
        self.left[slot.model] -= 1
        self.slots.append(slot)

    def gain(self, demand: _model.Demand, room: _model.Room) -> int:
        """Return how many hosts of a domain hold the model's weights."""
        held = self.held[room.key][demand.model]
        return max(0, min(demand.size, held))


def _fit_first(
    draft: _Draft, demand: _model.Demand, room: _model.Room
) -> typing.Any:
    """Prefer the tightest domain, then the emptiest zone."""
    return (
        draft.free[room.key] - demand.size,
        draft.count_by_zone[demand.model][room.key.zone],
        -draft.gain(demand, room),
        room.key.zone,
        room.key.domain,
    )


def _spread_first(
    draft: _Draft, demand: _model.Demand, room: _model.Room
) -> typing.Any:
    """Prefer the emptiest zone, then hosts with the weights."""
    return (
        draft.count_by_zone[demand.model][room.key.zone],
        -draft.gain(demand, room),
        draft.free[room.key] - demand.size,
        room.key.zone,
        room.key.domain,
    )


def _fill(
    draft: _Draft,
    order: typing.Sequence[str],
    rooms: typing.Sequence[_model.Room],
    rule: _Rule,
) -> None:
    """Place replicas in the given order by a rule."""
    full: set[str] = set()
    for model in order:
        if model in full or not draft.left[model]:
            continue
        demand = draft.demand_by_model[model]
        fitting = [room for room in rooms if draft.fits(demand, room)]
        if not fitting:
            full.add(model)
            continue
        best = min(fitting, key=lambda room: rule(draft, demand, room))
        draft.add(_model.Slot(model, best.key))


def _orders(demands: typing.Sequence[_model.Demand]) -> list[list[str]]:
    """Return the orders in which construction is tried."""
    by_service = _score.service_order(demands)
    size = {demand.model: demand.size for demand in demands}
    choice = {demand.model: len(demand.zones) for demand in demands}
    by_size = sorted(by_service, key=lambda model: -size[model])
    by_choice = sorted(by_service, key=lambda model: choice[model])
    orders = [by_service]
    for order in (by_size, by_choice):
        if order not in orders:
            orders.append(order)
    return orders


def _fullest(
    sizes: typing.Sequence[int],
    counts: typing.Mapping[int, int],
    free: int,
) -> list[dict[int, int]]:
    """Return, for each total that fits, one choice of counts by size.

    Totals are in falling order, at most eight of them.
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


def _refilled(
    demands: typing.Sequence[_model.Demand],
    rooms: typing.Sequence[_model.Room],
    slots: typing.Sequence[_model.Slot],
    room: _model.Room,
    cleared: typing.Collection[_model.DomainKey],
) -> typing.Iterator[list[_model.Slot]]:
    """Yield placements that fill one domain first, then the cleared ones."""
    kept = [slot for slot in slots if slot.key not in cleared]
    base = _Draft(demands, rooms)
    for slot in kept:
        base.add(slot)
    usable = [d for d in demands if room.key.zone in d.zones]
    counts: collections.Counter[int] = collections.Counter()
    for demand in usable:
        counts[demand.size] += base.left[demand.model]
    sizes = sorted(counts, reverse=True)
    names = {demand.model: demand.size for demand in usable}
    for chosen in _fullest(sizes, counts, room.free):
        draft = _Draft(demands, rooms)
        for slot in kept:
            draft.add(slot)
        room_left = dict(chosen)
        for model in _score.service_order(demands):
            size = names.get(model, 0)
            if room_left.get(size) and draft.left[model]:
                room_left[size] -= 1
                draft.add(_model.Slot(model, room.key))
        for order in _orders(demands):
            trial = _Draft(demands, rooms)
            for slot in draft.slots:
                trial.add(slot)
            _fill(trial, order, rooms, _spread_first)
            yield trial.slots


def _clearings(
    rooms: typing.Sequence[_model.Room],
) -> typing.Iterator[tuple[_model.Room, set[_model.DomainKey]]]:
    """Yield the domain to fill first and the domains to clear with it."""
    for room in rooms:
        yield room, {room.key}
    if len(rooms) > PAIRED_ROOMS:
        return
    for room, other in itertools.permutations(rooms, 2):
        yield room, {room.key, other.key}


def _improved(
    demands: typing.Sequence[_model.Demand],
    rooms: typing.Sequence[_model.Room],
    slots: list[_model.Slot],
) -> list[_model.Slot]:
    """Refill domains one at a time while that helps."""
    value = _score.score(demands, rooms, slots)
    for _ in range(IMPROVEMENT_ROUNDS):
        before = value
        for room, cleared in _clearings(rooms):
            for other in _refilled(demands, rooms, slots, room, cleared):
                other_value = _score.score(demands, rooms, other)
                if other_value > value:
                    slots, value = other, other_value
        if value == before:
            break
    return slots


def _may_improve(
    demands: typing.Sequence[_model.Demand],
    rooms: typing.Sequence[_model.Room],
    slots: typing.Sequence[_model.Slot],
) -> bool:
    """Tell whether another placement could serve more.

    It cannot if every replica is placed or every host is used.
    """
    size = {demand.model: demand.size for demand in demands}
    used = sum(size[slot.model] for slot in slots)
    all_placed = len(slots) == sum(demand.count for demand in demands)
    return not all_placed and used < sum(room.free for room in rooms)


def place(
    demands: typing.Sequence[_model.Demand],
    rooms: typing.Sequence[_model.Room],
) -> list[_model.Slot]:
    """Return the replicas to form, most urgent first.

    The best of several constructions, first fit among them, improved domain
    by domain.
    """
    rooms = sorted(rooms, key=lambda room: (room.key.zone, room.key.domain))
    best = _greedy.place(demands, rooms)
    best_score = _score.score(demands, rooms, best)
    for order in _orders(demands):
        for rule in (_fit_first, _spread_first):
            draft = _Draft(demands, rooms)
            _fill(draft, order, rooms, rule)
            value = _score.score(demands, rooms, draft.slots)
            if value > best_score:
                best, best_score = draft.slots, value
    if len(rooms) <= IMPROVED_ROOMS and _may_improve(demands, rooms, best):
        best = _improved(demands, rooms, best)
    rank = {m: i for i, m in enumerate(_score.service_order(demands))}
    return sorted(
        best, key=lambda s: (rank[s.model], s.key.zone, s.key.domain)
    )
