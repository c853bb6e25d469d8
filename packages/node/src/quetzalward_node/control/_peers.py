"""What the peers task knows, in the form that the other tasks use."""

import typing

import attrs

from quetzalward_core import config
from quetzalward_core import limits
from quetzalward_core import membership
from quetzalward_node import interfaces
from quetzalward_node import peers

Demands = typing.Mapping[str, limits.Demand]


@attrs.define
class DemandBoard:
    """This node's demand, as dispatch publishes it for the peers task."""

    _demands: dict[str, membership.Demand] = attrs.field(factory=dict)

    def publish(self, demands: Demands) -> None:
        """Replace this node's demand by customer."""
        self._demands = {
            name: membership.Demand(demand.rate_per_s, demand.concurrency)
            for name, demand in demands.items()
        }

    def current(self) -> dict[str, membership.Demand]:
        """Return the demand published last."""
        return self._demands


@attrs.define
class PeerAdapter:
    """Implements PeerKnowledge, FleetView, StopOrders and DemandExchange."""

    _name: str
    _knowledge: peers.SharedMembership
    _control: interfaces.ControlLog
    _configuration: typing.Callable[[], config.Configuration]
    _revision: typing.Callable[[], int]
    _board: DemandBoard
    # Kept while nothing changes, so that views built on them can be kept.
    _zones: dict[str, int] = attrs.field(factory=dict)
    _targets: dict[str, int] = attrs.field(factory=dict)

    def freshness(self) -> interfaces.Freshness:
        """Return this node's freshness.

        Only a fresh read of the log proves that no slot moved: a majority
        without the log may all have missed the record that moved it.
        """
        fresh = self._control.head_age_ms() <= membership.FRESHNESS_LIMIT_MS
        return interfaces.Freshness(self._knowledge.isolated(), fresh)

    def stopped_zones(self) -> dict[str, int]:
        """Return the highest basis of a stop order by zone."""
        found = self._stops(membership.StopKind.ZONE)
        if found != self._zones:
            self._zones = found
        return self._zones

    def stopped_targets(self) -> dict[str, int]:
        """Return the highest basis of a stop order by target."""
        found = self._stops(membership.StopKind.TARGET)
        if found != self._targets:
            self._targets = found
        return self._targets

    def stop_zone(self, zone: str, basis: int) -> None:
        """Stop new work to a zone, here and at the other nodes."""
        self._knowledge.add_stop(membership.StopKind.ZONE, zone, basis)

    def stop_target(self, target: str, basis: int) -> None:
        """Stop new work to a target, here and at the other nodes."""
        self._knowledge.add_stop(membership.StopKind.TARGET, target, basis)

    def status_by_node(self) -> dict[str, interfaces.PeerStatus]:
        """Return the last status of each node, this one included."""
        revisions = self._knowledge.revision_by_node()
        found = {
            name: interfaces.PeerStatus(revisions.get(name, 0), age_ms)
            for name, age_ms in self._knowledge.heard_age_ms_by_node().items()
        }
        found[self._name] = interfaces.PeerStatus(self._revision(), 0)
        return found

    def publish(self, demands: Demands) -> None:
        """Replace this node's demand by customer."""
        self._board.publish(demands)

    def others(self) -> dict[str, dict[str, limits.Demand]]:
        """Return the last demand heard, by other node and customer."""
        found: dict[str, dict[str, limits.Demand]] = {}
        for customer in self._configuration().customers:
            by_node = self._knowledge.demand_by_node(customer)
            for node, demand in by_node.items():
                if node != self._name:
                    found.setdefault(node, {})[customer] = limits.Demand(
                        demand.rate_per_s, demand.concurrency
                    )
        return found

    def _stops(self, kind: membership.StopKind) -> dict[str, int]:
        stops = self._knowledge.stops()
        return {k.name: basis for k, basis in stops.items() if k.kind is kind}
