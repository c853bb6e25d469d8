"""A gateway node: starts its tasks and shuts down gracefully."""

import asyncio
import random
import signal

from quetzalward_core import clock
from quetzalward_core import draining
from quetzalward_core import fleet
from quetzalward_gateway import _coordinator_task
from quetzalward_gateway import _exchange
from quetzalward_gateway import _log
from quetzalward_gateway import _memory
from quetzalward_gateway import _metrics
from quetzalward_gateway import _operations
from quetzalward_gateway import _ports
from quetzalward_gateway import _responses
from quetzalward_gateway import _runtime
from quetzalward_gateway import _server
from quetzalward_gateway import _settings
from quetzalward_gateway import _state
from quetzalward_gateway import _status_server
from quetzalward_gateway import _target_entries
from quetzalward_gateway import _watched_store

# Interval at which a stopping node checks whether its requests have ended.
_DRAIN_POLL_S = 0.05


class Node:
    """All tasks of one gateway node."""

    def __init__(
        self, settings: _settings.Settings, platform: _ports.Platform
    ) -> None:
        """Create the tasks without starting them."""
        self._settings = settings
        time_source = clock.SystemClock()
        log = _log.EventLog(settings.node, time_source)
        state = _state.NodeState(settings, random.Random(settings.node))
        store = _watched_store.WatchedStore(
            platform.store, log, _runtime.boot_ms
        )
        self.runtime = _runtime.Runtime(
            platform,
            state,
            time_source,
            log,
            _metrics.Metrics(),
            store,
            answer_memory=_memory.AnswerMemory(settings.memory_bytes),
        )
        self._callers = _server.CallerServer(
            self._handle,
            state.caller_limits,
            time_source.now_ms,
            self._log_ended,
        )
        self._readiness = _status_server.StatusServer(self._readiness_answer)
        self._metrics = _status_server.StatusServer(self._metrics_answer)
        self._operations = _operations.OperationsFollower(
            self.runtime, self._is_holder
        )
        self._targets = _target_entries.TargetsFollower(
            self.runtime, self._is_holder
        )
        self._coordinator = _coordinator_task.CoordinatorTask(
            self.runtime, settings, self._operations, self._targets
        )
        self._stopping = False
        self._was_ready = False

    async def _handle(
        self, raw: _responses.RawRequest, responder: _responses.Responder
    ) -> None:
        await _exchange.handle(self.runtime, raw, responder)

    def _log_ended(self, ended: _server.Ended) -> None:
        """Log a request that the handler did not answer."""
        head = ended.head
        request = None
        if head is not None:
            request = _exchange.request_id(
                self.runtime, head.method, head.target, list(head.headers)
            )
        self.runtime.log.event(
            "unanswered" if ended.status is None else "rejected",
            request=request,
            phase=ended.phase.value,
            status=ended.status,
            reason=ended.reason,
        )

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
        return self._coordinator.is_holder

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain the requests in flight."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._handle_sighup)
        log = self.runtime.log
        log.event("start", zone=self._settings.zone)
        self.runtime.state.confirmation.begin(
            self.runtime.now_ms(), fleet.START_GRACE_MS
        )
        await self._callers.start(self._settings.callers)
        await self._readiness.start(self._settings.readiness)
        await self._serve_metrics()
        node_tasks = (
            self._operations,
            self._targets,
            self._coordinator,
        )
        tasks = [loop.create_task(task.run()) for task in node_tasks]
        stop_task = loop.create_task(stop.wait())
        done, _ = await asyncio.wait(
            [*tasks, stop_task], return_when=asyncio.FIRST_COMPLETED
        )
        try:
            for task in done:
                if task is not stop_task:
                    # The tasks run until cancelled, so one that ends has
                    # failed; its error ends the process, which is restarted.
                    task.result()
            await self._drain()
        finally:
            # A kept connection would hold a process whose tasks are gone.
            self._callers.end_all()
        for task in tasks:
            task.cancel()
        log.event("stop", in_flight=self._callers.in_flight)

    async def _serve_metrics(self) -> None:
        """Serve metrics; a failure to bind is logged and not fatal."""
        address = self._settings.metrics
        if address is None:
            return
        try:
            await self._metrics.start(address)
        except OSError as error:
            self.runtime.log.event("metrics_unavailable", reason=str(error))

    def _handle_sighup(self) -> None:
        self.runtime.log.event(
            "reload", reason="settings are only read at startup"
        )

    async def _drain(self) -> None:
        """Answer the requests in flight, and end them with the grace time.

        An answer counts as such once its last byte is sent.
        """
        drain = draining.Drain(
            self.runtime.now_ms(), self._settings.bounds.grace_ms
        )
        self.runtime.drain = drain
        self._stopping = True
        self._callers.drain()
        self._coordinator.begin_leaving()
        self.runtime.log.event("draining", in_flight=self._callers.in_flight)
        idle_closed = answered = False
        while self.runtime.now_ms() < drain.end_ms:
            await asyncio.sleep(_DRAIN_POLL_S)
            now_ms = self.runtime.now_ms()
            if not idle_closed and now_ms >= drain.removed_ms:
                idle_closed = True
                self._callers.close_idle()
            if not answered and now_ms >= drain.answer_ms:
                answered = True
                self._callers.end_unanswered()
            if not idle_closed or self._callers.in_flight:
                continue
            if not self._callers.unsent:
                return
        self.runtime.log.event(
            "drain_ended",
            in_flight=self._callers.in_flight,
            unsent=self._callers.unsent,
        )
        self._callers.end_all()
        await asyncio.sleep(_DRAIN_POLL_S)


def run(settings: _settings.Settings, platform: _ports.Platform) -> None:
    """Run a node until a signal stops it."""
    asyncio.run(Node(settings, platform).run())
