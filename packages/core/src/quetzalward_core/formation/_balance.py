"""Surplus groups, and the balance of replicas over availability zones."""

import typing

from quetzalward_core.formation import _assess
from quetzalward_core.formation import _model

_STATE = _model.GroupState
_STATE_RANK = {_STATE.FORMING: 0, _STATE.LOADING: 1}
_SERVING_RANK = 2
# With a difference of one a move would only swap the two zones' counts.
_MIN_ZONE_DIFFERENCE = 2


def improves_spread(
    assessment: _assess.Assessment, model: str, zone: str
) -> bool:
    """Tell whether moving a replica to `zone` evens out the zones.

    The replica would come from the zone with the most replicas.
    """
    by_zone = assessment.existing_by_zone(model)
    most = max(by_zone.values(), default=0)
    return most - by_zone[zone] >= _MIN_ZONE_DIFFERENCE


def rebalancing_replicas(
    assessment: _assess.Assessment,
    capacities: typing.Sequence[_model.DomainCapacity],
) -> list[_model.PlacedReplica]:
    """Return at most one extra replica, for a zone that has too few.

    Rebalancing needs every zone in service and every replica serving. The
    extra replica is formed first; the zone with the most replicas loses one
    as surplus once the extra one serves.
    """
    if assessment.fleet.zones_out or not _all_serve(assessment):
        return []
    for name in sorted(assessment.fleet.models):
        demand = assessment.demand(name, 1)
        suitable = [
            capacity
            for capacity in capacities
            if capacity.key.zone in demand.zones
            and capacity.free_hosts >= demand.hosts_per_replica
            and improves_spread(assessment, name, capacity.key.zone)
        ]
        replicas = assessment.options.place([demand], suitable)
        if replicas:
            return replicas
    return []


def _all_serve(assessment: _assess.Assessment) -> bool:
    """Tell whether exactly the declared replicas exist and all serve."""
    return all(
        len(assessment.replica_groups_by_model[name]) == model.replicas
        and all(
            group.state is _STATE.SERVING
            for group in assessment.replica_groups_by_model[name]
        )
        for name, model in assessment.fleet.models.items()
    )


def surplus_actions(assessment: _assess.Assessment) -> list[_model.Action]:
    """Return the actions that stop groups beyond the declared count.

    The zone with the most replicas loses one first; within it, groups that
    do not serve yet go before serving ones, and newer before older. A
    serving group is drained only if the declared count still serves without
    it.
    """
    actions = []
    for name in sorted(assessment.fleet.models):
        wanted = assessment.fleet.models[name].replicas
        remaining = list(assessment.replica_groups_by_model[name])
        serving = sum(group.state is _STATE.SERVING for group in remaining)
        while len(remaining) > wanted:
            victim = _select_victim(remaining)
            if _readiness_rank(victim) == _SERVING_RANK:
                if serving <= wanted:
                    break
                serving -= 1
            remaining.remove(victim)
            actions.append(stop_action(victim, _model.Reason.SURPLUS))
    return actions


def _readiness_rank(group: _model.Group) -> int:
    """Return how close a group is to serving; larger is closer.

    A draining group that counts as a replica resumes in this plan. It ranks
    with serving groups, but is counted as serving only in the next plan.
    """
    return _STATE_RANK.get(group.state, _SERVING_RANK)


def _select_victim(remaining: typing.Sequence[_model.Group]) -> _model.Group:
    """Return the group to stop: largest zone, least ready, newest."""
    count_by_zone: dict[str, int] = {}
    for group in remaining:
        count_by_zone[group.zone] = count_by_zone.get(group.zone, 0) + 1
    return min(
        remaining,
        key=lambda g: (
            -count_by_zone[g.zone],
            _readiness_rank(g),
            -g.epoch,
            g.group,
        ),
    )


def stop_action(group: _model.Group, reason: _model.Reason) -> _model.Action:
    """Return the action that stops a group without aborting a request.

    Only a serving group can have requests, so it is drained. Any other is
    cancelled, so that every draining group can resume at once.
    """
    kind = _model.ActionKind.CANCEL
    if group.state is _STATE.SERVING:
        kind = _model.ActionKind.DRAIN
    return _model.Action(
        kind, group.zone, reason, group.model, group.group, group.domain
    )
