"""Election of the node that coordinates, without I/O.

A node claims a term by appending a record to the platform's store on the
condition that no other record was appended first; the era of the store and
the record's offset order the terms. The holder of the term, which is the
coordinator, sends heartbeats to the other nodes directly, so that the store is
only written when the coordinator changes.
"""

import attrs

from quetzalward_core import clock

# A holder or peer counts as silent after this time without a message. The
# holder sends one every 150 to 200 ms; five missed ones are silence.
MESSAGE_TIMEOUT_MS = 1_000
# Nodes read the store at staggered times, so that claims seldom collide and
# the first claimant's messages arrive before most others read. With more
# nodes than `STAGGERED_NODES` the range grows in proportion, so that the first
# of them still reads after about the same time.
MAX_STAGGER_MS = 500
STAGGERED_NODES = 30
# Nodes of low capacity wait longer, so that they coordinate only if no other
# node claims the term.
LOW_CAPACITY_DELAY_MS = 700
# A holder that lost its term while it received no messages is cut off from its
# peers and does not claim again for this long.
COOL_DOWN_MS = 4_000
# Age of the holder's last read of the store from which the store counts as
# unreachable for it: a read waits for 0.5 s, plus two slow answers.
STORE_STALE_MS = 1_500
# Time that a new holder has for its first own read of the store; before, it
# relied on the reads that the previous holder relayed.
STORE_READ_GRACE_MS = 800
# Time that a node which read a newer record allows for its holder's first
# message.
NEW_TERM_GRACE_MS = 1_200
# Numbers reserved for the terms of one era. The epochs of groups are derived
# from them and stay below 2**53, which JSON readers represent exactly, up to
# era 2047.
TERMS_PER_ERA = 1 << 22


def first_number(era: int) -> int:
    """Return the lowest number of a term that is claimed in an era."""
    return max(0, era) * TERMS_PER_ERA + 1


@attrs.frozen
class Term:
    """A claim in the store; a later one has a higher number.

    The number is part of the record, so that it stays the same when the
    store is restored, or when the holder writes a lost record again.
    """

    number: int
    node: str
    # Address at which the holder receives messages from the other nodes.
    address: str


@attrs.define
class Election:
    """Tracks the current term and decides when to claim the next one."""

    node: str
    # Position of this node in the range of staggered times, 0 to 1.
    stagger_share: float
    # Time that is added for a node of low capacity.
    delay_ms: clock.Millis = 0
    started_ms: clock.Millis = 0
    node_count: int = 1
    # Whether this node stops soon and claims no term.
    is_leaving: bool = False
    term: Term | None = None
    _holder_message_ms: clock.Millis | None = None
    _term_learned_ms: clock.Millis | None = None
    _peer_message_ms: clock.Millis | None = None
    _cool_down_until_ms: clock.Millis = 0
    # Since when the holder has announced that it stops.
    _holder_leaving_since_ms: clock.Millis | None = None
    # Since when the holder has not read the store successfully.
    _store_stale_since_ms: clock.Millis | None = None

    @property
    def stagger_ms(self) -> clock.Millis:
        """Return the time by which this node reads later than due."""
        range_ms = MAX_STAGGER_MS * max(1.0, self.node_count / STAGGERED_NODES)
        return self.delay_ms + round(self.stagger_share * range_ms)

    @property
    def is_holder(self) -> bool:
        """Tell whether this node holds the latest term that it knows of."""
        return self.term is not None and self.term.node == self.node

    def record_peer_message(self, now_ms: clock.Millis) -> None:
        """Record a message from any other node."""
        self._peer_message_ms = now_ms

    def accept_holder_message(
        self, term: Term, now_ms: clock.Millis, is_leaving: bool = False
    ) -> bool:
        """Process a holder's message; false if its term is outdated.

        A holder that stops announces it with `is_leaving` and continues
        until another node has claimed the next term.
        """
        if self.term is not None and term.number < self.term.number:
            return False
        self._set_term(term, now_ms)
        self._holder_message_ms = now_ms
        if not is_leaving:
            self._holder_leaving_since_ms = None
        elif self._holder_leaving_since_ms is None:
            self._holder_leaving_since_ms = now_ms
        return True

    def update_from_store(
        self, term: Term | None, now_ms: clock.Millis
    ) -> bool:
        """Process the newest record; true if a new term should be claimed."""
        if term is not None and (
            self.term is None or term.number > self.term.number
        ):
            self._set_term(term, now_ms)
            if term.node != self.node:
                return False
        if self.is_holder and term is not None:
            # A restarted process has lost the state of its old term.
            return self._holder_message_ms is None
        return self.should_read_store(now_ms)

    def update_store_age(
        self, age_ms: clock.Millis | None, now_ms: clock.Millis
    ) -> None:
        """Process the age of the holder's last read of the store.

        A holder that cannot read the store does not observe targets that
        come or go; a node that still can claims the next term.
        """
        if age_ms is not None and age_ms < STORE_STALE_MS:
            self._store_stale_since_ms = None
        elif self._store_stale_since_ms is None:
            self._store_stale_since_ms = now_ms

    def next_number(self, era: int, end: int) -> int:
        """Return the number of a claim that is appended at `end`.

        It is above those of all terms that this node knows of, and above
        those of earlier eras, of which it may know none.
        """
        known = 0 if self.term is None else self.term.number
        return max(known + 1, first_number(era) + end)

    def record_claim(self, term: Term, now_ms: clock.Millis) -> None:
        """Record that this node's claim was accepted."""
        self._set_term(term, now_ms)
        self._holder_message_ms = now_ms

    def should_read_store(self, now_ms: clock.Millis) -> bool:
        """Tell whether to read the store, with a view to a claim.

        That is the case if the holder stops, or if it sent no message or
        could not read the store for too long.
        """
        if self.is_leaving:
            return False
        if self.is_holder and self._holder_message_ms is not None:
            return False
        if now_ms < self._cool_down_until_ms:
            return False
        if self._holder_leaving_since_ms is not None:
            waited_ms = now_ms - self._holder_leaving_since_ms
            return waited_ms >= self.stagger_ms
        if self._store_stale_since_ms is not None:
            waited_ms = now_ms - self._store_stale_since_ms
            return waited_ms >= STORE_READ_GRACE_MS + self.stagger_ms
        if self._holder_message_ms is None and self._term_learned_ms is None:
            # The stagger keeps nodes that start together from all claiming
            # the first term.
            return now_ms - self.started_ms >= self.stagger_ms
        wait = MESSAGE_TIMEOUT_MS + self.stagger_ms
        if (
            self._holder_message_ms is not None
            and now_ms - self._holder_message_ms < wait
        ):
            return False
        if self._term_learned_ms is not None:
            return (
                now_ms - self._term_learned_ms
                >= NEW_TERM_GRACE_MS + self.stagger_ms
            )
        return True

    def holds_term(self, term: int) -> bool:
        """Tell whether this node still holds a term that it claimed."""
        return (
            self.is_holder
            and self.term is not None
            and self.term.number == term
        )

    def _set_term(self, term: Term, now_ms: clock.Millis) -> None:
        known = self.term
        if known is not None and (known.number, known.node) == (
            term.number,
            term.node,
        ):
            return
        was_holder = self.is_holder
        self.term = term
        self._term_learned_ms = now_ms
        self._holder_message_ms = None
        self._holder_leaving_since_ms = None
        self._store_stale_since_ms = None
        if was_holder and not self.is_holder:
            is_isolated = (
                self._peer_message_ms is None
                or now_ms - self._peer_message_ms > MESSAGE_TIMEOUT_MS
            )
            if is_isolated:
                self._cool_down_until_ms = now_ms + COOL_DOWN_MS
