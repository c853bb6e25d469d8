"""An engine and a simulated fleet for tests of grouping."""

import random
import typing

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_standins import group_targets

TICK_MS = 50


def engine(large: int = 4, small: int = 3, slots: int = 13) -> fleet.Engine:
    """Return an engine with two models of different group sizes."""
    models = [
        fleet.Model("large", large, 0.57, 1.0, 16_000, 1_600),
        fleet.Model("small", small, 0.43, 0.6, 12_000, 1_100),
    ]
    return fleet.Engine(
        slots=slots,
        kv_tokens=795_000,
        stride=7,
        step_ms=5.95,
        per_sequence_ms=0.089,
        context_ms_per_k=0.01626,
        read_tokens_per_ms=50.7,
        pairs_ms_per_m=0.368,
        chunk_tokens=2048,
        loads_per_s=4.5,
        loads_at_once=6,
        keeps=1,
        form_ms=300,
        typical_prompt_tokens=1115,
        typical_answer_tokens=178,
        models_by_name={model.name: model for model in models},
    )


class Simulation:
    """A simulated fleet and the coordinator that sends it orders."""

    def __init__(
        self,
        domains: int = 6,
        hosts: int = 9,
        engine_: fleet.Engine | None = None,
        seed: int = 1,
    ) -> None:
        """Start the targets and one coordinator."""
        self.engine = engine_ or engine()
        self.fleet = group_targets.GroupFleet(self.engine)
        self.rng = random.Random(seed)
        for domain in range(domains):
            for host in range(hosts):
                self.fleet.add(f"t{domain}-{host}", f"d{domain}")
        self.term = 0
        # Share of the orders that are executed late and not answered.
        self.delayed_share = 0.0
        self._delayed: list[tuple[clock.Millis, grouping.Order]] = []
        # Targets that accept connections but answer nothing.
        self.silent: set[str] = set()
        self.elect(before_traffic=True)

    def elect(self, before_traffic: bool = False) -> None:
        """Start the next term with a coordinator without prior state."""
        self.term += 1
        self.coordinator = grouping.Coordinator(
            self.term, self.fleet.now_ms, before_traffic
        )

    def start_traffic(self) -> None:
        """Start traffic; loads are slow and limited from now on."""
        self.fleet.has_traffic = True
        self.coordinator.record_traffic()

    def run(self, duration_ms: clock.Millis) -> None:
        """Advance the fleet and its coordinator by a duration."""
        end_ms = self.fleet.now_ms + duration_ms
        while self.fleet.now_ms < end_ms:
            self.fleet.advance(TICK_MS)
            self._execute_delayed()
            self.tick(self.coordinator)

    def tick(self, coordinator: grouping.Coordinator) -> None:
        """Run one tick of a coordinator and execute its commands."""
        now_ms = self.fleet.now_ms
        coordinator.configure(self.engine)
        entries = self.fleet.entries()
        for entry in entries:
            coordinator.observe(entry, now_ms)
        present = {entry.id for entry in entries}
        for target_id in coordinator.host_by_id.keys() - present:
            coordinator.remove_target(target_id)
        for command in coordinator.tick(now_ms):
            self.execute(coordinator, command)

    def execute(
        self,
        coordinator: grouping.Coordinator,
        command: grouping.Command,
    ) -> None:
        """Execute a command, now or after a delay."""
        now_ms = self.fleet.now_ms
        if command.target_id in self.silent:
            if isinstance(command, grouping.Probe):
                coordinator.record_unanswered_probe(command.target_id, now_ms)
            return
        if isinstance(command, grouping.Probe):
            report = self.fleet.report(command.target_id)
            coordinator.record_report(command.target_id, report, now_ms)
            return
        if self.rng.random() < self.delayed_share:
            delay_ms = self.rng.randint(2_000, 12_000)
            self._delayed.append((now_ms + delay_ms, command))
            answer = grouping.OrderAnswer.UNANSWERED
        else:
            answer = self.fleet.order(command)
        coordinator.record_order_answer(command, answer, now_ms)

    def _execute_delayed(self) -> None:
        due = [row for row in self._delayed if row[0] <= self.fleet.now_ms]
        self._delayed = [row for row in self._delayed if row not in due]
        for _, order in due:
            self.fleet.order(order)

    def open_by_model(self) -> dict[str, int]:
        """Return the number of open groups by model."""
        counts: dict[str, int] = {}
        for group in self.coordinator.open_groups():
            counts[group.model] = counts.get(group.model, 0) + 1
        return counts

    def member(self, model: str, rank: int = 1) -> str:
        """Return a member of an open group of a model."""
        for group in self.coordinator.open_groups():
            if group.model == model:
                return group.members[rank]
        raise AssertionError(f"no open group of {model}")

    def phases(self) -> typing.Iterable[grouping.Phase]:
        """Return the phases of all planned groups."""
        return [g.phase for g in self.coordinator.group_by_name.values()]
