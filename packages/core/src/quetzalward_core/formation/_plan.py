"""Assembly of a plan for the whole fleet."""

import typing

from quetzalward_core.formation import _assess
from quetzalward_core.formation import _balance
from quetzalward_core.formation import _loads
from quetzalward_core.formation import _model
from quetzalward_core.formation import _place
from quetzalward_core.formation import _pool

_KIND = _model.ActionKind
_STATE = _model.GroupState
_STOPPABLE = frozenset({_STATE.FORMING, _STATE.LOADING, _STATE.SERVING})
_RESUMABLE_REASONS = frozenset(
    {_model.Reason.ZONE_OUT, _model.Reason.TARGET_DRAIN}
)

DEFAULT_OPTIONS = _model.Options(_place.place)


def make_plan(
    fleet: _model.Fleet, options: _model.Options = DEFAULT_OPTIONS
) -> _model.Plan:
    """Return the actions that lead to the declared replicas.

    The plan is deterministic. With a host list older than
    `HOST_LIST_MAX_AGE_MS` no group is broken or formed.
    """
    assessment = _assess.Assessment(fleet, options)
    actions = _break_actions(assessment) + _drain_actions(assessment)
    actions += _repair_actions(assessment) + _resume_actions(assessment)
    unmet: dict[str, int] = {}
    if assessment.host_list_is_fresh:
        formed, unmet = _form_actions(assessment)
        actions += formed
    actions += _balance.surplus_actions(assessment)
    actions += _unload_actions(assessment, {a.group for a in actions})
    actions += _loads.load_actions(assessment)
    return _model.Plan(tuple(actions), unmet)


def _group_action(
    kind: _model.ActionKind, group: _model.Group, reason: _model.Reason
) -> _model.Action:
    """Return an action on an existing group."""
    return _model.Action(
        kind, group.zone, reason, group.model, group.group, group.domain
    )


def _break_actions(assessment: _assess.Assessment) -> list[_model.Action]:
    """Return the `BREAK` actions for groups that have just lost a host."""
    return [
        _group_action(_KIND.BREAK, group, _model.Reason.HOST_LOST)
        for group in assessment.groups
        if group.group in assessment.lost_group_ids
        and group.state is not _STATE.BROKEN
    ]


def _drain_actions(assessment: _assess.Assessment) -> list[_model.Action]:
    """Return the actions that stop groups with a drain reason."""
    return [
        _balance.stop_action(
            group, assessment.drain_reason_by_group[group.group]
        )
        for group in assessment.groups
        if group.state in _STOPPABLE
        and group.group not in assessment.lost_group_ids
        and group.group in assessment.drain_reason_by_group
    ]


def _restorable_groups(
    assessment: _assess.Assessment, state: _model.GroupState
) -> list[_model.Group]:
    """Return intact groups in a state, without a drain reason, newest last."""
    return [
        group
        for group in assessment.groups
        if group.state is state
        and group.group not in assessment.drain_reason_by_group
        and assessment.is_intact(group)
    ]


def _repair_actions(assessment: _assess.Assessment) -> list[_model.Action]:
    """Return the actions for broken groups whose hosts are all back."""
    actions = []
    for group in _restorable_groups(assessment, _STATE.BROKEN):
        if assessment.missing_count(group.model):
            assessment.replica_groups_by_model[group.model].append(group)
            actions.append(
                _group_action(_KIND.REPAIR, group, _model.Reason.RESTORED)
            )
    return actions


def _resume_actions(assessment: _assess.Assessment) -> list[_model.Action]:
    """Return the actions for draining groups that should serve again.

    A group resumes while fewer groups than declared serve, even if its
    replacement is loading. It also resumes if that evens out the zones; the
    zone with the most replicas then loses its surplus group. Neither needs a
    weight load.
    """
    actions = []
    for group in _restorable_groups(assessment, _STATE.DRAINING):
        ready = sum(
            other.state in (_STATE.SERVING, _STATE.DRAINING)
            for other in assessment.replica_groups_by_model[group.model]
        )
        wanted = ready < assessment.fleet.models[group.model].replicas
        if wanted or _balance.improves_spread(
            assessment, group.model, group.zone
        ):
            assessment.replica_groups_by_model[group.model].append(group)
            actions.append(
                _group_action(_KIND.RESUME, group, _model.Reason.RESTORED)
            )
    return actions


def _form_actions(
    assessment: _assess.Assessment,
) -> tuple[list[_model.Action], dict[str, int]]:
    """Return the actions that form groups, and the unmet demand by model.

    Groups whose hosts are reused are dissolved before the new ones form.
    """
    pool = _pool.HostPool(assessment, _reusable_groups(assessment))
    demands = assessment.demands()
    replicas: list[_model.PlacedReplica] = []
    reason = _model.Reason.DECLARED
    capacities = pool.capacities()
    if demands:
        replicas = assessment.options.place(demands, capacities)
    elif assessment.options.rebalance:
        replicas = _balance.rebalancing_replicas(assessment, capacities)
        reason = _model.Reason.SPREAD
    formed = []
    unmet = {demand.model: demand.count for demand in demands}
    for replica in replicas:
        size = assessment.fleet.models[replica.model].hosts_per_replica
        hosts = pool.take(replica, size)
        formed.append(_new_group_action(replica, hosts, reason))
        if replica.model in unmet:
            unmet[replica.model] -= 1
    dissolved = _dissolve_actions(assessment, pool)
    return dissolved + formed, {m: n for m, n in unmet.items() if n}


def _new_group_action(
    replica: _model.PlacedReplica,
    hosts: tuple[str, ...],
    reason: _model.Reason,
) -> _model.Action:
    """Return the action that forms one group."""
    return _model.Action(
        _KIND.FORM,
        replica.key.zone,
        reason,
        replica.model,
        domain=replica.key.domain,
        hosts=hosts,
    )


def _reusable_groups(assessment: _assess.Assessment) -> list[_model.Group]:
    """Return broken groups whose surviving hosts may join new groups."""
    repaired = {
        group.group
        for groups in assessment.replica_groups_by_model.values()
        for group in groups
    }
    return [
        group
        for group in assessment.groups
        if group.group not in repaired
        and (
            group.state is _STATE.BROKEN
            or group.group in assessment.lost_group_ids
        )
    ]


def _dissolve_actions(
    assessment: _assess.Assessment, pool: _pool.HostPool
) -> list[_model.Action]:
    """Return the actions that dissolve broken groups.

    A broken group whose surviving hosts no new group needs is kept, because
    it can be repaired without a weight load once its hosts return.
    """
    actions = []
    for group in _reusable_groups(assessment):
        if group.group in pool.used_groups:
            reason = _model.Reason.HOSTS_REUSED
        elif not assessment.is_declared(group):
            reason = _model.Reason.UNDECLARED
        elif not assessment.has_surviving_host(group):
            reason = _model.Reason.HOSTS_GONE
        else:
            continue
        actions.append(_group_action(_KIND.DISSOLVE, group, reason))
    return actions


def _unload_actions(
    assessment: _assess.Assessment, changed: typing.Collection[str]
) -> list[_model.Action]:
    """Return the actions that unload drained groups.

    A group in a zone that is out, or whose target an operator drains, keeps
    its hosts and weights so that it can resume at once.
    """
    actions = []
    for group in assessment.groups:
        if group.state is not _STATE.DRAINING or not group.drained:
            continue
        if group.group in changed:
            continue
        reason = assessment.drain_reason_by_group.get(group.group)
        if assessment.options.retain_drained and reason in _RESUMABLE_REASONS:
            continue
        actions.append(
            _group_action(_KIND.UNLOAD, group, _model.Reason.DRAINED)
        )
    return actions
