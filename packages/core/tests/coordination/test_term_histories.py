"""All short histories of terms under a store that goes back."""

import collections.abc
import itertools
import unittest

import attrs

from quetzalward_core import coordination

NODES = ("a", "b")
MAX_EVENTS = 6
MAX_RESTORES = 2

_NextNumber = collections.abc.Callable[[coordination.Election, int, int], int]


class ConflictFound(Exception):
    """Two nodes hold the same term, or a later term has a lower number."""


@attrs.define
class World:
    """Nodes that claim terms in a store which is restored from copies."""

    next_number: _NextNumber
    era: int = 1
    records: list[coordination.Term] = attrs.field(factory=list)
    elections: dict[str, coordination.Election] = attrs.field(
        factory=lambda: {n: coordination.Election(n, 0.0) for n in NODES}
    )
    # Terms that their nodes have begun, in the order of their claims.
    begun: list[coordination.Term] = attrs.field(factory=list)

    def apply(self, event: tuple[str, str]) -> None:
        """Carry out one event."""
        kind, node = event
        getattr(self, f"_{kind}")(node)

    def _claim(self, node: str) -> None:
        election = self.elections[node]
        newest = self.records[-1] if self.records else None
        election.update_from_store(newest, 0)
        end = len(self.records)
        number = self.next_number(election, self.era, end)
        term = coordination.Term(number, node, f"{node}:1")
        self.records.append(term)
        for earlier in self.begun:
            if earlier.number >= number:
                raise ConflictFound(f"{earlier} before {term}")
        self.begun.append(term)
        election.record_claim(term, 0)

    def _restart(self, node: str) -> None:
        self.elections[node] = coordination.Election(node, 0.0)

    def _restore(self, lost: str) -> None:
        del self.records[max(0, len(self.records) - int(lost)) :]
        self.era += 1

    def _hear(self, node: str) -> None:
        if self.begun:
            self.elections[node].accept_holder_message(self.begun[-1], 0)


def events() -> list[tuple[str, str]]:
    """Return all events that may come at any moment."""
    found = [("restore", str(lost)) for lost in (0, 1, 50)]
    for node in NODES:
        found += [(kind, node) for kind in ("claim", "restart", "hear")]
    return found


def check_histories(next_number: _NextNumber, length: int) -> int:
    """Play all histories of a length; return their number."""
    count = 0
    for history in itertools.product(events(), repeat=length):
        if sum(kind == "restore" for kind, _ in history) > MAX_RESTORES:
            continue
        world = World(next_number)
        for event in history:
            world.apply(event)
        count += 1
    return count


class TermHistoryTest(unittest.TestCase):
    """Guards against a term that two nodes hold after a restore."""

    def test_terms_rise_over_all_histories(self) -> None:
        """Groups take their epochs from terms, so these must not repeat."""
        for length in range(1, MAX_EVENTS):
            self.assertGreater(
                check_histories(coordination.Election.next_number, length),
                0,
            )

    def test_term_without_its_era_is_found(self) -> None:
        """Deliberate fault: the offset alone numbers the terms."""
        with self.assertRaises(ConflictFound):
            for length in range(1, MAX_EVENTS):
                check_histories(lambda e, era, end: end + 1, length)

    def test_term_above_the_known_ones_only_is_found(self) -> None:
        """Deliberate fault: a node that has just started knows none."""
        with self.assertRaises(ConflictFound):
            for length in range(1, MAX_EVENTS):
                check_histories(
                    lambda e, era, end: e.next_number(0, end), length
                )


if __name__ == "__main__":
    unittest.main()
