"""A node: builds the tasks, starts them in order and stops them gracefully."""

import pathlib
import random
import secrets
import signal
import threading
import typing

import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_core import limits
from quetzalward_node import _service_status
from quetzalward_node import _settings
from quetzalward_node import callers
from quetzalward_node import control
from quetzalward_node import dispatch
from quetzalward_node import groups
from quetzalward_node import interfaces
from quetzalward_node import log
from quetzalward_node import operators
from quetzalward_node import targets
from quetzalward_node import telemetry

_LOG = logbook.Logger(__name__)
CALLS_FLUSH_MS = 5_000
MAX_HEAD_AGE_MS = 5_000
MIN_SECRET_BYTES = 16


class _Alone:
    """Peer knowledge of a node without peers: only the log counts."""

    def __init__(self, log_task: log.ControlLogTask) -> None:
        self._log = log_task
        self.stops = control.LocalStops()

    def freshness(self) -> interfaces.Freshness:
        fresh = self._log.head_age_ms() <= MAX_HEAD_AGE_MS
        return interfaces.Freshness(not fresh, fresh)

    def stopped_zones(self) -> dict[str, int]:
        return self.stops.zones()

    def stopped_targets(self) -> dict[str, int]:
        return self.stops.targets()

    def status_by_node(self) -> dict[str, interfaces.PeerStatus]:
        return {}

    def publish(self, demands: typing.Mapping[str, limits.Demand]) -> None:
        del demands

    def others(self) -> dict[str, dict[str, limits.Demand]]:
        return {}

    def ask(self, node: str, intent_id: str) -> interfaces.DispatcherAnswer:
        del node, intent_id
        return interfaces.DispatcherAnswer.UNREACHABLE


def _read_secret(path: str) -> bytes:
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_INVALID, f"secret_file: {error}"
        ) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_INVALID,
            f"secret_file: {path} must hold at least {MIN_SECRET_BYTES} bytes",
        )
    return secret


class Node:
    """All tasks of one node process."""

    def __init__(self, settings: _settings.Settings) -> None:
        """Build the tasks; nothing runs before `start`."""
        self._settings = settings
        self._clock = clocks.SystemClock()
        self._nonce = secrets.token_hex(8)
        self._stopping = threading.Event()
        self._secret = _read_secret(settings.secret_file)
        self._telemetry = telemetry.create(settings.name, settings.trace_file)
        self._build_control()
        self._build_routing()
        self._build_groups()
        self._build_callers()
        self._build_operators()

    def _build_control(self) -> None:
        settings = self._settings
        self._writer = agreement.writer_name(settings.name, self._nonce)
        self._store = log.HttpLogStore(settings.log_url)
        self._control = log.ControlLogTask(
            self._store, self._writer, self._clock
        )
        self._configuration = control.ConfigurationHolder(self._control.state)
        self._peers = _Alone(self._control)
        self._source = control.ControlViewSource(
            self._control.state, self._configuration, self._peers
        )
        joined = agreement.NodeJoined(
            settings.name,
            self._nonce,
            settings.zone,
            settings.region,
            settings.listen,
            settings.peers_listen,
            settings.operators_listen,
        )
        self._registration = control.Registration(
            self._control, joined, self._peers, self._clock, random.Random()
        )

    def _build_routing(self) -> None:
        settings = self._settings
        self._dispatch = dispatch.DispatchTask(
            settings.name,
            settings.zone,
            self._source,
            self._peers,
            self._clock,
            random.Random(),
        )
        self._targets = targets.TargetsTask(
            settings.name,
            settings.zone,
            settings.hosts_url,
            self._source,
            self._dispatch,
            self._clock,
            random.Random(),
        )

    def _build_groups(self) -> None:
        settings = self._settings
        self._groups = groups.GroupManagerTask(
            self._control,
            groups.ListedHostSource(lambda: self._targets.view().host_list),
            groups.HttpEngineClient(),
            self._clock,
            settings.name,
            settings.zone,
        )

    def _build_callers(self) -> None:
        settings = self._settings
        self._calls = log.CallRegistryTask(
            self._store,
            self._writer,
            settings.call_streams,
            self._clock,
            self._peers,
            _service_status.ServiceStatus(self._configuration.current),
            lambda: self._configuration.current().calls,
        )
        self._callers = callers.CallersServer(
            settings.listen,
            settings.threads,
            self._secret,
            self._dispatch,
            dispatch.ServiceRouting(self._dispatch),
            self._calls,
            self._configuration.current,
            self._clock,
            self._telemetry,
        )

    def _build_operators(self) -> None:
        settings = self._settings
        self._pending = operators.PendingStops(self._control, self._clock)
        api = operators.OperatorsApi(
            control=self._control,
            configuration=self._configuration.current,
            fleet=self._peers,
            stop_orders=self._peers.stops,
            pending=self._pending,
            time=self._clock,
            targets=dict,
            not_ready=self.not_ready,
            drain=self._stopping.set,
        )
        observability = operators.Observability(
            self.not_ready,
            self._telemetry.metrics.render,
            telemetry.CONTENT_TYPE,
            lambda request_id: [],
        )
        host, _, port = settings.operators_listen.rpartition(":")
        self._operators = operators.OperatorsServer(
            (host, int(port)),
            api,
            observability,
            settings.bootstrap_operator_sha256,
        )
        self._operators_thread = threading.Thread(
            target=self._operators.serve, name="operators", daemon=True
        )

    def not_ready(self) -> list[str]:
        """Return why this node should get no new callers; empty if ready."""
        reasons = []
        if self._stopping.is_set():
            reasons.append("stopping")
        if not self._control.ready() or not self._calls.ready():
            reasons.append("the log has not been read yet")
        elif self._configuration.revision() == 0:
            reasons.append("no configuration is in force")
        elif not self._registration.registered():
            reasons.append("not registered on the log")
        if self._source.view().isolated:
            reasons.append("isolated from the log and from other nodes")
        if not self._callers.accepting:
            reasons.append("not accepting callers")
        return reasons

    def start(self) -> None:
        """Start every task.

        Raises `OSError` if an address cannot be bound.
        """
        self._operators.prepare()
        self._operators_thread.start()
        self._control.start()
        self._calls.start()
        self._pending.start()
        self._dispatch.start()
        self._targets.start()
        self._groups.start()
        self._callers.start()
        self._registration.start()
        _LOG.info("node {} started", self._settings.name)

    def request_stop(self) -> None:
        """Begin a graceful shutdown; `run` carries it out."""
        self._stopping.set()

    def run(self) -> None:
        """Start, wait for SIGTERM, SIGINT or an operator, and stop."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.request_stop())
        self.start()
        self._stopping.wait()
        self.stop()

    def stop(self) -> None:
        """Finish what is in progress, then stop every task."""
        self._stopping.set()
        _LOG.info("node {} stops gracefully", self._settings.name)
        self._dispatch.stop_admission()
        self._callers.drain(self._settings.stop_timeout_ms)
        self._groups.stop()
        self._dispatch.stop()
        self._targets.stop()
        self._calls.stop(self._clock.now_ms() + CALLS_FLUSH_MS)
        self._registration.stop()
        self._pending.stop()
        self._control.stop()
        self._operators.stop()
        self._operators_thread.join()
        self._telemetry.tracing.close()
        _LOG.info("node {} stopped", self._settings.name)
