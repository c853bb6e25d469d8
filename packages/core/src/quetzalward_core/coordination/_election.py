"""Which node coordinates; pure decisions.

A term begins with a record that is appended to the platform's store on
condition that no other record came first; its offset orders the terms. The
holder proves its life by messages to the other nodes, so that the store is
only written when the duty changes hands.
"""

import attrs

from quetzalward_core import clock

# The holder sends every 150 to 600 ms; three missed messages are silence.
SILENCE_MS = 1_000
# Nodes look at different times, so that one claim usually goes alone.
MAX_STAGGER_MS = 500
# Weak machines leave the duty to others unless nobody else takes it.
WEAK_DELAY_MS = 700
# A holder that was deposed and heard nobody is cut off from its peers.
COOL_DOWN_MS = 4_000
# The holder's reads wait for half a second; twice a slow answer more is a
# store that it cannot reach.
BLIND_MS = 1_500
# A node that has just taken the duty relied on relayed reads before; it has
# this long to read by itself.
BLIND_PATIENCE_MS = 800
# A claimant that found a newer record gives its holder time to be heard.
GRACE_MS = 1_200


@attrs.frozen
class Term:
    """A claim in the store; a later one has a higher number."""

    number: int
    node: str
    # Where the holder hears the other nodes.
    address: str


@attrs.define
class Election:
    """Follows the holder of the duty and decides when to claim it."""

    node: str
    stagger_ms: clock.Millis
    started_ms: clock.Millis = 0
    term: Term | None = None
    _heard_ms: clock.Millis | None = None
    _learned_ms: clock.Millis | None = None
    _peer_ms: clock.Millis | None = None
    _rest_until_ms: clock.Millis = 0
    # Since when the holder has been without the store.
    _blind_ms: clock.Millis | None = None

    @property
    def is_holder(self) -> bool:
        """Tell whether this node holds the duty, as far as it knows."""
        return self.term is not None and self.term.node == self.node

    def heard_peer(self, now_ms: clock.Millis) -> None:
        """Note a message of any other node."""
        self._peer_ms = now_ms

    def heard(self, term: Term, now_ms: clock.Millis) -> bool:
        """Take a message of a holder; false if it is of an old term."""
        if self.term is not None and term.number < self.term.number:
            return False
        self._learn(term, now_ms)
        self._heard_ms = now_ms
        return True

    def read(self, term: Term | None, now_ms: clock.Millis) -> bool:
        """Take the newest record; true if the duty should be claimed."""
        if term is not None and (
            self.term is None or term.number > self.term.number
        ):
            self._learn(term, now_ms)
            if term.node != self.node:
                return False
        if self.is_holder and term is not None:
            # A restarted process does not know the state of its old term.
            return self._heard_ms is None
        return self.should_look(now_ms)

    def store_age(
        self, age_ms: clock.Millis | None, now_ms: clock.Millis
    ) -> None:
        """Take the age of what the holder last read from the store.

        A holder that the store turns away sees no target come or go; a
        node that the store still serves takes the duty from it.
        """
        if age_ms is not None and age_ms < BLIND_MS:
            self._blind_ms = None
        elif self._blind_ms is None:
            self._blind_ms = now_ms

    def claimed(self, term: Term, now_ms: clock.Millis) -> None:
        """Note that this node's claim was accepted."""
        self._learn(term, now_ms)
        self._heard_ms = now_ms

    def should_look(self, now_ms: clock.Millis) -> bool:
        """Tell whether the holder was silent for too long."""
        if self.is_holder and self._heard_ms is not None:
            return False
        if now_ms < self._rest_until_ms:
            return False
        if self._blind_ms is not None:
            waited_ms = now_ms - self._blind_ms
            return waited_ms >= BLIND_PATIENCE_MS + self.stagger_ms
        if self._heard_ms is None and self._learned_ms is None:
            # Nodes that start together would all claim the first term.
            return now_ms - self.started_ms >= self.stagger_ms
        wait = SILENCE_MS + self.stagger_ms
        if self._heard_ms is not None and now_ms - self._heard_ms < wait:
            return False
        if self._learned_ms is not None:
            return now_ms - self._learned_ms >= GRACE_MS + self.stagger_ms
        return True

    def holds(self, term: int) -> bool:
        """Tell whether this node still holds a term that it claimed."""
        return (
            self.is_holder
            and self.term is not None
            and self.term.number == term
        )

    def _learn(self, term: Term, now_ms: clock.Millis) -> None:
        if self.term is not None and self.term.number == term.number:
            return
        was_holder = self.is_holder
        self.term = term
        self._learned_ms = now_ms
        self._heard_ms = None
        self._blind_ms = None
        if was_holder and not self.is_holder:
            alone = (
                self._peer_ms is None or now_ms - self._peer_ms > SILENCE_MS
            )
            if alone:
                self._rest_until_ms = now_ms + COOL_DOWN_MS
