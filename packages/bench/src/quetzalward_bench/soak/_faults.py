"""Faults of the soak, drawn from a seed; they overlap and come twice."""

import asyncio
import collections.abc
import random
import signal
import time

from quetzalward_bench.soak import _nodes
from quetzalward_standins import platform

# A deployment bears the loss of one node at a time for planned work.
RESTART_S = 0.5


class Faults:
    """Injects faults into processes, connections, store and targets."""

    def __init__(
        self,
        nodes: list[_nodes.NodeProcess],
        store: platform.Store,
        targets: platform.Targets,
        operator: platform.Operator,
        draw: random.Random,
    ) -> None:
        """Work on the parts of one run."""
        self._nodes = nodes
        self._store = store
        self._targets = targets
        self._operator = operator
        self._draw = draw
        self._tasks: set[asyncio.Task[None]] = set()
        self.history: list[str] = []
        # Until when a disturbed store or node excuses late news.
        self.disturbed_until_s = 0.0

    async def run(self, seconds: float) -> None:
        """Draw faults for a time, then end all of them."""
        end_s = time.monotonic() + seconds
        actions: list[
            collections.abc.Callable[[], collections.abc.Awaitable[None]]
        ] = [
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
            action = self._draw.choice(actions)
            self.history.append(action.__name__)
            task = asyncio.create_task(_as_coroutine(action()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._draw.uniform(0.2, 1.5))
        await asyncio.gather(*self._tasks)

    def _disturb(self, seconds: float) -> None:
        until_s = time.monotonic() + seconds + 5.0
        self.disturbed_until_s = max(self.disturbed_until_s, until_s)

    def _length(self) -> float:
        return self._draw.uniform(0.3, 3.0)

    async def kill_node(self) -> None:
        """Kill a node and start it again."""
        node = self._draw.choice(self._nodes)
        self._disturb(RESTART_S)
        node.signal(signal.SIGKILL)
        await self._start_again(node)

    async def pause_node(self) -> None:
        """Suspend a node for a while."""
        node = self._draw.choice(self._nodes)
        length = self._length()
        self._disturb(length)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        node.signal(signal.SIGCONT)

    async def stop_node(self) -> None:
        """Stop a node as the platform does and start it again."""
        node = self._draw.choice(self._nodes)
        self._disturb(_nodes.GRACE_S)
        node.signal(signal.SIGTERM)
        await self._start_again(node)

    async def _start_again(self, node: _nodes.NodeProcess) -> None:
        while node.is_running:
            await asyncio.sleep(0.1)
            if node.overstayed():
                return
        await asyncio.sleep(RESTART_S)
        if not node.is_running:
            node.start()

    async def store_down(self) -> None:
        """Refuse all calls to the store."""
        length = self._length()
        self._disturb(length)
        self._store.faults.down = True
        await asyncio.sleep(length)
        self._store.faults.down = False

    async def store_slow(self) -> None:
        """Delay all answers of the store."""
        length = self._length()
        self._disturb(length)
        self._store.faults.delay_s = 0.25
        await asyncio.sleep(length)
        self._store.faults.delay_s = 0.0

    async def store_loses_answers(self) -> None:
        """Do appends and answer none of some."""
        self._store.faults.lost_response_share = 0.5
        await asyncio.sleep(self._length())
        self._store.faults.lost_response_share = 0.0

    async def store_forgets(self) -> None:
        """Delete the history of the topics."""
        for topic in list(self._store.topic_by_name):
            self._store.compact(topic)

    async def cut_node(self) -> None:
        """Disturb the way of one node to the store."""
        node = self._draw.choice(self._nodes)
        length = self._length() * 2
        self._disturb(length)
        modes = [m for m in platform.ProxyMode if m.value != "pass"]
        node.proxy.set_mode(self._draw.choice(modes))
        await asyncio.sleep(length)
        node.proxy.set_mode(platform.ProxyMode.PASS)

    async def kill_target(self) -> None:
        """Lose a target; it returns under its id after a while."""
        names = [
            *self._targets.plain_by_id,
            *self._targets.fleet.target_by_id,
        ]
        target_id = self._draw.choice(names)
        self._targets.kill(target_id)
        await asyncio.sleep(self._length() * 2)
        await self._targets.restart(target_id)

    async def drain_target(self) -> None:
        """Let a target announce that it leaves, go, and come back."""
        target_id = self._draw.choice(list(self._targets.fleet.target_by_id))
        target = self._targets.fleet.target_by_id[target_id]
        target.draining = True
        await asyncio.sleep(4.0)
        self._targets.kill(target_id)
        await asyncio.sleep(1.0)
        await self._targets.restart(target_id)

    async def break_answers(self) -> None:
        """Make targets break answers off."""
        self._targets.abort_probability = 0.2
        await asyncio.sleep(self._length())
        self._targets.abort_probability = 0.0

    async def change_configuration(self) -> None:
        """Publish a few configurations in quick succession."""
        for _ in range(self._draw.randint(1, 4)):
            self._operator.publish()
            await asyncio.sleep(0.2)

    async def revoke_key(self) -> None:
        """Take a customer's key away."""
        tenant = self._draw.choice(sorted(self._operator.keys))
        self._operator.revoke(tenant)

    async def evacuate_zone(self) -> None:
        """Empty a zone and take it back."""
        zone = f"z{self._draw.randrange(3)}"
        self._operator.evacuate(zone)
        await asyncio.sleep(self._length())
        self._operator.end_evacuation(zone)


async def _as_coroutine(work: collections.abc.Awaitable[None]) -> None:
    await work
