"""Timing rules of leases: holding, renewing, claiming and sending orders.

The holder measures its lease from before the append of its claim or renewal.
Other nodes measure it from when they read the record, and add a margin for
clocks that run at different rates. All times are milliseconds of the node's
own monotonic clock.
"""

import attrs

from quetzalward_core.agreement import _model

LEASE_DURATION_MS = 10_000
RENEW_INTERVAL_MS = 3_000
# Maximum difference between the clock rates of two hosts.
CLOCK_RATE_MARGIN_PERCENT = 5
# Time-out of an order. An order is sent only if at least this much of the
# lease is left, so that it ends before the lease does.
ORDER_TIMEOUT_MS = 2_000
# Time after sending during which an engine may act on an order.
ORDER_LIFETIME_MS = 5_000


def with_clock_margin(duration_ms: int) -> int:
    """Return a duration in ms plus the clock rate margin, rounded up."""
    return duration_ms + -(-duration_ms * CLOCK_RATE_MARGIN_PERCENT // 100)


def challenger_may_claim(
    duration_ms: int, observed_ms: int, now_ms: int
) -> bool:
    """Tell whether a lease whose renewal was read at `observed_ms` expired."""
    return now_ms >= observed_ms + with_clock_margin(duration_ms)


def holder_may_order(
    duration_ms: int, append_started_ms: int, now_ms: int
) -> bool:
    """Tell whether enough of the lease is left to send one order.

    `append_started_ms` is the time before the first attempt to append the
    last claim or renewal that was read back.
    """
    left_ms = append_started_ms + duration_ms - now_ms
    return left_ms >= ORDER_TIMEOUT_MS


def holder_should_renew(append_started_ms: int, now_ms: int) -> bool:
    """Tell whether the next renewal is due."""
    return now_ms >= append_started_ms + RENEW_INTERVAL_MS


def successor_may_order(claim_observed_ms: int, now_ms: int) -> bool:
    """Tell whether all orders of earlier holders have expired."""
    return now_ms >= claim_observed_ms + with_clock_margin(ORDER_LIFETIME_MS)


@attrs.define
class LeaseObserver:
    """Tracks when this node read the last claim or renewal of a lease.

    `renewed_position` is the position of that record, 0 without a lease.
    """

    renewed_position: int = 0
    observed_ms: int = 0

    def observe(self, lease: _model.Lease | None, now_ms: int) -> None:
        """Record the lease as just read from the fold."""
        renewed_position = lease.renewed if lease else 0
        if renewed_position != self.renewed_position:
            self.renewed_position = renewed_position
            self.observed_ms = now_ms

    def may_claim(self, lease: _model.Lease | None, now_ms: int) -> bool:
        """Tell whether the lease is free or expired, so may be claimed.

        False for a lease with a renewal that was not observed.
        """
        if lease is None:
            return True
        if lease.renewed != self.renewed_position:
            return False
        return challenger_may_claim(
            lease.duration_ms, self.observed_ms, now_ms
        )


@attrs.define
class HeldLease:
    """A lease that this node holds or held, timed by its own clock.

    Created once the claim was read back as accepted.
    """

    resource: str
    epoch: int
    duration_ms: int
    append_started_ms: int
    claim_observed_ms: int

    def record_renewal(self, append_started_ms: int) -> None:
        """Record a renewal that was read back as accepted."""
        self.append_started_ms = max(self.append_started_ms, append_started_ms)

    def is_current(self, lease: _model.Lease | None) -> bool:
        """Tell whether this claim is still the lease's latest claim."""
        return lease is not None and lease.epoch == self.epoch

    def is_unexpired(self, now_ms: int) -> bool:
        """Tell whether the lease is unexpired by this node's own clock."""
        return now_ms < self.append_started_ms + self.duration_ms

    def should_renew(self, now_ms: int) -> bool:
        """Tell whether the next renewal is due."""
        return holder_should_renew(self.append_started_ms, now_ms)

    def may_order(self, lease: _model.Lease | None, now_ms: int) -> bool:
        """Tell whether an order may be sent now.

        To be checked directly before each order.
        """
        return (
            self.is_current(lease)
            and successor_may_order(self.claim_observed_ms, now_ms)
            and holder_may_order(
                self.duration_ms, self.append_started_ms, now_ms
            )
        )
