"""Streams of many nodes at targets of which some stand still and go on.

The nodes run their own exchanges in one process, over loopback connections.
"""

import asyncio
import collections
import random
import typing

import attrs
import fakes

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core import placing
from quetzalward_gateway import _http
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime
from quetzalward_gateway import _settings
from quetzalward_gateway import _state
from quetzalward_gateway import _streaming

HEADS = 24
STREAMS = 400
EVENTS = 22
EVENT_INTERVAL_S = 0.06
# The silence begins while all streams are under way.
SILENT_AFTER_S = 0.8
SILENCE_S = 1.0
DEADLINE_MS = 30_000
_MODEL = fleet.Model("m", 1, 1.0, 1.0, 1_000, 100)


@attrs.define
class Result:
    """What callers and targets saw."""

    complete: int = 0
    aborted: int = 0
    refused: int = 0
    # Executions beyond the first of each request.
    repeats: int = 0
    # Most targets that executed the same request.
    most_targets: int = 0
    out_of_order: int = 0


class Platform(fakes.Platform):
    """Encodes requests to targets with the position in their streams."""

    def target_headers(
        self,
        request: _ports.CallerRequest,
        target_id: str,
        remaining_ms: clock.Millis,
        customer: str | None,
        last_event_id: str | None,
        body_bytes: int,
    ) -> _http.Headers:
        """Return the headers of a request without a body."""
        return [
            (b"host", b"h"),
            (b"content-length", b"0"),
            (b"x-attempt", request.attempt_id),
            (b"last-event-id", (last_event_id or "0").encode()),
        ]

    def refusal_headers(
        self, request: _ports.CallerRequest, retry_after_ms: int | None
    ) -> _http.Headers:
        """Return no headers."""
        return []


class Heads:
    """Targets that write numbered events, unless they stand still."""

    def __init__(self) -> None:
        """Start with all targets going on."""
        self.targets: list[fleet.Target] = []
        self.executions: collections.Counter[str] = collections.Counter()
        self._going_on: list[asyncio.Event] = []
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen on a port for each target."""
        for number in range(HEADS):
            going_on = asyncio.Event()
            going_on.set()
            self._going_on.append(going_on)

            async def serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                going_on: asyncio.Event = going_on,
            ) -> None:
                await self._serve(reader, writer, going_on)

            server = await asyncio.start_server(
                serve, "127.0.0.1", 0, backlog=1_000
            )
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self.targets.append(
                fleet.Target(
                    f"t{number}",
                    "s",
                    fleet.Address("127.0.0.1", port),
                    "z",
                    False,
                    0,
                    1,
                    membership=fleet.Membership(
                        f"g{number}.m", 1, 0, fleet.MemberState.OPEN
                    ),
                )
            )

    async def stand_still(self, count: int) -> None:
        """Let the first targets stand still and go on."""
        for going_on in self._going_on[:count]:
            going_on.clear()
        await asyncio.sleep(SILENCE_S)
        for going_on in self._going_on[:count]:
            going_on.set()

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        going_on: asyncio.Event,
    ) -> None:
        try:
            text = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            header_by_name = dict(
                line.split(": ", 1) for line in text.split("\r\n")[1:-2]
            )
            await going_on.wait()
            self.executions[header_by_name["x-attempt"]] += 1
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            for number in range(
                int(header_by_name["last-event-id"]) + 1, EVENTS + 1
            ):
                await asyncio.sleep(EVENT_INTERVAL_S)
                await going_on.wait()
                event = b"id: %d\ndata: x\n\n" % number
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except (ConnectionError, EOFError):
            # The node has ended this attempt.
            return
        finally:
            writer.close()


def _node(number: int, nodes: int, targets: list[fleet.Target]) -> typing.Any:
    """Return the runtime of a node that knows all targets."""
    settings = _settings.Settings(
        f"n{number}",
        "z",
        fakes.ADDRESS,
        fakes.ADDRESS,
        fakes.ADDRESS,
        False,
        _settings.Bounds(repeat_slack=130.0),
        nodes=nodes,
    )
    state = _state.NodeState(settings, random.Random(number))
    runtime = fakes.Runtime(clock.SystemClock(), Platform(), state=state)
    for target in targets:
        state.directory.put(target, runtime.now_ms())
    return runtime


def _call(runtime: typing.Any, number: int) -> _runtime.Call:
    """Return the call of one stream."""
    request = _ports.CallerRequest(
        f"a{number}".encode(), b"POST", b"/", "h", "/", None, None, None,
        "m", placing.Prompt(200, EVENTS), (), [],
    )  # fmt: skip
    route = fleet.Route(
        "r", "h", "/", fleet.RequestKind.IDEMPOTENT, DEADLINE_MS, 400, 400,
        1, {"s": 1.0}, 2, False, True,
    )  # fmt: skip
    engine = attrs.evolve(
        fakes.engine(), slots=64, models_by_name={"m": _MODEL}
    )
    responder: typing.Any = fakes.Responder()
    return _runtime.Call(
        runtime,
        typing.cast(
            typing.Any, fakes.RawRequest(received_ms=runtime.now_ms())
        ),
        request,
        responder,
        route,
        fleet.Service("s", "/", 0, 0.0, engine),
        None,
        runtime.now_ms() + DEADLINE_MS,
    )


async def run(nodes: int, silent_share: float) -> Result:
    """Return what a silence of a share of the targets does to streams."""
    heads = Heads()
    await heads.start()
    runtimes = [_node(n, nodes, heads.targets) for n in range(nodes)]
    calls = [_call(runtimes[n % nodes], n) for n in range(STREAMS)]
    tasks = []
    for call in calls:
        tasks.append(
            asyncio.create_task(_streaming.StreamExchange(call).run())
        )
        # Connections are opened one after the other.
        await asyncio.sleep(SILENT_AFTER_S / 2 / STREAMS)
    await asyncio.sleep(SILENT_AFTER_S / 2)
    await heads.stand_still(round(HEADS * silent_share))
    await asyncio.gather(*tasks)
    heads.close()
    result = Result()
    whole = [b"id: %d" % n for n in range(1, EVENTS + 1)]
    for call in calls:
        responder = typing.cast(fakes.Responder, call.responder)
        result.aborted += responder.aborted
        result.refused += responder.status not in (None, 200)
        result.complete += responder.finished and responder.status == 200
        ids = [x for x in responder.body.split(b"\n") if x.startswith(b"id")]
        result.out_of_order += ids != whole[: len(ids)]
    counts = heads.executions.values()
    result.repeats = sum(counts) - len(counts)
    result.most_targets = max(counts)
    return result
