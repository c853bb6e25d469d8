"""Cost of passing streams through a node.

A fake engine, the callers' server and the callers run in a process each, so
that only the server's own CPU time is counted. Every token carries the time
at which the engine sent it; the monotonic clock is the same in all processes
of a machine.
"""

import asyncio
import hashlib
import json
import multiprocessing
import random
import re
import resource
import time
import typing

from quetzalward_bench import _stats
from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_node import callers
from quetzalward_node import interfaces
from quetzalward_node import telemetry

KEY = "bench-key"
MODEL = "bench"
PATH = "/v1/chat/completions"
TOKEN_MS = 45
# Streams start within this time, and measuring begins after it.
RAMP_S = 2.0
STREAMS = (10, 50, 150, 300)
THREADS = 360
_SENT = re.compile(rb"@(\d+)@")
_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)

_Pipe = typing.Any


def _chunk(number: int) -> bytes:
    """Return one token as the stand-in engines send it."""
    document = {
        "id": "chatcmpl-bench",
        "object": "chat.completion.chunk",
        "created": 1,
        "model": MODEL,
        "choices": [
            {
                "index": 0,
                "delta": {"content": f"@{time.monotonic_ns()}@ "},
                "finish_reason": None,
            }
        ],
    }
    event = f"id: {number}\ndata: {json.dumps(document)}\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(event), event)


async def _serve_stream(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if length:
            await reader.readexactly(int(length.group(1)))
        if b"/v1/cancel" in head:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        writer.write(_HEAD)
        loop = asyncio.get_running_loop()
        due = loop.time() + random.random() * TOKEN_MS / 1000
        number = 0
        while not (reader.at_eof() or writer.is_closing()):
            await asyncio.sleep(due - loop.time())
            due += TOKEN_MS / 1000
            writer.write(_chunk(number))
            number += 1
    except (
        ConnectionError,
        asyncio.CancelledError,
        asyncio.IncompleteReadError,
    ):
        pass
    finally:
        writer.close()


def _run_engine(pipe: _Pipe) -> None:
    async def run() -> None:
        server = await asyncio.start_server(
            _serve_stream, "127.0.0.1", 0, backlog=1024
        )
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
        server.close()

    asyncio.run(run())


class _OneTarget:
    """Grants everything to one engine."""

    def __init__(self, url: str) -> None:
        self._url = url

    def acquire(self, request: interfaces.RouteRequest) -> interfaces.Grant:
        return interfaces.Grant(
            1, request.request_id, "t", self._url, "z", request.attempt
        )

    def choose(self, call: interfaces.ServiceCall) -> interfaces.Grant:
        raise NotImplementedError

    def release(
        self, grant: interfaces.Grant, report: interfaces.AttemptReport
    ) -> None:
        """Take no account of attempts."""

    def finish(self, request_id: str) -> None:
        """Take no account of requests."""

    def may_retry(self) -> bool:
        return False

    def hedge_after_ms(self, service: str, repeatable: bool) -> float | None:
        return None


def _configuration() -> config.Configuration:
    key = hashlib.sha256(KEY.encode()).hexdigest()
    return config.Configuration(
        customers={"bench": config.Customer((key,))},
        models={MODEL: config.Model(1, 1)},
        limits=config.Limits(max_streams=THREADS),
    )


def _run_node(pipe: _Pipe, engine_port: int) -> None:
    target = _OneTarget(f"http://127.0.0.1:{engine_port}")
    configuration = _configuration()
    server = callers.CallersServer(
        listen="127.0.0.1:0",
        threads=THREADS,
        secret=b"a secret of the benchmark",
        dispatcher=target,
        services=target,
        calls=typing.cast(interfaces.CallRegistry, None),
        configuration=lambda: configuration,
        clock=clocks.SystemClock(),
        telemetry=telemetry.create("bench"),
    )
    server.start()
    pipe.send(server.address[1])
    while pipe.recv():
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send((usage.ru_utime, usage.ru_stime, usage.ru_nvcsw))
    server.drain(1)


def _request() -> bytes:
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": "measure"}],
            "max_tokens": 100_000,
            "stream": True,
        }
    ).encode()
    lines = (
        f"POST {PATH} HTTP/1.1",
        "Host: bench",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {len(body)}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class _Caller(asyncio.Protocol):
    """Reads one stream and notes delay and gap of each token."""

    def __init__(self, delays_ms: list[float], gaps_ms: list[float]) -> None:
        self._delays_ms = delays_ms
        self._gaps_ms = gaps_ms
        self._last_ns = 0
        self.measuring = False
        self.lost = False
        self._transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        typing.cast(asyncio.WriteTransport, transport).write(_request())

    def data_received(self, data: bytes) -> None:
        now_ns = time.monotonic_ns()
        for sent_ns in _SENT.findall(data):
            if self.measuring and self._last_ns:
                self._delays_ms.append((now_ns - int(sent_ns)) / 1e6)
                self._gaps_ms.append((now_ns - self._last_ns) / 1e6)
            self._last_ns = now_ns

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = self._transport is not None

    def close(self) -> None:
        if self._transport is not None:
            transport, self._transport = self._transport, None
            transport.close()


def _run_callers(pipe: _Pipe) -> None:
    async def measure(port: int, count: int, length_s: float) -> None:
        delays_ms: list[float] = []
        gaps_ms: list[float] = []
        loop = asyncio.get_running_loop()
        streams = []
        for _ in range(count):
            _, caller = await loop.create_connection(
                lambda: _Caller(delays_ms, gaps_ms), "127.0.0.1", port
            )
            streams.append(caller)
            await asyncio.sleep(RAMP_S / 2 / count)
        await asyncio.sleep(RAMP_S / 2)
        pipe.send("begin")
        for caller in streams:
            caller.measuring = True
        await asyncio.sleep(length_s)
        lost = sum(caller.lost for caller in streams)
        pipe.send((delays_ms, gaps_ms, lost))
        for caller in streams:
            caller.close()
        await asyncio.sleep(0.2)

    while order := pipe.recv():
        asyncio.run(measure(*order))


def _figures(result: typing.Any) -> dict[str, float]:
    delays_ms, gaps_ms, lost = result
    return {
        "tokens": len(delays_ms),
        "lost_streams": lost,
        "delay_p50_ms": _stats.quantile(delays_ms, 0.5),
        "delay_p95_ms": _stats.quantile(delays_ms, 0.95),
        "gap_p95_ms": _stats.quantile(gaps_ms, 0.95),
    }


class _Bench:
    """The three processes, driven one measurement at a time."""

    def __init__(self) -> None:
        self._context = multiprocessing.get_context("spawn")
        self._processes: list[typing.Any] = []
        self._engine, self._engine_port = self._start(_run_engine)
        self._node, self._node_port = self._start(_run_node, self._engine_port)
        self._callers = self._spawn(_run_callers)

    def _spawn(self, run: typing.Any, *args: typing.Any) -> _Pipe:
        ours, theirs = self._context.Pipe()
        process = self._context.Process(target=run, args=(theirs, *args))
        process.start()
        self._processes.append(process)
        return ours

    def _start(
        self, run: typing.Any, *args: typing.Any
    ) -> tuple[_Pipe, typing.Any]:
        pipe = self._spawn(run, *args)
        return pipe, pipe.recv()

    def measure(self, count: int, length_s: float) -> dict[str, float]:
        """Return the figures for a number of streams through the node."""
        straight = self._measure(self._engine_port, count, length_s)
        before = self._usage()
        through = self._measure(self._node_port, count, length_s, before)
        user, system, switches = (
            b - a for a, b in zip(before, self._usage(), strict=True)
        )
        tokens = through["tokens"] or 1
        return {
            "streams": count,
            "tokens_per_s": tokens / length_s,
            "lost_streams": through["lost_streams"],
            "cpu_us_per_token": (user + system) * 1e6 / tokens,
            "system_us_per_token": system * 1e6 / tokens,
            "switches_per_token": switches / tokens,
            "added_p50_ms": through["delay_p50_ms"] - straight["delay_p50_ms"],
            "added_p95_ms": through["delay_p95_ms"] - straight["delay_p95_ms"],
            "gap_p95_ms": through["gap_p95_ms"],
            "straight_gap_p95_ms": straight["gap_p95_ms"],
        }

    def _measure(
        self,
        port: int,
        count: int,
        length_s: float,
        before: list[float] | None = None,
    ) -> dict[str, float]:
        self._callers.send((port, count, length_s))
        self._callers.recv()
        if before is not None:
            before[:] = self._usage()
        return _figures(self._callers.recv())

    def _usage(self) -> list[float]:
        self._node.send(True)
        return list(self._node.recv())

    def close(self) -> None:
        """End the processes."""
        for pipe in (self._callers, self._node, self._engine):
            pipe.send(None)
        for process in self._processes:
            process.join()


def main(
    streams: tuple[int, ...] | int = STREAMS, length_s: float = 8.0
) -> None:
    """Print CPU time and added delay a token by number of streams."""
    counts = (streams,) if isinstance(streams, int) else streams
    bench = _Bench()
    try:
        rows = [bench.measure(count, length_s) for count in counts]
    finally:
        bench.close()
    _stats.show(
        {
            str(int(row["streams"])): {
                name: round(value, 2) for name, value in row.items()
            }
            for row in rows
        }
    )
