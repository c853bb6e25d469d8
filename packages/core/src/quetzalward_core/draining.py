"""What a stopping node still takes on, and when it ends what is left."""

import attrs

from quetzalward_core import clock

# Time within which the load balancer has seen two failed readiness checks and
# stops sending new connections.
_BALANCER_REMOVAL_MS = 3_200
# A stream that has begun cannot be given a status when the end of the grace
# ends it, so that none begins later than this.
_LATEST_STREAM_MS = 2_500
# Time before the process is killed at which requests without a response get
# one, and at which streams are cut.
_ANSWER_MARGIN_MS = 800
_EXIT_MARGIN_MS = 500


@attrs.frozen
class Drain:
    """The time between the signal to stop and the kill."""

    started_ms: clock.Millis
    grace_ms: clock.Millis

    @property
    def removed_ms(self) -> clock.Millis:
        """Return when the load balancer sends no new connections."""
        return self.started_ms + min(_BALANCER_REMOVAL_MS, self.grace_ms // 2)

    @property
    def answer_ms(self) -> clock.Millis:
        """Return the time by which every request has a response."""
        return self.started_ms + self.grace_ms - _ANSWER_MARGIN_MS

    @property
    def end_ms(self) -> clock.Millis:
        """Return the time at which streams that go on are cut."""
        return self.started_ms + self.grace_ms - _EXIT_MARGIN_MS

    def may_begin(self, expected_ms: float, now_ms: clock.Millis) -> bool:
        """Tell whether a request that takes so long ends in time."""
        return now_ms + expected_ms <= self.answer_ms

    def may_begin_stream(
        self, expected_ms: float, now_ms: clock.Millis
    ) -> bool:
        """Tell whether a stream that takes so long may begin."""
        return (
            now_ms <= self.started_ms + _LATEST_STREAM_MS
            and self.may_begin(expected_ms, now_ms)
        )
