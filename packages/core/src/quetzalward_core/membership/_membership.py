"""One node's knowledge of its peers, kept up to date."""

import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.membership import _ages
from quetzalward_core.membership import _codes
from quetzalward_core.membership import _freshness
from quetzalward_core.membership import _in_force
from quetzalward_core.membership import _index
from quetzalward_core.membership import _merge
from quetzalward_core.membership import _model

# Sizes of a digest's parts. Each second a node takes part in four exchanges,
# two of its own and two of others; the sum keeps them below 29 KB.
MAX_FACT_BYTES = 3_600
MAX_DEMAND_BYTES = 60
MAX_STOPS = 16
# Fields of a fact besides the node's name and its demand, as encoded.
_FACT_OVERHEAD_BYTES = 26
# A node says its demand again at most once in this time. Demand that varies
# by 30% each second would fill the answers.
DEMAND_INTERVAL_MS = 5_000
# Peers that were not heard for this long get only a share of the exchanges,
# so that exchanges are not wasted on nodes that failed.
SILENT_MS = 10_000
SILENT_SHARE = 0.125
# Versions are sent as numbers from 1 to this one, over and over; 0 means that
# the sender knows nothing of the node.
_VERSION_CODES = 255


def _version_code(version: int) -> int:
    return 1 + version % _VERSION_CODES


def _is_later(code: int, known: int) -> bool:
    """Tell whether a version code is likely later than another one.

    A difference of half the codes or more is taken for an earlier version;
    the receiver compares whole versions.
    """
    if known == 0:
        return code != 0
    return 0 < (code - known) % _VERSION_CODES <= _VERSION_CODES // 2


class Membership:
    """Merges digests and makes new ones; not safe for use by two threads."""

    def __init__(self, own: str) -> None:
        """Know nothing but the own name."""
        self.own = own
        self.members: dict[str, _model.Member] = {}
        self._index = _index.NodeIndex()
        self._facts: dict[str, _model.Fact] = {}
        self._versions = bytearray()
        self._ages = _ages.AgeTable(own)
        self._in_force = _in_force.InForce()
        self._stops: dict[_model.StopKey, int] = {}
        self._said_ms: clock.Millis | None = None
        # Where the next search for facts to send begins.
        self._cursor = 0

    def set_members(self, members: typing.Mapping[str, _model.Member]) -> None:
        """Take over the nodes of the fold and drop all others."""
        self.members = dict(members)
        kept = _merge.retain(self.knowledge(), self.members)
        self._facts = dict(kept.facts_by_node)
        self._index = _index.NodeIndex(self.members)
        self._ages.set_index(self._index)
        self._in_force.set_index(self._index)
        self._versions = bytearray(
            (
                _version_code(self._facts[name].version)
                if name in self._facts
                else 0
            )
            for name in self._index.names
        )

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

    def request(self, now_ms: clock.Millis) -> _model.Digest:
        """Return the digest that begins an exchange; it has no facts."""
        return _model.Digest(
            self.own,
            self._index.fold_hash,
            b"",
            self._ages.pack(now_ms),
            bytes(self._versions),
            self._in_force.revision,
            self._in_force.pack(),
            {},
            self.stops(),
        )

    def answer(
        self, request: _model.Digest, now_ms: clock.Millis
    ) -> _model.Digest:
        """Return the answer, with facts that the requester lacks.

        With another fold its versions cannot be read: then the facts are
        some of all, and keys tell whom the values are about.
        """
        same = request.fold_hash == self._index.fold_hash
        known = request.versions if same else b""
        return attrs.evolve(
            self.request(now_ms),
            keys=b"" if same else self._index.keys,
            facts_by_node=self._facts_beyond(known),
        )

    def _facts_beyond(self, known: bytes) -> dict[str, _model.Fact]:
        """Return facts later than the known versions, as many as fit.

        Each search begins where the last one ended, so that every fact gets
        its turn.
        """
        count = len(self._versions)
        if len(known) != count:
            known = bytes(count)
        later = [
            number
            for number, code in enumerate(self._versions)
            if code != known[number] and _is_later(code, known[number])
        ]
        first = sum(number < self._cursor for number in later)
        chosen: dict[str, _model.Fact] = {}
        size = 0
        for number in later[first:] + later[:first]:
            node = self._index.names[number]
            fact = self._facts[node]
            size += len(node) + len(fact.demand) + _FACT_OVERHEAD_BYTES
            if size > MAX_FACT_BYTES:
                break
            chosen[node] = fact
            self._cursor = number + 1
        return chosen

    def receive(self, digest: _model.Digest, as_of_ms: clock.Millis) -> None:
        """Merge a digest.

        `as_of_ms` must not be after the moment it was written: the time a
        request was sent for its answer.
        """
        self.receive_undated(digest)
        if self._readable(digest):
            self._ages.note(digest.ages, as_of_ms, self._matches(digest))

    def receive_undated(self, digest: _model.Digest) -> None:
        """Merge a digest whose age is not known, without its ages."""
        if self._readable(digest):
            self._in_force.note(
                digest.revision, digest.in_force, self._matches(digest)
            )
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

    def _readable(self, digest: _model.Digest) -> bool:
        """Tell whether it is known whom per-node values are about."""
        return bool(digest.keys or digest.fold_hash == self._index.fold_hash)

    def _matches(
        self, digest: _model.Digest
    ) -> list[tuple[int, list[int]]] | None:
        """Return numbers for another fold, `None` for the same one."""
        if digest.fold_hash == self._index.fold_hash:
            return None
        return self._index.matches(digest.keys)

    def _put_fact(self, node: str, fact: _model.Fact) -> None:
        """Keep a new fact."""
        self._facts[node] = fact
        number = self._index.number_by_node[node]
        self._versions[number] = _version_code(fact.version)
        self._in_force.add(node, fact.revision)

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
        """Return the configuration in force at each node that said so.

        Of a node that has moved on it may be an earlier one.
        """
        found = {node: fact.revision for node, fact in self._facts.items()}
        for node in self._in_force.nodes():
            found[node] = self._in_force.revision
        return found

    def demand_by_node(self, customer: str) -> dict[str, _codes.Demand]:
        """Return one customer's demand at every node that reported any."""
        key = _codes.customer_key(customer)
        found = {}
        for node, fact in self._facts.items():
            demand = _codes.unpack_demand(fact.demand).get(key)
            if demand is not None:
                found[node] = demand
        return found
