"""Compares the configurations in force at the coordinator and the nodes.

They differ after the store was restored from an older copy: nodes may have
been cut off before, or have started since. Who has the later one sends it.
"""

import collections.abc
import random

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _operations
from quetzalward_gateway import _runtime

# Largest copy of a configuration, after compression, that fits a datagram.
MAX_COPY_BYTES = 60_000
# Nodes, on average, that send the coordinator a copy in answer to one message.
COPY_SENDERS = 3


class ConfigurationExchange:
    """Hears what other nodes have in force, and sends what they lack."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        node: str,
        operations: _operations.OperationsFollower,
        send: collections.abc.Callable[[bytes, fleet.Address], None],
    ) -> None:
        """Compare with what this node's follower has applied."""
        self._runtime = runtime
        self._node = node
        self._operations = operations
        self._send = send
        self._rng = random.Random(f"{node}-copies")

    def compare_status(
        self,
        status: coordination.Status,
        sender: fleet.Address,
        now_ms: clock.Millis,
    ) -> None:
        """As the coordinator, compare with a node's configuration."""
        state, known = self._runtime.state, status.known
        precedence = fleet.Precedence(known.numbering, known.version)
        state.confirmation.hear(precedence, bool(known.is_informed), now_ms)
        self._operations.confirm_complete()
        has_all_records = (known.era, known.operations_offset) == (
            self._runtime.store.era.number,
            self._operations.offset,
        )
        if has_all_records and precedence < state.precedence:
            self._send_copy(sender)

    def compare_view(
        self,
        store: coordination.StoreView,
        coordinator: fleet.Address,
        now_ms: clock.Millis,
    ) -> None:
        """Compare with the coordinator's configuration."""
        state = self._runtime.state
        if store.era != self._runtime.store.era.number:
            return
        precedence = fleet.Precedence(store.numbering, store.version)
        state.confirmation.hear(precedence, store.is_settled, now_ms)
        self._operations.confirm_complete()
        if (
            store.operations.end == self._operations.offset
            and precedence < state.precedence
            and self._rng.random() * state.node_count < COPY_SENDERS
        ):
            self._send_copy(coordinator)

    def _send_copy(self, recipient: fleet.Address) -> None:
        state = self._runtime.state
        record = state.configuration_record
        if record is None or record.value is None:
            return
        data = coordination.encode(
            coordination.ConfigurationCopy(
                self._node,
                state.precedence.numbering,
                state.precedence.version,
                record.key,
                record.value.decode("utf-8", "replace"),
            )
        )
        if len(data) > MAX_COPY_BYTES:
            self._runtime.log.event(
                "configuration_too_large_to_send",
                version=state.precedence.version,
                bytes=len(data),
            )
            return
        self._send(data, recipient)
