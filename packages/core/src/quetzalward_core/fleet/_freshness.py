"""How long a node may use the configuration that it last confirmed."""

import attrs

from quetzalward_core import clock

# Allows for the time between the check and the start of the request.
REVOKE_MARGIN_MS = 200
# Share of `revoke_ms` after which a node is not ready, so that callers move to
# other nodes before requests have to be refused.
READY_SHARE = 0.5


@attrs.define
class Freshness:
    """Age of the last confirmation that no newer configuration exists.

    Times must come from a clock that includes suspension. Otherwise a node
    that resumes would accept keys that were revoked while it was suspended.
    """

    # Time within which a revoked key must stop working; `None`: no limit.
    revoke_ms: clock.Millis | None
    confirmed_ms: clock.Millis | None = None

    def confirm(self, at_ms: clock.Millis) -> None:
        """Record that the configuration was the newest at `at_ms`."""
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.confirmed_ms = at_ms

    def age_ms(self, now_ms: clock.Millis) -> clock.Millis | None:
        """Return the age of the confirmation; `None` if there was none."""
        if self.confirmed_ms is None:
            return None
        return now_ms - self.confirmed_ms

    def may_serve_keys(self, now_ms: clock.Millis) -> bool:
        """Tell whether a request with an API key may be served."""
        age = self.age_ms(now_ms)
        if age is None:
            return False
        if self.revoke_ms is None:
            return True
        return age <= self.revoke_ms - REVOKE_MARGIN_MS

    @property
    def ready_max_age_ms(self) -> clock.Millis | None:
        """Return the age from which a node is not ready; `None`: no limit."""
        if self.revoke_ms is None:
            return None
        return round(self.revoke_ms * READY_SHARE)

    def is_ready(self, now_ms: clock.Millis) -> bool:
        """Tell whether this node should receive new callers."""
        age = self.age_ms(now_ms)
        if age is None:
            return False
        max_age_ms = self.ready_max_age_ms
        return max_age_ms is None or age <= max_age_ms
