"""Control log records for the steps of a plan."""

import typing

from quetzalward_core import agreement
from quetzalward_core import formation

_KIND = formation.ActionKind
_EVENT_BY_KIND = {
    _KIND.BREAK: "host_lost",
    _KIND.REPAIR: "repair",
    _KIND.DISSOLVE: "dissolve",
    _KIND.CANCEL: "cancel",
    _KIND.DRAIN: "drain",
    _KIND.RESUME: "resume",
    _KIND.UNLOAD: "drained",
}
# Below the limit on entries in a batch, and small enough for a single read.
MAX_STEPS = 256


def for_plan(
    plan: formation.Plan,
    view: agreement.ControlView,
    lease: str,
    lease_epoch: int,
    new_group_id: typing.Callable[[], str],
) -> list[agreement.Entry]:
    """Return the records of the plan's first steps, in order.

    The rest of a plan longer than `MAX_STEPS` is planned again after these
    records. Loads need no record.
    """
    entries: list[agreement.Entry] = []
    for action in plan.actions[:MAX_STEPS]:
        if action.kind is _KIND.FORM:
            entries.append(
                _formed(action, view, lease, lease_epoch, new_group_id())
            )
        elif action.kind in _EVENT_BY_KIND:
            group = view.groups_by_id[action.group]
            event = _EVENT_BY_KIND[action.kind]
            entries.append(state_changed(group, event, lease_epoch))
    return entries


def state_changed(
    group: agreement.Group, event: str, lease_epoch: int
) -> agreement.GroupStateChanged:
    """Return the record of an event of a group's state chart."""
    return agreement.GroupStateChanged(
        group.group, group.epoch, event, lease_epoch
    )


def _formed(
    action: formation.Action,
    view: agreement.ControlView,
    lease: str,
    lease_epoch: int,
    group_id: str,
) -> agreement.GroupFormed:
    """Return the record that forms a group."""
    hosts = tuple(
        agreement.GroupHost(host, view.hosts_by_id[host].incarnation)
        for host in action.hosts
    )
    return agreement.GroupFormed(
        group_id,
        action.model,
        action.domain,
        action.zone,
        hosts,
        lease,
        lease_epoch,
    )
