"""The limit that a target names, and the evidence that it has ended."""

import typing

import attrs

from quetzalward_core import clock

# Id of a target and the time of its start. A restart ends its limit.
TargetKey = tuple[str, int]
# Service and model whose requests a target serves; no model if it is plain.
PoolKey = tuple[str, str]

# Answers without a limit that end it. One may have overtaken another.
ENDING_ANSWERS = 2
# Only answers to requests that were sent this long after the last answer with
# the limit count, since the times come from different nodes.
ORDER_MARGIN_MS = 250


@attrs.frozen
class LimitNotice:
    """What an answer says of its target's limit."""

    # Requests a second that the target takes from all nodes together; `None`
    # if the answer names no limit.
    per_s: float | None


@attrs.define
class NamedLimit:
    """A target's limit, and the answers that named none since."""

    pool: PoolKey
    per_s: float
    # When the last answer with the limit was received.
    named_ms: clock.Millis
    # When the requests were sent whose answers named none, by node.
    _unnamed_sent_ms: dict[str, tuple[clock.Millis, ...]] = attrs.field(
        factory=dict, init=False
    )

    def record_named(
        self, pool: PoolKey, per_s: float, at_ms: clock.Millis
    ) -> None:
        """Record an answer with the limit; the newest one counts."""
        if at_ms >= self.named_ms:
            self.pool, self.per_s, self.named_ms = pool, per_s, at_ms

    def record_unnamed(
        self, node: str, sent_ms: typing.Iterable[clock.Millis]
    ) -> None:
        """Record when a node sent the requests whose answers named none.

        They replace what was recorded of the node before.
        """
        self._unnamed_sent_ms[node] = tuple(sent_ms)

    def unnamed_sent_ms(self) -> list[clock.Millis]:
        """Return when the requests were sent that show the limit's end."""
        earliest_ms = self.named_ms + ORDER_MARGIN_MS
        return [
            sent_ms
            for times_ms in self._unnamed_sent_ms.values()
            for sent_ms in times_ms
            if sent_ms > earliest_ms
        ]

    @property
    def has_ended(self) -> bool:
        """Tell whether the target names its limit no longer."""
        return len(self.unnamed_sent_ms()) >= ENDING_ANSWERS
