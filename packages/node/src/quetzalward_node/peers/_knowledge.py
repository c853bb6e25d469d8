"""This node's knowledge of its peers, shared by threads."""

import random
import threading
import typing

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import membership
from quetzalward_node import interfaces
from quetzalward_node.peers import _channels
from quetzalward_node.peers import _codec

# A digest in a request counts as this much older than its receipt: its sender
# gives up after the same time, so that it cannot have been under way longer.
EXCHANGE_TIMEOUT_MS = 500
# After a pause of the process, requests that arrived during the pause lie in
# its buffers and look new. For a while only answers prove that a peer lives.
PAUSE_MS = 2_500
AFTER_PAUSE_MS = 5_000
# Exchanges stay among a few peers that change slowly, because opening a
# connection for each costs more than the exchange.
ACTIVE_PEERS = 16
REPLACE_ROUNDS = 5
EXCHANGES_PER_ROUND = 2


class SharedMembership:
    """A `Membership` that follows the fold, behind one lock."""

    def __init__(
        self,
        name: str,
        log: interfaces.ControlLog,
        clock: clocks.Clock,
        mode: str,
        rng: random.Random,
    ) -> None:
        """Know nothing but the fold; `mode` is `serve_without_log`."""
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
        self._last_by_sender: dict[str, tuple[int, int]] = {}
        self._round_ms = clock.now_ms()
        self._answers_only_until_ms = self._round_ms
        self._rounds = 0

    def isolated(self) -> bool:
        """Tell whether this node must refuse new work."""
        head_age_ms = self._log.head_age_ms()
        if head_age_ms <= membership.FRESHNESS_LIMIT_MS:
            return False
        with self._lock:
            self._follow_fold()
            return self._membership.is_isolated(
                head_age_ms, self._clock.now_ms(), self._mode
            )

    def zone_stopped(self, zone: str) -> bool:
        """Tell whether a zone is out, by the log or by a direct order."""
        state = self._log.state().zones_by_name.get(zone)
        out = state is not None and state.state == "out"
        started = state.changed if state and not out else 0
        key = membership.StopKey(membership.StopKind.ZONE, zone)
        return self._stopped(key, started, out)

    def target_stopped(self, target: str) -> bool:
        """Tell whether a target drains, by the log or by a direct order."""
        drain = self._log.state().drains_by_target.get(target)
        draining = drain is not None and drain.draining
        started = drain.changed if drain and not draining else 0
        key = membership.StopKey(membership.StopKind.TARGET, target)
        return self._stopped(key, started, draining)

    def stops(self) -> dict[membership.StopKey, int]:
        """Return the basis of each stop order that no start has ended."""
        with self._lock:
            self._follow_fold()
            return self._membership.stops()

    def heard_age_ms_by_node(self) -> dict[str, clocks.Millis]:
        """Return the time since each other node was last heard by anyone."""
        with self._lock:
            self._follow_fold()
            now_ms = self._clock.now_ms()
            heard = self._membership.knowledge().last_heard_ms_by_node
            return {node: now_ms - at_ms for node, at_ms in heard.items()}

    def revision_by_node(self) -> dict[str, int]:
        """Return the configuration in force at each node that said so."""
        with self._lock:
            return self._membership.revision_by_node()

    def demand_by_node(self, customer: str) -> dict[str, membership.Demand]:
        """Return one customer's demand at every node that reported any."""
        with self._lock:
            return self._membership.demand_by_node(customer)

    def add_stop(
        self, kind: membership.StopKind, name: str, basis: int
    ) -> bool:
        """Take a stop order from an operator; true if it is in force."""
        with self._lock:
            self._membership.add_stop(kind, name, basis)
        if kind is membership.StopKind.ZONE:
            return self.zone_stopped(name)
        return self.target_stopped(name)

    def begin_round(
        self, demand_by_customer: typing.Mapping[str, membership.Demand]
    ) -> list[_channels.Peer]:
        """Note what this node says of itself, and return whom to call."""
        with self._lock:
            now_ms = self._clock.now_ms()
            if now_ms - self._round_ms > PAUSE_MS:
                self._answers_only_until_ms = now_ms + AFTER_PAUSE_MS
            self._round_ms = now_ms
            self._follow_fold()
            revision = self._log.state().config_revision
            self._membership.update_own_fact(
                revision, demand_by_customer, now_ms
            )
            return self._choose(now_ms)

    def next_request(self) -> bytes:
        """Return the digest that begins an exchange, encoded."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return self._encoded(self._membership.request(now_ms))

    def receive_answer(
        self, numbered: _codec.NumberedDigest, sent_ms: clocks.Millis
    ) -> None:
        """Merge the answer to a request that was sent at a time."""
        with self._lock:
            self._membership.receive(numbered.digest, sent_ms)

    def receive_request(
        self, sender: str, numbered: _codec.NumberedDigest
    ) -> bytes:
        """Merge a peer's digest and return the answer."""
        with self._lock:
            now_ms = self._clock.now_ms()
            self._follow_fold()
            if self._ages_count(sender, numbered, now_ms):
                self._membership.receive(
                    numbered.digest, now_ms - EXCHANGE_TIMEOUT_MS
                )
            else:
                self._membership.receive_undated(numbered.digest)
            answer = self._membership.answer(numbered.digest, now_ms)
            return self._encoded(answer)

    def forget_active(self, node: str) -> None:
        """Replace an active peer that does not answer."""
        with self._lock:
            if node in self._active:
                self._active.remove(node)

    def _stopped(
        self, key: membership.StopKey, started: int, stopped_in_fold: bool
    ) -> bool:
        with self._lock:
            basis = self._membership.stops().get(key)
        if basis is None:
            return stopped_in_fold
        return membership.stop_in_force(basis, started, stopped_in_fold)

    def _choose(self, now_ms: clocks.Millis) -> list[_channels.Peer]:
        """Return the peers of this round."""
        known = self._membership.members
        self._active = [node for node in self._active if node in known]
        self._rounds += 1
        if self._rounds % REPLACE_ROUNDS == 0 and self._active:
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

    def _follow_fold(self) -> None:
        """Take over the fold's nodes and ended stop orders."""
        view = self._log.state()
        if view.nodes_by_name is not self._nodes:
            self._nodes = view.nodes_by_name
            self._membership.set_members(
                {
                    node.name: membership.Member(node.joined, node.region)
                    for node in view.nodes_by_name.values()
                }
            )
            self._last_by_sender = {
                sender: last
                for sender, last in self._last_by_sender.items()
                if sender in view.nodes_by_name
            }
        self._membership.drop_stops(
            lambda key, basis: _ended(view, key, basis)
        )

    def _encoded(self, digest: membership.Digest) -> bytes:
        """Return a digest with its number, encoded."""
        self._sequence += 1
        own = self._membership.members.get(self._name)
        generation = own.joined if own else 0
        return _codec.encode_digest(
            _codec.NumberedDigest(digest, generation, self._sequence)
        )

    def _ages_count(
        self,
        sender: str,
        numbered: _codec.NumberedDigest,
        now_ms: clocks.Millis,
    ) -> bool:
        """Tell whether the ages of a request are trustworthy.

        They are not after a pause of this process, nor if the request is a
        repeat of an earlier one.
        """
        number = (numbered.generation, numbered.sequence)
        if number <= self._last_by_sender.get(sender, (0, 0)):
            return False
        if sender in self._membership.members:
            self._last_by_sender[sender] = number
        paused = now_ms - self._round_ms > PAUSE_MS
        return not paused and now_ms >= self._answers_only_until_ms


def _ended(
    view: agreement.ControlView, key: membership.StopKey, basis: int
) -> bool:
    """Tell whether a start on the log has ended a stop order."""
    if key.kind is membership.StopKind.ZONE:
        zone = view.zones_by_name.get(key.name)
        return zone is not None and zone.state == "in" and zone.changed > basis
    drain = view.drains_by_target.get(key.name)
    return drain is not None and not drain.draining and drain.changed > basis
