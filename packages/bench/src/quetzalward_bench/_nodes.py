"""Real peers tasks in a few processes, for CPU time and bytes on the wire."""

import multiprocessing
import multiprocessing.connection
import random
import resource
import socket
import threading
import time
import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import membership
from quetzalward_node import peers

_SECRET = b"measurement-secret"
_CUSTOMERS = 10
# More nodes in one process would wait for its interpreter lock, and exchanges
# would time out.
NODES_PER_PROCESS = 38
# The first connections and full digests are not part of the measurement.
WARM_UP_S = 12
MEASURE_S = 20
# Nodes whose incoming connections pass through a counting relay.
RELAYED = 6
_BUFFER_BYTES = 65_536


class StaticLog:
    """A `ControlLog` whose fold never changes."""

    def __init__(self, name: str) -> None:
        """Start with an empty fold."""
        self._name = name
        self._view = agreement.ControlState().view()

    def set_view(self, view: agreement.ControlView) -> None:
        """Replace the state."""
        self._view = view

    def writer(self) -> str:
        """Return the writer's name."""
        return self._name

    def state(self) -> agreement.ControlView:
        """Return the state."""
        return self._view

    def append(
        self,
        entries: typing.Sequence[agreement.Entry],
        deadline_ms: clocks.Millis,
    ) -> list[agreement.EntryResult]:
        """Refuse: nothing is appended here."""
        raise NotImplementedError

    def head_age_ms(self) -> clocks.Millis:
        """Return an age that makes the isolation rule count peers."""
        return 2 * membership.FRESHNESS_LIMIT_MS

    def wait_for(
        self, position: int, deadline_ms: clocks.Millis
    ) -> agreement.ControlView | None:
        """Return the state."""
        return self._view


def make_view(ports: typing.Sequence[int]) -> agreement.ControlView:
    """Return a fold in which one node listens on each port."""
    fold = agreement.ControlState()
    entries = [
        agreement.NodeJoined(
            f"node-{index:03d}",
            "n",
            "z",
            "r",
            "127.0.0.1:1",
            f"127.0.0.1:{port}",
            "127.0.0.1:1",
        )
        for index, port in enumerate(ports)
    ]
    fold.apply_batch(0, 0, agreement.encode_batch("op", 1, entries))
    return fold.view()


def _demand(rng: random.Random) -> dict[str, membership.Demand]:
    """Return demand that varies by some 30% from call to call."""
    return {
        f"customer-{index}": membership.Demand(
            rng.lognormvariate(0, 0.3), 4 * rng.lognormvariate(0, 0.3)
        )
        for index in range(_CUSTOMERS)
    }


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _serve(
    names: typing.Sequence[str],
    pipe: multiprocessing.connection.Connection,
) -> None:
    """Run some nodes in this process, driven through the pipe."""
    rng = random.Random(names[0])
    clock = clocks.SystemClock()
    logs = [StaticLog(f"{name}#n") for name in names]
    tasks = [
        peers.PeersTask(name, _SECRET, log, clock, demand=lambda: _demand(rng))
        for name, log in zip(names, logs)
    ]
    pipe.send([task.listen("127.0.0.1:0") for task in tasks])
    view = make_view(pipe.recv())
    for log in logs:
        log.set_view(view)
    for task in tasks:
        time.sleep(1 / len(tasks))
        task.start()
    time.sleep(WARM_UP_S)
    before = _counts(tasks)
    started_s = time.monotonic()
    time.sleep(MEASURE_S)
    after = _counts(tasks)
    taken_s = time.monotonic() - started_s
    isolated = sum(task.knowledge.isolated() for task in tasks)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    changes = [late - early for early, late in zip(before, after)]
    pipe.send((taken_s, *changes, isolated, usage.ru_maxrss))
    pipe.recv()
    for task in tasks:
        task.stop()


def _counts(tasks: typing.Sequence[peers.PeersTask]) -> tuple[float, ...]:
    """Return CPU time, exchanges and failures so far."""
    return (
        _cpu_s(),
        sum(task.exchanges for task in tasks),
        sum(task.failures for task in tasks),
    )


class Relay:
    """Passes connections on to one port and counts their bytes."""

    def __init__(self, port: int) -> None:
        """Listen on a free port of the loopback."""
        self._target = ("127.0.0.1", port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self._lock = threading.Lock()
        self.count_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(self._target)
            except OSError:
                return
            for pair in ((client, server), (server, client)):
                threading.Thread(
                    target=self._copy, args=pair, daemon=True
                ).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(_BUFFER_BYTES):
                sink.sendall(data)
                with self._lock:
                    self.count_bytes += len(data)
        except OSError:
            pass
        finally:
            for end in (source, sink):
                end.close()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()


@attrs.frozen
class Outcome:
    """Measurements of one cluster of real nodes."""

    nodes: int
    exchanges_per_s: float
    failures: int
    cpu_percent: float
    # Bytes of TCP payload sent and received, per node.
    wire_bytes_per_s: float
    isolated: int
    rss_mb: float


def run(count: int) -> Outcome:
    """Run `count` nodes for a while and return what they cost."""
    context = multiprocessing.get_context("spawn")
    names = [f"node-{index:03d}" for index in range(count)]
    processes = -(-count // NODES_PER_PROCESS)
    shares = [names[index::processes] for index in range(processes)]
    children = []
    pipes = []
    for share in shares:
        pipe, end = context.Pipe()
        child = context.Process(target=_serve, args=(share, end))
        child.start()
        children.append(child)
        pipes.append(pipe)
    port_by_name: dict[str, int] = {}
    for share, pipe in zip(shares, pipes):
        port_by_name.update(zip(share, pipe.recv()))
    relays = [Relay(port_by_name[name]) for name in names[:RELAYED]]
    for name, relay in zip(names, relays):
        port_by_name[name] = relay.port
    for pipe in pipes:
        pipe.send([port_by_name[name] for name in names])
    time.sleep(WARM_UP_S)
    started_s = time.monotonic()
    start_bytes = sum(relay.count_bytes for relay in relays)
    time.sleep(MEASURE_S)
    relayed = sum(relay.count_bytes for relay in relays) - start_bytes
    relayed_s = time.monotonic() - started_s
    results = [pipe.recv() for pipe in pipes]
    for pipe, child in zip(pipes, children):
        pipe.send(None)
        child.join()
    for relay in relays:
        relay.close()
    return _outcome(count, results, relayed / relayed_s)


def _outcome(
    count: int,
    results: typing.Sequence[tuple[float, ...]],
    relayed_bytes_per_s: float,
) -> Outcome:
    """Combine the processes' results."""
    taken_s = sum(row[0] for row in results) / len(results)
    cpu_s = sum(row[1] for row in results)
    exchanges = sum(row[2] for row in results)
    # A relay sees the exchanges that others begin with its node; the node
    # begins as many itself.
    wire = 2 * relayed_bytes_per_s / RELAYED
    return Outcome(
        count,
        exchanges / taken_s / count,
        int(sum(row[3] for row in results)),
        100 * cpu_s / taken_s / count,
        wire,
        int(sum(row[4] for row in results)),
        sum(row[5] for row in results) / 1024,
    )
