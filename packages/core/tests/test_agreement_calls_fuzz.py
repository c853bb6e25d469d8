"""Fuzzing of calls that run at most once against a plain record of runs."""

import unittest

import attrs
from hypothesis import stateful
from hypothesis import strategies

import agreement_world
from quetzalward_core import agreement

CUSTOMER = "c"
KEYS = ("k1", "k2")
NODES = agreement_world.NODES
FAULT = agreement_world.FAULT
# Callers' deadlines are far shorter than the retention of keys.
RETENTION_MS = 12_000
DEADLINES_MS = (0, 50, 3_000, 10_000)


@attrs.define
class Claim:
    """An intent of a node, until it was decided or ended."""

    intent: agreement.CallIntent
    deadline_ms: int


class Runs:
    """What really ran, and what callers were told."""

    def __init__(self) -> None:
        self.executions: list[tuple[str, str]] = []
        self.told_not_run: set[str] = set()
        self.accepted_ms_by_intent: dict[str, int] = {}

    def execute(self, intent: agreement.CallIntent, now_ms: int) -> None:
        intent_id, key = intent.intent_id, intent.key
        assert intent_id not in self.told_not_run, "ran after `not_run`"
        for earlier, earlier_key in self.executions:
            assert earlier != intent_id, "one intent ran twice"
            if earlier_key == key:
                age_ms = now_ms - self.accepted_ms_by_intent[earlier]
                assert age_ms > RETENTION_MS, "a key ran twice"
        self.executions.append((intent_id, key))

    def tell_not_run(self, intent_id: str) -> None:
        assert not self.ran(intent_id), "`not_run` for a call that ran"
        self.told_not_run.add(intent_id)

    def ran(self, intent_id: str) -> bool:
        return intent_id in [known for known, _ in self.executions]


class SimNode:
    """A node that follows the rules of `IntentTracker`."""

    def __init__(
        self,
        world: agreement_world.World[agreement.CallState],
        runs: Runs,
        name: str,
    ) -> None:
        self.world = world
        self.runs = runs
        self.reader = agreement_world.Reader(world)
        self.writer = agreement_world.Writer(world, self.reader, name)
        self.book = agreement.IntentTracker(name)
        self.cut = False
        self.queue: list[agreement.Entry] = []
        self.claims: list[Claim] = []
        self.started: list[Claim] = []
        self.running: list[agreement.CallIntent] = []

    def pump(self, fault: str) -> None:
        """Append what is queued, or repeat the batch in flight."""
        if self.cut:
            return
        if self.writer.pending is None and self.queue:
            entries, self.queue = self.queue[:3], self.queue[3:]
            self.writer.submit(*entries)
        self.writer.attempt(fault)

    def read(self, limit: int) -> None:
        if self.cut or self.world.out:
            return
        pending = self.writer.pending
        for result in self.writer.read(limit):
            own = result.writer == self.writer.name and result.void is None
            if own and pending is not None and result.seq == pending.seq:
                self.read_back(pending, result)
        self.loaded_snapshot()

    def read_back(
        self,
        pending: agreement_world.Pending,
        result: agreement.BatchResult,
    ) -> None:
        for entry, got in zip(pending.entries, result.results, strict=True):
            claim = self.claim_of(entry)
            if claim is not None:
                self.decide(claim, got, True)
            elif not isinstance(entry, agreement.CallIntent):
                assert not isinstance(entry, agreement.SnapshotPart)
                self.book.forget(entry.intent_id)  # type: ignore

    def loaded_snapshot(self) -> None:
        """Decide claims whose batch a snapshot covers."""
        pending = self.writer.pending
        if pending is not None:
            seq = self.reader.fold.writer_seq(self.writer.name)
            if seq >= pending.seq:
                self.writer.pending = pending = None
        if pending is None:
            queued = [e for e in self.queue if self.claim_of(e)]
            for claim in list(self.claims):
                if claim.intent not in queued:
                    self.decide(claim, None, True)

    def claim_of(self, entry: agreement.Entry) -> Claim | None:
        for claim in self.claims:
            if claim.intent is entry:
                return claim
        return None

    def decide(
        self,
        claim: Claim,
        result: agreement.EntryResult | None,
        maybe_appended: bool,
    ) -> None:
        self.claims.remove(claim)
        intent_id = claim.intent.intent_id
        in_time = self.world.time_ms < claim.deadline_ms
        decision = self.book.decide(intent_id, result, maybe_appended, in_time)
        if decision is agreement.Decision.DISPATCH:
            self.started.append(claim)
        elif decision is not agreement.Decision.TAKEN:
            self.runs.tell_not_run(intent_id)
        if decision is agreement.Decision.GIVE_UP:
            self.queue_abandoned(claim.intent)

    def queue_abandoned(self, intent: agreement.CallIntent) -> None:
        self.queue.append(
            agreement.CallAbandoned(intent.intent_id, CUSTOMER, intent.key)
        )


class CallsMachine(agreement_world.FaultMachine):
    """Nodes that claim keys, dispatch, pause, crash and ask each other."""

    fold_class = agreement.CallState

    def prepare(self) -> None:
        self.runs = Runs()
        self.world.on_result.append(self.note_accepted)

    def make_node(self, number: int, start: int) -> SimNode:
        writer = agreement.writer_name(f"n{number}", str(start))
        return SimNode(self.world, self.runs, writer)

    def note_accepted(self, result: agreement.BatchResult, data: str) -> None:
        if result.void is not None:
            return
        for got, entry in zip(
            result.results, agreement.decode_batch(data).entries, strict=True
        ):
            if isinstance(entry, agreement.CallIntent):
                if isinstance(got, agreement.Accepted):
                    now_ms = self.world.time_ms
                    self.runs.accepted_ms_by_intent[entry.intent_id] = now_ms

    @stateful.rule(
        number=NODES,
        key=strategies.sampled_from(KEYS),
        deadline_ms=strategies.sampled_from(DEADLINES_MS),
        fault=FAULT,
    )
    def begin(
        self, number: int, key: str, deadline_ms: int, fault: str
    ) -> None:
        node = self.nodes[number]
        known = node.reader.fold.lookup(CUSTOMER, key)
        if known is not None:
            self.answer_known(node, known)
            return
        intent = node.book.create_intent(CUSTOMER, key, "f", RETENTION_MS)
        node.claims.append(Claim(intent, self.world.time_ms + deadline_ms))
        node.queue.append(intent)
        node.pump(fault)

    @stateful.rule(
        first=NODES, second=NODES, key=strategies.sampled_from(KEYS)
    )
    def race(self, first: int, second: int, key: str) -> None:
        """Two nodes claim one key, neither having read the other's intent."""
        for number in (first, second):
            self.begin(number, key, 10_000, "none")
        for number in (first, second):
            self.nodes[number].read(100)

    def answer_known(self, node: SimNode, known: agreement.CallKey) -> None:
        if known.state is agreement.KeyState.DONE:
            assert self.runs.ran(known.intent_id), "a result without a run"
            return
        for other in self.nodes:
            if other.writer.name == known.dispatcher and not other.cut:
                state = other.book.state(known.intent_id)
                if state is agreement.IntentState.ABANDONED:
                    self.runs.tell_not_run(known.intent_id)
                return
        # The dispatcher cannot be asked, but the service says that it ran.
        if self.runs.ran(known.intent_id):
            node.queue.append(
                agreement.CallResult(
                    known.intent_id, CUSTOMER, known.key, 0, "", None
                )
            )

    @stateful.rule(number=NODES, fault=FAULT)
    def pump(self, number: int, fault: str) -> None:
        self.nodes[number].pump(fault)

    @stateful.rule(number=NODES)
    def pass_deadlines(self, number: int) -> None:
        """Callers stop waiting for claims that were not read back."""
        node = self.nodes[number]
        for claim in list(node.claims):
            if self.world.time_ms < claim.deadline_ms:
                continue
            queued = [e for e in node.queue if e is claim.intent]
            if queued:
                node.queue = [e for e in node.queue if e is not claim.intent]
            node.decide(claim, None, not queued)

    @stateful.rule(number=NODES)
    def dispatch(self, number: int) -> None:
        """Run a started call, unless its deadline passed in a pause."""
        node = self.nodes[number]
        if not node.started:
            return
        claim = node.started.pop(0)
        if self.world.time_ms < claim.deadline_ms:
            self.runs.execute(claim.intent, self.world.time_ms)
            node.running.append(claim.intent)
            return
        node.book.abandon(claim.intent.intent_id)
        self.runs.tell_not_run(claim.intent.intent_id)
        node.queue_abandoned(claim.intent)

    @stateful.rule(number=NODES, known=strategies.booleans())
    def finish(self, number: int, known: bool) -> None:
        node = self.nodes[number]
        if not node.running:
            return
        intent = node.running.pop(0)
        if known:
            node.queue.append(
                agreement.CallResult(
                    intent.intent_id, CUSTOMER, intent.key, 201, "t", "Ym8="
                )
            )
        else:
            node.book.mark_unknown(intent.intent_id)
            node.queue.append(
                agreement.CallUnknown(intent.intent_id, CUSTOMER, intent.key)
            )

    @stateful.rule(
        calls=strategies.lists(
            strategies.tuples(NODES, strategies.sampled_from(KEYS)),
            min_size=1,
            max_size=4,
        ),
        pause_ms=strategies.sampled_from((0, 0, 500, RETENTION_MS)),
        known=strategies.booleans(),
    )
    def whole_calls(
        self, calls: list[tuple[int, str]], pause_ms: int, known: bool
    ) -> None:
        """Calls without faults of their own, one after another."""
        for number, key in calls:
            node = self.nodes[number]
            node.read(100)
            self.begin(number, key, 10_000, "none")
            for _ in range(3):
                node.pump("none")
                node.read(100)
                self.dispatch(number)
                self.finish(number, known)
            self.world.time_ms += pause_ms


class CallsFuzzTest(unittest.TestCase):
    """Guards R6 and R7 under drawn faults."""

    def test_calls(self) -> None:
        agreement_world.run_machine(CallsMachine)


if __name__ == "__main__":
    unittest.main()
