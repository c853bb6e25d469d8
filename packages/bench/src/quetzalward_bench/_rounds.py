"""Replay of digest exchanges in one process, with time that does not pass.

Every node exchanges with two peers a second at its own phase. Messages arrive
at once, so that ages show the spread alone.
"""

import itertools
import random
import typing

import attrs

from quetzalward_core import membership
from quetzalward_node.peers import _codec
from quetzalward_node.peers import _knowledge

_ROUND_MS = 1_000
_CUSTOMERS = 10
WARM_UP_S = 15
# Long enough for the slowest spread that was seen.
MAX_SPREAD_S = 60


@attrs.frozen
class Outcome:
    """Measurements of one replay."""

    nodes: int
    # Encoded digests sent and received, per node.
    payload_bytes_per_s: float
    # Rounds until a new configuration in force at one node is known to all.
    one_rounds: float
    # The same after all nodes change at once: until 95% of what there is to
    # know is known, and all of it.
    most_rounds: float
    all_rounds: float
    # Share of the nodes that a node heard within the last 5 s.
    least_heard: float
    median_heard: float
    # Age of the demand that a node knows of the others, at the median.
    demand_age_s: float


class Replay:
    """All nodes of a fleet and the exchanges between them."""

    def __init__(self, count: int, seed: int, push_ms: int | None) -> None:
        """Count ages of requests `push_ms` older; `None` ignores them."""
        self._rng = random.Random(seed)
        self._push_ms = push_ms
        members = {
            f"node-{index:03d}": membership.Member(10**9 + index, "r")
            for index in range(count)
        }
        self.nodes = {name: membership.Membership(name) for name in members}
        self._phase_ms = {}
        for name, node in self.nodes.items():
            node.set_members(members)
            self._phase_ms[name] = self._rng.randrange(_ROUND_MS)
        self._active: dict[str, list[str]] = {name: [] for name in members}
        self.payload_bytes = 0
        self.revision = 10**9
        self.changed: set[str] = set()
        # When each version of each node's fact was first said.
        self.said_ms: dict[tuple[str, int], int] = {}

    def second(self, second: int) -> None:
        """Let every node do one round."""
        for name in sorted(self.nodes, key=self._phase_ms.__getitem__):
            now_ms = second * _ROUND_MS + self._phase_ms[name]
            self._round(name, now_ms, second)

    def _round(self, name: str, now_ms: int, second: int) -> None:
        node = self.nodes[name]
        self._change_demand(node, now_ms)
        fact = node.knowledge().facts_by_node[name]
        self.said_ms.setdefault((name, fact.version), now_ms)
        for peer_name in self._peers(name, now_ms, second):
            peer = self.nodes[peer_name]
            request = node.request(now_ms)
            if self._push_ms is None:
                peer.receive_undated(request)
            else:
                peer.receive(request, now_ms - self._push_ms)
            answer = peer.answer(request, now_ms)
            node.receive(answer, now_ms)
            self._count(request)
            self._count(answer)

    def _change_demand(self, node: membership.Membership, now_ms: int) -> None:
        """Let demand vary by some 30% each second, which is much."""
        demand = {
            f"customer-{index}": membership.Demand(
                self._rng.lognormvariate(0, 0.3),
                4 * self._rng.lognormvariate(0, 0.3),
            )
            for index in range(_CUSTOMERS)
        }
        revision = self.revision + (node.own_node in self.changed)
        node.update_own_fact(revision, demand, now_ms)

    def _peers(self, name: str, now_ms: int, second: int) -> list[str]:
        """Return two of the active peers, as the peers task does."""
        active = self._active[name]
        if second % _knowledge.REPLACEMENT_INTERVAL_ROUNDS == 0 and active:
            active.pop(0)
        wanted = _knowledge.ACTIVE_PEERS - len(active)
        if wanted > 0:
            found = self.nodes[name].choose_peers(
                _knowledge.ACTIVE_PEERS, now_ms, self._rng
            )
            active += [peer for peer in found if peer not in active][:wanted]
        count = min(_knowledge.EXCHANGES_PER_ROUND, len(active))
        return self._rng.sample(active, count)

    def _count(self, digest: membership.Digest) -> None:
        encoded = _codec.encode_digest(
            _codec.NumberedDigest(digest, 10**9, 1000)
        )
        self.payload_bytes += len(encoded)

    def heard_shares(self, now_ms: int) -> list[float]:
        """Return for each node the share of nodes heard lately."""
        shares = []
        for name, node in self.nodes.items():
            counted, total = membership.count_recently_heard(
                name,
                node.members,
                node.knowledge().last_heard_ms_by_node,
                now_ms,
            )
            shares.append(counted / total)
        return shares

    def demand_ages_s(self, now_ms: int) -> list[float]:
        """Return the age of each fact that each of some nodes knows."""
        ages = []
        for node in list(self.nodes.values())[:20]:
            for name, fact in node.knowledge().facts_by_node.items():
                said_ms = self.said_ms[(name, fact.version)]
                ages.append(max(0, now_ms - said_ms) / _ROUND_MS)
        return ages


def _median(values: typing.Sequence[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def run(count: int, seed: int, push_ms: int | None) -> Outcome:
    """Replay a fleet of `count` nodes and return what was seen."""
    replay = Replay(count, seed, push_ms)
    for second in range(WARM_UP_S):
        replay.second(second)
    replay.payload_bytes = 0
    heard: list[float] = []
    seconds = itertools.count(WARM_UP_S)
    replay.changed = {"node-000"}
    one = _spread(replay, seconds, heard, 1)
    replay.changed = set(replay.nodes)
    replay.revision += 1
    most = _spread(replay, seconds, heard, 0.95)
    rest = _spread(replay, seconds, heard, 1)
    second = next(seconds)
    return Outcome(
        count,
        # Each message is sent by one node and received by another.
        2 * replay.payload_bytes / count / (second - WARM_UP_S),
        one,
        most,
        most + rest,
        min(heard),
        _median(heard),
        _median(replay.demand_ages_s(second * _ROUND_MS)),
    )


def _spread(
    replay: Replay,
    seconds: typing.Iterator[int],
    heard: list[float],
    share: float,
) -> int:
    """Replay until a share of the changed revisions is known everywhere."""
    wanted = share * len(replay.changed) * len(replay.nodes)
    for rounds in range(MAX_SPREAD_S):
        if _known(replay) >= wanted:
            return rounds
        second = next(seconds)
        replay.second(second)
        heard += replay.heard_shares((second + 1) * _ROUND_MS)
    return MAX_SPREAD_S


def _known(replay: Replay) -> int:
    """Return how many pairs of a node and a changed revision are known."""
    wanted = replay.revision + 1
    known = 0
    for node in replay.nodes.values():
        revisions = node.revision_by_node()
        known += sum(
            revisions.get(name, 0) >= wanted for name in replay.changed
        )
    return known
