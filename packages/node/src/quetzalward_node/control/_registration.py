"""Registration of this node on the log, and expiry of unresponsive nodes."""

import random
import threading
import typing

import logbook

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_node import interfaces

_LOG = logbook.Logger(__name__)
APPEND_TIMEOUT_MS = 5_000
CHECK_INTERVAL_MS = 1_000
# A node not heard from for this long no longer counts towards the majority.
EXPIRE_AFTER_MS = 60_000
# Random extra delay, so that usually only one of many nodes appends an expiry.
EXPIRE_JITTER_MS = 10_000
# Nodes heard from within this time count as reachable.
REACHABLE_WITHIN_MS = 5_000
# With an older read of the log, this node itself may be cut off.
MAX_HEAD_AGE_MS = 3_000


class Registration:
    """Keeps this node registered and expires unresponsive nodes."""

    def __init__(
        self,
        control: interfaces.ControlLog,
        joined: agreement.NodeJoined,
        fleet: interfaces.FleetView,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Register this node with the record `joined`."""
        self._control = control
        self._joined = joined
        self._fleet = fleet
        self._time = time
        self._first_seen_ms_by_start: dict[tuple[str, str], clock.Millis] = {}
        self._expire_jitter_ms = rng.uniform(0, EXPIRE_JITTER_MS)
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="registration", daemon=True
        )

    def start(self) -> None:
        """Start the thread that registers and expires nodes."""
        self._thread.start()

    def registered(self) -> bool:
        """Return whether the fold lists this node with this start's nonce."""
        node = self._control.state().nodes_by_name.get(self._joined.name)
        return node is not None and node.nonce == self._joined.nonce

    def stop(self) -> None:
        """Stop the thread and append the record that this node left."""
        self._stopping.set()
        self._thread.join()
        if self.registered():
            left = agreement.NodeLeft(self._joined.name, self._joined.nonce)
            self._append(left)

    def _run(self) -> None:
        pause_s = CHECK_INTERVAL_MS / clock.MILLIS_PER_SECOND
        while not self._stopping.is_set():
            if self._control.head_age_ms() <= MAX_HEAD_AGE_MS:
                self._check()
            self._stopping.wait(pause_s)

    def _check(self) -> None:
        if not self.registered():
            self._append(self._joined)
        for expired in self._nodes_to_expire():
            _LOG.warning("node {} is unresponsive, expiring it", expired.name)
            self._append(expired)

    def _nodes_to_expire(self) -> list[agreement.NodeExpired]:
        """Return the nodes to expire; none if this node may be cut off."""
        nodes = self._control.state().nodes_by_name
        age_ms_by_node = self._unheard_ms_by_node(nodes)
        reachable = sum(
            age <= REACHABLE_WITHIN_MS for age in age_ms_by_node.values()
        )
        # If no majority is reachable, this node may be the one cut off.
        if 2 * (reachable + 1) <= len(nodes):
            return []
        limit_ms = EXPIRE_AFTER_MS + self._expire_jitter_ms
        return [
            agreement.NodeExpired(name, nodes[name].nonce)
            for name, age in age_ms_by_node.items()
            if age > limit_ms
        ]

    def _unheard_ms_by_node(
        self, nodes: typing.Mapping[str, agreement.Node]
    ) -> dict[str, clock.Millis]:
        """Return the time since each other node was last heard or first seen.

        The shorter time counts.
        """
        now_ms = self._time.now_ms()
        current_starts = {(n.name, n.nonce) for n in nodes.values()}
        for start in current_starts:
            self._first_seen_ms_by_start.setdefault(start, now_ms)
        for start in set(self._first_seen_ms_by_start) - current_starts:
            del self._first_seen_ms_by_start[start]
        status = self._fleet.status_by_node()
        age_ms_by_node = {}
        for name, node in nodes.items():
            if name == self._joined.name:
                continue
            age_ms = now_ms - self._first_seen_ms_by_start[name, node.nonce]
            heard = status.get(name)
            if heard is not None:
                age_ms = min(age_ms, heard.heard_age_ms)
            age_ms_by_node[name] = age_ms
        return age_ms_by_node

    def _append(self, entry: agreement.Entry) -> None:
        deadline_ms = self._time.now_ms() + APPEND_TIMEOUT_MS
        try:
            self._control.append([entry], deadline_ms)
        except errors.QuetzalwardError as error:
            _LOG.debug("record not appended: {}", error)
