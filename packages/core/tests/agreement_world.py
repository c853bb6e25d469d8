"""A simulated log with faults, its readers, and its writers.

Shared by the fuzz tests of the agreement; nothing here runs in a node.
"""

import os
import random
import typing

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from quetzalward_core import agreement
from quetzalward_core import errors

DEFAULT_EXAMPLES = 150
STEPS = 60
# Small enough for several parts even of a small state.
SNAPSHOT_PART_CHARS = 300

NODE_COUNT = 3
NODES = strategies.integers(0, NODE_COUNT - 1)
FAULTS = ("none", "lost_request", "delayed", "duplicate")
# Most appends succeed, so that runs reach states worth disturbing.
DRAWN_FAULTS = ("none",) * 4 + FAULTS
FAULT = strategies.sampled_from(DRAWN_FAULTS)

FoldT = typing.TypeVar("FoldT", bound=agreement.Fold)


def run_machine(machine: type[stateful.RuleBasedStateMachine]) -> None:
    """Run a state machine with the fixed seed, or as the environment says.

    QUETZALWARD_FUZZ_SEED draws other runs, QUETZALWARD_FUZZ_EXAMPLES sets
    their number.
    """
    seed = os.environ.get("QUETZALWARD_FUZZ_SEED")
    examples = os.environ.get("QUETZALWARD_FUZZ_EXAMPLES")
    settings = hypothesis.settings(
        derandomize=seed is None,
        database=None,
        deadline=None,
        max_examples=int(examples or DEFAULT_EXAMPLES),
        stateful_step_count=STEPS,
        print_blob=False,
        phases=_phases(),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if seed is not None:
        machine = hypothesis.seed(int(seed))(machine)
    stateful.run_state_machine_as_test(machine, settings=settings)


def _phases() -> list[hypothesis.Phase]:
    """Leave out shrinking, which takes minutes, where nobody reads it."""
    phases = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
    if os.environ.get("QUETZALWARD_FUZZ_SHRINK") != "0":
        phases.append(hypothesis.Phase.shrink)
    return phases


@attrs.define
class Message:
    """An append on its way to the log; it may be delivered repeatedly."""

    data: str


def picture(fold: agreement.Fold) -> tuple[bytes, typing.Any]:
    """Return the bytes of a fold, and what its readers see.

    The bytes alone would not show a part that they leave out.
    """
    seen: typing.Any = None
    if isinstance(fold, agreement.ControlState):
        seen = fold.view()
    elif isinstance(fold, agreement.CallState):
        seen = (list(fold.keys()), sorted(fold._abandoned_ms_by_intent))
    return fold.to_bytes(), seen


class World(typing.Generic[FoldT]):
    """A log with one stream, and the reference fold of all its records."""

    def __init__(self, fold_class: type[FoldT]) -> None:
        self.fold_class = fold_class
        self.time_ms = 0
        self.records: list[tuple[int, int, str]] = []
        self.first = 0
        self.out = False
        self.messages: list[Message] = []
        self.reference = fold_class()
        self.results: list[agreement.BatchResult] = []
        self.picture_by_next: dict[int, typing.Any] = {
            0: picture(self.reference)
        }
        self.on_result: list[
            typing.Callable[[agreement.BatchResult, str], None]
        ] = []

    @property
    def end(self) -> int:
        return len(self.records)

    def append(self, data: str) -> int:
        record = (self.end, self.time_ms, data)
        self.records.append(record)
        result = self.reference.apply_batch(*record)
        assert result is not None
        self.results.append(result)
        self.picture_by_next[self.end] = picture(self.reference)
        for listener in self.on_result:
            listener(result, data)
        return record[0]

    def snapshots(self) -> list[agreement.CompressedSnapshot]:
        """Return the complete snapshots among the kept records."""
        assembler = agreement.SnapshotAssembler()
        found = []
        for _, _, data in self.records[self.first :]:
            try:
                batch = agreement.decode_batch(data)
            except errors.QuetzalwardError:
                continue
            for entry in batch.entries:
                if isinstance(entry, agreement.SnapshotPart):
                    packed = assembler.add(entry)
                    if packed is not None:
                        found.append(packed)
        return found

    def usable(self) -> list[agreement.CompressedSnapshot]:
        """Return the snapshots from which the log can be read on."""
        return [
            snapshot
            for snapshot in self.snapshots()
            if snapshot.through_offset + 1 >= self.first
        ]

    def expire(self, first: int) -> None:
        """Drop records, unless the log would become unusable."""
        before = self.first
        self.first = max(self.first, min(first, self.end))
        if not self.usable():
            self.first = before


class Reader(typing.Generic[FoldT]):
    """A node's fold; it checks itself against the reference."""

    def __init__(self, world: World[FoldT]) -> None:
        self.world = world
        self.fold = world.fold_class()
        self.loaded = 0

    def read(self, limit: int) -> list[agreement.BatchResult]:
        """Read some records, bootstrapping again after a gap."""
        if self.fold.next_offset < self.world.first:
            self.load(-1)
        results = []
        start = self.fold.next_offset
        for record in self.world.records[start : start + limit]:
            result = self.fold.apply_batch(*record)
            assert result is not None
            assert result == self.world.results[record[0]]
            results.append(result)
        self.check()
        return results

    def load(self, choice: int) -> None:
        """Load one of the usable snapshots, unless it would move back."""
        usable = self.world.usable()
        if not usable:
            return
        snapshot = usable[choice % len(usable)]
        fold = self.world.fold_class.decode(snapshot.lines())
        if fold.next_offset > self.fold.next_offset:
            self.fold = fold
            self.loaded += 1
        self.check()

    def check(self) -> None:
        """The state must equal that of a fold of all records."""
        expected = self.world.picture_by_next[self.fold.next_offset]
        assert picture(self.fold) == expected, "folds differ"


@attrs.define
class Pending:
    """A batch whose fate its writer does not know yet."""

    seq: int
    data: str
    entries: tuple[agreement.Entry, ...]
    # Any attempt left the writer's host.
    sent: bool = False


class Writer:
    """Appends one batch at a time and repeats it until it was read back."""

    def __init__(
        self, world: World[typing.Any], reader: Reader[typing.Any], name: str
    ) -> None:
        self.world = world
        self.reader = reader
        self.name = name
        self.seq = 0
        self.pending: Pending | None = None
        self.results_by_seq: dict[int, agreement.BatchResult] = {}

    def submit(self, *entries: agreement.Entry) -> int | None:
        """Start a batch; `None` if one is in flight."""
        if self.pending is not None:
            return None
        self.seq += 1
        data = agreement.encode_batch(self.name, self.seq, entries)
        self.pending = Pending(self.seq, data, entries)
        return self.seq

    def attempt(self, fault: str) -> None:
        """Send the batch once, with a fault."""
        if self.pending is None or self.world.out:
            return
        self.pending.sent = True
        data = self.pending.data
        if fault == "delayed":
            self.world.messages.append(Message(data))
        elif fault != "lost_request":
            self.world.append(data)
        if fault == "duplicate":
            self.world.append(data)
            self.world.messages.append(Message(data))

    def read(self, limit: int) -> list[agreement.BatchResult]:
        """Read, and resolve the batch by what was read."""
        results = self.reader.read(limit)
        for result in results:
            if result.writer == self.name and result.void is None:
                self.results_by_seq[result.seq] = result
        pending = self.pending
        if pending is not None:
            if self.reader.fold.writer_seq(self.name) >= pending.seq:
                self.pending = None
        return results


def snapshot_entries(
    fold: agreement.Fold, name: str, rng: random.Random
) -> list[agreement.SnapshotPart]:
    """Return a snapshot's parts in any order, some of them repeated."""
    snapshot = agreement.Snapshot(name, fold.next_offset - 1, fold.encode())
    parts = agreement.split_snapshot(snapshot, SNAPSHOT_PART_CHARS)
    parts += rng.choices(parts, k=rng.randrange(2))
    rng.shuffle(parts)
    return parts


class FaultMachine(stateful.RuleBasedStateMachine):
    """Faults of time, network and log, drawn together and repeatedly.

    A subclass sets `fold_class` and makes nodes with `cut`, `reader`,
    `writer`, `read` and `loaded_snapshot`.
    """

    fold_class: typing.ClassVar[type[agreement.Fold]]

    def __init__(self) -> None:
        super().__init__()
        self.world: World[typing.Any] = World(self.fold_class)
        self.starts = 0
        self.snapshot_number = 0
        self.prepare()
        self.nodes = [self.start(number) for number in range(NODE_COUNT)]

    def prepare(self) -> None:
        """Set up what the subclass needs before its nodes."""

    def make_node(self, number: int, start: int) -> typing.Any:
        raise NotImplementedError

    def start(self, number: int) -> typing.Any:
        self.starts += 1
        return self.make_node(number, self.starts)

    @stateful.rule(
        delta_ms=strategies.sampled_from((1, 100, 2_999, 5_000, 9_999))
    )
    def advance(self, delta_ms: int) -> None:
        self.world.time_ms += delta_ms

    # Most of the time log and network work, or nothing would happen.
    @stateful.rule(out=strategies.sampled_from((False, False, False, True)))
    def outage(self, out: bool) -> None:
        self.world.out = out

    @stateful.rule(
        number=NODES, cut=strategies.sampled_from((False, False, True))
    )
    def partition(self, number: int, cut: bool) -> None:
        self.nodes[number].cut = cut

    @stateful.rule(
        index=strategies.integers(0, 7), again=strategies.booleans()
    )
    def deliver(self, index: int, again: bool) -> None:
        messages = self.world.messages
        if messages and not self.world.out:
            message = messages[index % len(messages)]
            self.world.append(message.data)
            if not again:
                messages.remove(message)

    @stateful.rule(count=strategies.integers(1, 30))
    def expire_records(self, count: int) -> None:
        self.world.expire(self.world.first + count)

    @stateful.rule(
        data=strategies.sampled_from(
            ("", "{}", '{"writer":"x","seq":1,"entries":[{"kind":"?"}]}')
        )
    )
    def damaged_record(self, data: str) -> None:
        self.world.append(data)

    @stateful.rule(number=NODES, limit=strategies.integers(1, 40))
    def read(self, number: int, limit: int) -> None:
        self.nodes[number].read(limit)

    @stateful.rule(number=NODES, choice=strategies.integers(0, 5))
    def load_snapshot(self, number: int, choice: int) -> None:
        node = self.nodes[number]
        if not node.cut and not self.world.out:
            node.reader.load(choice)
            node.loaded_snapshot()

    @stateful.rule(number=NODES, seed=strategies.integers(0, 99), keep=FAULT)
    def write_snapshot(self, number: int, seed: int, keep: str) -> None:
        node = self.nodes[number]
        if node.cut or self.world.out:
            return
        self.snapshot_number += 1
        parts = snapshot_entries(
            node.reader.fold, f"s{self.snapshot_number}", random.Random(seed)
        )
        # A writer that stops half way leaves an incomplete snapshot.
        kept = parts if keep != "lost_request" else parts[:-1]
        for index, part in enumerate(kept):
            writer = f"snapshot#{self.snapshot_number}"
            data = agreement.encode_batch(writer, index + 1, [part])
            self.world.append(data)

    @stateful.rule(number=NODES, choice=strategies.integers(0, 5))
    def restart(self, number: int, choice: int) -> None:
        self.nodes[number] = self.start(number)
        self.load_snapshot(number, choice)

    @stateful.rule(number=NODES, fault=FAULT)
    def repeat(self, number: int, fault: str) -> None:
        if not self.nodes[number].cut:
            self.nodes[number].writer.attempt(fault)

    def teardown(self) -> None:
        """After all faults, every start leads to the reference's state."""
        wanted = picture(self.world.reference)
        lines = self.world.reference.encode()
        assert picture(self.fold_class.decode(lines)) == wanted
        for snapshot in self.world.usable():
            fold = self.fold_class.decode(snapshot.lines())
            for record in self.world.records[fold.next_offset :]:
                fold.apply_batch(*record)
            assert picture(fold) == wanted, "a snapshot leads elsewhere"
        self.world.out = False
        for node in self.nodes:
            node.cut = False
            node.read(10_000)
            assert node.reader.fold.next_offset == self.world.end
