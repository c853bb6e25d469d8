"""Surplus groups and the spread over availability zones."""

import typing

from quetzalward_core.formation import _assess
from quetzalward_core.formation import _model

_STATE = _model.GroupState
_STATE_RANK = {_STATE.FORMING: 0, _STATE.LOADING: 1}
_SERVING_RANK = 2
# With a difference of one a move would only swap the two zones' roles.
_WORTH_MOVING = 2


def evens_out(facts: _assess.Assessment, model: str, zone: str) -> bool:
    """Tell whether a move from the most crowded zone to `zone` helps."""
    by_zone = facts.kept_by_zone(model)
    most = max(by_zone.values(), default=0)
    return most - by_zone[zone] >= _WORTH_MOVING


def moves(
    facts: _assess.Assessment, rooms: typing.Sequence[_model.Room]
) -> list[_model.Slot]:
    """Return at most one extra replica, in a zone that has too few.

    Only while no zone is out and every replica serves: the extra one is
    formed first, and the crowded zone loses one once it serves.
    """
    if facts.fleet.zones_out or not _all_serve(facts):
        return []
    for name in sorted(facts.fleet.models):
        demand = facts.demand(name, 1)
        fitting = [
            room
            for room in rooms
            if room.key.zone in demand.zones
            and room.free >= demand.size
            and evens_out(facts, name, room.key.zone)
        ]
        slots = facts.options.place([demand], fitting)
        if slots:
            return slots
    return []


def _all_serve(facts: _assess.Assessment) -> bool:
    """Tell whether every declared replica serves and none is surplus."""
    return all(
        len(facts.kept_by_model[name]) == model.replicas
        and all(
            group.state is _STATE.SERVING
            for group in facts.kept_by_model[name]
        )
        for name, model in facts.fleet.models.items()
    )


def surplus(facts: _assess.Assessment) -> list[_model.Action]:
    """Return stops of groups beyond the declared count.

    The most crowded zone loses one first, then groups that do not serve yet,
    then the newest. A serving group is drained only if the declared count
    still serves without it.
    """
    actions = []
    for name in sorted(facts.fleet.models):
        wanted = facts.fleet.models[name].replicas
        kept = list(facts.kept_by_model[name])
        serving = sum(group.state is _STATE.SERVING for group in kept)
        while len(kept) > wanted:
            victim = _victim(kept)
            if _rank(victim) == _SERVING_RANK:
                if serving <= wanted:
                    break
                serving -= 1
            kept.remove(victim)
            actions.append(stop(victim, _model.Reason.SURPLUS))
    return actions


def _rank(group: _model.Group) -> int:
    """Return how far a group is on its way to serve.

    A draining group in the list of kept ones resumes in this plan; it counts
    as serving only in the next.
    """
    return _STATE_RANK.get(group.state, _SERVING_RANK)


def _victim(kept: typing.Sequence[_model.Group]) -> _model.Group:
    """Return the group that is missed least."""
    count_by_zone: dict[str, int] = {}
    for group in kept:
        count_by_zone[group.zone] = count_by_zone.get(group.zone, 0) + 1
    return min(
        kept,
        key=lambda g: (
            -count_by_zone[g.zone],
            _rank(g),
            -g.epoch,
            g.group,
        ),
    )


def stop(group: _model.Group, reason: _model.Reason) -> _model.Action:
    """Return the step that stops a group without cutting off a request.

    Only a group that serves can have requests. One that does not is
    cancelled, so that every draining group is one that can resume at once.
    """
    kind = _model.ActionKind.CANCEL
    if group.state is _STATE.SERVING:
        kind = _model.ActionKind.DRAIN
    return _model.Action(
        kind, group.zone, reason, group.model, group.group, group.domain
    )
