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
_PARKING = frozenset({_model.Reason.ZONE_OUT, _model.Reason.TARGET_DRAIN})

DEFAULT_OPTIONS = _model.Options(_place.place)


def make_plan(
    fleet: _model.Fleet, options: _model.Options = DEFAULT_OPTIONS
) -> _model.Plan:
    """Return the steps towards the declared replicas.

    The same input gives the same plan. With a host list older than
    `HOST_LIST_MAX_AGE_MS` no group is broken or formed.
    """
    facts = _assess.Assessment(fleet, options)
    actions = _broken(facts) + _drains(facts)
    actions += _repairs(facts) + _resumes(facts)
    unmet: dict[str, int] = {}
    if facts.list_fresh:
        formed, unmet = _forms(facts)
        actions += formed
    actions += _balance.surplus(facts)
    actions += _unloads(facts, {a.group for a in actions})
    actions += _loads.order(facts)
    return _model.Plan(tuple(actions), unmet)


def _step(
    kind: _model.ActionKind, group: _model.Group, reason: _model.Reason
) -> _model.Action:
    """Return a step that changes an existing group."""
    return _model.Action(
        kind, group.zone, reason, group.model, group.group, group.domain
    )


def _broken(facts: _assess.Assessment) -> list[_model.Action]:
    """Return the steps for groups that have just lost a host."""
    return [
        _step(_KIND.BREAK, group, _model.Reason.HOST_LOST)
        for group in facts.groups
        if group.group in facts.lost and group.state is not _STATE.BROKEN
    ]


def _drains(facts: _assess.Assessment) -> list[_model.Action]:
    """Return the steps for groups that must stop."""
    return [
        _balance.stop(group, facts.drain_reason_by_group[group.group])
        for group in facts.groups
        if group.state in _STOPPABLE
        and group.group not in facts.lost
        and group.group in facts.drain_reason_by_group
    ]


def _restorable(
    facts: _assess.Assessment, state: _model.GroupState
) -> list[_model.Group]:
    """Return groups in a state whose hosts are all there, newest last."""
    return [
        group
        for group in facts.groups
        if group.state is state
        and group.group not in facts.drain_reason_by_group
        and facts.is_whole(group)
    ]


def _repairs(facts: _assess.Assessment) -> list[_model.Action]:
    """Return the steps for broken groups that are whole again."""
    actions = []
    for group in _restorable(facts, _STATE.BROKEN):
        if facts.missing_count(group.model):
            facts.kept_by_model[group.model].append(group)
            actions.append(_step(_KIND.REPAIR, group, _model.Reason.RESTORED))
    return actions


def _resumes(facts: _assess.Assessment) -> list[_model.Action]:
    """Return the steps for draining groups that are wanted again.

    A group is wanted while too few serve, even if its replacement loads. It
    resumes too if that evens out the zones; the crowded zone then loses its
    surplus group. Neither costs a weight load.
    """
    actions = []
    for group in _restorable(facts, _STATE.DRAINING):
        ready = sum(
            other.state in (_STATE.SERVING, _STATE.DRAINING)
            for other in facts.kept_by_model[group.model]
        )
        wanted = ready < facts.fleet.models[group.model].replicas
        if wanted or _balance.evens_out(facts, group.model, group.zone):
            facts.kept_by_model[group.model].append(group)
            actions.append(_step(_KIND.RESUME, group, _model.Reason.RESTORED))
    return actions


def _forms(
    facts: _assess.Assessment,
) -> tuple[list[_model.Action], dict[str, int]]:
    """Return the new groups, the dissolved ones before them, and the rest."""
    pool = _pool.Pool(facts, _reusable(facts))
    demands = facts.demands()
    slots: list[_model.Slot] = []
    reason = _model.Reason.DECLARED
    rooms = pool.rooms()
    if demands:
        slots = facts.options.place(demands, rooms)
    elif facts.options.rebalance:
        slots = _balance.moves(facts, rooms)
        reason = _model.Reason.SPREAD
    formed = []
    unmet = {demand.model: demand.count for demand in demands}
    for slot in slots:
        size = facts.fleet.models[slot.model].hosts_per_replica
        hosts = pool.take(slot, size)
        formed.append(_formed(slot, hosts, reason))
        if slot.model in unmet:
            unmet[slot.model] -= 1
    dissolved = _dissolved(facts, pool)
    return dissolved + formed, {m: n for m, n in unmet.items() if n}


def _formed(
    slot: _model.Slot, hosts: tuple[str, ...], reason: _model.Reason
) -> _model.Action:
    """Return the step that forms one group."""
    return _model.Action(
        _KIND.FORM,
        slot.key.zone,
        reason,
        slot.model,
        domain=slot.key.domain,
        hosts=hosts,
    )


def _reusable(facts: _assess.Assessment) -> list[_model.Group]:
    """Return broken groups whose surviving hosts may go elsewhere."""
    repaired = {
        group.group
        for groups in facts.kept_by_model.values()
        for group in groups
    }
    return [
        group
        for group in facts.groups
        if group.group not in repaired
        and (group.state is _STATE.BROKEN or group.group in facts.lost)
    ]


def _dissolved(
    facts: _assess.Assessment, pool: _pool.Pool
) -> list[_model.Action]:
    """Return the broken groups that end.

    A broken group without use for its survivors is kept, because it can
    become whole again without a weight load.
    """
    actions = []
    for group in _reusable(facts):
        if group.group in pool.used_groups:
            reason = _model.Reason.HOSTS_REUSED
        elif not facts.is_declared(group):
            reason = _model.Reason.UNDECLARED
        elif not facts.has_survivor(group):
            reason = _model.Reason.HOSTS_GONE
        else:
            continue
        actions.append(_step(_KIND.DISSOLVE, group, reason))
    return actions


def _unloads(
    facts: _assess.Assessment, changed: typing.Collection[str]
) -> list[_model.Action]:
    """Return the steps for drained groups that will not resume.

    A group in a zone that is out, or whose target an operator drains, keeps
    its hosts and weights so that it can resume at once.
    """
    actions = []
    for group in facts.groups:
        if group.state is not _STATE.DRAINING or not group.drained:
            continue
        if group.group in changed:
            continue
        reason = facts.drain_reason_by_group.get(group.group)
        if facts.options.park and reason in _PARKING:
            continue
        actions.append(_step(_KIND.UNLOAD, group, _model.Reason.DRAINED))
    return actions
