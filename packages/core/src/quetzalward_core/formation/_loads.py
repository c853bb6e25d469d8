"""Order of weight loads."""

import typing

from quetzalward_core.formation import _assess
from quetzalward_core.formation import _model

_STATE = _model.GroupState


def order(facts: _assess.Assessment) -> list[_model.Action]:
    """Return the loads to start now, most service restored first.

    Groups whose hosts all hold the weights load without the weight store and
    take no slot. The fold shows all loading groups of the fleet, so that the
    managers of different zones share the slots without a message; a group
    that outranks one already started can exceed them for a short time, which
    the weight store answers with a refusal.
    """
    waiting = [
        group
        for group in facts.groups
        if group.state is _STATE.LOADING
        and group.group not in facts.lost
        and group.group not in facts.drain_reason_by_group
    ]
    serving: dict[str, int] = {}
    for group in facts.groups:
        if group.state is _STATE.SERVING:
            serving[group.model] = serving.get(group.model, 0) + 1
    planned = dict(serving)
    ranked = []
    for group in waiting:
        ranked.append((_rank(facts, group, planned), group))
        planned[group.model] = planned.get(group.model, 0) + 1
    ranked.sort(key=lambda entry: entry[0])
    slots = facts.fleet.load_slots
    actions = []
    for _, group in ranked:
        if not _held(facts, group):
            if slots <= 0:
                continue
            slots -= 1
        if not group.load_started:
            actions.append(_load(group))
    return actions


def _rank(
    facts: _assess.Assessment,
    group: _model.Group,
    planned: typing.Mapping[str, int],
) -> tuple[bool, int, float, int, str]:
    """Return the order of a load; smaller comes first.

    Whether a load has started is not part of it, because only the manager of
    its own zone knows that.
    """
    model = facts.fleet.models[group.model]
    present = planned.get(group.model, 0)
    return (
        present > 0,
        -model.importance,
        present / max(1, model.replicas),
        group.epoch,
        group.group,
    )


def _held(facts: _assess.Assessment, group: _model.Group) -> bool:
    """Tell whether all hosts of a group hold its model's weights."""
    found = (facts.fleet.hosts.get(name) for name in group.incarnations)
    return all(host and host.held_model == group.model for host in found)


def _load(group: _model.Group) -> _model.Action:
    """Return the step that loads a group's weights."""
    return _model.Action(
        _model.ActionKind.LOAD,
        group.zone,
        _model.Reason.DECLARED,
        group.model,
        group.group,
        group.domain,
    )
