"""Task of every node that manages the groups of all zones."""

import concurrent.futures
import threading
import typing

import logbook

from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_node.groups import _lease
from quetzalward_node.groups import _manager
from quetzalward_node.groups import _platform
from quetzalward_node import interfaces

_LOG = logbook.Logger("groups.task")
TICK_MS = 500
WORKER_COUNT = 8


class _PoolWorkers:
    """Implements `Workers` with a thread pool."""

    def __init__(self) -> None:
        """Start the pool."""
        self._pool = concurrent.futures.ThreadPoolExecutor(
            WORKER_COUNT, thread_name_prefix="groups"
        )

    def submit(self, call: typing.Callable[[], None]) -> None:
        """Run a call on a thread of the pool."""
        self._pool.submit(_run_and_log, call)

    def stop(self) -> None:
        """Cancel waiting calls; running ones end by their timeouts."""
        self._pool.shutdown(wait=False, cancel_futures=True)


def _run_and_log(call: typing.Callable[[], None]) -> None:
    """Run a call and log an exception, which the pool would discard."""
    try:
        call()
    except Exception:
        _LOG.exception("engine call failed with an unexpected exception")


class GroupManagerTask:
    """Runs one zone manager per availability zone of the configuration."""

    def __init__(
        self,
        log: interfaces.ControlLog,
        hosts: _platform.HostSource,
        engines: _platform.EngineClient,
        clock: clocks.Clock,
        node: str,
        zone: str,
        current_configuration: typing.Callable[[], config.Configuration],
    ) -> None:
        """Manage zones as `node`, preferring its own `zone`."""
        self._log = log
        self._hosts = hosts
        self._engines = engines
        self._clock = clock
        self._node = node
        self._zone = zone
        self._current_configuration = current_configuration
        self._workers = _PoolWorkers()
        self._managers: dict[str, _manager.ZoneManager] = {}
        self._config_revision = -1
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="groups", daemon=True
        )

    def start(self) -> None:
        """Start the task's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task, and release held leases if the log is available."""
        self._stopping.set()
        self._thread.join()
        self._workers.stop()

    def held_zones(self) -> list[str]:
        """Return the zones whose leases this node holds, in order."""
        return [
            zone
            for zone, manager in sorted(self._managers.items())
            if manager.lease.epoch
        ]

    def _run(self) -> None:
        while not self._stopping.wait(TICK_MS / clocks.MILLIS_PER_SECOND):
            self.step()
        for manager in self._managers.values():
            manager.stop()

    def step(self) -> None:
        """Run one tick of every zone's manager."""
        self._update_managers()
        listing = self._hosts.listing()
        for zone, manager in sorted(self._managers.items()):
            try:
                manager.tick(listing)
            except Exception:
                # A failure in one zone must not affect the other managers.
                _LOG.exception("{}: tick of the group manager failed", zone)

    def _update_managers(self) -> None:
        """Create and stop managers to match the configured zones."""
        view = self._log.state()
        if view.config_revision == self._config_revision:
            return
        self._config_revision = view.config_revision
        zones = self._current_configuration().zones
        for zone in sorted(set(self._managers) - set(zones)):
            self._managers.pop(zone).stop()
        for zone in zones:
            if zone not in self._managers:
                lease = _lease.ZoneLease(
                    self._log, self._clock, zone, self._node, self._zone
                )
                self._managers[zone] = _manager.ZoneManager(
                    lease,
                    self._log,
                    self._engines,
                    self._workers,
                    self._clock,
                    self._current_configuration,
                )
