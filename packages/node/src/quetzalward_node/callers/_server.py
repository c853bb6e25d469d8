"""The callers' task: set-up and life cycle of its server."""

import hashlib
import threading
import typing

import logbook

from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node import _problems
from quetzalward_node.callers import _cancels
from quetzalward_node.callers import _connection_manager
from quetzalward_node.callers import _crashes
from quetzalward_node.callers import _http
from quetzalward_node.callers import _meters
from quetzalward_node.callers import _relay
from quetzalward_node.callers import _routes
from quetzalward_node.callers import _service_attempt
from quetzalward_node.callers import _stream
from quetzalward_node.callers import _targets
from quetzalward_node.callers import _watch
from quetzalward_node import interfaces
from quetzalward_node import telemetry as telemetries

# Time for interrupted requests to send an error to their callers.
INTERRUPT_GRACE_MS = 5_000

_LOG = logbook.Logger("callers")


def parse_address(address: str) -> tuple[str, int]:
    """Split `IP:port`; raises `ValueError`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class CallersServer:
    """Serves HTTP requests on the callers' port."""

    def __init__(
        self,
        listen: str,
        threads: int,
        secret: bytes,
        dispatcher: interfaces.Dispatcher,
        services: interfaces.ServiceRouter,
        calls: interfaces.CallRegistry,
        configuration: typing.Callable[[], config.Configuration],
        clock: clocks.Clock,
        telemetry: telemetries.Telemetry,
        connection_limits: _connection_manager.ConnectionLimits | None = None,
        configured: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        """Create the server; `start` binds the port.

        `listen` is `IP:port`, `secret` the cluster's secret. Requests are
        rejected while `configured` returns false.
        """
        self._meters = _meters.create(telemetry.metrics)
        self._connections = _targets.TargetConnections()
        self._canceller = _cancels.Canceller(self._connections, self._meters)
        self._watch = _watch.CallerWatch(clock)
        self._relay = _relay.RelayLoop(clock)
        self._clock = clock
        self._handler = _routes.Handler(
            self._parts(
                dispatcher,
                services,
                calls,
                configuration,
                configured,
                telemetry.tracing,
                secret,
            )
        )
        self._http = _http.CallersHttpServer(
            parse_address(listen),
            self._handler.handle,
            threads,
            connection_limits or _connection_manager.ConnectionLimits(),
            configuration,
            clock,
            self._record_rejection,
            self._record_server_error,
        )
        self._thread = threading.Thread(
            target=self._http.serve, name="callers-gate", daemon=True
        )
        self._register_gauges(telemetry.metrics)

    @property
    def address(self) -> tuple[str, int]:
        """Return the bound address; only after `start`."""
        host, port = self._http.bind_addr
        return host, port

    @property
    def in_progress(self) -> int:
        """Return the number of requests being handled or queued."""
        return self._http.busy

    @property
    def open_connections(self) -> int:
        """Return the number of callers' connections; only after `start`."""
        return self._http.connection_manager.open_connections

    @property
    def accepting(self) -> bool:
        """Return whether new requests are accepted, for `/readyz`."""
        return self._thread.is_alive() and self._http.rejection() is None

    def start(self) -> None:
        """Bind the port and begin serving.

        Raises `OSError` if the port cannot be bound.
        """
        self._http.prepare()
        self._watch.start()
        self._relay.start()
        self._canceller.start()
        self._thread.start()
        _LOG.info("serving callers on {}:{}", *self.address)

    def stop_accepting(self) -> None:
        """Reject new requests with `node_stopping` from now on.

        The port stays open, so that requests which the load balancer still
        sends here get a response that says they did not run.
        """
        if self._http.rejection() is None:
            self._http.reject_new_requests()
            _LOG.info(
                "rejecting new requests; {} requests in progress",
                self.in_progress,
            )

    def drain(self, timeout_ms: clocks.Millis) -> bool:
        """Finish the requests in progress, then close the port.

        Returns false if some had to be interrupted after `timeout_ms`.
        """
        self.stop_accepting()
        done = self._http.wait_until_done(timeout_ms)
        if not done:
            _LOG.warning(
                "drain timed out; interrupting {} requests", self.in_progress
            )
            self._watch.interrupt_all(_watch.Cause.STOPPING)
            self._http.wait_until_done(INTERRUPT_GRACE_MS)
        self._http.stop()
        self._thread.join()
        self._canceller.stop()
        self._relay.stop()
        self._watch.stop()
        self._connections.close()
        _LOG.info("stopped serving callers")
        return done

    def _parts(
        self,
        dispatcher: interfaces.Dispatcher,
        services: interfaces.ServiceRouter,
        calls: interfaces.CallRegistry,
        configuration: typing.Callable[[], config.Configuration],
        configured: typing.Callable[[], bool],
        tracing: telemetries.Tracing,
        secret: bytes,
    ) -> _routes.Parts:
        crashes = _crashes.CrashGuard(self._clock)
        drafts = _stream.Parts(
            dispatcher,
            self._connections,
            self._canceller,
            self._clock,
            tracing,
            self._meters,
            self._relay,
            crashes,
        )
        service_parts = _service_attempt.Parts(
            services,
            calls,
            dispatcher.may_retry,
            self._connections,
            self._clock,
            tracing,
            self._meters,
            crashes,
        )
        # Derives a separate key, since the cluster's secret has other uses.
        label = b"quetzalward event ids\0"
        event_secret = hashlib.sha256(label + secret).digest()
        return _routes.Parts(
            drafts,
            service_parts,
            configuration,
            configured,
            self._watch,
            event_secret,
        )

    def _register_gauges(self, metrics: telemetries.Metrics) -> None:
        prefix = "quetzalward_callers_"
        metrics.gauge(
            prefix + "in_progress",
            "Requests with a worker or queued for one.",
            lambda: self._http.busy,
        )
        metrics.gauge(
            prefix + "streams",
            "Completion requests in progress.",
            lambda: self._handler.stream_count,
        )
        metrics.gauge(
            prefix + "connections",
            "Open connections of callers.",
            lambda: self._http.open_connections,
        )

    def _record_rejection(self, kind: errors.ErrorKind) -> None:
        self._meters.refused.add(kind.value)

    def _record_server_error(self, message: str) -> None:
        self._meters.server_errors.add()
        _LOG.debug("http server: {}", _problems.escape(message))
