"""Division of a cold target's bearable load over the nodes.

Each slot admits one request at a time and belongs to one node, found by
rendezvous hashing over the nodes in the fold. No message is sent per request.
"""

import hashlib
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import routing

HANDOVER_MS = 5_000
# Nodes' clocks may differ in rate by this share.
HANDOVER_MARGIN = 0.05
# After a longer gap between updates a slot may have moved away and back.
MAX_UPDATE_GAP_MS = 2_000
DEFAULT_BEARABLE = 2
DEFAULT_REQUEST_TIMEOUT_MS = 120_000
# Bounds the table if a report names an absurd number.
MAX_SLOTS = 256

_DELAY_MS = int(HANDOVER_MS * (1 + HANDOVER_MARGIN))


@attrs.define
class _Slot:
    """One slot as this node sees it."""

    since_ms: clock.Millis
    # A node with a larger hash; `None` if this node owns the slot.
    owner_hint: str | None = None
    # True once no request of a former owner can remain.
    clear: bool = False


@attrs.define
class _Target:
    """Cold-start state of one target."""

    slots: list[_Slot] = attrs.field(factory=list)
    state: routing.EngineState | None = None
    bearable: int = DEFAULT_BEARABLE
    as_of_ms: clock.Millis | None = None
    # Own evidence of a cold target; newer reports overrule it.
    evidence_ms: clock.Millis | None = None
    # Work sent before the target was known to be cold may be unfinished.
    turned_ms: clock.Millis | None = None

    @property
    def cold(self) -> bool:
        """Return whether only slots admit work."""
        if self.evidence_ms is not None:
            return True
        return self.state is not routing.EngineState.WARM


class SlotTable:
    """The slots that one node may use."""

    def __init__(
        self,
        node: str,
        default_bearable: int = DEFAULT_BEARABLE,
        request_timeout_ms: int = DEFAULT_REQUEST_TIMEOUT_MS,
    ) -> None:
        """Start without nodes or targets.

        No request outlives `request_timeout_ms`.
        """
        self._node = node
        self._default_bearable = default_bearable
        self._timeout_ms = request_timeout_ms
        self._nodes: frozenset[str] = frozenset()
        self._nodes_since_ms: clock.Millis = 0
        self._updated_ms: clock.Millis | None = None
        self._targets: dict[str, _Target] = {}

    def update(
        self,
        nodes: typing.Collection[str],
        targets: typing.Collection[str],
        now_ms: clock.Millis,
    ) -> None:
        """Apply the nodes and targets of the fold, as seen at `now_ms`.

        This or `heartbeat` must be called every `MAX_UPDATE_GAP_MS`.
        """
        found = frozenset(nodes)
        if self._paused(now_ms):
            self._restart(found, now_ms)
        elif found != self._nodes:
            self._move(found, now_ms)
        for target_id in set(self._targets) - set(targets):
            del self._targets[target_id]
        for target_id in set(targets) - set(self._targets):
            added = _Target(bearable=self._default_bearable)
            self._targets[target_id] = added
            self._extend(target_id, added, self._default_bearable, now_ms)

    def configure(
        self, default_bearable: int, request_timeout_ms: int
    ) -> None:
        """Apply changed settings from the next report on.

        A shorter timeout does not end the requests sent under a longer one,
        so the longest one stays in use.
        """
        self._default_bearable = default_bearable
        self._timeout_ms = max(self._timeout_ms, request_timeout_ms)

    def heartbeat(self, now_ms: clock.Millis) -> None:
        """Note that the fold's nodes and targets are still the same."""
        if self._paused(now_ms):
            self._restart(self._nodes, now_ms)

    def _paused(self, now_ms: clock.Millis) -> bool:
        """Note the time; return whether slots may have moved unseen."""
        last_ms = self._updated_ms
        self._updated_ms = now_ms
        return last_ms is None or now_ms - last_ms > MAX_UPDATE_GAP_MS

    def owned_targets(self) -> frozenset[str]:
        """Return the targets of which this node owns a default slot."""
        return frozenset(
            target_id
            for target_id, target in self._targets.items()
            if any(
                slot.owner_hint is None
                for slot in target.slots[: self._default_bearable]
            )
        )

    def is_cold(self, target_id: str) -> bool:
        """Return whether the target takes work only through slots."""
        target = self._targets.get(target_id)
        return target is None or target.cold

    def usable(self, target_id: str, now_ms: clock.Millis) -> int:
        """Return how many requests this node may have at a cold target."""
        target = self._targets.get(target_id)
        if target is None:
            return 0
        return sum(
            1
            for slot in self._owned(target)
            if self._is_clear(target, slot, now_ms)
        )

    def note_cold(self, target_id: str, now_ms: clock.Millis) -> None:
        """Apply this node's own evidence that a target is cold."""
        target = self._targets.get(target_id)
        if target is None:
            return
        if not target.cold:
            self._turn_cold(target, now_ms)
        target.evidence_ms = now_ms

    def note_report(
        self, report: routing.EngineReport, now_ms: clock.Millis
    ) -> None:
        """Apply an engine report; older ones than the last are ignored."""
        target = self._targets.get(report.target_id)
        if target is None:
            return
        if target.as_of_ms is not None and report.as_of_ms <= target.as_of_ms:
            return
        was_cold = target.cold
        before = target.state
        self._apply_state(target, report)
        if target.cold and (not was_cold or before is None):
            self._turn_cold(target, now_ms)
        if report.state is routing.EngineState.COLD:
            self._apply_slots(target, report, now_ms)

    def _apply_slots(
        self,
        target: _Target,
        report: routing.EngineReport,
        now_ms: clock.Millis,
    ) -> None:
        """Follow a cold target's number of slots and clear them.

        A warm target's `bearable` is its capacity and makes no slots.
        """
        bearable = self._bearable(report)
        if bearable < target.bearable:
            # Requests in slots that no longer exist still run.
            self._turn_cold(target, now_ms)
        target.bearable = bearable
        self._extend(report.target_id, target, bearable, now_ms)
        self._clear_slots(target, report)

    def _apply_state(
        self, target: _Target, report: routing.EngineReport
    ) -> None:
        target.as_of_ms = report.as_of_ms
        target.state = report.state
        evidence_ms = target.evidence_ms
        if evidence_ms is not None and report.as_of_ms > evidence_ms:
            target.evidence_ms = None

    def _bearable(self, report: routing.EngineReport) -> int:
        """Return the report's number of slots, bounded."""
        if report.bearable is None:
            return self._default_bearable
        return max(0, min(report.bearable, MAX_SLOTS))

    def _turn_cold(self, target: _Target, now_ms: clock.Millis) -> None:
        """Make every slot wait for other nodes to notice and finish."""
        target.turned_ms = now_ms
        for slot in target.slots:
            slot.clear = False

    def _clear_slots(
        self, target: _Target, report: routing.EngineReport
    ) -> None:
        """Clear settled slots that the engine's load leaves room for.

        Any of the reported requests may belong to former owners, so as many
        of this node's slots stay unused.
        """
        waiting = [
            slot
            for slot in self._owned(target)
            if not slot.clear
            and self._settled_ms(target, slot) <= report.as_of_ms
        ]
        for slot in waiting[: max(0, len(waiting) - report.load)]:
            slot.clear = True

    def _owned(self, target: _Target) -> list[_Slot]:
        """Return this node's slots among the bearable ones."""
        slots = target.slots[: target.bearable]
        return [slot for slot in slots if slot.owner_hint is None]

    def _settled_ms(self, target: _Target, slot: _Slot) -> clock.Millis:
        """Return when no other node uses the slot any more."""
        turned_ms = target.turned_ms
        start_ms = slot.since_ms
        if turned_ms is not None:
            start_ms = max(start_ms, turned_ms)
        return start_ms + _DELAY_MS

    def _is_clear(
        self, target: _Target, slot: _Slot, now_ms: clock.Millis
    ) -> bool:
        """Return whether a slot may be used now."""
        settled_ms = self._settled_ms(target, slot)
        if now_ms < settled_ms:
            return False
        # Requests of former owners are over after their longest life.
        return slot.clear or now_ms >= settled_ms + self._timeout_ms

    def _extend(
        self,
        target_id: str,
        target: _Target,
        count: int,
        now_ms: clock.Millis,
    ) -> None:
        """Add slots up to `count`."""
        for index in range(len(target.slots), count):
            slot = _Slot(since_ms=self._nodes_since_ms)
            slot.owner_hint = self._larger(target_id, index, self._nodes)
            target.slots.append(slot)

    def _restart(self, nodes: frozenset[str], now_ms: clock.Millis) -> None:
        """Treat every slot as moved, after a start or a pause."""
        self._nodes = nodes
        self._nodes_since_ms = now_ms
        for target_id, target in self._targets.items():
            for index, slot in enumerate(target.slots):
                slot.since_ms = now_ms
                slot.clear = False
                slot.owner_hint = self._larger(target_id, index, nodes)

    def _move(self, nodes: frozenset[str], now_ms: clock.Millis) -> None:
        """Move slots after the set of nodes changed."""
        added = nodes - self._nodes
        self._nodes = nodes
        self._nodes_since_ms = now_ms
        for target_id, target in self._targets.items():
            for index, slot in enumerate(target.slots):
                self._move_slot(target_id, index, slot, added, now_ms)

    def _move_slot(
        self,
        target_id: str,
        index: int,
        slot: _Slot,
        added: frozenset[str],
        now_ms: clock.Millis,
    ) -> None:
        hint = slot.owner_hint
        if hint is None:
            slot.owner_hint = self._larger(target_id, index, added)
        elif hint not in self._nodes:
            slot.owner_hint = self._larger(target_id, index, self._nodes)
        if slot.owner_hint is None and hint is not None:
            slot.since_ms = now_ms
            slot.clear = False

    def _larger(
        self, target_id: str, index: int, nodes: typing.Iterable[str]
    ) -> str | None:
        """Return a node that outranks this one for a slot, if there is one.

        Stops at the first, which takes about ln(n) hashes on average.
        """
        own = slot_rank(target_id, index, self._node)
        for node in nodes:
            if node != self._node and slot_rank(target_id, index, node) > own:
                return node
        if self._node not in self._nodes:
            return self._node
        return None


def slot_rank(target_id: str, index: int, node: str) -> tuple[bytes, str]:
    """Return the rank of a node for a slot; the largest owns it."""
    data = f"{target_id}\0{index}\0{node}".encode()
    return hashlib.blake2b(data, digest_size=8).digest(), node


def slot_owner(
    target_id: str, index: int, nodes: typing.Collection[str]
) -> str | None:
    """Return the node that owns a slot, or `None` without nodes."""
    ranked = ((slot_rank(target_id, index, node), node) for node in nodes)
    return max(ranked, default=(None, None))[1]
