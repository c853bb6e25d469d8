"""A gateway node: starts its tasks and stops without cutting requests."""

import asyncio
import random
import signal

from quetzalward_core import clock
from quetzalward_gateway import _duty
from quetzalward_gateway import _exchange
from quetzalward_gateway import _log
from quetzalward_gateway import _metrics
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime
from quetzalward_gateway import _server
from quetzalward_gateway import _settings
from quetzalward_gateway import _state
from quetzalward_gateway import _status_server
from quetzalward_gateway import _sync

# After this time the balancer has noticed two missed readiness checks and
# sends no new connections.
UNLISTED_MS = 3_200
# Time before the kill within which the last answers are broken off.
EXIT_MARGIN_MS = 500
# How often a stopping node looks whether its requests have ended.
_LOOK_S = 0.05


class Node:
    """All tasks of one gateway node."""

    def __init__(
        self, settings: _settings.Settings, platform: _ports.Platform
    ) -> None:
        """Wire the tasks."""
        self._settings = settings
        time_source = clock.SystemClock()
        log = _log.EventLog(settings.node, time_source)
        state = _state.NodeState(settings, random.Random(settings.node))
        self.runtime = _runtime.Runtime(
            platform, state, time_source, log, _metrics.Metrics()
        )
        self._callers = _server.CallerServer(
            self._handle, state.limits, time_source.now_ms
        )
        self._readiness = _status_server.StatusServer(self._readiness_answer)
        self._metrics = _status_server.StatusServer(self._metrics_answer)
        self._operations = _sync.OperationsFollower(
            self.runtime, self._is_holder
        )
        self._targets = _sync.TargetsFollower(self.runtime, self._is_holder)
        self._duty = _duty.DutyTask(
            self.runtime, settings, self._operations, self._targets
        )
        self._stopping = False
        self._was_ready = False

    async def _handle(
        self, raw: _server.RawRequest, responder: _server.Responder
    ) -> None:
        await _exchange.handle(self.runtime, raw, responder)

    def _is_ready(self) -> bool:
        state = self.runtime.state
        return (
            not self._stopping
            and state.configuration is not None
            and state.directory.complete
            and state.freshness.is_ready(self.runtime.boot_ms())
        )

    def _readiness_answer(self) -> _status_server.StatusResponse:
        ready = self._is_ready()
        if ready is not self._was_ready:
            self._was_ready = ready
            self.runtime.log.event(
                "ready" if ready else "not_ready",
                configuration_age_ms=self.runtime.state.freshness.age_ms(
                    self.runtime.boot_ms()
                ),
                stopping=self._stopping,
            )
        return _status_server.StatusResponse(200 if ready else 503)

    def _metrics_answer(self) -> _status_server.StatusResponse:
        text = self.runtime.metrics.render_text()
        return _status_server.StatusResponse(200, text.encode())

    def _is_holder(self) -> bool:
        return self._duty.is_holder

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is in flight."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reloaded)
        log = self.runtime.log
        log.event("start", zone=self._settings.zone)
        await self._callers.start(self._settings.callers)
        await self._readiness.start(self._settings.readiness)
        await self._serve_metrics()
        followers = (
            self._operations,
            self._targets,
            self._duty,
        )
        tasks = [loop.create_task(task.run()) for task in followers]
        waiting = loop.create_task(stop.wait())
        done, _ = await asyncio.wait(
            [*tasks, waiting], return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task is not waiting:
                # A task that ends has failed; a restart is the cure.
                task.result()
        await self._drain()
        for task in tasks:
            task.cancel()
        log.event("stop", in_flight=self._callers.in_flight)

    async def _serve_metrics(self) -> None:
        """Serve metrics, which a node can do without."""
        address = self._settings.metrics
        if address is None:
            return
        try:
            await self._metrics.start(address)
        except OSError as error:
            self.runtime.log.event("metrics_unavailable", reason=str(error))

    def _reloaded(self) -> None:
        self.runtime.log.event(
            "reload", reason="settings are read at the next start"
        )

    async def _drain(self) -> None:
        """Finish the requests in flight within the time of grace."""
        started_ms = self.runtime.now_ms()
        self._stopping = True
        self._callers.drain()
        self.runtime.log.event("draining", in_flight=self._callers.in_flight)
        grace_ms = self._settings.bounds.grace_ms
        end_ms = started_ms + grace_ms - EXIT_MARGIN_MS
        unlisted_ms = started_ms + min(UNLISTED_MS, grace_ms // 2)
        idle_closed = False
        while self.runtime.now_ms() < end_ms:
            await asyncio.sleep(_LOOK_S)
            if not idle_closed and self.runtime.now_ms() >= unlisted_ms:
                idle_closed = True
                self._callers.close_idle()
            if idle_closed and not self._callers.in_flight:
                return
        self._callers.abort_all()


def run(settings: _settings.Settings, platform: _ports.Platform) -> None:
    """Run a node until it is stopped."""
    asyncio.run(Node(settings, platform).run())
