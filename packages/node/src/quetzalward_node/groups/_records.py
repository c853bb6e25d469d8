"""Log records for the steps of a plan."""

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
# Below the limit of entries in a batch, and small enough to be read at once.
MAX_STEPS = 256


def for_plan(
    plan: formation.Plan,
    view: agreement.ControlView,
    lease: str,
    lease_epoch: int,
    name: typing.Callable[[], str],
) -> list[agreement.Entry]:
    """Return the records of the plan's first steps, in order.

    A plan longer than `MAX_STEPS` is made again after these records; loads
    need no record of their own.
    """
    entries: list[agreement.Entry] = []
    for action in plan.actions[:MAX_STEPS]:
        if action.kind is _KIND.FORM:
            entries.append(_formed(action, view, lease, lease_epoch, name()))
        elif action.kind in _EVENT_BY_KIND:
            group = view.groups_by_id[action.group]
            event = _EVENT_BY_KIND[action.kind]
            entries.append(state_changed(group, event, lease_epoch))
    return entries


def state_changed(
    group: agreement.Group, event: str, lease_epoch: int
) -> agreement.GroupStateChanged:
    """Return the record of one event of a group's chart."""
    return agreement.GroupStateChanged(
        group.group, group.epoch, event, lease_epoch
    )


def _formed(
    action: formation.Action,
    view: agreement.ControlView,
    lease: str,
    lease_epoch: int,
    name: str,
) -> agreement.GroupFormed:
    """Return the record that forms one group."""
    hosts = tuple(
        agreement.GroupHost(host, view.hosts_by_id[host].incarnation)
        for host in action.hosts
    )
    return agreement.GroupFormed(
        name,
        action.model,
        action.domain,
        action.zone,
        hosts,
        lease,
        lease_epoch,
    )
