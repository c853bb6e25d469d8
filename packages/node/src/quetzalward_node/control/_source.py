"""The view that routing uses, built from the fold and the peers' knowledge."""

import collections.abc
import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import routing
from quetzalward_node.control import _configuration
from quetzalward_node import interfaces

Basis = collections.abc.Mapping[str, int]


def zones_out(state: agreement.ControlView, stops: Basis) -> frozenset[str]:
    """Return the zones taken out on the log or by a direct stop order.

    A stop order is in force while the log shows no bring-back above its basis.
    """
    out = {name for name in state.zones_by_name if state.zone_out(name)}
    for zone, basis in stops.items():
        known = state.zones_by_name.get(zone)
        if known is None or known.changed <= basis:
            out.add(zone)
    return frozenset(out)


def targets_draining(
    state: agreement.ControlView, stops: Basis
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
    """Implements `ControlSource`; returns one object until a change."""

    _state: typing.Callable[[], agreement.ControlView]
    _configuration: _configuration.ConfigurationHolder
    _peers: interfaces.PeerKnowledge
    _cached: tuple[typing.Any, interfaces.ControlView] | None = None
    # The fold changes with every record, its groups seldom; rebuilding 710
    # groups of 8 hosts for each lease renewal would cost 2% of a core.
    _groups: dict[str, tuple[agreement.Group, routing.GroupView]] = (
        attrs.field(factory=dict)
    )

    def view(self) -> interfaces.ControlView:
        """Return the newest view; see `ControlSource`."""
        state = self._state()
        freshness = self._peers.freshness()
        zones = self._peers.stopped_zones()
        targets = self._peers.stopped_targets()
        # Identity is enough for the immutable parts and spares a comparison
        # of the whole fold on every look.
        key = (id(state), id(zones), id(targets), freshness)
        cached = self._cached
        if cached is not None and cached[0][0] == key:
            return cached[1]
        built = self._build(state, freshness, zones, targets)
        # Keeping the parts alive keeps their ids from being used again.
        self._cached = ((key, state, zones, targets), built)
        return built

    def _build(
        self,
        state: agreement.ControlView,
        freshness: interfaces.Freshness,
        zones: Basis,
        targets: Basis,
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
        """Return the views of all groups, the unchanged ones as they were."""
        kept: dict[str, tuple[agreement.Group, routing.GroupView]] = {}
        for name, group in state.groups_by_id.items():
            known = self._groups.get(name)
            drains = name in draining
            if (
                known is None
                or known[0] is not group
                or known[1].draining != drains
            ):
                known = (group, _group_view(group, drains))
            kept[name] = known
        self._groups = kept
        return {name: known[1] for name, known in kept.items()}
