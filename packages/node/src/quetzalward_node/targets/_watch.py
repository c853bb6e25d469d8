"""Selection of the targets that this node polls."""

import collections

import attrs

from quetzalward_core import clock
from quetzalward_core import coldstart
from quetzalward_core import routing
from quetzalward_node import interfaces


@attrs.frozen
class WatchedTargets:
    """Targets to poll; `subset` are those used when warm."""

    subset: frozenset[str] = frozenset()
    targets: frozenset[str] = frozenset()


class WatchList:
    """Computes the watched targets from the control view.

    The result depends only on the fold and the configuration, so that all
    nodes compute the same assignment.
    """

    def __init__(self, node: str, zone: str) -> None:
        """Start without targets."""
        self._node = node
        self._zone = zone
        self._slots: coldstart.SlotTable | None = None

    def update(
        self, control: interfaces.ControlView, now_ms: clock.Millis
    ) -> WatchedTargets:
        """Return the targets to watch under a control view."""
        settings = control.configuration
        if self._slots is None:
            self._slots = coldstart.SlotTable(
                self._node, settings.engines.default_bearable
            )
        self._slots.configure(
            settings.engines.default_bearable,
            settings.limits.request_timeout_ms,
        )
        self._slots.update(control.nodes, control.groups, now_ms)
        chosen: set[str] = set()
        for groups in _zones_by_model(control).values():
            chosen |= self._subset(groups, control)
        subset = frozenset(chosen)
        return WatchedTargets(subset, subset | self._slots.owned_targets())

    def _subset(
        self, groups: dict[str, str], control: interfaces.ControlView
    ) -> frozenset[str]:
        """Return the subset of one model's groups, given their zones."""
        nodes, targets = routing.local_pool(
            _region(control, self._zone),
            {n: _region(control, z) for n, z in control.nodes.items()},
            {t: _region(control, z) for t, z in groups.items()},
        )
        size = control.configuration.routing.subset
        return routing.subset(self._node, nodes, targets, size)


def _zones_by_model(
    control: interfaces.ControlView,
) -> dict[str, dict[str, str]]:
    """Return the zone of each group by model and group id."""
    found: dict[str, dict[str, str]] = collections.defaultdict(dict)
    for group in control.groups.values():
        found[group.model][group.group_id] = group.zone
    return found


def _region(control: interfaces.ControlView, zone: str) -> str:
    """Return a zone's region, empty if the configuration names none."""
    settings = control.configuration.zones.get(zone)
    return settings.region if settings else ""
