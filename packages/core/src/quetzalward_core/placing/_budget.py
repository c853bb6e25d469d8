"""This node's share of rate budgets that apply to all nodes together.

Each node uses a fixed share of a budget. This needs no message per request,
and a lost message cannot exceed the bound.
"""

import collections
import hashlib
import math
import random

import attrs

from quetzalward_core import clock

# Share of the allowed amount that may be used; the rest allows for nodes whose
# windows start at other times and for nodes that are not counted yet.
USABLE_SHARE = 0.7


@attrs.define
class RetryBudget:
    """Limits retries of one service's requests within a sliding window."""

    ratio: float
    slack: float
    window_ms: clock.Millis
    # Decides which nodes may retry if a share is less than one retry.
    rng: random.Random
    _rounding: float = attrs.field(default=0.0, init=False)
    _rounding_until_ms: clock.Millis = attrs.field(default=0, init=False)
    _request_times_ms: collections.deque[clock.Millis] = attrs.field(
        factory=collections.deque, init=False
    )
    _retry_times_ms: collections.deque[clock.Millis] = attrs.field(
        factory=collections.deque, init=False
    )

    def record_request(self, now_ms: clock.Millis) -> None:
        """Count a request from a caller."""
        self._request_times_ms.append(now_ms)
        self._expire(now_ms)

    def try_spend(self, now_ms: clock.Millis, nodes: int) -> bool:
        """Use one retry; return false if this node's share is exhausted."""
        self._expire(now_ms)
        allowed = self.ratio * len(self._request_times_ms)
        allowed += self.slack / max(1, nodes)
        # Rounded up or down at random, so that the shares of all nodes sum to
        # the bound, however small they are.
        if now_ms >= self._rounding_until_ms:
            self._rounding = self.rng.random()
            self._rounding_until_ms = now_ms + self.window_ms
        usable = math.floor(USABLE_SHARE * allowed + self._rounding)
        if len(self._retry_times_ms) + 1 > usable:
            return False
        self._retry_times_ms.append(now_ms)
        return True

    def _expire(self, now_ms: clock.Millis) -> None:
        for times_ms in (self._request_times_ms, self._retry_times_ms):
            while times_ms and times_ms[0] <= now_ms - self.window_ms:
                times_ms.popleft()


# A target may turn cold without warning, so an upper bound applies to warm
# targets too; a tenth is left for nodes whose one-second windows start at
# other times.
WARM_USABLE_SHARE = 0.9
_HASH_RANGE = 1 << 32


@attrs.frozen
class ColdStartLimit:
    """Request rates that a service's targets tolerate, over all nodes."""

    # Safe rate during a cold start; a target crashes well above it.
    cold_per_s: float
    # Upper bound for any target, cold or warm.
    max_per_s: float

    def allowed_per_s(self, is_cold: bool) -> float:
        """Return the request rate of all nodes together to a target."""
        if is_cold:
            return USABLE_SHARE * self.cold_per_s
        return WARM_USABLE_SHARE * self.max_per_s


class ColdStartBudget:
    """Limits the request rate to targets that are cold or may turn cold."""

    WINDOW_MS = 1_000

    def __init__(self, node: str = "") -> None:
        """Start without recorded requests of a node."""
        self._node = node
        self._sent_ms_by_target: dict[str, collections.deque[clock.Millis]] = (
            {}
        )

    def allows(
        self,
        target_id: str,
        per_s: float,
        nodes: int,
        now_ms: clock.Millis,
        is_cold: bool = False,
    ) -> bool:
        """Return whether this node may send a target one more request.

        `per_s` is the allowed rate of all `nodes` together. If that is less
        than one request for each node, only some of the nodes may send to a
        cold target. They are chosen by hash, so that they need no message.
        """
        share = per_s / max(1, nodes)
        if is_cold and share < 1 and self._position(target_id) >= share:
            return False
        sent_ms = self._sent_ms_by_target.get(target_id)
        if sent_ms is None:
            return True
        while sent_ms and sent_ms[0] <= now_ms - self.WINDOW_MS:
            sent_ms.popleft()
        return len(sent_ms) + 1 <= max(1.0, share)

    def _position(self, target_id: str) -> float:
        """Return this node's position among all for a target, 0 to 1."""
        digest = hashlib.blake2b(
            f"{self._node}\n{target_id}".encode(), digest_size=4
        ).digest()
        return int.from_bytes(digest, "big") / _HASH_RANGE

    def record_request(self, target_id: str, now_ms: clock.Millis) -> None:
        """Count a request to a target that may be cold."""
        sent_ms = self._sent_ms_by_target.setdefault(
            target_id, collections.deque(maxlen=256)
        )
        sent_ms.append(now_ms)

    def retain(self, target_ids: set[str]) -> None:
        """Forget targets that no longer exist."""
        for target_id in set(self._sent_ms_by_target) - target_ids:
            del self._sent_ms_by_target[target_id]
