"""Builds the tasks of a node and connects them."""

import random
import secrets
import threading
import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_node import _service_status
from quetzalward_node import app
from quetzalward_node import control
from quetzalward_node import dispatch
from quetzalward_node import groups
from quetzalward_node import interfaces
from quetzalward_node import log
from quetzalward_node import operators
from quetzalward_node import peers
from quetzalward_node import targets
from quetzalward_node import telemetry

CALLS_FLUSH_TIMEOUT_MS = 5_000


@attrs.frozen
class _CallRegistryLifecycle:
    """Starts the call registry, and flushes its queue on stop."""

    calls: log.CallRegistryTask
    clock: clocks.Clock

    def start(self) -> None:
        """Start the call streams."""
        self.calls.start()

    def stop(self) -> None:
        """Append the queued records and stop."""
        self.calls.stop(self.clock.now_ms() + CALLS_FLUSH_TIMEOUT_MS)


@attrs.frozen
class _PeersLifecycle:
    """Binds the peers' address before gossip rounds start."""

    peers: peers.PeersTask
    address: str

    def start(self) -> None:
        """Bind the address and start gossiping."""
        self.peers.listen(self.address)
        self.peers.start()

    def stop(self) -> None:
        """Stop gossiping and close the server."""
        self.peers.stop()


class _OperatorsLifecycle:
    """Runs the operators' server on a thread.

    It starts before and stops after all other tasks.
    """

    def __init__(self, server: operators.OperatorsServer) -> None:
        self._server = server
        self._thread = threading.Thread(
            target=server.serve, name="operators", daemon=True
        )

    def start(self) -> None:
        """Bind the address and serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
        self._thread.join()


class _DeferredDispatcherQuery:
    """Forwards queries to the peers task, which is created later.

    The call registry and the peers task depend on each other.
    """

    def __init__(self) -> None:
        self.peers: interfaces.DispatcherQuery | None = None

    def ask(self, node: str, intent_id: str) -> interfaces.DispatcherAnswer:
        """Query as `DispatcherQuery`; `UNREACHABLE` until `peers` is set."""
        if self.peers is None:
            return interfaces.DispatcherAnswer.UNREACHABLE
        return self.peers.ask(node, intent_id)


class _Wiring:
    """The tasks of one node while they are being connected."""

    def __init__(self, context: app.Context) -> None:
        self._context = context
        self._settings = context.settings
        self._clock = context.clock
        self._nonce = secrets.token_hex(8)
        self._writer = agreement.writer_name(self._settings.name, self._nonce)
        self._store = log.HttpLogStore(self._settings.log_url)
        self._control = log.ControlLogTask(
            self._store, self._writer, self._clock
        )
        self._configuration = control.ConfigurationHolder(self._control.state)
        self._calls, self._peers = self._make_calls_and_peers()
        self._peer_adapter = self._make_peer_adapter()
        self._registration = self._make_registration()
        self._control_view_source = control.ControlViewSource(
            self._control.state, self._configuration, self._peer_adapter
        )
        self._dispatch = dispatch.DispatchTask(
            self._settings.name,
            self._settings.zone,
            self._control_view_source,
            self._peer_adapter,
            self._clock,
            random.Random(),
            self._peers.broadcast_suspect,
        )
        self._peers.on_suspect(self._dispatch.doubt_target)
        self._targets = targets.TargetsTask(
            self._settings.name,
            self._settings.zone,
            self._settings.hosts_url,
            self._control_view_source,
            self._dispatch,
            self._clock,
            random.Random(),
        )
        self._groups = self._make_groups()
        self._pending = operators.PendingStops(self._control, self._clock)
        self._operators = self._make_operators()

    def tasks(self) -> app.Tasks:
        """Return the tasks in the order of their start."""
        background_tasks: tuple[app.Task, ...] = (
            _OperatorsLifecycle(self._operators),
            self._control,
            _CallRegistryLifecycle(self._calls, self._clock),
            _PeersLifecycle(self._peers, self._settings.peers_listen),
            self._pending,
            self._dispatch,
            self._targets,
            self._groups,
            self._registration,
        )
        return app.Tasks(
            self._dispatch,
            dispatch.ServiceRouting(self._dispatch),
            self._calls,
            self._configuration.current,
            background_tasks,
            self._configured,
        )

    def _make_calls_and_peers(
        self,
    ) -> tuple[log.CallRegistryTask, peers.PeersTask]:
        dispatcher_query = _DeferredDispatcherQuery()
        calls = log.CallRegistryTask(
            self._store,
            self._writer,
            self._settings.call_streams,
            self._clock,
            dispatcher_query,
            _service_status.ServiceStatus(self._configuration.current),
            lambda: self._configuration.current().calls,
        )
        self._local_demand = control.LocalDemand()
        peers_task = peers.PeersTask(
            self._settings.name,
            self._context.secret,
            self._control,
            self._clock,
            calls,
            self._local_demand.current,
            self._settings.serve_without_log,
            self._settings.tls,
        )
        dispatcher_query.peers = peers_task
        return calls, peers_task

    def _make_peer_adapter(self) -> control.PeerAdapter:
        return control.PeerAdapter(
            self._settings.name,
            self._peers.knowledge,
            self._control,
            self._configuration.current,
            self._configuration.revision,
            self._local_demand,
        )

    def _make_registration(self) -> control.Registration:
        settings = self._settings
        joined = agreement.NodeJoined(
            settings.name,
            self._nonce,
            settings.zone,
            settings.region,
            settings.listen,
            settings.peers_listen,
            settings.operators_listen,
        )
        return control.Registration(
            self._control,
            joined,
            self._peer_adapter,
            self._clock,
            random.Random(),
        )

    def _make_groups(self) -> groups.GroupManagerTask:
        return groups.GroupManagerTask(
            self._control,
            groups.ListedHostSource(lambda: self._targets.view().host_list),
            groups.HttpEngineClient(),
            self._clock,
            self._settings.name,
            self._settings.zone,
            self._configuration.current,
        )

    def _make_operators(self) -> operators.OperatorsServer:
        api = operators.OperatorsApi(
            control=self._control,
            configuration=self._configuration.current,
            fleet=self._peer_adapter,
            stop_orders=self._peer_adapter,
            pending=self._pending,
            time=self._clock,
            zones_out=lambda: control.zones_out(
                self._control.state(), self._peer_adapter.stopped_zones()
            ),
            targets_draining=lambda: control.targets_draining(
                self._control.state(), self._peer_adapter.stopped_targets()
            ),
            targets=self._target_rows,
            not_ready=self._not_ready,
            drain=self._context.lifecycle.stop_requested.set,
        )
        observability = operators.Observability(
            self._not_ready,
            self._context.telemetry.metrics.render,
            telemetry.CONTENT_TYPE,
            self._context.telemetry.tracing.spans,
        )
        host, _, port = self._settings.operators_listen.rpartition(":")
        return operators.OperatorsServer(
            (host, int(port)),
            api,
            observability,
            self._settings.bootstrap_operator_sha256,
        )

    def _target_rows(self) -> dict[str, dict[str, typing.Any]]:
        """Return the state of each watched target, by target id."""
        view = self._targets.view()
        now_ms = self._clock.now_ms()
        rows: dict[str, dict[str, typing.Any]] = {}
        for target_id, report in view.reports.items():
            rows[target_id] = {
                "url": view.urls.get(target_id),
                "engine_state": report.state.value,
                "running": report.running,
                "waiting": report.waiting,
                "report_age_ms": now_ms - report.as_of_ms,
                "in_subset": target_id in view.subset,
            }
        return rows

    def _configured(self) -> bool:
        return self._control.ready() and self._configuration.revision() > 0

    def _not_ready(self) -> list[str]:
        """Return the reasons why this node is not ready; empty if it is."""
        reasons = []
        if self._context.lifecycle.stop_requested.is_set():
            reasons.append("stopping")
        if not self._control.ready() or not self._calls.ready():
            reasons.append("the log has not been read yet")
        elif self._configuration.revision() == 0:
            reasons.append("no configuration is in force")
        elif not self._registration.registered():
            reasons.append("not registered on the log")
        if self._control_view_source.view().isolated:
            reasons.append("isolated from the log and from other nodes")
        if not self._context.lifecycle.accepting():
            reasons.append("not accepting callers")
        return reasons


def build_tasks(context: app.Context) -> app.Tasks:
    """Build and connect the tasks of a node; starts nothing."""
    return _Wiring(context).tasks()
