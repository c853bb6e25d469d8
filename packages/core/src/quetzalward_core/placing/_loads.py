"""Load and liveness of groups, from this node's streams and from others."""

import attrs

from quetzalward_core import clock
from quetzalward_core.placing import _cost

# Shares of others older than this no longer count in full: their answers
# have mostly ended.
SHARED_MAX_AGE_MS = 1_500
# About ten pauses, half a second of one stream, change the measured pace.
_GAP_WEIGHT = 0.1
# A group is never much faster than published; a slower one than this does
# not differ from one that has stalled.
MIN_SLOWNESS = 0.8
MAX_SLOWNESS = 20.0
# A group that produced nothing for this long with work in hand has stalled;
# a pass with prompts to read takes about a quarter of it.
STALL_MS = 700
# Its members are asked for reports earlier, which costs little if it is well.
DOUBT_MS = 260
# Passes that a slow group may miss before it is doubted, or has stalled.
DOUBT_PASSES = 3
STALL_PASSES = 6


def smooth(slowness: float, measured: float, count: int) -> float:
    """Return a group's slowness after `count` pauses of a mean length."""
    weight = 1 - (1 - _GAP_WEIGHT) ** count
    slowness += weight * (measured - slowness)
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


@attrs.define
class GroupLoad:
    """What this node knows of one group's work."""

    active: int = 0
    unread_tokens: int = 0
    # Work of the other nodes and when it was learned.
    others_active: float = 0.0
    others_unread: float = 0.0
    others_ms: clock.Millis | None = None
    # Last event of any stream, here or at another node.
    event_ms: clock.Millis | None = None
    # Since when this node has had work there without a pause.
    busy_ms: clock.Millis | None = None
    slowness: float = 1.0
    # Pauses that the other nodes have not been told of.
    pace_sum: float = 0.0
    paces: int = 0
    # The group is silent and its members are being asked.
    doubted: bool = False
    # The coordinator has given the group up in this epoch.
    lost: bool = False
    # Since when the group counts as stalled or unreachable.
    suspected_ms: clock.Millis | None = None
    # Last event of a stream of this node.
    own_event_ms: clock.Millis | None = None
    # This node's work as it last told the others.
    shared_active: float = 0.0
    shared_unread: float = 0.0

    def load(self, now_ms: clock.Millis) -> _cost.Load:
        """Return the group's work over all nodes."""
        active, unread = float(self.active), float(self.unread_tokens)
        if (
            self.others_ms is not None
            and now_ms - self.others_ms <= SHARED_MAX_AGE_MS
        ):
            active += self.others_active
            unread += self.others_unread
        return _cost.Load(active, unread)

    def started(self, prompt_tokens: int, now_ms: clock.Millis) -> None:
        """Count a request sent to the group."""
        if not self.active:
            self.busy_ms = now_ms
        self.active += 1
        self.unread_tokens += prompt_tokens

    def read(self, prompt_tokens: int) -> None:
        """Note that a request's prompt has been read, or given up."""
        self.unread_tokens = max(0, self.unread_tokens - prompt_tokens)

    def ended(self) -> None:
        """Count a request that ended."""
        self.active = max(0, self.active - 1)

    def produced(self, now_ms: clock.Millis) -> None:
        """Note an event of any stream, which proves the group alive."""
        self.own_event_ms = now_ms
        self.heard(now_ms)

    def heard(self, event_ms: clock.Millis) -> None:
        """Note when any node last received an event of the group."""
        if self.event_ms is None or event_ms > self.event_ms:
            self.event_ms = event_ms
            self.doubted = False
        if self.suspected_ms is not None and event_ms > self.suspected_ms:
            self.suspected_ms = None

    @property
    def suspected(self) -> bool:
        """Tell whether the group gets no new work."""
        return self.suspected_ms is not None

    def suspect(self, now_ms: clock.Millis) -> None:
        """Note that the group has stalled or cannot be reached."""
        if self.suspected_ms is None:
            self.suspected_ms = now_ms

    def paced(self, gap_ms: float, predicted_ms: float) -> None:
        """Note a pause between events against the predicted one."""
        ratio = gap_ms / max(1.0, predicted_ms)
        self.slowness = smooth(self.slowness, ratio, 1)
        self.pace_sum += ratio
        self.paces += 1

    def take_paces(self) -> tuple[float, int]:
        """Return mean and number of the pauses since the last call."""
        mean, count = self.pace_sum / max(1, self.paces), self.paces
        self.pace_sum, self.paces = 0.0, 0
        return mean, count

    def silent_ms(self, now_ms: clock.Millis) -> clock.Millis:
        """Return for how long the group has produced nothing for us."""
        if not self.active or self.busy_ms is None:
            return 0
        since = self.busy_ms
        if self.event_ms is not None:
            since = max(since, self.event_ms)
        return max(0, now_ms - since)

    def has_stalled(self, pass_ms: float, now_ms: clock.Millis) -> bool:
        """Tell whether the group has been silent for too long."""
        limit = max(STALL_MS, STALL_PASSES * pass_ms * self.slowness)
        return self.silent_ms(now_ms) > limit

    def is_doubtful(self, pass_ms: float, now_ms: clock.Millis) -> bool:
        """Tell whether the group's members should be asked for reports."""
        limit = max(DOUBT_MS, DOUBT_PASSES * pass_ms * self.slowness)
        return self.silent_ms(now_ms) > limit
