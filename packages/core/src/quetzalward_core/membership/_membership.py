"""One node's knowledge of its peers, updated by gossip."""

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

# Size limits of a digest's parts. A node takes part in four exchanges per
# second, two that it starts and two that peers start; these limits keep their
# total below 29 KB.
MAX_FACT_BYTES = 3_600
MAX_DEMAND_BYTES = 60
MAX_STOPS = 16
# Encoded size of a fact's fields other than the node's name and its demand.
_FACT_OVERHEAD_BYTES = 26
# Minimum time between publications of a node's demand. Without it, demand
# that varies by 30% each second would fill the answers.
DEMAND_INTERVAL_MS = 5_000
# Peers not heard from for this long get only a share of the exchanges, so
# that few exchanges are wasted on failed nodes.
SILENT_MS = 10_000
SILENT_SHARE = 0.125
# Versions are sent as codes from 1 to this number, which wrap around; 0 means
# that the sender has no fact about the node.
_VERSION_CODES = 255


def _version_code(version: int) -> int:
    return 1 + version % _VERSION_CODES


def _is_newer(code: int, known: int) -> bool:
    """Tell whether a version code is probably newer than a known one.

    Codes wrap around, so a difference of more than half of them is taken for
    an older version. The receiver compares full versions.
    """
    if known == 0:
        return code != 0
    return 0 < (code - known) % _VERSION_CODES <= _VERSION_CODES // 2


class Membership:
    """Merges received digests and creates new ones; not thread-safe."""

    def __init__(self, own_node: str) -> None:
        """Start without members, facts or stop orders."""
        self.own_node = own_node
        self.members: dict[str, _model.Member] = {}
        self._index = _index.NodeIndex()
        self._facts: dict[str, _model.Fact] = {}
        self._versions = bytearray()
        self._ages = _ages.LastHeardTable(own_node)
        self._in_force = _in_force.RevisionInForce()
        self._stops: dict[_model.StopKey, int] = {}
        self._published_ms: clock.Millis | None = None
        # Node number at which the next search for facts to send starts.
        self._cursor = 0

    def set_members(self, members: typing.Mapping[str, _model.Member]) -> None:
        """Replace the members by the nodes of the fold; drop all others."""
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

    def update_own_fact(
        self,
        revision: int,
        demand_by_customer: typing.Mapping[str, _codes.Demand],
        now_ms: clock.Millis,
    ) -> None:
        """Update the fact that this node publishes about itself.

        A new revision is published at once. Demand is not published again
        while the amounts stay about the same, nor within
        `DEMAND_INTERVAL_MS`.
        """
        member = self.members.get(self.own_node)
        if member is None:
            return
        demand = _codes.pack_demand(demand_by_customer, MAX_DEMAND_BYTES)
        old = self._facts.get(self.own_node)
        same_start = old is not None and old.generation == member.joined
        if old and same_start and old.revision == revision:
            early = now_ms - (self._published_ms or 0) < DEMAND_INTERVAL_MS
            if early or not _codes.demand_differs(old.demand, demand):
                return
        self._published_ms = now_ms
        version = old.version + 1 if old and same_start else 1
        self._store_fact(
            self.own_node,
            _model.Fact(member.joined, version, revision, demand),
        )

    def add_stop(self, kind: _model.StopKind, name: str, basis: int) -> None:
        """Add a stop order; a larger basis replaces a smaller one."""
        key = _model.StopKey(kind, name)
        self._stops[key] = max(basis, self._stops.get(key, basis))
        self._stops = _merge.limit_stops(self._stops, MAX_STOPS)

    def drop_stops(
        self, ended: typing.Callable[[_model.StopKey, int], bool]
    ) -> None:
        """Drop stop orders that a later start on the log has ended."""
        self._stops = {
            key: basis
            for key, basis in self._stops.items()
            if not ended(key, basis)
        }

    def stops(self) -> dict[_model.StopKey, int]:
        """Return the basis of each stop order."""
        return dict(self._stops)

    def knowledge(self) -> _model.Knowledge:
        """Return a copy of all facts, times and stop orders."""
        return _model.Knowledge(
            dict(self._facts),
            self._ages.last_heard_ms_by_node(),
            dict(self._stops),
        )

    def request(self, now_ms: clock.Millis) -> _model.Digest:
        """Return the digest that starts an exchange; it has no facts."""
        return _model.Digest(
            self.own_node,
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
        """Return the answer to a request, with facts that the sender lacks.

        If the sender has another fold, its versions cannot be decoded. The
        answer then holds a part of all facts, and node keys that identify
        the nodes of the per-node values.
        """
        same = request.fold_hash == self._index.fold_hash
        known = request.versions if same else b""
        return attrs.evolve(
            self.request(now_ms),
            keys=b"" if same else self._index.keys,
            facts_by_node=self._facts_newer_than(known),
        )

    def _facts_newer_than(self, known: bytes) -> dict[str, _model.Fact]:
        """Return facts newer than the known versions, as many as fit.

        Each search starts where the last one ended, so that every fact is
        sent eventually.
        """
        count = len(self._versions)
        if len(known) != count:
            known = bytes(count)
        newer = [
            number
            for number, code in enumerate(self._versions)
            if code != known[number] and _is_newer(code, known[number])
        ]
        first = sum(number < self._cursor for number in newer)
        chosen: dict[str, _model.Fact] = {}
        size = 0
        for number in newer[first:] + newer[:first]:
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

        `as_of_ms` must not be later than the time at which the digest was
        created. For an answer, that is the time its request was sent.
        """
        self.receive_undated(digest)
        if self._can_read_values(digest):
            self._ages.merge_ages(digest.ages, as_of_ms, self._matches(digest))

    def receive_undated(self, digest: _model.Digest) -> None:
        """Merge a digest whose age is not known, without its ages."""
        if self._can_read_values(digest):
            self._in_force.merge_packed(
                digest.revision, digest.in_force, self._matches(digest)
            )
        for node, fact in digest.facts_by_node.items():
            member = self.members.get(node)
            if node == self.own_node or member is None:
                continue
            known = self._facts.get(node)
            if fact.generation >= member.joined:
                if known is None or fact > known:
                    self._store_fact(node, fact)
        for key, basis in digest.basis_by_stop.items():
            self.add_stop(key.kind, key.name, basis)

    def _can_read_values(self, digest: _model.Digest) -> bool:
        """Tell whether the nodes of the per-node values can be identified."""
        return bool(digest.keys or digest.fold_hash == self._index.fold_hash)

    def _matches(
        self, digest: _model.Digest
    ) -> list[tuple[int, list[int]]] | None:
        """Return the matching numbers, or `None` for the same fold."""
        if digest.fold_hash == self._index.fold_hash:
            return None
        return self._index.match_keys(digest.keys)

    def _store_fact(self, node: str, fact: _model.Fact) -> None:
        """Store a fact with its version code and its revision."""
        self._facts[node] = fact
        number = self._index.number_by_node[node]
        self._versions[number] = _version_code(fact.version)
        self._in_force.add(node, fact.revision)

    def choose_peers(
        self, count: int, now_ms: clock.Millis, rng: random.Random
    ) -> list[str]:
        """Return up to `count` random peers for the next exchanges.

        Each is drawn from the recently heard peers or, with the probability
        `SILENT_SHARE`, from all remaining ones.
        """
        others = [
            node for node in sorted(self.members) if node != self.own_node
        ]
        last_heard_ms_by_node = self._ages.last_heard_ms_by_node()
        recently_heard = [
            node
            for node in others
            if now_ms - last_heard_ms_by_node.get(node, -SILENT_MS)
            <= SILENT_MS
        ]
        random_count = sum(rng.random() < SILENT_SHARE for _ in range(count))
        wanted = min(count - random_count, len(recently_heard))
        chosen = rng.sample(recently_heard, wanted)
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
        """Tell whether this node is isolated and must refuse new work."""
        return _freshness.is_isolated(
            self.own_node,
            self.members,
            self._ages.last_heard_ms_by_node(),
            head_age_ms,
            now_ms,
            mode,
        )

    def revision_by_node(self) -> dict[str, int]:
        """Return the revision in force at each node that reported one.

        A node may have a newer one by now.
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
