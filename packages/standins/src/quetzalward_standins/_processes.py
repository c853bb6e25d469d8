"""The two stand-in processes: the engines, and the platform's services."""

import json
import logging
import os
import signal
import sys
import threading
import typing

import attrs

from quetzalward_core import clock
from quetzalward_standins import _engine_http
from quetzalward_standins import _faults
from quetzalward_standins import _fleet
from quetzalward_standins import _http
from quetzalward_standins import _log
from quetzalward_standins import _orders
from quetzalward_standins import _platform
from quetzalward_standins import _target

# Each open stream and each waiting read occupies a thread.
ENGINE_THREADS = 600
LOG_THREADS = 256
WEIGHT_THREADS = 64
SERVICE_THREADS = 128


@attrs.frozen
class PlatformSpec:
    """What the process of the platform's services runs."""

    log: _log.LogSettings = attrs.field(factory=_log.LogSettings)
    weights: _platform.WeightSettings = attrs.field(
        factory=_platform.WeightSettings
    )


@attrs.frozen
class EnginesSpec:
    """What the process of the engines runs."""

    hosts: list[_fleet.HostSpec]
    weights_url: str
    engines: _target.EngineSettings = attrs.field(
        factory=_target.EngineSettings
    )


class Platform:
    """Log, weight store and service on ports of their own."""

    def __init__(self, spec: PlatformSpec) -> None:
        """Start the servers."""
        source = clock.SystemClock()
        self.log = _log.LogService(spec.log, source)
        self.weights = _platform.WeightStore(spec.weights, source)
        self.service = _platform.Service()
        self._servers = {
            "log": _http.Server(self.log.handle, threads=LOG_THREADS),
            "weights": _http.Server(
                self.weights.handle, threads=WEIGHT_THREADS
            ),
            "service": _http.Server(
                self.service.handle, threads=SERVICE_THREADS
            ),
        }
        self.urls = {
            name: server.url for name, server in self._servers.items()
        }

    def stop(self) -> None:
        """Stop the servers."""
        for server in self._servers.values():
            server.stop()


class EngineSide:
    """All engines on one port, and the host list on another."""

    def __init__(self, spec: EnginesSpec) -> None:
        """Start the servers."""
        source = clock.SystemClock()
        self.fleet = _fleet.Fleet(spec.hosts, spec.engines, source)
        orders = _orders.OrderBook(self.fleet, spec.weights_url)
        self.engines = _engine_http.Engines(self.fleet, orders)
        self._servers = {
            "engines": _http.Server(
                self.engines.handle, threads=ENGINE_THREADS
            ),
            "hosts": _http.Server(
                self.engines.handle_hosts, threads=WEIGHT_THREADS
            ),
        }
        self.urls = {
            name: server.url for name, server in self._servers.items()
        }
        self.fleet.publish(self.urls["engines"])

    def stop(self) -> None:
        """Stop the servers and the engines' threads."""
        self.fleet.stop()
        for server in self._servers.values():
            server.stop()


def run_platform() -> None:
    """Run the platform's services until the process is stopped.

    The first line of the standard input is the `PlatformSpec` as JSON.
    """
    document = json.loads(sys.stdin.readline())
    _run(Platform(_faults.from_document(document, PlatformSpec)).urls)


def run_engines() -> None:
    """Run the engines and the host list until the process is stopped.

    The first line of the standard input is the `EnginesSpec` as JSON.
    """
    document = json.loads(sys.stdin.readline())
    _run(EngineSide(_faults.from_document(document, EnginesSpec)).urls)


def _run(urls: dict[str, str]) -> typing.NoReturn:
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)
    print(json.dumps(urls), flush=True)
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    threading.Thread(
        target=_watch_launcher, args=(stopped,), daemon=True
    ).start()
    stopped.wait()
    # Worker threads inside handlers would delay a normal exit.
    os._exit(0)


def _watch_launcher(stopped: threading.Event) -> None:
    """Stop when the launcher, which holds the standard input, ends."""
    sys.stdin.read()
    stopped.set()
