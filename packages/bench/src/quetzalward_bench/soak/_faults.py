"""Faults of the soak, drawn from a seed; they may overlap and repeat."""

import asyncio
import collections.abc
import random
import signal
import time

from quetzalward_bench.soak import _nodes
from quetzalward_bench.soak import _prompts
from quetzalward_bench.soak import _repeats
from quetzalward_standins import platform

# Time between the end of a node process and its restart. Deployments tolerate
# the planned loss of one node at a time.
RESTART_DELAY_S = 0.5
# Share of the steps at which a fault of the answers begins as well.
ANSWER_FAULT_SHARE = 0.25
# Share of the steps at which the store comes back from an older copy.
RESTORE_SHARE = 0.12
# Share of the steps at which targets say that they leave or rest.
NOTICE_SHARE = 0.15
# Share of the steps at which sound targets stand still, and the share of these
# that come beside a change of the configuration.
SILENCE_SHARE = 0.25
CHANGE_SHARE = 0.5
# Share of the steps at which a request that crashes targets begins to come.
REPEAT_SHARE = 0.06

_Action = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Faults:
    """Injects faults into processes, connections, store and targets."""

    def __init__(
        self,
        nodes: list[_nodes.NodeProcess],
        store: platform.Store,
        targets: platform.Targets,
        operator: platform.Operator,
        prompts: _prompts.Prompts,
        crashing_requests: _repeats.CrashingRequests,
        rng: random.Random,
        answer_rng: random.Random,
        restore_rng: random.Random,
        notice_rng: random.Random,
        silence_rng: random.Random,
        repeat_rng: random.Random,
    ) -> None:
        """Inject faults into the components of one run."""
        self._prompts = prompts
        self._crashing_requests = crashing_requests
        self._nodes = nodes
        self._store = store
        self._targets = targets
        self._operator = operator
        self._rng = rng
        # Generators of their own keep the draws of recorded seeds.
        self._answer_rng = answer_rng
        self._restore_rng = restore_rng
        self._notice_rng = notice_rng
        self._silence_rng = silence_rng
        self._repeat_rng = repeat_rng
        self._tasks: set[asyncio.Task[None]] = set()
        self.history: list[str] = []
        # Until this time, a fault of the store or of a node may delay updates.
        self.disturbed_until_s = 0.0
        # Restarts, freezes and cuts of nodes.
        self.outages: list[platform.Outage] = []

    async def run(self, seconds: float) -> None:
        """Start random faults for a time, then wait until all have ended."""
        end_s = time.monotonic() + seconds
        answer_actions: list[_Action] = [
            self.send_unframed_answers,
            self.crash_targets_on_prompts,
            self.limit_targets,
        ]
        actions: list[_Action] = [
            self.kill_node,
            self.pause_node,
            self.stop_node,
            self.store_down,
            self.store_slow,
            self.store_loses_answers,
            self.store_forgets,
            self.cut_node,
            self.cut_node,
            self.kill_target,
            self.kill_target,
            self.drain_target,
            self.break_answers,
            self.change_configuration,
            self.revoke_key,
            self.evacuate_zone,
        ]
        while time.monotonic() < end_s:
            self._begin(self._rng.choice(actions))
            if self._answer_rng.random() < ANSWER_FAULT_SHARE:
                self._begin(self._answer_rng.choice(answer_actions))
            if self._restore_rng.random() < RESTORE_SHARE:
                self._begin(self.restore_store)
            if self._notice_rng.random() < NOTICE_SHARE:
                self._begin(self.give_notice)
            if self._silence_rng.random() < SILENCE_SHARE:
                self._begin(self.silence_targets)
            if self._repeat_rng.random() < REPEAT_SHARE:
                self._begin(self.crash_targets_on_a_request)
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        await asyncio.gather(*self._tasks)

    def _begin(self, action: _Action) -> None:
        self.history.append(action.__name__)
        task = asyncio.create_task(_as_coroutine(action()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _extend_disturbance(self, seconds: float) -> None:
        until_s = time.monotonic() + seconds + 5.0
        self.disturbed_until_s = max(self.disturbed_until_s, until_s)

    def _record_outage(
        self, node: _nodes.NodeProcess, begin_s: float, is_cut: bool = False
    ) -> None:
        """Record an outage that has just ended."""
        self.outages.append(
            platform.Outage(
                str(node.front_port), begin_s, time.monotonic(), is_cut
            )
        )

    def _draw_duration_s(self) -> float:
        return self._rng.uniform(0.3, 3.0)

    async def kill_node(self) -> None:
        """Kill a node and restart it."""
        node = self._rng.choice(self._nodes)
        self._extend_disturbance(RESTART_DELAY_S)
        begin_s = time.monotonic()
        node.signal(signal.SIGKILL)
        await self._restart(node)
        self._record_outage(node, begin_s)

    async def pause_node(self) -> None:
        """Suspend a node for a while."""
        node = self._rng.choice(self._nodes)
        duration_s = self._draw_duration_s()
        self._extend_disturbance(duration_s)
        begin_s = time.monotonic()
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        node.signal(signal.SIGCONT)
        self._record_outage(node, begin_s)

    async def stop_node(self) -> None:
        """Stop a node with SIGTERM, as the platform does, and restart it."""
        node = self._rng.choice(self._nodes)
        self._extend_disturbance(_nodes.GRACE_S)
        begin_s = time.monotonic()
        node.signal(signal.SIGTERM)
        await self._restart(node)
        self._record_outage(node, begin_s)

    async def _restart(self, node: _nodes.NodeProcess) -> None:
        while node.is_running:
            await asyncio.sleep(0.1)
            if node.exceeded_stop_timeout():
                return
        await asyncio.sleep(RESTART_DELAY_S)
        if not node.is_running:
            node.start()

    async def store_down(self) -> None:
        """Make the store reject all calls."""
        duration_s = self._draw_duration_s()
        self._extend_disturbance(duration_s)
        self._store.faults.down = True
        await asyncio.sleep(duration_s)
        self._store.faults.down = False

    async def store_slow(self) -> None:
        """Delay all responses of the store."""
        duration_s = self._draw_duration_s()
        self._extend_disturbance(duration_s)
        self._store.faults.delay_s = 0.25
        await asyncio.sleep(duration_s)
        self._store.faults.delay_s = 0.0

    async def store_loses_answers(self) -> None:
        """Drop the responses of half of the appends, which take effect."""
        self._store.faults.lost_response_share = 0.5
        await asyncio.sleep(self._draw_duration_s())
        self._store.faults.lost_response_share = 0.0

    async def restore_store(self) -> None:
        """Take the store away and bring it back from an older copy.

        Operators and targets write again a moment later, in either order.
        """
        rng = self._restore_rng
        away_s = rng.choice((0.0, 0.3, 1.5))
        self._extend_disturbance(away_s + 3.0)
        self._store.faults.down = True
        await asyncio.sleep(away_s)
        self._store.restore(rng.uniform(0.0, 9.0))
        self._store.faults.down = False
        writers = [self._operator.write_again, self._targets.write_again]
        rng.shuffle(writers)
        for write_again in writers:
            await asyncio.sleep(rng.uniform(0.0, 0.6))
            write_again()

    async def store_forgets(self) -> None:
        """Compact all topics to the newest record of each key."""
        for topic in list(self._store.topic_by_name):
            self._store.compact(topic)

    async def cut_node(self) -> None:
        """Inject a network fault between one node and the store."""
        node = self._rng.choice(self._nodes)
        duration_s = self._draw_duration_s() * 2
        self._extend_disturbance(duration_s)
        modes = [m for m in platform.ProxyMode if m.value != "pass"]
        begin_s = time.monotonic()
        node.proxy.set_mode(self._rng.choice(modes))
        await asyncio.sleep(duration_s)
        node.proxy.set_mode(platform.ProxyMode.PASS)
        self._record_outage(node, begin_s, is_cut=True)

    async def kill_target(self) -> None:
        """Kill a target and restart it later under the same id."""
        names = [
            *self._targets.plain_by_id,
            *self._targets.fleet.target_by_id,
        ]
        target_id = self._rng.choice(names)
        self._targets.kill(target_id)
        await asyncio.sleep(self._draw_duration_s() * 2)
        await self._targets.restart(target_id)

    async def drain_target(self) -> None:
        """Drain a target, kill it and restart it."""
        target_id = self._rng.choice(list(self._targets.fleet.target_by_id))
        target = self._targets.fleet.target_by_id[target_id]
        target.draining = True
        await asyncio.sleep(4.0)
        self._targets.kill(target_id)
        await asyncio.sleep(1.0)
        await self._targets.restart(target_id)

    async def break_answers(self) -> None:
        """Make targets abort some of their responses."""
        faults = self._targets.stream_faults
        faults.abort_probability = 0.2
        await asyncio.sleep(self._draw_duration_s())
        faults.abort_probability = 0.0

    async def send_unframed_answers(self) -> None:
        """Make targets send answers without a length, some broken off."""
        faults = self._targets.stream_faults
        faults.unframed_probability = 0.5
        faults.abort_probability = 0.2
        await asyncio.sleep(self._answer_rng.uniform(0.3, 3.0))
        faults.unframed_probability = 0.0
        faults.abort_probability = 0.0

    async def crash_targets_on_prompts(self) -> None:
        """Make one part of some prompts end each target that answers."""
        part = self._prompts.add_crashing_part()
        crashing_parts = self._targets.stream_faults.crashing_parts
        crashing_parts.add(part)
        await asyncio.sleep(self._answer_rng.uniform(5.0, 10.0))
        self._prompts.remove_crashing_part(part)

    async def crash_targets_on_a_request(self) -> None:
        """Let callers send one request that ends each target, unchanged."""
        rng = self._repeat_rng
        request = self._crashing_requests.add(
            rng.choice(("draft", "book", "stock"))
        )
        self._targets.stream_faults.crashing_bodies.add(request.body)
        await asyncio.sleep(rng.uniform(5.0, 10.0))
        self._crashing_requests.remove(request)

    async def limit_targets(self) -> None:
        """Let some targets name limits, change them and end them."""
        rng, limits = self._answer_rng, self._targets.limits
        names = [
            *self._targets.plain_by_id,
            *self._targets.fleet.target_by_id,
        ]
        chosen = rng.sample(names, rng.randint(1, len(names)))
        for _ in range(rng.randint(1, 2)):
            per_s = rng.choice((0.0, 0.5, 1.1, 2.5, 4.0))
            for name in chosen:
                limits.name(name, per_s)
            await asyncio.sleep(rng.uniform(3.0, 9.0))
        for name in chosen:
            limits.end(name)

    async def give_notice(self) -> None:
        """Let some targets rest, or one say that it leaves.

        It may never drain in the store, and is back under the same id.
        """
        rng, notices = self._notice_rng, self._targets.notices
        names = [
            *self._targets.plain_by_id,
            *self._targets.fleet.target_by_id,
        ]
        if rng.random() < 0.5:
            duration_s = rng.uniform(0.3, 5.0)
            for name in rng.sample(names, rng.randint(1, 6)):
                notices.rest(name, duration_s)
            await asyncio.sleep(duration_s)
            return
        name = rng.choice(names)
        notices.leave(name)
        await asyncio.sleep(rng.uniform(2.0, 5.0))
        self._targets.kill(name)
        await asyncio.sleep(1.0)
        await self._targets.restart(name)

    async def silence_targets(self) -> None:
        """Let some sound targets stand still and go on."""
        rng, targets = self._silence_rng, self._targets
        members = targets.fleet.target_by_id
        plain_ids = list(targets.plain_by_id)
        model = rng.choice(("large", "small"))
        model_ids = [
            target.id
            for target in members.values()
            if target.membership is not None
            and target.membership.model == model
        ]
        quarter = rng.sample([*members, *plain_ids], len(members) // 4)
        chosen = rng.choice((quarter[:1], quarter, plain_ids, model_ids))
        seconds = rng.uniform(0.3, 1.5)
        writes_entry = rng.random() < 0.5
        for target_id in chosen:
            if targets.is_alive(target_id):
                targets.pause(target_id, seconds, writes_entry)
        if rng.random() < CHANGE_SHARE:
            self._operator.publish()

    async def change_configuration(self) -> None:
        """Publish a few configurations in quick succession."""
        for _ in range(self._rng.randint(1, 4)):
            self._operator.publish()
            await asyncio.sleep(0.2)

    async def revoke_key(self) -> None:
        """Revoke a customer's key."""
        tenant = self._rng.choice(sorted(self._operator.keys))
        self._operator.revoke(tenant)

    async def evacuate_zone(self) -> None:
        """Evacuate a zone for a while."""
        zone = f"z{self._rng.randrange(3)}"
        self._operator.evacuate(zone)
        await asyncio.sleep(self._draw_duration_s())
        self._operator.end_evacuation(zone)


async def _as_coroutine(work: collections.abc.Awaitable[None]) -> None:
    await work
