"""The lease of one availability zone's group manager."""

import hashlib

import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_node import interfaces

_LOG = logbook.Logger("groups.lease")
APPEND_DEADLINE_MS = 2_000
# Nodes claim one after the other, so that a free lease does not cost an
# append from each of them; a claim is seen by the others within this time.
CLAIM_STEP_MS = 300
MAX_CLAIM_STEPS = 20
# Nodes of other zones leave the claim to the nodes of the zone for this long.
OTHER_ZONE_DELAY_MS = 5_000


def resource_of(zone: str) -> str:
    """Return the name of a zone's lease."""
    return f"groups/{zone}"


def claim_delay_ms(
    view: agreement.ControlView, zone: str, node: str, own_zone: str
) -> clocks.Millis:
    """Return how long a node leaves a free lease to others.

    Nodes are ordered by a hash with the zone, so that one node does not hold
    the leases of several zones.
    """

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{zone}\0{name}".encode()).digest()

    rivals = [
        other.name
        for other in view.nodes_by_name.values()
        if other.zone == own_zone and other.name != node
    ]
    rank = sum(weight(name) > weight(node) for name in rivals)
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
        """Start without the lease."""
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
        # Start of the oldest claim whose fate is unknown, if any, and the
        # renewal that it named. Counting from a later claim would let two
        # holders overlap if the older one was the one that landed.
        self._claim_started_ms: clocks.Millis | None = None
        self._claim_expected = 0

    @property
    def epoch(self) -> int:
        """Return the epoch of the held lease, or 0."""
        return self._held.epoch if self._held else 0

    def may_order(self) -> bool:
        """Tell whether an order or record may be sent right now."""
        return self._held is not None and self._held.may_order(
            self._current(), self._clock.now_ms()
        )

    def maintain(self) -> None:
        """Renew, notice a loss, or claim if the lease is free."""
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
        mine = lease is not None and lease.holder == self._log.writer()
        if lease and not mine and lease.renewed != self._claim_expected:
            self._claim_started_ms = None
        if lease and mine and self._claim_started_ms is not None:
            self._adopt(lease, self._claim_started_ms)
        elif self._lease_observer.may_claim(lease, now_ms):
            self._claim_when_due(lease, now_ms)
        else:
            self._free_since_ms = None

    def release(self, pause_ms: clocks.Millis = 0) -> None:
        """Give the lease up, so that a successor need not wait for it.

        This node does not claim it again before the pause is over.
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
        """Return the lease as the fold has it."""
        return self._log.state().leases_by_resource.get(self.resource)

    def _append(self, entry: agreement.Entry) -> bool:
        """Append one entry; true if it was read back as accepted."""
        deadline_ms = self._clock.now_ms() + APPEND_DEADLINE_MS
        try:
            results = self._log.append([entry], deadline_ms)
        except errors.QuetzalwardError as error:
            _LOG.debug("{}: {}", self.resource, error)
            return False
        return isinstance(results[0], agreement.Accepted)

    def _renew(self, held: agreement.HeldLease) -> None:
        """Extend the lease, counting from before the append."""
        started_ms = self._clock.now_ms()
        entry = agreement.LeaseRenewed(
            self.resource, self._log.writer(), held.epoch
        )
        if self._append(entry):
            held.record_renewal(started_ms)

    def _claim_when_due(
        self, lease: agreement.Lease | None, now_ms: clocks.Millis
    ) -> None:
        """Claim once this node's turn has come."""
        if self._free_since_ms is None:
            self._free_since_ms = now_ms
        delay_ms = claim_delay_ms(
            self._log.state(), self.zone, self._node, self._own_zone
        )
        delay_over = now_ms - self._free_since_ms >= delay_ms
        if not delay_over or now_ms < self._paused_until_ms:
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
            self._adopt(current, self._claim_started_ms)

    def _adopt(
        self, lease: agreement.Lease, started_ms: clocks.Millis
    ) -> None:
        """Hold a lease that the fold says this process claimed.

        A lease of this process without a claim of this object, such as one
        whose release failed, runs out like another node's.
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
