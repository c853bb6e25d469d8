"""Rate and concurrency limits of customers on this node."""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import limits
from quetzalward_node import interfaces

PUBLISH_INTERVAL_MS = 1_000
# The cost of an exchange grows with the number of nodes. With 380 nodes the
# interval is 1.9 s, well within the demand window of 5 s.
PUBLISH_MS_PER_NODE = 5
_CONCURRENCY_RETRY_MS = 1_000


@attrs.define
class _Customer:
    """Usage and demand of one customer on this node."""

    history: limits.DemandHistory
    bucket: limits.TokenBucket
    active: set[str] = attrs.field(factory=set)
    arrivals: int = 0
    rejected: int = 0
    peak_active: int = 0
    rate_meter: limits.DemandMeter = attrs.field(factory=limits.DemandMeter)
    concurrency_meter: limits.DemandMeter = attrs.field(
        factory=limits.DemandMeter
    )
    # Cached share and the control view it was computed under. Demands change
    # only with an exchange, which clears the cache.
    share: limits.Share | None = None
    share_view: interfaces.ControlView | None = None


class CustomerLimits:
    """Admits requests within this node's shares of the customers' limits."""

    def __init__(self, node: str, now_ms: clock.Millis) -> None:
        """Start without usage."""
        self._node = node
        self._customers: dict[str, _Customer] = {}
        self._customer_by_request_id: dict[str, str] = {}
        self._published_ms = now_ms

    def admit(
        self,
        customer: str,
        request_id: str,
        control: interfaces.ControlView,
        now_ms: clock.Millis,
    ) -> errors.QuetzalwardError | None:
        """Admit a request, or return the error for the limit it exceeds."""
        usage = self._customer(customer, now_ms)
        usage.arrivals += 1
        share = self._share(customer, usage, control, now_ms)
        if len(usage.active) >= share.concurrency:
            usage.rejected += 1
            return errors.QuetzalwardError(
                errors.ErrorKind.CONCURRENCY_LIMITED,
                f"customer {customer!r} has {len(usage.active)} requests in "
                f"progress on this entry host",
                _CONCURRENCY_RETRY_MS,
            )
        wait_ms = usage.bucket.take(share.rate_per_s, now_ms)
        if wait_ms is not None:
            return errors.QuetzalwardError(
                errors.ErrorKind.RATE_LIMITED,
                f"customer {customer!r} exceeds its request rate limit",
                wait_ms,
            )
        usage.active.add(request_id)
        usage.peak_active = max(usage.peak_active, len(usage.active))
        self._customer_by_request_id[request_id] = customer
        return None

    def _share(
        self,
        customer: str,
        usage: _Customer,
        control: interfaces.ControlView,
        now_ms: clock.Millis,
    ) -> limits.Share:
        """Return the node's share, cached per exchange and control view."""
        if usage.share is None or usage.share_view is not control:
            settings = customer_settings(customer, control.configuration)
            usage.share_view = control
            usage.share = usage.history.share(
                settings.rate_per_s,
                settings.max_concurrency,
                control.nodes,
                now_ms,
            )
        return usage.share

    def finish(self, request_id: str) -> bool:
        """Release a request's concurrency slot; false if it held none."""
        customer = self._customer_by_request_id.pop(request_id, None)
        if customer is None:
            return False
        self._customers[customer].active.discard(request_id)
        return True

    def in_use(self, customer: str) -> int:
        """Return the number of a customer's requests in progress."""
        usage = self._customers.get(customer)
        return len(usage.active) if usage else 0

    def exchange(
        self, exchange: interfaces.DemandExchange, now_ms: clock.Millis
    ) -> None:
        """Publish own demand and read the others', once per interval."""
        elapsed_ms = now_ms - self._published_ms
        others = exchange.demands_by_node()
        min_interval_ms = (len(others) + 1) * PUBLISH_MS_PER_NODE
        if elapsed_ms < max(PUBLISH_INTERVAL_MS, min_interval_ms):
            return
        self._published_ms = now_ms
        own = {
            name: self._measure(usage, elapsed_ms)
            for name, usage in self._customers.items()
        }
        exchange.publish(own)
        self._record_demands(self._node, own, now_ms)
        for node, demands in others.items():
            if node != self._node:
                self._record_demands(node, demands, now_ms)
        for usage in self._customers.values():
            usage.share = None

    def _record_demands(
        self,
        node: str,
        demands: typing.Mapping[str, limits.Demand],
        now_ms: clock.Millis,
    ) -> None:
        """Record one node's demands; an omitted customer has no demand."""
        for name, demand in demands.items():
            self._customer(name, now_ms).history.record(node, demand, now_ms)
        for name in set(self._customers) - set(demands):
            history = self._customers[name].history
            history.record(node, limits.Demand(), now_ms)

    def _measure(self, usage: _Customer, elapsed_ms: int) -> limits.Demand:
        """Return the demand of the last interval and start a new interval."""
        rate = usage.arrivals * clock.MILLIS_PER_SECOND / elapsed_ms
        demand = limits.Demand(
            usage.rate_meter.measure(rate),
            usage.concurrency_meter.measure(
                float(usage.peak_active + usage.rejected)
            ),
            len(usage.active),
        )
        usage.arrivals = 0
        usage.rejected = 0
        usage.peak_active = len(usage.active)
        return demand

    def _customer(self, name: str, now_ms: clock.Millis) -> _Customer:
        if name not in self._customers:
            self._customers[name] = _Customer(
                limits.DemandHistory(self._node), limits.TokenBucket(now_ms)
            )
        return self._customers[name]


def customer_settings(
    customer: str, configuration: config.Configuration
) -> config.Customer:
    """Return a customer's settings, or defaults for a removed customer."""
    found = configuration.customers.get(customer)
    return found or config.Customer(key_sha256=())
