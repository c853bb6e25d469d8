"""Takes over the groups that an earlier coordinator formed."""

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _lifecycle
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster


def adopt(
    roster: _roster.Roster, engine: fleet.Engine, now_ms: clock.Millis
) -> None:
    """Plan the groups that the targets say they belong to.

    Of each group the highest epoch counts; members that are still in a
    lower one are free once they have left it.
    """
    found: dict[str, dict[int, dict[int, _model.Host]]] = {}
    for host in roster.host_by_id.values():
        seat = host.membership
        if seat is not None and not _model.is_standby(seat):
            by_epoch = found.setdefault(seat.group, {})
            by_epoch.setdefault(seat.epoch, {})[seat.rank] = host
    for name, host_by_rank_by_epoch in found.items():
        model = engine.models_by_name.get(_model.model_of(name))
        if model is None:
            continue
        epoch = max(host_by_rank_by_epoch)
        roster.add(
            _adopted(name, epoch, model, host_by_rank_by_epoch[epoch], now_ms)
        )


def _adopted(
    name: str,
    epoch: int,
    model: fleet.Model,
    host_by_rank: dict[int, _model.Host],
    now_ms: clock.Millis,
) -> _model.Group:
    """Return a group in the phase that its members' states show."""
    ranks = sorted(host_by_rank)
    hosts = [host_by_rank[rank] for rank in ranks]
    states = [h.membership.state if h.membership else None for h in hosts]
    whole = ranks == list(range(model.group_size)) and all(
        state in _lifecycle.READY_STATES for state in states
    )
    phase = _model.Phase.BROKEN
    if whole:
        phase = {
            fleet.MemberState.OPEN: _model.Phase.OPEN,
            fleet.MemberState.CLOSING: _model.Phase.CLOSING,
        }.get(states[0] or fleet.MemberState.READY, _model.Phase.OPENING)
    group = _model.make_group(name, model, hosts, epoch, phase, now_ms)
    if whole:
        group.ready = set(group.members)
    return group
