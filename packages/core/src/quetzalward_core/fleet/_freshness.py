"""How long a node may act on the configuration that it last confirmed."""

import attrs

from quetzalward_core import clock

# Allows for the time between the check and the start of the request.
REVOKE_MARGIN_MS = 200
# Callers are sent elsewhere in time: at 0.5 of the bound, before requests
# have to be refused at the bound itself.
READY_SHARE = 0.5


@attrs.define
class Freshness:
    """Age of the last proof that no newer configuration exists.

    Times come from a clock that counts suspension, or a node that wakes
    would trust keys that were revoked while it stood still.
    """

    # Time within which a revoked key must stop working; `None`: no bound.
    revoke_ms: clock.Millis | None
    confirmed_ms: clock.Millis | None = None

    def confirm(self, at_ms: clock.Millis) -> None:
        """Note that the store had nothing newer at `at_ms`."""
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.confirmed_ms = at_ms

    def age_ms(self, now_ms: clock.Millis) -> clock.Millis | None:
        """Return the age of the proof; `None` if there never was one."""
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

    def is_ready(self, now_ms: clock.Millis) -> bool:
        """Tell whether new callers should come to this node."""
        age = self.age_ms(now_ms)
        if age is None:
            return False
        if self.revoke_ms is None:
            return True
        return age <= self.revoke_ms * READY_SHARE
