"""Input of a plan, from the fold, the host list and engine reports."""

import typing

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import formation
from quetzalward_node.groups import _presence
from quetzalward_node.groups import _watch


def build(
    view: agreement.ControlView,
    configuration: config.Configuration,
    presence: _presence.Presence,
    watches: typing.Mapping[str, _watch.Watch],
    now_ms: clocks.Millis,
) -> formation.Fleet:
    """Return the input of a plan.

    Only the state of this zone's groups comes from this node's own reports.
    All other input is the same at every manager, so that the parts of the
    plan that different managers execute are consistent.
    """
    return formation.Fleet(
        configuration.models,
        presence.hosts(view),
        {
            group.group: _group(group, watches.get(group.group), now_ms)
            for group in view.groups_by_id.values()
        },
        frozenset(configuration.zones),
        frozenset(zone for zone in configuration.zones if view.zone_out(zone)),
        frozenset(
            drain.target
            for drain in view.drains_by_target.values()
            if drain.draining
        ),
        presence.list_age_ms(),
    )


def _group(
    group: agreement.Group,
    watch: _watch.Watch | None,
    now_ms: clocks.Millis,
) -> formation.Group:
    """Return a group; `watch` is `None` for groups of other zones."""
    return formation.Group(
        group.group,
        group.model,
        group.zone,
        group.domain,
        {member.host: member.incarnation for member in group.hosts},
        formation.GroupState(group.state),
        group.epoch,
        watch is not None and watch.is_drained(now_ms),
        watch is not None and watch.load_started(),
    )
