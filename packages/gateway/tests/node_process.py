"""A whole node in the test's process, with its tasks replaced."""

import asyncio
import collections.abc
import contextlib
import socket
import typing
from unittest import mock

import attrs
import fakes

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _app
from quetzalward_gateway import _coordinator_task
from quetzalward_gateway import _exchange
from quetzalward_gateway import _operations
from quetzalward_gateway import _settings
from quetzalward_gateway import _target_entries

ANY_PORT = fleet.Address("127.0.0.1", 0)
# The kernel takes this much of an answer that its caller doesn't read.
SEND_BUFFER_BYTES = 65_536

# Takes the node and its port; an error that it raises ends the node.
Script = collections.abc.Callable[
    [_app.Node, int], collections.abc.Awaitable[None]
]


def run(
    handle: collections.abc.Callable[..., typing.Any],
    script: Script,
    grace_ms: clock.Millis = 8_000,
) -> None:
    """Run a node that handles all requests by `handle`, until it ends."""
    settings = attrs.evolve(
        fakes.settings(),
        callers=ANY_PORT,
        readiness=ANY_PORT,
        bounds=_settings.Bounds(grace_ms=grace_ms),
    )
    node = _app.Node(settings, typing.cast(typing.Any, fakes.Platform()))

    async def follow(_: object) -> None:
        await asyncio.sleep(3_600.0)

    async def run_script(_: object) -> None:
        server = node._callers._server
        assert server is not None
        listener = server.sockets[0]
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        await script(node, listener.getsockname()[1])
        await follow(_)

    with contextlib.ExitStack() as stack:
        for owner, replacement in (
            (_operations.OperationsFollower, follow),
            (_target_entries.TargetsFollower, follow),
            (_coordinator_task.CoordinatorTask, run_script),
        ):
            stack.enter_context(mock.patch.object(owner, "run", replacement))
        stack.enter_context(mock.patch.object(_exchange, "handle", handle))
        asyncio.run(node.run())
