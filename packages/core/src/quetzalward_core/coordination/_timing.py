"""Intervals of the relayed state, derived from the deployment's bounds.

A change reaches a node through the holder's read, its next message and, if
messages are lost, through a read of the node's own. `RelayTiming` divides the
shortest bound on that way, so that the own read ends within the bound however
many messages are lost and whatever number of nodes there is.
"""

import attrs

from quetzalward_core import clock

# Interval between the messages of a node. With more nodes than the maximum it
# grows in proportion, which bounds the coordinator's processor time and
# traffic.
MESSAGE_INTERVAL_MS = 150
MAX_NODES_AT_FULL_RATE = 100
# Longest interval between the holder's messages. It does not grow with the
# number of nodes, since they take a silent holder for a failed one.
RELAY_INTERVAL_MS = 200
# Interval at which a node checks the age of the relayed state.
RELAY_CHECK_INTERVAL_MS = 100
# Time reserved for a node's own read of a slow store.
READ_MS = 300
# Time reserved after the read for requests that were placed before it ended.
IN_FLIGHT_MS = 300
# Share of the maximum age that a read of the holder may wait for a change, and
# the limits of that wait. The rest allows for lost messages.
HOLDER_WAIT_SHARE = 0.4
MIN_HOLDER_WAIT_MS = 500
MAX_HOLDER_WAIT_MS = 800
# Interval at which a node without a current relay reads the targets.
MAX_READ_INTERVAL_MS = 1_000
# Time before a node stops being ready in which it reads the store.
READY_MARGIN_MS = 400
# Message intervals over which the nodes spread their reads after a restore of
# the store, which refuses calls beyond a number per second.
RESTORE_READ_SPREAD = 2


def message_interval_ms(nodes: int) -> float:
    """Return the interval between two statuses of a node, and two views."""
    return MESSAGE_INTERVAL_MS * max(1.0, nodes / MAX_NODES_AT_FULL_RATE)


def relay_interval_ms(nodes: int) -> float:
    """Return the interval between two messages of the holder to a node."""
    return min(RELAY_INTERVAL_MS, message_interval_ms(nodes))


def restore_read_spread_ms(nodes: int) -> float:
    """Return the time over which nodes spread their reads after a restore."""
    return RESTORE_READ_SPREAD * message_interval_ms(nodes)


@attrs.frozen
class RelayTiming:
    """Limits on the use of one topic's relayed state."""

    # Age of the relayed state from which a node reads the store itself.
    max_age_ms: clock.Millis

    @classmethod
    def within(
        cls,
        bound_ms: clock.Millis,
        unready_ms: clock.Millis | None = None,
    ) -> "RelayTiming":
        """Return the limits that meet a bound.

        `bound_ms` is the time after which a change must be in force.
        `unready_ms` is the age from which a node takes no new callers; the
        state is read before.
        """
        reserved_ms = RELAY_CHECK_INTERVAL_MS + READ_MS + IN_FLIGHT_MS
        max_age_ms = bound_ms - reserved_ms
        if unready_ms is not None:
            max_age_ms = min(max_age_ms, unready_ms - READY_MARGIN_MS)
        return cls(max(RELAY_CHECK_INTERVAL_MS, max_age_ms))

    @property
    def holder_wait_ms(self) -> clock.Millis:
        """Return the time that a read of the holder waits for a change."""
        wait_ms = round(self.max_age_ms * HOLDER_WAIT_SHARE)
        return min(MAX_HOLDER_WAIT_MS, max(MIN_HOLDER_WAIT_MS, wait_ms))

    @property
    def read_interval_ms(self) -> clock.Millis:
        """Return the interval between a node's own reads of the targets."""
        return min(MAX_READ_INTERVAL_MS, self.max_age_ms)

    def worst_case_ms(self) -> clock.Millis:
        """Return the latest time at which a node knows of a change.

        That is after the own read of a node that received no message.
        """
        return self.max_age_ms + RELAY_CHECK_INTERVAL_MS + READ_MS
