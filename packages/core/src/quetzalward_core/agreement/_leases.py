"""When a lease's holder may act, and when a challenger may claim.

The holder counts from before its append, the others from when they read the
record, and they add a margin for clocks of different rates. All times are
monotonic milliseconds of the caller's own clock.
"""

import attrs

from quetzalward_core.agreement import _model

LEASE_DURATION_MS = 10_000
RENEW_INTERVAL_MS = 3_000
# Clocks of two hosts may differ in rate by this much.
RATE_MARGIN_PERCENT = 5
# An order is sent only with this much of the lease left, and times out after
# the same time, so that it ends before the lease does.
ORDER_TIMEOUT_MS = 2_000
# An engine may act on an order this long after it was sent.
ORDER_LIFETIME_MS = 5_000


def with_margin(duration_ms: int) -> int:
    """Return a duration, longer by the margin, rounded up."""
    return duration_ms + -(-duration_ms * RATE_MARGIN_PERCENT // 100)


def challenger_may_claim(duration_ms: int, seen_ms: int, now_ms: int) -> bool:
    """Tell whether a lease whose renewal was read at `seen_ms` ran out."""
    return now_ms >= seen_ms + with_margin(duration_ms)


def holder_may_order(
    duration_ms: int, append_started_ms: int, now_ms: int
) -> bool:
    """Tell whether enough of the lease is left for one order.

    `append_started_ms` is before the first attempt to append the last claim
    or renewal that was read back.
    """
    left_ms = append_started_ms + duration_ms - now_ms
    return left_ms >= ORDER_TIMEOUT_MS


def holder_should_renew(append_started_ms: int, now_ms: int) -> bool:
    """Tell whether the next renewal is due."""
    return now_ms >= append_started_ms + RENEW_INTERVAL_MS


def successor_may_order(claim_seen_ms: int, now_ms: int) -> bool:
    """Tell whether orders of an earlier holder have run out."""
    return now_ms >= claim_seen_ms + with_margin(ORDER_LIFETIME_MS)


@attrs.define
class LeaseWatch:
    """When this node read the last renewal of one lease."""

    renewed: int = 0
    seen_ms: int = 0

    def observe(self, lease: _model.Lease | None, now_ms: int) -> None:
        """Note the lease as just read from the fold."""
        renewed = lease.renewed if lease else 0
        if renewed != self.renewed:
            self.renewed = renewed
            self.seen_ms = now_ms

    def may_claim(self, lease: _model.Lease | None, now_ms: int) -> bool:
        """Tell whether to claim the lease that was last observed."""
        if lease is None:
            return True
        if lease.renewed != self.renewed:
            return False
        return challenger_may_claim(lease.duration_ms, self.seen_ms, now_ms)


@attrs.define
class HeldLease:
    """This node's own view of a lease that it holds or held.

    Built when the claim was read back as accepted.
    """

    resource: str
    epoch: int
    duration_ms: int
    append_started_ms: int
    claim_seen_ms: int

    def renewed(self, append_started_ms: int) -> None:
        """Note a renewal that was read back as accepted."""
        self.append_started_ms = max(self.append_started_ms, append_started_ms)

    def current(self, lease: _model.Lease | None) -> bool:
        """Tell whether the fold still names this claim."""
        return lease is not None and lease.epoch == self.epoch

    def held(self, now_ms: int) -> bool:
        """Tell whether the lease lasts, by this node's own clock alone."""
        return now_ms < self.append_started_ms + self.duration_ms

    def should_renew(self, now_ms: int) -> bool:
        """Tell whether the next renewal is due."""
        return holder_should_renew(self.append_started_ms, now_ms)

    def may_order(self, lease: _model.Lease | None, now_ms: int) -> bool:
        """Check directly before each order whether it may be sent."""
        return (
            self.current(lease)
            and successor_may_order(self.claim_seen_ms, now_ms)
            and holder_may_order(
                self.duration_ms, self.append_started_ms, now_ms
            )
        )
