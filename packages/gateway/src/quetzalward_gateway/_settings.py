"""Settings of a gateway node."""

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet


@attrs.frozen
class Bounds:
    """Promises to keep, as the deployment states them."""

    # Time of a graceful shutdown before the process is killed.
    grace_ms: clock.Millis = 8_000
    # `None`: revoked keys have no bound.
    revoke_ms: clock.Millis | None = None
    repeat_ratio: float = 0.2
    repeat_slack: float = 50.0
    repeat_window_ms: clock.Millis = 10_000
    # Requests that a cold target gets in a second at most: its published
    # rate times the ratio, plus the slack.
    cold_ratio: float = 1.0
    cold_slack: float = 0.0


@attrs.frozen
class Settings:
    """Where a node listens and what it must keep."""

    node: str
    zone: str
    callers: fleet.Address
    readiness: fleet.Address
    # Messages between nodes, UDP.
    peers: fleet.Address
    # Whether the whole system starts for the first time.
    first_start: bool
    bounds: Bounds
    # Processor share in cores and link speed, which rank the nodes for the
    # coordinator's duty.
    cores: float = 1.0
    link_mbps: float = 1000.0
    # Nodes to assume until the coordinator has counted them.
    nodes: int = 8
    metrics: fleet.Address | None = None
