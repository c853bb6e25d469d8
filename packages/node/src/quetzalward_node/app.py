"""A node: builds its tasks, runs them and stops them gracefully."""

import pathlib
import resource
import signal
import threading
import types
import typing

import attrs
import logbook

from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node import _settings
from quetzalward_node import callers
from quetzalward_node import interfaces
from quetzalward_node import telemetry

MIN_SECRET_BYTES = 16
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_LOG = logbook.Logger("node")


class Task(typing.Protocol):
    """A task with threads of its own."""

    def start(self) -> None:
        """Start the task's threads."""

    def stop(self) -> None:
        """Stop the task's threads and wait for their end."""


@attrs.frozen
class Tasks:
    """The components that serve the callers' port, built together."""

    dispatcher: interfaces.Dispatcher
    services: interfaces.ServiceRouter
    calls: interfaces.CallRegistry
    # The configuration in force.
    configuration: typing.Callable[[], config.Configuration]
    # Started in this order and stopped in the opposite one.
    background_tasks: tuple[Task, ...] = ()
    # Whether a configuration in force has been read from the log.
    configured: typing.Callable[[], bool] = lambda: True


@attrs.define
class Lifecycle:
    """Whether the node is stopping, and whether callers are accepted."""

    stop_requested: threading.Event = attrs.field(factory=threading.Event)
    accepting: typing.Callable[[], bool] = bool


@attrs.frozen
class Context:
    """Dependencies shared by all tasks."""

    settings: _settings.Settings
    secret: bytes
    clock: clocks.Clock
    telemetry: telemetry.Telemetry
    lifecycle: Lifecycle


Builder = typing.Callable[[Context], Tasks]


def read_secret(path: str) -> bytes:
    """Return the cluster's secret, without surrounding whitespace.

    Raises `QuetzalwardError` of kind `config_invalid`.
    """
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_INVALID,
            f"cannot read secret_file {path}: {error}",
        ) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_INVALID,
            f"secret_file {path}: shorter than {MIN_SECRET_BYTES} bytes",
        )
    return secret


def raise_file_limit() -> None:
    """Raise the soft limit on open files to the hard limit.

    The usual soft limit of 1,024 is below the number of callers' connections.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Node:
    """One node of the system."""

    def __init__(
        self,
        settings: _settings.Settings,
        build: Builder,
        clock: clocks.Clock | None = None,
    ) -> None:
        """Build every task; `run` or `start` starts them.

        Raises `QuetzalwardError` of kind `config_invalid`.
        """
        self._settings = settings
        self.telemetry = telemetry.create(settings.name, settings.trace_file)
        self._lifecycle = Lifecycle()
        context = Context(
            settings,
            read_secret(settings.secret_file),
            clock or clocks.SystemClock(),
            self.telemetry,
            self._lifecycle,
        )
        self._tasks = build(context)
        self.callers = callers.CallersServer(
            listen=settings.listen,
            threads=settings.threads,
            secret=context.secret,
            dispatcher=self._tasks.dispatcher,
            services=self._tasks.services,
            calls=self._tasks.calls,
            configuration=self._tasks.configuration,
            clock=context.clock,
            telemetry=self.telemetry,
            configured=self._tasks.configured,
        )
        self._lifecycle.accepting = lambda: self.ready

    @property
    def ready(self) -> bool:
        """Return whether the node takes new requests, for `/readyz`."""
        return self.callers.accepting

    def run(self) -> bool:
        """Serve until a stop signal; call only from the main thread.

        Returns false if requests were aborted after the stop timeout.
        """
        raise_file_limit()
        self.start()
        previous = {
            number: signal.signal(number, self._on_signal)
            for number in STOP_SIGNALS
        }
        try:
            self._lifecycle.stop_requested.wait()
        finally:
            clean = self.stop()
            for number, handler in previous.items():
                signal.signal(number, handler)
        return clean

    def start(self) -> None:
        """Start every task, the callers' port last."""
        started: list[Task] = []
        try:
            for task in self._tasks.background_tasks:
                task.start()
                started.append(task)
            self.callers.start()
        except BaseException:
            for task in reversed(started):
                task.stop()
            raise
        _LOG.info("node {} started", self._settings.name)

    def request_stop(self) -> None:
        """Make `run` stop gracefully."""
        self._lifecycle.stop_requested.set()

    def stop(self) -> bool:
        """Refuse new requests, finish those in progress, stop every task.

        Returns false if requests were aborted after the stop timeout.
        """
        _LOG.info(
            "node {} stopping; finishing requests in progress",
            self._settings.name,
        )
        clean = self.callers.drain(self._settings.stop_timeout_ms)
        for task in reversed(self._tasks.background_tasks):
            task.stop()
        self.telemetry.tracing.close()
        _LOG.info("node {} stopped", self._settings.name)
        return clean

    def _on_signal(self, number: int, frame: types.FrameType | None) -> None:
        self.request_stop()
