"""Which configuration is the latest, when the store may have lost some."""

import attrs

from quetzalward_core import clock

# Time within which operators and targets have written again what a restored
# store lost: the users name 2 s for targets' entries and state none for
# operators, whose machines are excused for `contactMs`, 3 s.
REWRITE_GRACE_MS = 3_000
# Time for which a node that has just started waits for word of the others.
START_GRACE_MS = 1_000
# Time for which word of a later configuration counts; it is repeated with
# each message.
WORD_MAX_AGE_MS = 2_000
# Time after which the store's configuration replaces one in force whose
# version is higher: the operators have begun to count anew.
RENUMBER_MS = 30_000


@attrs.frozen(order=True)
class Precedence:
    """Orders configurations; the higher one is in force."""

    # Era of the store in which versions began anew; 0 if they never did.
    numbering: int = -1
    version: int = -1


@attrs.define
class ConfirmationGate:
    """Tells whether a read of the store shows the latest configuration.

    A restored store has an older one until the operators have written again.
    A node then needs word from the others, who may know a later one, and so
    does a node that starts, since it cannot know of a restore just before.
    """

    # Whether this node knows what was in force before the last restore.
    is_informed: bool = False
    _since_ms: clock.Millis | None = None
    _grace_ms: clock.Millis = 0
    _latest: Precedence = Precedence()
    _latest_ms: clock.Millis = 0

    def begin(self, now_ms: clock.Millis, grace_ms: clock.Millis) -> None:
        """Require word from other nodes for up to `grace_ms`."""
        self._since_ms, self._grace_ms = now_ms, grace_ms

    def hear(
        self,
        precedence: Precedence,
        is_reliable: bool,
        now_ms: clock.Millis,
    ) -> None:
        """Process what another node has in force.

        It is reliable if the node knows what was in force before a restore,
        or has word of it.
        """
        if precedence >= self._latest or self._is_word_old(now_ms):
            self._latest, self._latest_ms = precedence, now_ms
        if is_reliable:
            self.settle()

    def settle(self) -> None:
        """Require no further word."""
        self._since_ms = None
        self.is_informed = True

    def is_settled(self, own: Precedence, now_ms: clock.Millis) -> bool:
        """Tell whether `own` is the latest if a read shows none above it."""
        if own < self._latest and not self._is_word_old(now_ms):
            return False
        if self._since_ms is None:
            return True
        if now_ms - self._since_ms < self._grace_ms:
            return False
        self.settle()
        return True

    def _is_word_old(self, now_ms: clock.Millis) -> bool:
        return now_ms - self._latest_ms > WORD_MAX_AGE_MS
