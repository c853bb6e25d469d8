"""Settings of a gateway node."""

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _memory


@attrs.frozen
class Bounds:
    """Limits that the deployment sets."""

    # Time from the signal to stop until the process is killed.
    grace_ms: clock.Millis = 8_000
    # Time within which a revoked key must stop working; `None`: no limit.
    revoke_ms: clock.Millis | None = None
    # Retries allowed within the window: this share of the requests, plus the
    # slack, over all nodes.
    repeat_ratio: float = 0.2
    repeat_slack: float = 50.0
    repeat_window_ms: clock.Millis = 10_000
    # Maximum requests per second to a cold target: its published rate times
    # the ratio, plus the slack.
    cold_ratio: float = 1.0
    cold_slack: float = 0.0
    # Time from an entry's change in the store until no request is sent to a
    # target that leaves, until a configuration is in force on all nodes, and
    # until no request is sent to an evacuated zone.
    departure_ms: clock.Millis = 2_000
    configuration_ms: clock.Millis = 2_000
    evacuation_ms: clock.Millis = 5_000


@attrs.frozen
class Settings:
    """Identity, addresses and limits of a node."""

    node: str
    zone: str
    callers: fleet.Address
    readiness: fleet.Address
    # UDP address for messages between nodes.
    peers: fleet.Address
    # Whether the system as a whole starts for the first time.
    first_start: bool
    bounds: Bounds
    # Processor share in cores and link speed. Nodes of low capacity coordinate
    # only if no other node does.
    cores: float = 1.0
    link_mbps: float = 1000.0
    # Number of nodes assumed until the coordinator has counted them.
    nodes: int = 8
    metrics: fleet.Address | None = None
    # Memory that the process may use.
    memory_bytes: int = _memory.DEFAULT_PROCESS_BYTES
