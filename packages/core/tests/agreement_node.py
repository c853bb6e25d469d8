"""Simulated node of the control fuzz test, with its own clock and lease."""

import agreement_world
from quetzalward_core import agreement

LEASE = "zone/a"
# Clock rates that differ by less than the margin of 5%.
CLOCK_RATES = (0.976, 1.0, 1.024)
DURATION_MS = agreement.LEASE_DURATION_MS


class SimNode:
    """A node with its own clock rate that may be partitioned or paused."""

    def __init__(
        self,
        log: agreement_world.SimulatedLog[agreement.ControlState],
        number: int,
        start: int,
    ) -> None:
        self.log = log
        self.clock_rate = CLOCK_RATES[number]
        self.name = f"n{number}"
        self.reader = agreement_world.Reader(log)
        writer = agreement.writer_name(self.name, str(start))
        self.writer = agreement_world.Writer(log, self.reader, writer)
        self.partitioned = False
        self.watch = agreement.LeaseObserver()
        self.held: agreement.HeldLease | None = None
        # Time at which the append of a lease entry in flight started.
        self.started_ms_by_seq: dict[int, int] = {}
        # Epochs of orders that were checked but not sent yet.
        self.checked_epochs: list[int] = []
        self.last_config_revision = 0

    def now_ms(self) -> int:
        return int(self.log.time_ms * self.clock_rate)

    def lease(self) -> agreement.Lease | None:
        return self.reader.fold.view().leases_by_resource.get(LEASE)

    def submit(self, fault: str, *entries: agreement.Entry) -> int | None:
        if self.partitioned:
            return None
        if self.writer.pending is not None and not self.log.unavailable:
            self.writer.attempt("none")
            self.read(100)
        seq = self.writer.submit(*entries)
        self.writer.attempt(fault)
        return seq

    def read(self, limit: int) -> None:
        if self.partitioned or self.log.unavailable:
            return
        for result in self.writer.read(limit):
            started_ms = self.started_ms_by_seq.pop(result.seq, None)
            own = result.writer == self.writer.name and result.void is None
            if own and started_ms is not None:
                self.apply_lease_result(result.results[0], started_ms)
        self.observe()

    def observe(self) -> None:
        self.watch.observe(self.lease(), self.now_ms())
        if self.held and not self.held.is_current(self.lease()):
            self.held = None
        revision = self.reader.fold.view().config_revision
        assert (
            revision >= self.last_config_revision
        ), "configuration revision decreased"
        self.last_config_revision = revision

    def apply_lease_result(
        self, result: agreement.EntryResult, started_ms: int
    ) -> None:
        if not isinstance(result, agreement.Accepted):
            return
        if self.held is None:
            self.held = agreement.HeldLease(
                LEASE, result.position, DURATION_MS, started_ms, self.now_ms()
            )
        else:
            self.held.record_renewal(started_ms)

    def may_order(self) -> bool:
        held = self.held
        return held is not None and held.may_order(self.lease(), self.now_ms())

    def on_snapshot_loaded(self) -> None:
        self.observe()
