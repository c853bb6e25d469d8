"""Customers' limits on this node."""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import limits
from quetzalward_node import interfaces

PUBLISH_INTERVAL_MS = 1_000
# Reading many nodes' demands costs time; at 380 nodes this makes it every
# 1.9 s, well within the demand window of 5 s.
PUBLISH_MS_PER_NODE = 5
_CONCURRENCY_RETRY_MS = 1_000


@attrs.define
class _Customer:
    """Use and demand of one customer."""

    history: limits.DemandHistory
    bucket: limits.TokenBucket
    active: set[str] = attrs.field(factory=set)
    arrivals: int = 0
    refused: int = 0
    peak: int = 0
    rate: limits.DemandMeter = attrs.field(factory=limits.DemandMeter)
    places: limits.DemandMeter = attrs.field(factory=limits.DemandMeter)
    # Share under a control view; demands change only with an exchange.
    share: limits.Share | None = None
    share_view: interfaces.ControlView | None = None


class CustomerLimits:
    """Admits requests within this node's shares of the limits."""

    def __init__(self, node: str, now_ms: clock.Millis) -> None:
        """Start without use."""
        self._node = node
        self._customers: dict[str, _Customer] = {}
        self._owners: dict[str, str] = {}
        self._published_ms = now_ms

    def admit(
        self,
        customer: str,
        request_id: str,
        control: interfaces.ControlView,
        now_ms: clock.Millis,
    ) -> errors.QuetzalwardError | None:
        """Count a request in, or return why it is over a limit."""
        known = self._customer(customer, now_ms)
        known.arrivals += 1
        share = self._share(customer, known, control, now_ms)
        if len(known.active) >= share.concurrency:
            known.refused += 1
            return errors.QuetzalwardError(
                errors.ErrorKind.CONCURRENCY_LIMITED,
                f"customer {customer!r} has {len(known.active)} requests in "
                f"progress on this entry host",
                _CONCURRENCY_RETRY_MS,
            )
        wait_ms = known.bucket.take(share.rate_per_s, now_ms)
        if wait_ms is not None:
            return errors.QuetzalwardError(
                errors.ErrorKind.RATE_LIMITED,
                f"customer {customer!r} is over its request rate",
                wait_ms,
            )
        known.active.add(request_id)
        known.peak = max(known.peak, len(known.active))
        self._owners[request_id] = customer
        return None

    def _share(
        self,
        customer: str,
        known: _Customer,
        control: interfaces.ControlView,
        now_ms: clock.Millis,
    ) -> limits.Share:
        """Return the node's share, computed once per exchange and view."""
        if known.share is None or known.share_view is not control:
            settings = settings_of(customer, control.configuration)
            known.share_view = control
            known.share = known.history.share(
                settings.rate_per_s,
                settings.max_concurrency,
                control.nodes,
                now_ms,
            )
        return known.share

    def finish(self, request_id: str) -> bool:
        """Return a request's place; false if it had none."""
        customer = self._owners.pop(request_id, None)
        if customer is None:
            return False
        self._customers[customer].active.discard(request_id)
        return True

    def in_use(self, customer: str) -> int:
        """Return a customer's requests in progress on this node."""
        known = self._customers.get(customer)
        return len(known.active) if known else 0

    def exchange(
        self, exchange: interfaces.DemandExchange, now_ms: clock.Millis
    ) -> None:
        """Publish own demand and read the others', once per interval."""
        elapsed_ms = now_ms - self._published_ms
        others = exchange.others()
        paced_ms = (len(others) + 1) * PUBLISH_MS_PER_NODE
        if elapsed_ms < max(PUBLISH_INTERVAL_MS, paced_ms):
            return
        self._published_ms = now_ms
        own = {
            name: self._measure(known, elapsed_ms)
            for name, known in self._customers.items()
        }
        exchange.publish(own)
        self._note(self._node, own, now_ms)
        for node, demands in others.items():
            if node != self._node:
                self._note(node, demands, now_ms)
        for known in self._customers.values():
            known.share = None

    def _note(
        self,
        node: str,
        demands: typing.Mapping[str, limits.Demand],
        now_ms: clock.Millis,
    ) -> None:
        """Record one node's demands; a customer left out wants nothing."""
        for name, demand in demands.items():
            self._customer(name, now_ms).history.record(node, demand, now_ms)
        for name in set(self._customers) - set(demands):
            history = self._customers[name].history
            history.record(node, limits.Demand(), now_ms)

    def _measure(self, known: _Customer, elapsed_ms: int) -> limits.Demand:
        """Return the demand of the last interval and start a new one."""
        rate = known.arrivals * clock.MILLIS_PER_SECOND / elapsed_ms
        demand = limits.Demand(
            known.rate.measure(rate),
            known.places.measure(float(known.peak + known.refused)),
            len(known.active),
        )
        known.arrivals = 0
        known.refused = 0
        known.peak = len(known.active)
        return demand

    def _customer(self, name: str, now_ms: clock.Millis) -> _Customer:
        if name not in self._customers:
            self._customers[name] = _Customer(
                limits.DemandHistory(self._node), limits.TokenBucket(now_ms)
            )
        return self._customers[name]


def settings_of(
    customer: str, configuration: config.Configuration
) -> config.Customer:
    """Return a customer's settings, or the defaults after its removal."""
    found = configuration.customers.get(customer)
    return found or config.Customer(key_sha256=())
