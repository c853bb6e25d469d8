"""Gateway processes of the soak."""

import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

from quetzalward_standins import platform

GRACE_S = 8
# A stopped process that runs for longer is reported and killed.
STOP_TIMEOUT_S = GRACE_S + 2.0


# Below the ephemeral port range: an outgoing connection could otherwise take
# a node's port while the node is down.
_PORTS = itertools.cycle(range(15_000, 28_000))
_PORTS_PER_PROCESS = 40


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return an unused loopback port, a different one at each call."""
    while True:
        port = next(_PORTS)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                # The port is in use; try the next one.
                continue
        return port


def _skip_ports() -> None:
    """Offset the ports by process id, so that concurrent soaks differ."""
    for _ in range(os.getpid() % 300 * _PORTS_PER_PROCESS):
        next(_PORTS)


_skip_ports()


class NodeProcess:
    """One gateway process and its own proxy to the store."""

    def __init__(
        self, name: str, zone: str, folder: pathlib.Path, store_port: int
    ) -> None:
        """Allocate the ports and files of a node; `start` runs it."""
        self.name = name
        self.front_port = free_port()
        self.proxy = platform.Proxy(store_port)
        self.stop_requested_s: float | None = None
        # All signals that were sent, with their times.
        self.signals: list[tuple[float, signal.Signals]] = []
        self._zone = zone
        self._ready_port = free_port()
        self.peers_port = free_port(socket.SOCK_DGRAM)
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._first = True

    @property
    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int | None:
        """Return the id of the running process, if it runs."""
        if self._process is None or not self.is_running:
            return None
        return self._process.pid

    async def prepare(self) -> None:
        """Start the proxy and write the settings."""
        proxy_port = await self.proxy.start()
        self._settings.write_text(json.dumps(self._document(proxy_port)))

    def _document(self, proxy_port: int) -> dict[str, typing.Any]:
        return {
            "nodeName": self.name,
            "ip": "127.0.0.1",
            "zone": self._zone,
            "bind": {
                "front": f"127.0.0.1:{self.front_port}",
                "ready": f"127.0.0.1:{self._ready_port}",
            },
            "internalPorts": [self.peers_port],
            "bootstrap": self._first,
            "limits": {"cpuShare": 1.0, "cores": 1, "linkMbps": 1000.0},
            "bounds": {
                "graceS": GRACE_S,
                "strictRevoke": True,
                "revokeMs": 5000,
                "retryBudgetRatio": 0.2,
                "retrySlack": 100,
                "retryWindowS": 10,
            },
            "platform": {"address": f"127.0.0.1:{proxy_port}"},
        }

    def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            "QUETZALWARD_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "quetzalward_platform"],
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.stop_requested_s = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, by its id, if it is running."""
        if self.is_running and self._process is not None:
            self.signals.append((time.monotonic(), number))
            self._process.send_signal(number)
            if number is signal.SIGTERM:
                self.stop_requested_s = time.monotonic()

    def exceeded_stop_timeout(self) -> bool:
        """Tell whether a stopped process runs past `STOP_TIMEOUT_S`."""
        return (
            self.is_running
            and self.stop_requested_s is not None
            and time.monotonic() - self.stop_requested_s > STOP_TIMEOUT_S
        )

    def kill(self) -> None:
        """Kill the process and close the proxy."""
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()
        self.proxy.close()

    def log_lines(self) -> list[str]:
        """Return the lines that the process has logged."""
        if not self._log.exists():
            return []
        return self._log.read_text(errors="replace").splitlines()

    def errors(self) -> list[str]:
        """Return the log lines that report internal errors."""
        return [
            line
            for line in self.log_lines()
            if "internal_error" in line or "Traceback" in line
        ]

    def events(self) -> list[dict[str, typing.Any]]:
        """Return the logged events."""
        return [
            json.loads(line) for line in self.log_lines() if line[:1] == "{"
        ]
