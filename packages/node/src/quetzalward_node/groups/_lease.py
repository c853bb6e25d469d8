"""Lease of the group manager of an availability zone."""

import hashlib

import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_node import interfaces

_LOG = logbook.Logger("groups.lease")
APPEND_DEADLINE_MS = 2_000
# Nodes claim a free lease one after the other, so that not every node appends
# a claim. A claim is visible to the other nodes within this time.
CLAIM_STEP_MS = 300
MAX_CLAIM_STEPS = 20
# Additional delay for nodes of other zones, so that nodes of the zone itself
# claim first.
OTHER_ZONE_DELAY_MS = 5_000


def resource_of(zone: str) -> str:
    """Return the resource name of a zone's lease."""
    return f"groups/{zone}"


def claim_delay_ms(
    view: agreement.ControlView, zone: str, node: str, own_zone: str
) -> clocks.Millis:
    """Return how long a node waits before it claims a free lease.

    Nodes are ranked by a hash of zone and name (rendezvous hashing), so that
    the leases of several zones are spread over the nodes.
    """

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{zone}\0{name}".encode()).digest()

    other_names = [
        other.name
        for other in view.nodes_by_name.values()
        if other.zone == own_zone and other.name != node
    ]
    rank = sum(weight(name) > weight(node) for name in other_names)
    delay_ms = min(rank, MAX_CLAIM_STEPS) * CLAIM_STEP_MS
    return delay_ms + (0 if own_zone == zone else OTHER_ZONE_DELAY_MS)


class ZoneLease:
    """Claims, renews, checks and releases one zone's lease."""

    def __init__(
        self,
        log: interfaces.ControlLog,
        clock: clocks.Clock,
        zone: str,
        node: str,
        own_zone: str,
    ) -> None:
        """Create the state without the lease."""
        self.zone = zone
        self.resource = resource_of(zone)
        self._log = log
        self._clock = clock
        self._node = node
        self._own_zone = own_zone
        self._lease_observer = agreement.LeaseObserver()
        self._held: agreement.HeldLease | None = None
        self._free_since_ms: clocks.Millis | None = None
        self._paused_until_ms = clock.now_ms()
        # Start of the oldest claim whose outcome is unknown, if any, and the
        # renewal that it referred to. If the duration counted from a later
        # claim and the older one took effect, two holders could overlap.
        self._claim_started_ms: clocks.Millis | None = None
        self._claim_expected = 0

    @property
    def epoch(self) -> int:
        """Return the epoch of the held lease, or 0 if it is not held."""
        return self._held.epoch if self._held else 0

    def may_order(self) -> bool:
        """Return whether an order or record may be sent now."""
        return self._held is not None and self._held.may_order(
            self._current(), self._clock.now_ms()
        )

    def maintain(self) -> None:
        """Renew the lease, detect its loss, or claim it if it is free."""
        now_ms = self._clock.now_ms()
        lease = self._current()
        self._lease_observer.observe(lease, now_ms)
        if self._held and not self._held.is_current(lease):
            _LOG.info("{}: lease lost", self.resource)
            self._held = None
        if self._held:
            if self._held.should_renew(now_ms):
                self._renew(self._held)
            return
        is_holder = lease is not None and lease.holder == self._log.writer()
        if lease and not is_holder and lease.renewed != self._claim_expected:
            self._claim_started_ms = None
        if lease and is_holder and self._claim_started_ms is not None:
            self._hold(lease, self._claim_started_ms)
        elif self._lease_observer.may_claim(lease, now_ms):
            self._claim_when_due(lease, now_ms)
        else:
            self._free_since_ms = None

    def release(self, pause_ms: clocks.Millis = 0) -> None:
        """Release the lease, so that a successor need not wait for its expiry.

        This node does not claim it again for `pause_ms`.
        """
        if self._held is None:
            return
        self._paused_until_ms = self._clock.now_ms() + pause_ms
        entry = agreement.LeaseReleased(
            self.resource, self._log.writer(), self._held.epoch
        )
        self._held = None
        self._append(entry)

    def _current(self) -> agreement.Lease | None:
        """Return the lease in the fold."""
        return self._log.state().leases_by_resource.get(self.resource)

    def _append(self, entry: agreement.Entry) -> bool:
        """Append an entry; return whether it was read back as accepted."""
        deadline_ms = self._clock.now_ms() + APPEND_DEADLINE_MS
        try:
            results = self._log.append([entry], deadline_ms)
        except errors.QuetzalwardError as error:
            _LOG.debug(
                "{}: lease record not appended: {}", self.resource, error
            )
            return False
        return isinstance(results[0], agreement.Accepted)

    def _renew(self, held: agreement.HeldLease) -> None:
        """Renew the lease; its duration counts from before the append."""
        started_ms = self._clock.now_ms()
        entry = agreement.LeaseRenewed(
            self.resource, self._log.writer(), held.epoch
        )
        if self._append(entry):
            held.record_renewal(started_ms)

    def _claim_when_due(
        self, lease: agreement.Lease | None, now_ms: clocks.Millis
    ) -> None:
        """Claim the lease once this node's claim delay is over."""
        if self._free_since_ms is None:
            self._free_since_ms = now_ms
        delay_ms = claim_delay_ms(
            self._log.state(), self.zone, self._node, self._own_zone
        )
        delay_elapsed = now_ms - self._free_since_ms >= delay_ms
        if not delay_elapsed or now_ms < self._paused_until_ms:
            return
        expected = lease.renewed if lease else 0
        if self._claim_started_ms is None or expected != self._claim_expected:
            self._claim_started_ms = now_ms
        self._claim_expected = expected
        self._append(
            agreement.LeaseClaimed(
                self.resource,
                self._log.writer(),
                expected,
                agreement.LEASE_DURATION_MS,
            )
        )
        current = self._current()
        if current and current.holder == self._log.writer():
            self._hold(current, self._claim_started_ms)

    def _hold(self, lease: agreement.Lease, started_ms: clocks.Millis) -> None:
        """Hold a lease that this process has according to the fold.

        A lease of this process that this object did not claim, such as one
        whose release failed, is left to expire like that of another node.
        """
        _LOG.info("{}: lease claimed, epoch {}", self.resource, lease.epoch)
        self._held = agreement.HeldLease(
            self.resource,
            lease.epoch,
            lease.duration_ms,
            started_ms,
            self._clock.now_ms(),
        )
        self._claim_started_ms = None
        self._free_since_ms = None
