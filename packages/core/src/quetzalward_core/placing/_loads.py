"""Load and liveness of groups, as seen by this node and by others."""

import attrs

from quetzalward_core import clock
from quetzalward_core.placing import _cost

# Loads that other nodes reported longer ago than this are ignored, since most
# of those answers have ended.
SHARED_MAX_AGE_MS = 1_500
# Smoothing weight of one gap between events. The estimate follows a change
# within about ten gaps, which is half a second of one stream.
_GAP_WEIGHT = 0.1
# Bounds of the estimate. A group is never much faster than its published cost,
# and one slower than the maximum is as good as stalled.
MIN_SLOWNESS = 0.8
MAX_SLOWNESS = 20.0
# A group that has work but produces no event for this long counts as stalled.
# A pass that includes prefill takes about a quarter of this time.
STALL_MS = 700
# The group's members are asked for reports after a shorter silence, which
# costs little if the group is healthy.
CHECK_AFTER_MS = 260
# A suspected group without requests is tried again after this time, in which
# the coordinator finds a group that has lost a member.
SUSPICION_MS = 2_000
# For a slow group, the two limits are these numbers of missed passes.
CHECK_AFTER_PASSES = 3
STALL_PASSES = 6


def smoothed_slowness(slowness: float, measured: float, count: int) -> float:
    """Return the slowness after `count` gaps of mean ratio `measured`."""
    weight = 1 - (1 - _GAP_WEIGHT) ** count
    slowness += weight * (measured - slowness)
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


@attrs.define
class GroupLoad:
    """This node's view of one group's load and liveness."""

    active: int = 0
    pending_prefill_tokens: int = 0
    # Load from other nodes, and when this node received it.
    others_active: float = 0.0
    others_prefill_tokens: float = 0.0
    others_updated_ms: clock.Millis | None = None
    # Last event of any stream, of this node or another.
    last_event_ms: clock.Millis | None = None
    # Start of this node's current period with requests at the group.
    busy_since_ms: clock.Millis | None = None
    slowness: float = 1.0
    # Sum and count of gap ratios not yet reported to the other nodes.
    gap_ratio_sum: float = 0.0
    gap_count: int = 0
    # The group is silent and reports of its members have been requested.
    check_requested: bool = False
    # The coordinator has given up the group's current epoch.
    lost: bool = False
    # Start of the time in which the group counts as stalled or unreachable.
    suspected_since_ms: clock.Millis | None = None
    # Last event of this node's own streams.
    last_own_event_ms: clock.Millis | None = None
    # This node's load as last reported to the other nodes.
    reported_active: float = 0.0
    reported_prefill_tokens: float = 0.0

    def load(self, now_ms: clock.Millis) -> _cost.Load:
        """Return the group's load from all nodes."""
        active, prefill_tokens = float(self.active), float(
            self.pending_prefill_tokens
        )
        if (
            self.others_updated_ms is not None
            and now_ms - self.others_updated_ms <= SHARED_MAX_AGE_MS
        ):
            active += self.others_active
            prefill_tokens += self.others_prefill_tokens
        return _cost.Load(active, prefill_tokens)

    def started(self, prompt_tokens: int, now_ms: clock.Millis) -> None:
        """Count a request sent to the group."""
        if not self.active:
            self.busy_since_ms = now_ms
        self.active += 1
        self.pending_prefill_tokens += prompt_tokens

    def prefill_done(self, prompt_tokens: int) -> None:
        """Remove a prompt that was prefilled or whose request was given up."""
        self.pending_prefill_tokens = max(
            0, self.pending_prefill_tokens - prompt_tokens
        )

    def ended(self) -> None:
        """Count a request that ended."""
        self.active = max(0, self.active - 1)

    def record_own_event(self, now_ms: clock.Millis) -> None:
        """Record an event of one of this node's streams."""
        self.last_own_event_ms = now_ms
        self.record_event(now_ms)

    def record_event(self, event_ms: clock.Millis) -> None:
        """Record an event that some node received; it shows liveness."""
        if self.last_event_ms is None or event_ms > self.last_event_ms:
            self.last_event_ms = event_ms
            self.check_requested = False
        if (
            self.suspected_since_ms is not None
            and event_ms > self.suspected_since_ms
        ):
            self.suspected_since_ms = None

    @property
    def suspected(self) -> bool:
        """Return whether the group is excluded from new work."""
        return self.suspected_since_ms is not None

    def suspect(self, now_ms: clock.Millis) -> None:
        """Mark the group as stalled or unreachable."""
        if self.suspected_since_ms is None:
            self.suspected_since_ms = now_ms

    def expire_suspicion(self, now_ms: clock.Millis) -> None:
        """End a suspicion that no request can refute any more.

        Call this for groups that the coordinator lists.
        """
        if (
            not self.active
            and self.suspected_since_ms is not None
            and now_ms - self.suspected_since_ms > SUSPICION_MS
        ):
            self.suspected_since_ms = None
            self.check_requested = False

    def observe_gap(self, gap_ms: float, predicted_ms: float) -> None:
        """Record a gap between two events and its prediction."""
        ratio = gap_ms / max(1.0, predicted_ms)
        self.slowness = smoothed_slowness(self.slowness, ratio, 1)
        self.gap_ratio_sum += ratio
        self.gap_count += 1

    def take_gap_stats(self) -> tuple[float, int]:
        """Return the mean gap ratio and the gap count since the last call."""
        mean, count = (
            self.gap_ratio_sum / max(1, self.gap_count),
            self.gap_count,
        )
        self.gap_ratio_sum, self.gap_count = 0.0, 0
        return mean, count

    def silent_ms(self, now_ms: clock.Millis) -> clock.Millis:
        """Return the time without an event while requests are active."""
        if not self.active or self.busy_since_ms is None:
            return 0
        since = self.busy_since_ms
        if self.last_event_ms is not None:
            since = max(since, self.last_event_ms)
        return max(0, now_ms - since)

    def has_stalled(self, pass_ms: float, now_ms: clock.Millis) -> bool:
        """Return whether the group is silent and may not go on.

        That is beyond the stall limit, or earlier if there are other signs.
        """
        if (self.lost or self.suspected) and self.needs_check(pass_ms, now_ms):
            return True
        limit_ms = max(STALL_MS, STALL_PASSES * pass_ms * self.slowness)
        return self.silent_ms(now_ms) > limit_ms

    def needs_check(self, pass_ms: float, now_ms: clock.Millis) -> bool:
        """Return whether the group's members should be asked for reports."""
        limit_ms = max(
            CHECK_AFTER_MS, CHECK_AFTER_PASSES * pass_ms * self.slowness
        )
        return self.silent_ms(now_ms) > limit_ms
