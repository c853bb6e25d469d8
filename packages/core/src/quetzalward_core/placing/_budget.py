"""This node's part of budgets that all nodes share.

Each node takes a fixed part of a budget, so that no message is needed for a
request and a lost message cannot break the bound.
"""

import collections

import attrs

from quetzalward_core import clock

# Part of the allowed amount that is used; the rest covers windows that the
# nodes cut differently and nodes that are not counted yet.
USED_SHARE = 0.7


@attrs.define
class RepeatBudget:
    """Bounds repeated sends of one service within a sliding window."""

    ratio: float
    slack: float
    window_ms: clock.Millis
    _requests: collections.deque[clock.Millis] = attrs.field(
        factory=collections.deque, init=False
    )
    _repeats: collections.deque[clock.Millis] = attrs.field(
        factory=collections.deque, init=False
    )

    def requested(self, now_ms: clock.Millis) -> None:
        """Count a request of a caller."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def spend(self, now_ms: clock.Millis, nodes: int) -> bool:
        """Take one repeat; false if this node's part is used up."""
        self._expire(now_ms)
        allowed = self.ratio * len(self._requests)
        allowed += self.slack / max(1, nodes)
        if len(self._repeats) + 1 > max(1.0, USED_SHARE * allowed):
            return False
        self._repeats.append(now_ms)
        return True

    def _expire(self, now_ms: clock.Millis) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now_ms - self.window_ms:
                times.popleft()


# A target turns cold without warning; the bound for a cold target holds for
# every target, with a tenth left for seconds that the nodes cut differently.
SUDDEN_SHARE = 0.9


@attrs.frozen
class ColdLimit:
    """What targets of a service bear in cold start, over all nodes."""

    # A cold target crashes at a rate well above this.
    per_s: float
    # Requests in a second that are never exceeded, cold or not.
    bound_per_s: float

    def allowed_per_s(self, is_cold: bool) -> float:
        """Return what all nodes together may send to a target."""
        if is_cold:
            return USED_SHARE * self.per_s
        return SUDDEN_SHARE * self.bound_per_s


class ColdStartBudget:
    """Bounds requests a second to targets that are or may turn cold."""

    WINDOW_MS = 1_000

    def __init__(self) -> None:
        """Start with nothing sent."""
        self._sent_by_target: dict[str, collections.deque[clock.Millis]] = {}

    def allows(
        self,
        target_id: str,
        per_s: float,
        nodes: int,
        now_ms: clock.Millis,
    ) -> bool:
        """Tell whether a target may get one more request now.

        `per_s` is what all nodes together may send.
        """
        sent = self._sent_by_target.get(target_id)
        if sent is None:
            return True
        while sent and sent[0] <= now_ms - self.WINDOW_MS:
            sent.popleft()
        return len(sent) + 1 <= max(1.0, per_s / max(1, nodes))

    def sent(self, target_id: str, now_ms: clock.Millis) -> None:
        """Count a request to a target that may be cold."""
        sent = self._sent_by_target.setdefault(
            target_id, collections.deque(maxlen=256)
        )
        sent.append(now_ms)

    def retain(self, target_ids: set[str]) -> None:
        """Forget targets that no longer exist."""
        for target_id in set(self._sent_by_target) - target_ids:
            del self._sent_by_target[target_id]
