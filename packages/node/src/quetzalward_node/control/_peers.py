"""Adapters between the peers task and the other tasks."""

import typing

import attrs

from quetzalward_core import config
from quetzalward_core import limits
from quetzalward_core import membership
from quetzalward_node import interfaces
from quetzalward_node import peers

Demands = typing.Mapping[str, limits.Demand]


@attrs.define
class LocalDemand:
    """This node's demand, published by dispatch and read by the peers task."""

    _demands: dict[str, membership.Demand] = attrs.field(factory=dict)

    def publish(self, demands: Demands) -> None:
        """Replace this node's demand, keyed by customer."""
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
    _local_demand: LocalDemand
    # Reused while unchanged, so that views built from them stay cached.
    _basis_by_zone: dict[str, int] = attrs.field(factory=dict)
    _basis_by_target: dict[str, int] = attrs.field(factory=dict)

    def freshness(self) -> interfaces.Freshness:
        """Return this node's freshness.

        Only a recent read of the log proves that no cold-start slot moved: a
        majority of nodes without the log may all have missed the record.
        """
        fresh = self._control.head_age_ms() <= membership.FRESHNESS_LIMIT_MS
        return interfaces.Freshness(self._knowledge.isolated(), fresh)

    def stopped_zones(self) -> dict[str, int]:
        """Return the highest basis of a stop order by zone."""
        result = self._basis_by_name(membership.StopKind.ZONE)
        if result != self._basis_by_zone:
            self._basis_by_zone = result
        return self._basis_by_zone

    def stopped_targets(self) -> dict[str, int]:
        """Return the highest basis of a stop order by target."""
        result = self._basis_by_name(membership.StopKind.TARGET)
        if result != self._basis_by_target:
            self._basis_by_target = result
        return self._basis_by_target

    def stop_zone(self, zone: str, basis: int) -> None:
        """Stop new work to a zone, on this node and all others."""
        self._knowledge.add_stop(membership.StopKind.ZONE, zone, basis)

    def stop_target(self, target: str, basis: int) -> None:
        """Stop new work to a target, on this node and all others."""
        self._knowledge.add_stop(membership.StopKind.TARGET, target, basis)

    def status_by_node(self) -> dict[str, interfaces.PeerStatus]:
        """Return the last status of each node, this one included."""
        revisions = self._knowledge.revision_by_node()
        result = {
            name: interfaces.PeerStatus(revisions.get(name, 0), age_ms)
            for name, age_ms in self._knowledge.heard_age_ms_by_node().items()
        }
        result[self._name] = interfaces.PeerStatus(self._revision(), 0)
        return result

    def publish(self, demands: Demands) -> None:
        """Replace this node's demand, keyed by customer."""
        self._local_demand.publish(demands)

    def demands_by_node(self) -> dict[str, dict[str, limits.Demand]]:
        """Return the latest known demand, by other node and customer."""
        result: dict[str, dict[str, limits.Demand]] = {}
        for customer in self._configuration().customers:
            by_node = self._knowledge.demand_by_node(customer)
            for node, demand in by_node.items():
                if node != self._name:
                    result.setdefault(node, {})[customer] = limits.Demand(
                        demand.rate_per_s, demand.concurrency
                    )
        return result

    def _basis_by_name(self, kind: membership.StopKind) -> dict[str, int]:
        stops = self._knowledge.stops()
        return {
            key.name: basis for key, basis in stops.items() if key.kind is kind
        }
