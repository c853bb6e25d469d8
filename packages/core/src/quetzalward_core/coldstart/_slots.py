"""Distribution of a cold target's permitted load over the nodes.

Each slot admits one request at a time and is owned by one node, which
rendezvous hashing over the nodes of the replicated state determines. No
message is needed per request.
"""

import hashlib
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import routing

HANDOVER_MS = 5_000
# Largest difference in rate between the nodes' clocks, as a share.
HANDOVER_MARGIN = 0.05
# After a longer gap a slot may have been reassigned and returned unnoticed.
MAX_UPDATE_GAP_MS = 2_000
DEFAULT_BEARABLE = 2
DEFAULT_REQUEST_TIMEOUT_MS = 120_000
# Bounds the table if a report contains an implausible number.
MAX_SLOTS = 256

_HANDOVER_DELAY_MS = int(HANDOVER_MS * (1 + HANDOVER_MARGIN))


@attrs.define
class _Slot:
    """This node's view of one slot."""

    owned_since_ms: clock.Millis
    # A node of higher rank; `None` if this node owns the slot.
    outranked_by: str | None = None
    # Whether no request of a former owner can remain.
    drained: bool = False


@attrs.define
class _Target:
    """Cold-start state of one target."""

    slots: list[_Slot] = attrs.field(factory=list)
    state: routing.EngineState | None = None
    bearable: int = DEFAULT_BEARABLE
    as_of_ms: clock.Millis | None = None
    # When this node detected a cold target; a newer report overrides it.
    detected_cold_ms: clock.Millis | None = None
    # Requests sent before the target was known to be cold may still run.
    turned_cold_ms: clock.Millis | None = None

    @property
    def cold(self) -> bool:
        """Return whether requests need a slot."""
        if self.detected_cold_ms is not None:
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
        """Apply the nodes and targets of the replicated state at `now_ms`.

        This or `heartbeat` must be called every `MAX_UPDATE_GAP_MS`.
        """
        found = frozenset(nodes)
        if self._record_update(now_ms):
            self._reset_slots(found, now_ms)
        elif found != self._nodes:
            self._reassign(found, now_ms)
        for target_id in set(self._targets) - set(targets):
            del self._targets[target_id]
        for target_id in set(targets) - set(self._targets):
            added = _Target(bearable=self._default_bearable)
            self._targets[target_id] = added
            self._add_slots(target_id, added, self._default_bearable, now_ms)

    def configure(
        self, default_bearable: int, request_timeout_ms: int
    ) -> None:
        """Change the settings from the next report on.

        Requests sent with a longer timeout may still run, so the longest one
        stays in use.
        """
        self._default_bearable = default_bearable
        self._timeout_ms = max(self._timeout_ms, request_timeout_ms)

    def heartbeat(self, now_ms: clock.Millis) -> None:
        """Confirm that the nodes and targets have not changed."""
        if self._record_update(now_ms):
            self._reset_slots(self._nodes, now_ms)

    def _record_update(self, now_ms: clock.Millis) -> bool:
        """Record an update; return whether the gap before it was too long."""
        last_ms = self._updated_ms
        self._updated_ms = now_ms
        return last_ms is None or now_ms - last_ms > MAX_UPDATE_GAP_MS

    def owned_targets(self) -> frozenset[str]:
        """Return the targets of which this node owns a default slot."""
        return frozenset(
            target_id
            for target_id, target in self._targets.items()
            if any(
                slot.outranked_by is None
                for slot in target.slots[: self._default_bearable]
            )
        )

    def is_cold(self, target_id: str) -> bool:
        """Return whether requests to the target need a slot."""
        target = self._targets.get(target_id)
        return target is None or target.cold

    def usable_slots(self, target_id: str, now_ms: clock.Millis) -> int:
        """Return how many requests this node may have at a cold target."""
        target = self._targets.get(target_id)
        if target is None:
            return 0
        return sum(
            1
            for slot in self._owned_slots(target)
            if self._is_drained(target, slot, now_ms)
        )

    def note_cold(self, target_id: str, now_ms: clock.Millis) -> None:
        """Mark a target as cold because this node detected it."""
        target = self._targets.get(target_id)
        if target is None:
            return
        if not target.cold:
            self._turn_cold(target, now_ms)
        target.detected_cold_ms = now_ms

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
        """Adjust a cold target's number of slots and mark drained ones.

        A warm target's `bearable` is its capacity and makes no slots.
        """
        bearable = self._bearable(report)
        if bearable < target.bearable:
            # Requests in slots that no longer exist still run.
            self._turn_cold(target, now_ms)
        target.bearable = bearable
        self._add_slots(report.target_id, target, bearable, now_ms)
        self._mark_drained_slots(target, report)

    def _apply_state(
        self, target: _Target, report: routing.EngineReport
    ) -> None:
        target.as_of_ms = report.as_of_ms
        target.state = report.state
        detected_cold_ms = target.detected_cold_ms
        if detected_cold_ms is not None and report.as_of_ms > detected_cold_ms:
            target.detected_cold_ms = None

    def _bearable(self, report: routing.EngineReport) -> int:
        """Return the report's number of slots, bounded."""
        if report.bearable is None:
            return self._default_bearable
        return max(0, min(report.bearable, MAX_SLOTS))

    def _turn_cold(self, target: _Target, now_ms: clock.Millis) -> None:
        """Hold every slot until other nodes notice and their requests end."""
        target.turned_cold_ms = now_ms
        for slot in target.slots:
            slot.drained = False

    def _mark_drained_slots(
        self, target: _Target, report: routing.EngineReport
    ) -> None:
        """Mark slots as drained after their handover if the load permits.

        Any of the reported requests may belong to a former owner, so as many
        of this node's slots stay unused.
        """
        waiting = [
            slot
            for slot in self._owned_slots(target)
            if not slot.drained
            and self._handover_end_ms(target, slot) <= report.as_of_ms
        ]
        for slot in waiting[: max(0, len(waiting) - report.load)]:
            slot.drained = True

    def _owned_slots(self, target: _Target) -> list[_Slot]:
        """Return this node's slots up to the target's permitted load."""
        slots = target.slots[: target.bearable]
        return [slot for slot in slots if slot.outranked_by is None]

    def _handover_end_ms(self, target: _Target, slot: _Slot) -> clock.Millis:
        """Return when no other node sends requests in the slot any more."""
        turned_cold_ms = target.turned_cold_ms
        start_ms = slot.owned_since_ms
        if turned_cold_ms is not None:
            start_ms = max(start_ms, turned_cold_ms)
        return start_ms + _HANDOVER_DELAY_MS

    def _is_drained(
        self, target: _Target, slot: _Slot, now_ms: clock.Millis
    ) -> bool:
        """Return whether a slot may be used now."""
        handover_end_ms = self._handover_end_ms(target, slot)
        if now_ms < handover_end_ms:
            return False
        # Requests of former owners have ended after the request timeout.
        return slot.drained or now_ms >= handover_end_ms + self._timeout_ms

    def _add_slots(
        self,
        target_id: str,
        target: _Target,
        count: int,
        now_ms: clock.Millis,
    ) -> None:
        """Add slots up to `count`."""
        for index in range(len(target.slots), count):
            slot = _Slot(owned_since_ms=self._nodes_since_ms)
            slot.outranked_by = self._outranking_node(
                target_id, index, self._nodes
            )
            target.slots.append(slot)

    def _reset_slots(
        self, nodes: frozenset[str], now_ms: clock.Millis
    ) -> None:
        """Treat every slot as reassigned, after a start or a pause."""
        self._nodes = nodes
        self._nodes_since_ms = now_ms
        for target_id, target in self._targets.items():
            for index, slot in enumerate(target.slots):
                slot.owned_since_ms = now_ms
                slot.drained = False
                slot.outranked_by = self._outranking_node(
                    target_id, index, nodes
                )

    def _reassign(self, nodes: frozenset[str], now_ms: clock.Millis) -> None:
        """Reassign slots after the set of nodes has changed."""
        added = nodes - self._nodes
        self._nodes = nodes
        self._nodes_since_ms = now_ms
        for target_id, target in self._targets.items():
            for index, slot in enumerate(target.slots):
                self._reassign_slot(target_id, index, slot, added, now_ms)

    def _reassign_slot(
        self,
        target_id: str,
        index: int,
        slot: _Slot,
        added: frozenset[str],
        now_ms: clock.Millis,
    ) -> None:
        outranked_by = slot.outranked_by
        if outranked_by is None:
            slot.outranked_by = self._outranking_node(target_id, index, added)
        elif outranked_by not in self._nodes:
            slot.outranked_by = self._outranking_node(
                target_id, index, self._nodes
            )
        if slot.outranked_by is None and outranked_by is not None:
            slot.owned_since_ms = now_ms
            slot.drained = False

    def _outranking_node(
        self, target_id: str, index: int, nodes: typing.Iterable[str]
    ) -> str | None:
        """Return a node that outranks this one for a slot, or `None`.

        Stops at the first one, after about ln(n) hashes on average.
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
