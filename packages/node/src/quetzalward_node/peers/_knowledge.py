"""Thread-safe view of the cluster membership as this node knows it."""

import random
import threading
import typing

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import membership
from quetzalward_node import interfaces
from quetzalward_node.peers import _channels
from quetzalward_node.peers import _codec

# The ages in a request are corrected by this much: its sender times out after
# the same time, so the request cannot have been in flight for longer.
EXCHANGE_TIMEOUT_MS = 500
# Requests that arrive while the process is paused wait in its socket buffers
# and look new afterwards. If the time between two rounds exceeds the
# threshold, only responses count as proof of life during the recovery time.
PAUSE_THRESHOLD_MS = 2_500
PAUSE_RECOVERY_MS = 5_000
# Exchanges use a small, slowly changing set of peers, because opening a
# connection costs more than the exchange itself.
ACTIVE_PEERS = 16
REPLACEMENT_INTERVAL_ROUNDS = 5
EXCHANGES_PER_ROUND = 2


class SharedMembership:
    """A `Membership` kept in step with the fold and guarded by one lock."""

    def __init__(
        self,
        name: str,
        log: interfaces.ControlLog,
        clock: clocks.Clock,
        mode: str,
        rng: random.Random,
    ) -> None:
        """Start with the fold's nodes; `mode` is `serve_without_log`."""
        self._name = name
        self._log = log
        self._clock = clock
        self._mode = mode
        self._rng = rng
        # Guards everything below.
        self._lock = threading.Lock()
        self._membership = membership.Membership(name)
        self._nodes: typing.Mapping[str, agreement.Node] = {}
        self._active: list[str] = []
        self._sequence = 0
        self._last_number_by_sender: dict[str, tuple[int, int]] = {}
        self._round_started_ms = clock.now_ms()
        self._responses_only_until_ms = self._round_started_ms
        self._rounds = 0

    def isolated(self) -> bool:
        """Return whether this node must refuse new work."""
        head_age_ms = self._log.head_age_ms()
        if head_age_ms <= membership.FRESHNESS_LIMIT_MS:
            return False
        with self._lock:
            self._sync_with_fold()
            return self._membership.is_isolated(
                head_age_ms, self._clock.now_ms(), self._mode
            )

    def zone_stopped(self, zone: str) -> bool:
        """Return whether the log or a direct stop order takes a zone out."""
        state = self._log.state().zones_by_name.get(zone)
        out = state is not None and state.state == "out"
        last_start = state.changed if state and not out else 0
        key = membership.StopKey(membership.StopKind.ZONE, zone)
        return self._stopped(key, last_start, out)

    def target_stopped(self, target: str) -> bool:
        """Return whether the log or a direct stop order drains a target."""
        drain = self._log.state().drains_by_target.get(target)
        draining = drain is not None and drain.draining
        last_start = drain.changed if drain and not draining else 0
        key = membership.StopKey(membership.StopKind.TARGET, target)
        return self._stopped(key, last_start, draining)

    def stops(self) -> dict[membership.StopKey, int]:
        """Return the basis of each stop order that no later start ended."""
        with self._lock:
            self._sync_with_fold()
            return self._membership.stops()

    def heard_age_ms_by_node(self) -> dict[str, clocks.Millis]:
        """Return the time since any node last heard from each other node."""
        with self._lock:
            self._sync_with_fold()
            now_ms = self._clock.now_ms()
            heard = self._membership.knowledge().last_heard_ms_by_node
            return {node: now_ms - at_ms for node, at_ms in heard.items()}

    def revision_by_node(self) -> dict[str, int]:
        """Return the configuration revision in force, by reporting node."""
        with self._lock:
            return self._membership.revision_by_node()

    def demand_by_node(self, customer: str) -> dict[str, membership.Demand]:
        """Return one customer's demand, by reporting node."""
        with self._lock:
            return self._membership.demand_by_node(customer)

    def add_stop(
        self, kind: membership.StopKind, name: str, basis: int
    ) -> bool:
        """Add an operator's stop order; return whether it is in force."""
        with self._lock:
            self._membership.add_stop(kind, name, basis)
        if kind is membership.StopKind.ZONE:
            return self.zone_stopped(name)
        return self.target_stopped(name)

    def begin_round(
        self, demand_by_customer: typing.Mapping[str, membership.Demand]
    ) -> list[_channels.Peer]:
        """Update this node's own fact and return the peers of this round."""
        with self._lock:
            now_ms = self._clock.now_ms()
            if now_ms - self._round_started_ms > PAUSE_THRESHOLD_MS:
                self._responses_only_until_ms = now_ms + PAUSE_RECOVERY_MS
            self._round_started_ms = now_ms
            self._sync_with_fold()
            revision = self._log.state().config_revision
            self._membership.update_own_fact(
                revision, demand_by_customer, now_ms
            )
            return self._choose_peers(now_ms)

    def encode_request(self) -> bytes:
        """Return the encoded digest that starts an exchange."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return self._encode(self._membership.request(now_ms))

    def merge_response(
        self, numbered: _codec.NumberedDigest, sent_ms: clocks.Millis
    ) -> None:
        """Merge the response to a request that was sent at `sent_ms`."""
        with self._lock:
            self._membership.receive(numbered.digest, sent_ms)

    def merge_request(
        self, sender: str, numbered: _codec.NumberedDigest
    ) -> bytes:
        """Merge a peer's digest and return the encoded response."""
        with self._lock:
            now_ms = self._clock.now_ms()
            self._sync_with_fold()
            if self._ages_trusted(sender, numbered, now_ms):
                self._membership.receive(
                    numbered.digest, now_ms - EXCHANGE_TIMEOUT_MS
                )
            else:
                self._membership.receive_undated(numbered.digest)
            response = self._membership.answer(numbered.digest, now_ms)
            return self._encode(response)

    def drop_active_peer(self, node: str) -> None:
        """Remove an unresponsive peer from the active set."""
        with self._lock:
            if node in self._active:
                self._active.remove(node)

    def _stopped(
        self, key: membership.StopKey, last_start: int, stopped_in_fold: bool
    ) -> bool:
        with self._lock:
            basis = self._membership.stops().get(key)
        if basis is None:
            return stopped_in_fold
        return membership.stop_in_force(basis, last_start, stopped_in_fold)

    def _choose_peers(self, now_ms: clocks.Millis) -> list[_channels.Peer]:
        """Update the active set and return a random sample of it."""
        members = self._membership.members
        self._active = [node for node in self._active if node in members]
        self._rounds += 1
        if self._rounds % REPLACEMENT_INTERVAL_ROUNDS == 0 and self._active:
            self._active.pop(0)
        wanted = ACTIVE_PEERS - len(self._active)
        if wanted > 0:
            for node in self._membership.choose_peers(
                ACTIVE_PEERS, now_ms, self._rng
            ):
                if node not in self._active and wanted > 0:
                    self._active.append(node)
                    wanted -= 1
        count = min(EXCHANGES_PER_ROUND, len(self._active))
        return [
            _channels.Peer(node, self._nodes[node].peers)
            for node in self._rng.sample(self._active, count)
        ]

    def _sync_with_fold(self) -> None:
        """Update the members and drop ended stop orders, as in the fold."""
        view = self._log.state()
        if view.nodes_by_name is not self._nodes:
            self._nodes = view.nodes_by_name
            self._membership.set_members(
                {
                    node.name: membership.Member(node.joined, node.region)
                    for node in view.nodes_by_name.values()
                }
            )
            self._last_number_by_sender = {
                sender: last
                for sender, last in self._last_number_by_sender.items()
                if sender in view.nodes_by_name
            }
        self._membership.drop_stops(
            lambda key, basis: _stop_order_ended(view, key, basis)
        )

    def _encode(self, digest: membership.Digest) -> bytes:
        """Assign the next sequence number and return the encoded digest."""
        self._sequence += 1
        own = self._membership.members.get(self._name)
        generation = own.joined if own else 0
        return _codec.encode_digest(
            _codec.NumberedDigest(digest, generation, self._sequence)
        )

    def _ages_trusted(
        self,
        sender: str,
        numbered: _codec.NumberedDigest,
        now_ms: clocks.Millis,
    ) -> bool:
        """Return whether the ages in a request can be trusted.

        They cannot after a pause of this process, nor if the request repeats
        an earlier one.
        """
        number = (numbered.generation, numbered.sequence)
        if number <= self._last_number_by_sender.get(sender, (0, 0)):
            return False
        if sender in self._membership.members:
            self._last_number_by_sender[sender] = number
        paused = now_ms - self._round_started_ms > PAUSE_THRESHOLD_MS
        return not paused and now_ms >= self._responses_only_until_ms


def _stop_order_ended(
    view: agreement.ControlView, key: membership.StopKey, basis: int
) -> bool:
    """Return whether a later start on the log ended a stop order."""
    if key.kind is membership.StopKind.ZONE:
        zone = view.zones_by_name.get(key.name)
        return zone is not None and zone.state == "in" and zone.changed > basis
    drain = view.drains_by_target.get(key.name)
    return drain is not None and not drain.draining and drain.changed > basis
