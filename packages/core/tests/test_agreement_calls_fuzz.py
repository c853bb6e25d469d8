"""Fuzz test of at-most-once calls against a record of their executions."""

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
# Callers' deadlines are shorter than the retention of keys.
RETENTION_MS = 12_000
DEADLINES_MS = (0, 50, 3_000, 10_000)


@attrs.define
class Claim:
    """An intent of a node that was not decided yet, or not dispatched yet."""

    intent: agreement.CallIntent
    deadline_ms: int


class ExecutionOracle:
    """Records which intents were executed and which reported as not run."""

    def __init__(self) -> None:
        self.executions: list[tuple[str, str]] = []
        self.reported_not_run: set[str] = set()
        self.accepted_ms_by_intent: dict[str, int] = {}

    def execute(self, intent: agreement.CallIntent, now_ms: int) -> None:
        intent_id, key = intent.intent_id, intent.key
        assert (
            intent_id not in self.reported_not_run
        ), "executed after `not_run` was reported"
        for earlier, earlier_key in self.executions:
            assert earlier != intent_id, "one intent executed twice"
            if earlier_key == key:
                age_ms = now_ms - self.accepted_ms_by_intent[earlier]
                assert (
                    age_ms > RETENTION_MS
                ), "a key executed twice within its retention"
        self.executions.append((intent_id, key))

    def report_not_run(self, intent_id: str) -> None:
        assert not self.has_run(
            intent_id
        ), "`not_run` reported for an executed call"
        self.reported_not_run.add(intent_id)

    def has_run(self, intent_id: str) -> bool:
        return intent_id in [known for known, _ in self.executions]


class SimNode:
    """A node that follows the rules of `IntentTracker`."""

    def __init__(
        self,
        log: agreement_world.SimulatedLog[agreement.CallState],
        oracle: ExecutionOracle,
        name: str,
    ) -> None:
        self.log = log
        self.oracle = oracle
        self.reader = agreement_world.Reader(log)
        self.writer = agreement_world.Writer(log, self.reader, name)
        self.book = agreement.IntentTracker(name)
        self.partitioned = False
        self.queue: list[agreement.Entry] = []
        self.claims: list[Claim] = []
        self.started: list[Claim] = []
        self.running: list[agreement.CallIntent] = []

    def append_queued(self, fault: str) -> None:
        """Append queued entries, or retry the batch in flight."""
        if self.partitioned:
            return
        if self.writer.pending is None and self.queue:
            entries, self.queue = self.queue[:3], self.queue[3:]
            self.writer.submit(*entries)
        self.writer.attempt(fault)

    def read(self, limit: int) -> None:
        if self.partitioned or self.log.unavailable:
            return
        pending = self.writer.pending
        for result in self.writer.read(limit):
            own = result.writer == self.writer.name and result.void is None
            if own and pending is not None and result.seq == pending.seq:
                self.handle_result(pending, result)
        self.on_snapshot_loaded()

    def handle_result(
        self,
        pending: agreement_world.Pending,
        result: agreement.BatchResult,
    ) -> None:
        for entry, got in zip(pending.entries, result.results, strict=True):
            claim = self.claim_for(entry)
            if claim is not None:
                self.decide(claim, got, True)
            elif not isinstance(entry, agreement.CallIntent):
                assert not isinstance(entry, agreement.SnapshotPart)
                self.book.forget(entry.intent_id)  # type: ignore

    def on_snapshot_loaded(self) -> None:
        """Decide the claims whose batch the loaded snapshot covers."""
        pending = self.writer.pending
        if pending is not None:
            seq = self.reader.fold.writer_seq(self.writer.name)
            if seq >= pending.seq:
                self.writer.pending = pending = None
        if pending is None:
            queued = [e for e in self.queue if self.claim_for(e)]
            for claim in list(self.claims):
                if claim.intent not in queued:
                    self.decide(claim, None, True)

    def claim_for(self, entry: agreement.Entry) -> Claim | None:
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
        in_time = self.log.time_ms < claim.deadline_ms
        decision = self.book.decide(intent_id, result, maybe_appended, in_time)
        if decision is agreement.Decision.DISPATCH:
            self.started.append(claim)
        elif decision is not agreement.Decision.TAKEN:
            self.oracle.report_not_run(intent_id)
        if decision is agreement.Decision.GIVE_UP:
            self.queue_abandoned(claim.intent)

    def queue_abandoned(self, intent: agreement.CallIntent) -> None:
        self.queue.append(
            agreement.CallAbandoned(intent.intent_id, CUSTOMER, intent.key)
        )


class CallsMachine(agreement_world.FaultMachine):
    """Nodes that claim keys, dispatch, pause, crash and query each other."""

    fold_class = agreement.CallState

    def prepare(self) -> None:
        self.oracle = ExecutionOracle()
        self.log.result_listeners.append(self.note_accepted)

    def make_node(self, number: int, start: int) -> SimNode:
        writer = agreement.writer_name(f"n{number}", str(start))
        return SimNode(self.log, self.oracle, writer)

    def note_accepted(self, result: agreement.BatchResult, data: str) -> None:
        if result.void is not None:
            return
        for got, entry in zip(
            result.results, agreement.decode_batch(data).entries, strict=True
        ):
            if isinstance(entry, agreement.CallIntent):
                if isinstance(got, agreement.Accepted):
                    now_ms = self.log.time_ms
                    self.oracle.accepted_ms_by_intent[entry.intent_id] = now_ms

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
            self.check_known_key(node, known)
            return
        intent = node.book.create_intent(CUSTOMER, key, "f", RETENTION_MS)
        node.claims.append(Claim(intent, self.log.time_ms + deadline_ms))
        node.queue.append(intent)
        node.append_queued(fault)

    @stateful.rule(
        first=NODES, second=NODES, key=strategies.sampled_from(KEYS)
    )
    def race(self, first: int, second: int, key: str) -> None:
        """Two nodes claim a key before either read the other's intent."""
        for number in (first, second):
            self.begin(number, key, 10_000, "none")
        for number in (first, second):
            self.nodes[number].read(100)

    def check_known_key(self, node: SimNode, known: agreement.CallKey) -> None:
        if known.state is agreement.KeyState.DONE:
            assert self.oracle.has_run(
                known.intent_id
            ), "key is done but its intent was not executed"
            return
        for other in self.nodes:
            if other.writer.name == known.dispatcher and not other.partitioned:
                state = other.book.state(known.intent_id)
                if state is agreement.IntentState.ABANDONED:
                    self.oracle.report_not_run(known.intent_id)
                return
        # The dispatcher is unreachable, but the service reports the execution.
        if self.oracle.has_run(known.intent_id):
            node.queue.append(
                agreement.CallResult(
                    known.intent_id, CUSTOMER, known.key, 0, "", None
                )
            )

    @stateful.rule(number=NODES, fault=FAULT)
    def pump(self, number: int, fault: str) -> None:
        self.nodes[number].append_queued(fault)

    @stateful.rule(number=NODES)
    def pass_deadlines(self, number: int) -> None:
        """Time out claims that were not read back before their deadline."""
        node = self.nodes[number]
        for claim in list(node.claims):
            if self.log.time_ms < claim.deadline_ms:
                continue
            queued = [e for e in node.queue if e is claim.intent]
            if queued:
                node.queue = [e for e in node.queue if e is not claim.intent]
            node.decide(claim, None, not queued)

    @stateful.rule(number=NODES)
    def dispatch(self, number: int) -> None:
        """Execute a started call unless its deadline passed in a pause."""
        node = self.nodes[number]
        if not node.started:
            return
        claim = node.started.pop(0)
        if self.log.time_ms < claim.deadline_ms:
            self.oracle.execute(claim.intent, self.log.time_ms)
            node.running.append(claim.intent)
            return
        node.book.abandon(claim.intent.intent_id)
        self.oracle.report_not_run(claim.intent.intent_id)
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
        """Complete several calls in sequence without drawn faults."""
        for number, key in calls:
            node = self.nodes[number]
            node.read(100)
            self.begin(number, key, 10_000, "none")
            for _ in range(3):
                node.append_queued("none")
                node.read(100)
                self.dispatch(number)
                self.finish(number, known)
            self.log.time_ms += pause_ms


class CallsFuzzTest(unittest.TestCase):
    """Checks requirements R6 and R7 under randomly drawn faults."""

    def test_calls(self) -> None:
        agreement_world.run_machine(CallsMachine)


if __name__ == "__main__":
    unittest.main()
