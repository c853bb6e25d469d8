"""A node of the control fuzz test, with a clock and a lease of its own."""

import agreement_world
from quetzalward_core import agreement

LEASE = "zone/a"
# Clock rates that differ by less than the margin of 5%.
RATES = (0.976, 1.0, 1.024)
DURATION_MS = agreement.LEASE_DURATION_MS


class SimNode:
    """A node with a clock of its own; it may be cut off or paused."""

    def __init__(
        self,
        world: agreement_world.World[agreement.ControlState],
        number: int,
        start: int,
    ) -> None:
        self.world = world
        self.rate = RATES[number]
        self.name = f"n{number}"
        self.reader = agreement_world.Reader(world)
        writer = agreement.writer_name(self.name, str(start))
        self.writer = agreement_world.Writer(world, self.reader, writer)
        self.cut = False
        self.watch = agreement.LeaseObserver()
        self.held: agreement.HeldLease | None = None
        # Lease entries in flight: sequence number to append start.
        self.started_ms_by_seq: dict[int, int] = {}
        # Fencing tokens of orders that were checked and not yet sent.
        self.checked: list[int] = []
        self.revision = 0

    def now_ms(self) -> int:
        return int(self.world.time_ms * self.rate)

    def lease(self) -> agreement.Lease | None:
        return self.reader.fold.view().leases_by_resource.get(LEASE)

    def submit(self, fault: str, *entries: agreement.Entry) -> int | None:
        if self.cut:
            return None
        if self.writer.pending is not None and not self.world.out:
            self.writer.attempt("none")
            self.read(100)
        seq = self.writer.submit(*entries)
        self.writer.attempt(fault)
        return seq

    def read(self, limit: int) -> None:
        if self.cut or self.world.out:
            return
        for result in self.writer.read(limit):
            started_ms = self.started_ms_by_seq.pop(result.seq, None)
            own = result.writer == self.writer.name and result.void is None
            if own and started_ms is not None:
                self.lease_result(result.results[0], started_ms)
        self.observe()

    def observe(self) -> None:
        self.watch.observe(self.lease(), self.now_ms())
        if self.held and not self.held.is_current(self.lease()):
            self.held = None
        revision = self.reader.fold.view().config_revision
        assert revision >= self.revision, "configuration moved back"
        self.revision = revision

    def lease_result(
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

    def loaded_snapshot(self) -> None:
        self.observe()
