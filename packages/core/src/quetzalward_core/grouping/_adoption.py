"""Adopts the groups that an earlier coordinator formed."""

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _lifecycle
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster


def adopt(
    roster: _roster.Roster, engine: fleet.Engine, now_ms: clock.Millis
) -> None:
    """Add the groups that the targets report as theirs to the roster.

    Of each group only the highest epoch is adopted; members that are still
    in a lower one are free once they have left it.
    """
    found: dict[str, dict[int, dict[int, _model.Host]]] = {}
    for host in roster.host_by_id.values():
        membership = host.membership
        if membership is not None and not _model.is_standby(membership):
            by_epoch = found.setdefault(membership.group, {})
            by_epoch.setdefault(membership.epoch, {})[membership.rank] = host
    for name, host_by_rank_by_epoch in found.items():
        model = engine.models_by_name.get(_model.model_of(name))
        if model is None:
            continue
        epoch = max(host_by_rank_by_epoch)
        roster.add(
            _adopted_group(
                name, epoch, model, host_by_rank_by_epoch[epoch], now_ms
            )
        )


def _adopted_group(
    name: str,
    epoch: int,
    model: fleet.Model,
    host_by_rank: dict[int, _model.Host],
    now_ms: clock.Millis,
) -> _model.Group:
    """Return a group in the phase implied by its members' states."""
    ranks = sorted(host_by_rank)
    hosts = [host_by_rank[rank] for rank in ranks]
    states = [h.membership.state if h.membership else None for h in hosts]
    is_complete = ranks == list(range(model.group_size)) and all(
        state in _lifecycle.READY_STATES for state in states
    )
    phase = _model.Phase.BROKEN
    if is_complete:
        phase = {
            fleet.MemberState.OPEN: _model.Phase.OPEN,
            fleet.MemberState.CLOSING: _model.Phase.CLOSING,
        }.get(states[0] or fleet.MemberState.READY, _model.Phase.OPENING)
    group = _model.make_group(name, model, hosts, epoch, phase, now_ms)
    if is_complete:
        group.ready = set(group.members)
    return group
