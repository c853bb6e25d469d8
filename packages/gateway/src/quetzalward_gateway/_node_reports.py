"""What the nodes last told the coordinator, and what it adds up to."""

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import placing

# A node that was silent for so long no longer counts.
NODE_MAX_AGE_MS = 2_500
# Work that a node reported longer ago has mostly ended.
WORK_MAX_AGE_MS = 1_200

_GroupKey = tuple[str, int]


@attrs.define
class NodeReport:
    """A node's last status, where it came from and when."""

    status: coordination.Status
    address: fleet.Address
    heard_ms: clock.Millis


class NodeReports:
    """Statuses by node, and the pace of each group over all nodes."""

    def __init__(self) -> None:
        """Start without a report."""
        self.by_node: dict[str, NodeReport] = {}
        self._slowness_by_group: dict[_GroupKey, float] = {}

    def clear(self) -> None:
        """Forget everything."""
        self.by_node.clear()
        self._slowness_by_group.clear()

    def take(
        self,
        status: coordination.Status,
        address: fleet.Address,
        now_ms: clock.Millis,
    ) -> None:
        """Take a node's status."""
        self.by_node[status.node] = NodeReport(status, address, now_ms)
        # One node alone sees too few pauses of a group to know its pace.
        for work in status.work:
            if work.gap_count:
                key = (work.group, work.epoch)
                known = self._slowness_by_group.get(key, 1.0)
                self._slowness_by_group[key] = placing.smoothed_slowness(
                    known, work.slowness, work.gap_count
                )

    def expire(self, now_ms: clock.Millis) -> None:
        """Forget nodes that have been silent."""
        for name, report in list(self.by_node.items()):
            if now_ms - report.heard_ms > NODE_MAX_AGE_MS:
                del self.by_node[name]

    def take_outcomes(self, own: str) -> tuple[coordination.Outcome, ...]:
        """Return the outcomes of the other nodes, each once."""
        outcomes: list[coordination.Outcome] = []
        for name, report in self.by_node.items():
            if name != own:
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

    def work(self, now_ms: clock.Millis) -> list[coordination.GroupWork]:
        """Return the work of all nodes by group."""
        by_key: dict[_GroupKey, coordination.GroupWork] = {}
        for report in self.by_node.values():
            age_ms = now_ms - report.heard_ms
            if age_ms > WORK_MAX_AGE_MS:
                continue
            for work in report.status.work:
                key = (work.group, work.epoch)
                aged = _aged(work, age_ms)
                known = by_key.get(key)
                if known is None:
                    slowness = self._slowness_by_group.get(key, 1.0)
                    by_key[key] = attrs.evolve(
                        aged, slowness=slowness, gap_count=0
                    )
                else:
                    by_key[key] = _sum(known, aged)
        return list(by_key.values())


def _aged(
    work: coordination.GroupWork, age_ms: clock.Millis
) -> coordination.GroupWork:
    """Return a node's work as of now."""
    if work.event_age_ms < 0:
        return work
    return attrs.evolve(work, event_age_ms=work.event_age_ms + age_ms)


def _sum(
    known: coordination.GroupWork, other: coordination.GroupWork
) -> coordination.GroupWork:
    """Return the work of two nodes at one group."""
    ages = [a for a in (known.event_age_ms, other.event_age_ms) if a >= 0]
    return attrs.evolve(
        known,
        active=known.active + other.active,
        pending_prefill_tokens=known.pending_prefill_tokens
        + other.pending_prefill_tokens,
        event_age_ms=min(ages) if ages else -1,
        stalled=known.stalled or other.stalled,
    )
