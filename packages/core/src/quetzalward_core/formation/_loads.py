"""Scheduling of weight loads."""

import typing

from quetzalward_core.formation import _assess
from quetzalward_core.formation import _model

_STATE = _model.GroupState


def load_actions(assessment: _assess.Assessment) -> list[_model.Action]:
    """Return the loads to start now, most urgent first.

    A group whose hosts all hold the weights does not read from the weight
    store and needs no load slot. Every manager derives all loading groups of
    the fleet from the control log, so the managers of different zones share
    the slots without messages. If a group ranks above one whose load has
    already started, the slots can be exceeded for a short time; the weight
    store then refuses the load.
    """
    waiting = [
        group
        for group in assessment.groups
        if group.state is _STATE.LOADING
        and group.group not in assessment.lost_group_ids
        and group.group not in assessment.drain_reason_by_group
    ]
    serving: dict[str, int] = {}
    for group in assessment.groups:
        if group.state is _STATE.SERVING:
            serving[group.model] = serving.get(group.model, 0) + 1
    planned = dict(serving)
    ranked = []
    for group in waiting:
        ranked.append((_rank(assessment, group, planned), group))
        planned[group.model] = planned.get(group.model, 0) + 1
    ranked.sort(key=lambda entry: entry[0])
    slots = assessment.fleet.load_slots
    actions = []
    for _, group in ranked:
        if not _all_hosts_hold_weights(assessment, group):
            if slots <= 0:
                continue
            slots -= 1
        if not group.load_started:
            actions.append(_load_action(group))
    return actions


def _rank(
    assessment: _assess.Assessment,
    group: _model.Group,
    planned: typing.Mapping[str, int],
) -> tuple[bool, int, float, int, str]:
    """Return the priority of a load; smaller comes first.

    Whether the load has started is not considered, because only the manager
    of the group's zone knows that.
    """
    model = assessment.fleet.models[group.model]
    present = planned.get(group.model, 0)
    return (
        present > 0,
        -model.importance,
        present / max(1, model.replicas),
        group.epoch,
        group.group,
    )


def _all_hosts_hold_weights(
    assessment: _assess.Assessment, group: _model.Group
) -> bool:
    """Tell whether all hosts of a group hold its model's weights."""
    found = (assessment.fleet.hosts.get(name) for name in group.incarnations)
    return all(host and host.held_model == group.model for host in found)


def _load_action(group: _model.Group) -> _model.Action:
    """Return the action that loads a group's weights."""
    return _model.Action(
        _model.ActionKind.LOAD,
        group.zone,
        _model.Reason.DECLARED,
        group.model,
        group.group,
        group.domain,
    )
