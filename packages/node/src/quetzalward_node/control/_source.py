"""Control view for routing, built from the fold and the peers task."""

import collections.abc
import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import routing
from quetzalward_node.control import _configuration
from quetzalward_node import interfaces

BasisByName = collections.abc.Mapping[str, int]


def zones_out(
    state: agreement.ControlView, stops: BasisByName
) -> frozenset[str]:
    """Return the zones taken out on the log or by a direct stop order.

    A stop order is in force while the log shows no later start than its basis.
    """
    out = {name for name in state.zones_by_name if state.zone_out(name)}
    for zone, basis in stops.items():
        known = state.zones_by_name.get(zone)
        if known is None or known.changed <= basis:
            out.add(zone)
    return frozenset(out)


def targets_draining(
    state: agreement.ControlView, stops: BasisByName
) -> frozenset[str]:
    """Return the targets drained on the log or by a direct stop order."""
    draining = {t for t in state.drains_by_target if state.draining(t)}
    for target, basis in stops.items():
        known = state.drains_by_target.get(target)
        if known is None or known.changed <= basis:
            draining.add(target)
    return frozenset(draining)


def _group_view(group: agreement.Group, draining: bool) -> routing.GroupView:
    hosts = tuple(
        routing.HostId(member.host, str(member.incarnation))
        for member in group.hosts
    )
    return routing.GroupView(
        group_id=group.group,
        epoch=group.epoch,
        state=group.state,
        model=group.model,
        hosts=hosts,
        zone=group.zone,
        draining=draining,
    )


@attrs.define
class ControlViewSource:
    """Implements `ControlSource`; caches the view until it changes."""

    _state: typing.Callable[[], agreement.ControlView]
    _configuration: _configuration.ConfigurationHolder
    _peers: interfaces.PeerKnowledge
    _cached_view: tuple[typing.Any, interfaces.ControlView] | None = None
    # The fold changes with every record but its groups rarely. Rebuilding 710
    # groups of 8 hosts for each lease renewal would cost 2% of a core.
    _cached_groups: dict[str, tuple[agreement.Group, routing.GroupView]] = (
        attrs.field(factory=dict)
    )

    def view(self) -> interfaces.ControlView:
        """Return the newest view; see `ControlSource`."""
        state = self._state()
        freshness = self._peers.freshness()
        zones = self._peers.stopped_zones()
        targets = self._peers.stopped_targets()
        # The parts are immutable, so comparing identities suffices and avoids
        # comparing the whole fold on every call.
        key = (id(state), id(zones), id(targets), freshness)
        cached = self._cached_view
        if cached is not None and cached[0][0] == key:
            return cached[1]
        built = self._build(state, freshness, zones, targets)
        # References to the parts keep their ids from being reused.
        self._cached_view = ((key, state, zones, targets), built)
        return built

    def _build(
        self,
        state: agreement.ControlView,
        freshness: interfaces.Freshness,
        zones: BasisByName,
        targets: BasisByName,
    ) -> interfaces.ControlView:
        draining = targets_draining(state, targets)
        last_offset = state.next_offset - 1
        return interfaces.ControlView(
            position=agreement.position_of(last_offset, 0),
            configuration=self._configuration.current(),
            groups=self._group_views(state, draining),
            zones_out=zones_out(state, zones),
            nodes={n: node.zone for n, node in state.nodes_by_name.items()},
            isolated=freshness.isolated,
            ownership_current=freshness.ownership_current,
        )

    def _group_views(
        self, state: agreement.ControlView, draining: frozenset[str]
    ) -> dict[str, routing.GroupView]:
        """Return the views of all groups, reusing the unchanged ones."""
        groups_by_id: dict[str, tuple[agreement.Group, routing.GroupView]] = {}
        for name, group in state.groups_by_id.items():
            known = self._cached_groups.get(name)
            is_draining = name in draining
            if (
                known is None
                or known[0] is not group
                or known[1].draining != is_draining
            ):
                known = (group, _group_view(group, is_draining))
            groups_by_id[name] = known
        self._cached_groups = groups_by_id
        return {name: known[1] for name, known in groups_by_id.items()}
