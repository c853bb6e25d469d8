"""The last status of each node, and the totals over all nodes."""

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import placing

# A node that sent no status for this long is no longer counted.
NODE_MAX_AGE_MS = 2_500
# Work reported longer ago is ignored, since most of it has ended.
WORK_MAX_AGE_MS = 1_200

_GroupKey = tuple[str, int]


@attrs.define
class NodeReport:
    """A node's last status, its sender and its time of receipt."""

    status: coordination.Status
    address: fleet.Address
    received_ms: clock.Millis


class NodeReports:
    """Statuses by node, and the slowness of each group over all nodes."""

    def __init__(self) -> None:
        """Start without reports."""
        self.by_node: dict[str, NodeReport] = {}
        self._slowness_by_group: dict[_GroupKey, float] = {}

    def clear(self) -> None:
        """Forget all reports and the slowness of all groups."""
        self.by_node.clear()
        self._slowness_by_group.clear()

    def record(
        self,
        status: coordination.Status,
        address: fleet.Address,
        now_ms: clock.Millis,
    ) -> None:
        """Record a node's status; it replaces the one before."""
        self.by_node[status.node] = NodeReport(status, address, now_ms)
        # One node alone observes too few gaps of a group for an estimate.
        for work in status.work:
            if work.gap_count:
                key = (work.group, work.epoch)
                known = self._slowness_by_group.get(key, 1.0)
                self._slowness_by_group[key] = placing.smoothed_slowness(
                    known, work.slowness, work.gap_count
                )

    def expire(self, now_ms: clock.Millis) -> None:
        """Forget nodes that sent no status for `NODE_MAX_AGE_MS`."""
        for name, report in list(self.by_node.items()):
            if now_ms - report.received_ms > NODE_MAX_AGE_MS:
                del self.by_node[name]

    def take_outcomes(self, own_node: str) -> tuple[coordination.Outcome, ...]:
        """Return the other nodes' outcomes that were not returned before."""
        outcomes: list[coordination.Outcome] = []
        for name, report in self.by_node.items():
            if name != own_node:
                outcomes += report.status.outcomes
                report.status = attrs.evolve(report.status, outcomes=())
        return tuple(outcomes)

    def suspects(self) -> set[str]:
        """Return the targets that answers named as the cause of a failure."""
        return {
            target_id
            for report in self.by_node.values()
            for target_id in report.status.suspects
        }

    def has_requests(self) -> bool:
        """Tell whether a caller has sent a request to any node."""
        return any(r.status.requests for r in self.by_node.values())

    def total_work(self, now_ms: clock.Millis) -> list[coordination.GroupWork]:
        """Return the work of all nodes, one entry per group and epoch."""
        total_by_key: dict[_GroupKey, _Total] = {}
        for report in self.by_node.values():
            age_ms = now_ms - report.received_ms
            if age_ms > WORK_MAX_AGE_MS:
                continue
            for work in report.status.work:
                key = (work.group, work.epoch)
                total = total_by_key.get(key)
                if total is None:
                    total = total_by_key[key] = _Total()
                total.add(work, age_ms)
        return [
            coordination.GroupWork(
                *key,
                total.active,
                total.pending_prefill_tokens,
                total.event_age_ms,
                total.stalled,
                self._slowness_by_group.get(key, 1.0),
            )
            for key, total in total_by_key.items()
        ]


@attrs.define
class _Total:
    """Sum of the work of several nodes at one group."""

    active: float = 0.0
    pending_prefill_tokens: float = 0.0
    event_age_ms: clock.Millis = -1
    stalled: bool = False

    def add(self, work: coordination.GroupWork, age_ms: clock.Millis) -> None:
        """Add the work that a node reported `age_ms` ago."""
        self.active += work.active
        self.pending_prefill_tokens += work.pending_prefill_tokens
        self.stalled = self.stalled or work.stalled
        if work.event_age_ms >= 0:
            event_age_ms = work.event_age_ms + age_ms
            if self.event_age_ms < 0 or event_age_ms < self.event_age_ms:
                self.event_age_ms = event_age_ms
