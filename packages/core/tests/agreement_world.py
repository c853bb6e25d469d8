"""A simulated log with faults, and simulated readers and writers.

Shared by the fuzz tests of the agreement package.
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
# Small enough to split even small states into several parts.
SNAPSHOT_PART_CHARS = 300

NODE_COUNT = 3
NODES = strategies.integers(0, NODE_COUNT - 1)
FAULTS = ("none", "lost_request", "delayed", "duplicate")
# Most appends succeed, so that runs reach complex states.
WEIGHTED_FAULTS = ("none",) * 4 + FAULTS
FAULT = strategies.sampled_from(WEIGHTED_FAULTS)

FoldT = typing.TypeVar("FoldT", bound=agreement.Fold)


def run_machine(machine: type[stateful.RuleBasedStateMachine]) -> None:
    """Run a state machine test with a fixed seed.

    The environment variables QUETZALWARD_FUZZ_SEED and
    QUETZALWARD_FUZZ_EXAMPLES override the seed and the number of runs.
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
    """Return the phases, without shrinking if the environment disables it.

    Shrinking takes minutes, which unattended runs save.
    """
    phases = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
    if os.environ.get("QUETZALWARD_FUZZ_SHRINK") != "0":
        phases.append(hypothesis.Phase.shrink)
    return phases


@attrs.define
class InFlightAppend:
    """An append sent to the log; it may be delivered more than once."""

    data: str


def observable_state(fold: agreement.Fold) -> tuple[bytes, typing.Any]:
    """Return a fold's serialized state and what its readers see.

    The serialized state alone would not reveal a field that it omits.
    """
    seen: typing.Any = None
    if isinstance(fold, agreement.ControlState):
        seen = fold.view()
    elif isinstance(fold, agreement.CallState):
        seen = (list(fold.keys()), sorted(fold._abandoned_ms_by_intent))
    return fold.to_bytes(), seen


class SimulatedLog(typing.Generic[FoldT]):
    """A log with one stream, and a reference fold over all its records."""

    def __init__(self, fold_class: type[FoldT]) -> None:
        self.fold_class = fold_class
        self.time_ms = 0
        self.records: list[tuple[int, int, str]] = []
        self.first_offset = 0
        self.unavailable = False
        self.in_flight: list[InFlightAppend] = []
        self.reference = fold_class()
        self.results: list[agreement.BatchResult] = []
        self.state_by_next_offset: dict[int, typing.Any] = {
            0: observable_state(self.reference)
        }
        self.result_listeners: list[
            typing.Callable[[agreement.BatchResult, str], None]
        ] = []

    @property
    def end_offset(self) -> int:
        return len(self.records)

    def append(self, data: str) -> int:
        record = (self.end_offset, self.time_ms, data)
        self.records.append(record)
        result = self.reference.apply_batch(*record)
        assert result is not None
        self.results.append(result)
        self.state_by_next_offset[self.end_offset] = observable_state(
            self.reference
        )
        for listener in self.result_listeners:
            listener(result, data)
        return record[0]

    def snapshots(self) -> list[agreement.CompressedSnapshot]:
        """Return the complete snapshots among the retained records."""
        assembler = agreement.SnapshotAssembler()
        found = []
        for _, _, data in self.records[self.first_offset :]:
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

    def usable_snapshots(self) -> list[agreement.CompressedSnapshot]:
        """Return the snapshots whose following records are all retained."""
        return [
            snapshot
            for snapshot in self.snapshots()
            if snapshot.through_offset + 1 >= self.first_offset
        ]

    def expire(self, first: int) -> None:
        """Drop records before `first`, if a usable snapshot remains."""
        before = self.first_offset
        self.first_offset = max(self.first_offset, min(first, self.end_offset))
        if not self.usable_snapshots():
            self.first_offset = before


class Reader(typing.Generic[FoldT]):
    """A node's fold, checked against the reference fold after each read."""

    def __init__(self, log: SimulatedLog[FoldT]) -> None:
        self.log = log
        self.fold = log.fold_class()
        self.loaded_count = 0

    def read(self, limit: int) -> list[agreement.BatchResult]:
        """Read up to `limit` records; after a gap, load a snapshot first."""
        if self.fold.next_offset < self.log.first_offset:
            self.load(-1)
        results = []
        start = self.fold.next_offset
        for record in self.log.records[start : start + limit]:
            result = self.fold.apply_batch(*record)
            assert result is not None
            assert result == self.log.results[record[0]]
            results.append(result)
        self.check()
        return results

    def load(self, choice: int) -> None:
        """Load a usable snapshot, unless it is older than the fold."""
        usable = self.log.usable_snapshots()
        if not usable:
            return
        snapshot = usable[choice % len(usable)]
        fold = self.log.fold_class.decode(snapshot.lines())
        if fold.next_offset > self.fold.next_offset:
            self.fold = fold
            self.loaded_count += 1
        self.check()

    def check(self) -> None:
        """Assert that the state equals the reference at the same offset."""
        expected = self.log.state_by_next_offset[self.fold.next_offset]
        assert (
            observable_state(self.fold) == expected
        ), "fold differs from the reference"


@attrs.define
class Pending:
    """A batch whose result its writer has not read back yet."""

    seq: int
    data: str
    entries: tuple[agreement.Entry, ...]
    # Whether any attempt was sent.
    sent: bool = False


class Writer:
    """Appends one batch at a time, retrying until it is read back."""

    def __init__(
        self,
        log: SimulatedLog[typing.Any],
        reader: Reader[typing.Any],
        name: str,
    ) -> None:
        self.log = log
        self.reader = reader
        self.name = name
        self.seq = 0
        self.pending: Pending | None = None
        self.results_by_seq: dict[int, agreement.BatchResult] = {}

    def submit(self, *entries: agreement.Entry) -> int | None:
        """Create a batch; `None` if one is in flight."""
        if self.pending is not None:
            return None
        self.seq += 1
        data = agreement.encode_batch(self.name, self.seq, entries)
        self.pending = Pending(self.seq, data, entries)
        return self.seq

    def attempt(self, fault: str) -> None:
        """Send the pending batch once, with the given fault."""
        if self.pending is None or self.log.unavailable:
            return
        self.pending.sent = True
        data = self.pending.data
        if fault == "delayed":
            self.log.in_flight.append(InFlightAppend(data))
        elif fault != "lost_request":
            self.log.append(data)
        if fault == "duplicate":
            self.log.append(data)
            self.log.in_flight.append(InFlightAppend(data))

    def read(self, limit: int) -> list[agreement.BatchResult]:
        """Read records, and clear the pending batch if it was applied."""
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
    """Return a snapshot's parts in random order, sometimes with a repeat."""
    snapshot = agreement.Snapshot(name, fold.next_offset - 1, fold.encode())
    parts = agreement.split_snapshot(snapshot, SNAPSHOT_PART_CHARS)
    parts += rng.choices(parts, k=rng.randrange(2))
    rng.shuffle(parts)
    return parts


class FaultMachine(stateful.RuleBasedStateMachine):
    """State machine of randomly combined clock, network and log faults.

    A subclass sets `fold_class` and creates nodes with `partitioned`,
    `reader`, `writer`, `read` and `on_snapshot_loaded`.
    """

    fold_class: typing.ClassVar[type[agreement.Fold]]

    def __init__(self) -> None:
        super().__init__()
        self.log: SimulatedLog[typing.Any] = SimulatedLog(self.fold_class)
        self.starts = 0
        self.snapshot_number = 0
        self.prepare()
        self.nodes = [self.start(number) for number in range(NODE_COUNT)]

    def prepare(self) -> None:
        """Create the attributes that the subclass needs for its nodes."""

    def make_node(self, number: int, start: int) -> typing.Any:
        raise NotImplementedError

    def start(self, number: int) -> typing.Any:
        self.starts += 1
        return self.make_node(number, self.starts)

    @stateful.rule(
        delta_ms=strategies.sampled_from((1, 100, 2_999, 5_000, 9_999))
    )
    def advance(self, delta_ms: int) -> None:
        self.log.time_ms += delta_ms

    # The log and the network work most of the time, so that runs progress.
    @stateful.rule(out=strategies.sampled_from((False, False, False, True)))
    def outage(self, out: bool) -> None:
        self.log.unavailable = out

    @stateful.rule(
        number=NODES, cut=strategies.sampled_from((False, False, True))
    )
    def partition(self, number: int, cut: bool) -> None:
        self.nodes[number].partitioned = cut

    @stateful.rule(
        index=strategies.integers(0, 7), again=strategies.booleans()
    )
    def deliver(self, index: int, again: bool) -> None:
        in_flight = self.log.in_flight
        if in_flight and not self.log.unavailable:
            append = in_flight[index % len(in_flight)]
            self.log.append(append.data)
            if not again:
                in_flight.remove(append)

    @stateful.rule(count=strategies.integers(1, 30))
    def expire_records(self, count: int) -> None:
        self.log.expire(self.log.first_offset + count)

    @stateful.rule(
        data=strategies.sampled_from(
            ("", "{}", '{"writer":"x","seq":1,"entries":[{"kind":"?"}]}')
        )
    )
    def damaged_record(self, data: str) -> None:
        self.log.append(data)

    @stateful.rule(number=NODES, limit=strategies.integers(1, 40))
    def read(self, number: int, limit: int) -> None:
        self.nodes[number].read(limit)

    @stateful.rule(number=NODES, choice=strategies.integers(0, 5))
    def load_snapshot(self, number: int, choice: int) -> None:
        node = self.nodes[number]
        if not node.partitioned and not self.log.unavailable:
            node.reader.load(choice)
            node.on_snapshot_loaded()

    @stateful.rule(number=NODES, seed=strategies.integers(0, 99), keep=FAULT)
    def write_snapshot(self, number: int, seed: int, keep: str) -> None:
        node = self.nodes[number]
        if node.partitioned or self.log.unavailable:
            return
        self.snapshot_number += 1
        parts = snapshot_entries(
            node.reader.fold, f"s{self.snapshot_number}", random.Random(seed)
        )
        # A writer that stops early leaves an incomplete snapshot.
        kept = parts if keep != "lost_request" else parts[:-1]
        for index, part in enumerate(kept):
            writer = f"snapshot#{self.snapshot_number}"
            data = agreement.encode_batch(writer, index + 1, [part])
            self.log.append(data)

    @stateful.rule(number=NODES, choice=strategies.integers(0, 5))
    def restart(self, number: int, choice: int) -> None:
        self.nodes[number] = self.start(number)
        self.load_snapshot(number, choice)

    @stateful.rule(number=NODES, fault=FAULT)
    def repeat(self, number: int, fault: str) -> None:
        if not self.nodes[number].partitioned:
            self.nodes[number].writer.attempt(fault)

    def teardown(self) -> None:
        """Assert that all nodes and snapshots converge to the reference."""
        expected = observable_state(self.log.reference)
        lines = self.log.reference.encode()
        assert observable_state(self.fold_class.decode(lines)) == expected
        for snapshot in self.log.usable_snapshots():
            fold = self.fold_class.decode(snapshot.lines())
            for record in self.log.records[fold.next_offset :]:
                fold.apply_batch(*record)
            assert (
                observable_state(fold) == expected
            ), "state from a snapshot differs from the reference"
        self.log.unavailable = False
        for node in self.nodes:
            node.partitioned = False
            node.read(10_000)
            assert node.reader.fold.next_offset == self.log.end_offset
