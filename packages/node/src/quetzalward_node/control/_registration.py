"""This node's own record on the log, and the expiry of silent nodes."""

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
# A node unheard for this long is taken out of the majority's count.
EXPIRE_AFTER_MS = 60_000
# Expiry is left to one of many nodes by a random delay of up to this much.
EXPIRE_SPREAD_MS = 10_000
# Nodes heard within this time count as reachable.
RECENT_MS = 5_000
# Without a fresh read of the log, silence may be this node's own.
MAX_HEAD_AGE_MS = 3_000


class Registration:
    """Keeps this node joined and expires nodes that nobody hears."""

    def __init__(
        self,
        control: interfaces.ControlLog,
        joined: agreement.NodeJoined,
        fleet: interfaces.FleetView,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Describe this node by the record it appends."""
        self._control = control
        self._joined = joined
        self._fleet = fleet
        self._time = time
        self._first_seen_ms: dict[tuple[str, str], clock.Millis] = {}
        self._delay_ms = rng.uniform(0, EXPIRE_SPREAD_MS)
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="registration", daemon=True
        )

    def start(self) -> None:
        """Start the task's thread."""
        self._thread.start()

    def registered(self) -> bool:
        """Tell whether the fold shows this start of this node."""
        node = self._control.state().nodes_by_name.get(self._joined.name)
        return node is not None and node.nonce == self._joined.nonce

    def stop(self) -> None:
        """Stop the thread and append that this node left."""
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
        for expired in self._silent_nodes():
            _LOG.warning("node {} unheard, expiring it", expired.name)
            self._append(expired)

    def _silent_nodes(self) -> list[agreement.NodeExpired]:
        """Return the nodes that nobody hears; none if this one is cut off."""
        nodes = self._control.state().nodes_by_name
        ages_ms = self._silence_ms(nodes)
        recent = sum(age <= RECENT_MS for age in ages_ms.values())
        # A node that hears few others cannot tell their silence from its own.
        if 2 * (recent + 1) <= len(nodes):
            return []
        limit_ms = EXPIRE_AFTER_MS + self._delay_ms
        return [
            agreement.NodeExpired(name, nodes[name].nonce)
            for name, age in ages_ms.items()
            if age > limit_ms
        ]

    def _silence_ms(
        self, nodes: typing.Mapping[str, agreement.Node]
    ) -> dict[str, clock.Millis]:
        """Return the time since each other node was heard or first seen."""
        now_ms = self._time.now_ms()
        current = {(n.name, n.nonce) for n in nodes.values()}
        for start in current:
            self._first_seen_ms.setdefault(start, now_ms)
        for start in set(self._first_seen_ms) - current:
            del self._first_seen_ms[start]
        status = self._fleet.status_by_node()
        ages_ms = {}
        for name, node in nodes.items():
            if name == self._joined.name:
                continue
            age_ms = now_ms - self._first_seen_ms[name, node.nonce]
            heard = status.get(name)
            if heard is not None:
                age_ms = min(age_ms, heard.heard_age_ms)
            ages_ms[name] = age_ms
        return ages_ms

    def _append(self, entry: agreement.Entry) -> None:
        deadline_ms = self._time.now_ms() + APPEND_TIMEOUT_MS
        try:
            self._control.append([entry], deadline_ms)
        except errors.QuetzalwardError as error:
            _LOG.debug("not appended: {}", error)
