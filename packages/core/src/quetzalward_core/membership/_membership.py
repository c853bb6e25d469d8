"""One node's knowledge of its peers, kept up to date."""

import itertools
import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.membership import _ages
from quetzalward_core.membership import _codes
from quetzalward_core.membership import _freshness
from quetzalward_core.membership import _merge
from quetzalward_core.membership import _model

# Sizes of a digest's parts. With two exchanges a second a node sends and
# receives eight digests a second; the sum keeps that below 29 KB/s.
MAX_FACT_BYTES = 1_700
MAX_DEMAND_BYTES = 60
MAX_STOPS = 16
# Fields of a fact besides the node's name and its demand, as encoded.
_FACT_OVERHEAD_BYTES = 26
# A node says its demand again at most once in this time. Demand that varies
# by 30% each second filled the digests, and was 10 s old at 95 nodes.
DEMAND_INTERVAL_MS = 5_000
# Peers that were not heard for this long get only a share of the exchanges,
# so that exchanges are not wasted on nodes that failed.
SILENT_MS = 10_000
SILENT_SHARE = 0.125


class Membership:
    """Merges digests and makes new ones; not safe for use by two threads."""

    def __init__(self, own: str) -> None:
        """Know nothing but the own name."""
        self.own = own
        self.members: dict[str, _model.Member] = {}
        self._facts: dict[str, _model.Fact] = {}
        self._ages = _ages.AgeTable(own)
        self._stops: dict[_model.StopKey, int] = {}
        # Facts not sent yet with a new start or configuration, other facts
        # not sent yet, and those sent, longest ago first.
        self._urgent: dict[str, None] = {}
        self._unsent: dict[str, None] = {}
        self._sent: dict[str, None] = {}
        self._said_ms: clock.Millis | None = None

    def set_members(self, members: typing.Mapping[str, _model.Member]) -> None:
        """Take over the nodes of the fold and drop all others."""
        self.members = dict(members)
        kept = _merge.retain(self.knowledge(), self.members)
        self._facts = dict(kept.facts_by_node)
        self._ages.set_members(self.members)
        for queue in (self._urgent, self._unsent, self._sent):
            for node in queue.keys() - self._facts.keys():
                del queue[node]

    def set_own(
        self,
        revision: int,
        demand_by_customer: typing.Mapping[str, _codes.Demand],
        now_ms: clock.Millis,
    ) -> None:
        """Say what this node has in force and what its customers want.

        Demand is not said again while the amounts stay about the same, nor
        sooner than `DEMAND_INTERVAL_MS`.
        """
        member = self.members.get(self.own)
        if member is None:
            return
        demand = _codes.pack_demand(demand_by_customer, MAX_DEMAND_BYTES)
        old = self._facts.get(self.own)
        same_start = old is not None and old.generation == member.joined
        if old and same_start and old.revision == revision:
            early = now_ms - (self._said_ms or 0) < DEMAND_INTERVAL_MS
            if early or not _codes.demand_differs(old.demand, demand):
                return
        self._said_ms = now_ms
        version = old.version + 1 if old and same_start else 1
        self._put_fact(
            self.own, _model.Fact(member.joined, version, revision, demand)
        )

    def add_stop(self, kind: _model.StopKind, name: str, basis: int) -> None:
        """Note a stop order that reached this node directly."""
        key = _model.StopKey(kind, name)
        self._stops[key] = max(basis, self._stops.get(key, basis))
        self._stops = _merge.bound_stops(self._stops, MAX_STOPS)

    def drop_stops(
        self, ended: typing.Callable[[_model.StopKey, int], bool]
    ) -> None:
        """Forget stop orders that a later start on the log has ended."""
        self._stops = {
            key: basis
            for key, basis in self._stops.items()
            if not ended(key, basis)
        }

    def stops(self) -> dict[_model.StopKey, int]:
        """Return the basis of each stop order."""
        return dict(self._stops)

    def knowledge(self) -> _model.Knowledge:
        """Return everything that is known."""
        return _model.Knowledge(
            dict(self._facts),
            self._ages.heard_ms_by_node(),
            dict(self._stops),
        )

    def digest(self, now_ms: clock.Millis) -> _model.Digest:
        """Return the next digest; its size is bounded."""
        keys, ages = self._ages.pack(now_ms)
        chosen = {}
        size = 0
        for node in itertools.chain(self._urgent, self._unsent, self._sent):
            fact = self._facts[node]
            size += len(node) + len(fact.demand) + _FACT_OVERHEAD_BYTES
            if size > MAX_FACT_BYTES:
                break
            chosen[node] = fact
        for node in chosen:
            self._urgent.pop(node, None)
            self._unsent.pop(node, None)
            self._sent.pop(node, None)
            self._sent[node] = None
        return _model.Digest(self.own, keys, ages, chosen, self.stops())

    def receive(self, digest: _model.Digest, as_of_ms: clock.Millis) -> None:
        """Merge a digest.

        `as_of_ms` must not be after the moment it was written: the time a
        request was sent for its answer.
        """
        self.receive_facts(digest)
        self._ages.note(digest.age_keys, digest.ages, as_of_ms)

    def receive_facts(self, digest: _model.Digest) -> None:
        """Merge a digest whose age is not known, without its ages."""
        for node, fact in digest.facts_by_node.items():
            member = self.members.get(node)
            if node == self.own or member is None:
                continue
            known = self._facts.get(node)
            if fact.generation >= member.joined:
                if known is None or fact > known:
                    self._put_fact(node, fact)
        for key, basis in digest.basis_by_stop.items():
            self.add_stop(key.kind, key.name, basis)

    def _put_fact(self, node: str, fact: _model.Fact) -> None:
        """Keep a new fact, to be sent before those that were sent.

        An unsent fact keeps its turn, so that a fact that changes often
        cannot keep others from being sent.
        """
        old = self._facts.get(node)
        self._facts[node] = fact
        self._sent.pop(node, None)
        same = old is not None and (
            (old.generation, old.revision) == (fact.generation, fact.revision)
        )
        if not same:
            self._unsent.pop(node, None)
            self._urgent[node] = None
        elif node not in self._urgent:
            self._unsent[node] = None

    def choose_peers(
        self, count: int, now_ms: clock.Millis, rng: random.Random
    ) -> list[str]:
        """Return peers for the next exchanges, at random."""
        others = [node for node in sorted(self.members) if node != self.own]
        heard_ms = self._ages.heard_ms_by_node()
        lively = [
            node
            for node in others
            if now_ms - heard_ms.get(node, -SILENT_MS) <= SILENT_MS
        ]
        from_all = sum(rng.random() < SILENT_SHARE for _ in range(count))
        wanted = min(count - from_all, len(lively))
        chosen = rng.sample(lively, wanted)
        taken = set(chosen)
        rest = [node for node in others if node not in taken]
        missing = min(count - wanted, len(rest))
        return chosen + rng.sample(rest, missing)

    def is_isolated(
        self,
        head_age_ms: clock.Millis,
        now_ms: clock.Millis,
        mode: str = _freshness.MAJORITY,
    ) -> bool:
        """Tell whether this node must refuse new work."""
        return _freshness.is_isolated(
            self.own,
            self.members,
            self._ages.heard_ms_by_node(),
            head_age_ms,
            now_ms,
            mode,
        )

    def revision_by_node(self) -> dict[str, int]:
        """Return the configuration in force at each node that said so."""
        return {node: fact.revision for node, fact in self._facts.items()}

    def demand_by_node(self, customer: str) -> dict[str, _codes.Demand]:
        """Return one customer's demand at every node that reported any."""
        key = _codes.customer_key(customer)
        found = {}
        for node, fact in self._facts.items():
            demand = _codes.unpack_demand(fact.demand).get(key)
            if demand is not None:
                found[node] = demand
        return found


@attrs.define
class InFlight:
    """Requests in flight per target, for this node's own use.

    They are not sent to peers: their volume grows with nodes times targets.
    """

    count_by_target: dict[str, int] = attrs.field(factory=dict)

    def start(self, target: str) -> None:
        """Count one more request."""
        count = self.count_by_target.get(target, 0)
        self.count_by_target[target] = count + 1

    def end(self, target: str) -> None:
        """Count one request less."""
        count = self.count_by_target.get(target, 0)
        if count > 1:
            self.count_by_target[target] = count - 1
        else:
            self.count_by_target.pop(target, None)
