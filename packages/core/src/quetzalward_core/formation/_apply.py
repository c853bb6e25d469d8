"""Simulated execution of a plan, for replays of recorded failures."""

import typing

import attrs

from quetzalward_core.formation import _model

_KIND = _model.ActionKind
_STATE = _model.GroupState
_NEXT_STATE = {
    _KIND.BREAK: _STATE.BROKEN,
    _KIND.REPAIR: _STATE.LOADING,
    _KIND.DRAIN: _STATE.DRAINING,
    _KIND.RESUME: _STATE.SERVING,
}
_ENDING_KINDS = frozenset({_KIND.DISSOLVE, _KIND.UNLOAD, _KIND.CANCEL})


def apply_plan(
    fleet: _model.Fleet, plan: _model.Plan, epoch: int
) -> _model.Fleet:
    """Return the fleet after all actions of a plan.

    New groups get consecutive epochs from `epoch` and are named after them.
    Raises `ValueError` if an action would put a host in two groups.
    """
    groups = dict(fleet.groups)
    hosts = dict(fleet.hosts)
    for action in plan.actions:
        if action.kind is _KIND.FORM:
            group = _new_group(fleet, action, epoch)
            _check_free(groups, group)
            groups[group.group] = group
            epoch += 1
        elif action.kind in _ENDING_KINDS:
            _release(groups.pop(action.group), action.kind, hosts)
        elif action.kind is _KIND.LOAD:
            groups[action.group] = attrs.evolve(
                groups[action.group], load_started=True
            )
        else:
            groups[action.group] = attrs.evolve(
                groups[action.group],
                state=_NEXT_STATE[action.kind],
                drained=False,
                load_started=False,
            )
    return attrs.evolve(fleet, groups=groups, hosts=hosts)


def _new_group(
    fleet: _model.Fleet, action: _model.Action, epoch: int
) -> _model.Group:
    """Return the group that a `FORM` action creates."""
    return _model.Group(
        f"g{epoch}",
        action.model,
        action.zone,
        action.domain,
        {name: fleet.hosts[name].incarnation for name in action.hosts},
        _STATE.FORMING,
        epoch,
    )


def _check_free(
    groups: typing.Mapping[str, _model.Group], new: _model.Group
) -> None:
    """Raise `ValueError` if a host of the new group is in another group."""
    for group in groups.values():
        shared = set(group.incarnations) & set(new.incarnations)
        if shared:
            raise ValueError(
                f"hosts {sorted(shared)} already belong to group {group.group}"
            )


def _release(
    group: _model.Group,
    kind: _model.ActionKind,
    hosts: dict[str, _model.Host],
) -> None:
    """Free a group's hosts; they keep the weights only if it is dissolved."""
    held_model = group.model if kind is _KIND.DISSOLVE else None
    for name, incarnation in group.incarnations.items():
        host = hosts.get(name)
        if host is not None and host.incarnation == incarnation:
            hosts[name] = attrs.evolve(host, held_model=held_model)
