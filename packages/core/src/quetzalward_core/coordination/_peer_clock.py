"""Bounds the age of another node's messages without synchronized clocks."""

import attrs

from quetzalward_core import clock

# Allowance for clocks that run at different rates: 1 ms in 2 s is 500 ppm, ten
# times the tolerance of common oscillators.
DRIFT_INTERVAL_MS = 2_000


@attrs.define
class PeerClock:
    """Relation of a peer's clock to this node's.

    Both clocks include suspension. A message that answers one sent at
    `echo_ms` was not sent before that time, however late it is received, so
    the difference of both clocks has a lower bound. The largest bound of all
    exchanges is the most accurate one.
    """

    _offset_ms: clock.Millis | None = None
    _exchanged_ms: clock.Millis = 0

    def record_exchange(
        self, echo_ms: clock.Millis, peer_sent_ms: clock.Millis
    ) -> None:
        """Record a message sent at `peer_sent_ms` on the peer's clock.

        It answers a message that this node sent at `echo_ms`.
        """
        offset_ms = echo_ms - peer_sent_ms
        known_ms = self._offset_at(peer_sent_ms)
        if known_ms is None or offset_ms >= known_ms:
            self._offset_ms = offset_ms
            self._exchanged_ms = peer_sent_ms

    def earliest_ms(self, peer_sent_ms: clock.Millis) -> clock.Millis | None:
        """Return this node's time before which a message was not sent.

        `None` if the peer has answered no message yet.
        """
        offset_ms = self._offset_at(peer_sent_ms)
        return None if offset_ms is None else peer_sent_ms + offset_ms

    def _offset_at(self, peer_sent_ms: clock.Millis) -> clock.Millis | None:
        if self._offset_ms is None:
            return None
        elapsed_ms = abs(peer_sent_ms - self._exchanged_ms)
        return self._offset_ms - -(-elapsed_ms // DRIFT_INTERVAL_MS)
