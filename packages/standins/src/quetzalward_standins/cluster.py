"""A whole cluster on loopback: stand-ins, nodes and a first configuration."""

import hashlib
import json
import os
import pathlib
import random
import secrets
import socket
import subprocess
import sys
import tempfile
import time
import typing

import attrs
import urllib3

from quetzalward_standins import _faults
from quetzalward_standins import _fleet
from quetzalward_standins import _log
from quetzalward_standins import _platform
from quetzalward_standins import _processes
from quetzalward_standins import _target

MODEL = "draft"
ADAPTER = "draft-legal"
SERVICE = "booking"
BOOKING_PATH = f"/services/{SERVICE}/bookings"
START_TIMEOUT_S = 60.0
POLL_S = 0.2
# A stop must end within 10 s: the nodes get most of it for their callers.
NODE_STOP_TIMEOUT_S = 7.0
STANDIN_STOP_TIMEOUT_S = 1.5
# Below the ports that the kernel gives to outgoing connections, so that none
# of those takes a node's port before the node binds it.
NODE_PORTS = range(20_000, 32_000)
PORT_PARTS = 40


class ClusterError(Exception):
    """The cluster did not start; the text says which part."""


@attrs.frozen
class ClusterSpec:
    """Size and settings of a cluster."""

    nodes: int = 6
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    region: str = "r1"
    hosts_per_replica: int = 2
    replicas: int = 6
    # Hosts beyond what the replicas need, for repair.
    spare_hosts_per_zone: int = 2
    hosts_per_domain: int = 4
    engines: _target.EngineSettings = _target.EngineSettings()
    log: _log.LogSettings = _log.LogSettings()
    weights: _platform.WeightSettings = _platform.WeightSettings()
    # Settings that every node gets besides the usual ones.
    node_settings: dict[str, typing.Any] = attrs.field(factory=dict)
    # Top-level keys that replace those of the usual configuration.
    configuration: dict[str, typing.Any] = attrs.field(factory=dict)
    node_module: str = "quetzalward_node"


@attrs.define
class Node:
    """One node: its addresses, its settings file and its process."""

    name: str
    zone: str
    url: str
    operators_url: str
    settings_file: str
    process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the node's last process, 0 before the first."""
        return self.process.pid if self.process else 0

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process is not None and self.process.poll() is None


class Cluster:
    """Starts, changes and stops a cluster; not for several threads."""

    def __init__(self, spec: ClusterSpec = ClusterSpec()) -> None:
        """Prepare names and secrets; `start` does the rest."""
        self.spec = spec
        self.model = MODEL
        self.booking_path = BOOKING_PATH
        self.api_key = secrets.token_hex(16)
        self.other_api_key = secrets.token_hex(16)
        self.operator_token = secrets.token_hex(16)
        self.standins: dict[str, str] = {}
        self.nodes: list[Node] = []
        self.pool = urllib3.PoolManager(maxsize=64)
        self._directory = tempfile.TemporaryDirectory(prefix="quetzalward-")
        self._processes: list[subprocess.Popen[bytes]] = []
        self._standin_pids: dict[str, int] = {}

    def start(self) -> None:
        """Start everything and wait until every node is ready.

        Raises `ClusterError` after stopping what was started.
        """
        try:
            self.start_standins()
            self._prepare_nodes()
            for node in self.nodes:
                self.start_node(node)
            self._publish()
            for node in self.nodes:
                self.wait_ready(node)
        except BaseException:
            self.stop()
            raise

    def start_standins(self) -> None:
        """Start the two stand-in processes."""
        platform = _processes.PlatformSpec(self.spec.log, self.spec.weights)
        self.standins = self._start_standin("platform", platform)
        engines = _processes.EnginesSpec(
            host_specs(self.spec),
            self.standins["weights"],
            self.spec.engines,
        )
        self.standins |= self._start_standin("engines", engines)

    def start_node(self, node: Node) -> None:
        """Start a node's process, also after it was stopped."""
        # Sessions of their own keep signals to the launcher's process group,
        # such as a terminal's Ctrl-C, away from nodes and stand-ins, so that
        # the launcher decides the order of the stop.
        node.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                self.spec.node_module,
                "run",
                "--settings",
                node.settings_file,
            ],
            stdin=subprocess.DEVNULL,
            stdout=sys.stderr.fileno(),
            start_new_session=True,
        )

    def wait_ready(
        self, node: Node, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until a node's /readyz gives 200."""
        deadline = time.monotonic() + timeout_s
        while not self.is_ready(node):
            if not node.running:
                raise ClusterError(f"{node.name} ended during its start")
            if time.monotonic() > deadline:
                raise ClusterError(f"{node.name} is not ready")
            time.sleep(POLL_S)

    def wait_serving(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the declared replicas serve, or the time is up.

        Ends at once if the node does not tell its groups.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            answer = self.operate(self.nodes[0], "GET", "/groups", None)
            if answer is None or answer.status != 200:
                return
            groups = answer.json().get("groups", [])
            serving = sum(group["state"] == "serving" for group in groups)
            if serving >= self.spec.replicas:
                return
            time.sleep(POLL_S)

    def is_ready(self, node: Node) -> bool:
        """Tell whether a node's /readyz gives 200."""
        answer = self._request("GET", f"{node.operators_url}/readyz", None)
        return answer is not None and answer.status == 200

    def operate(
        self, node: Node, method: str, path: str, document: typing.Any
    ) -> urllib3.BaseHTTPResponse | None:
        """Call a node's operators' API; `None` if it did not answer."""
        url = f"{node.operators_url}/operators/v1{path}"
        return self._request(method, url, document)

    def inject(self, standin: str, **fault: typing.Any) -> typing.Any:
        """Set fault switches of a stand-in; see docs/standins.md."""
        url = f"{self.standins[standin]}/faults"
        answer = self.pool.request("POST", url, json=fault)
        if answer.status != 200:
            raise ClusterError(f"fault {fault}: {answer.data!r}")
        return answer.json()

    def read(self, standin: str, path: str) -> typing.Any:
        """Return what a stand-in answers to a GET."""
        return self.pool.request("GET", self.standins[standin] + path).json()

    def standin_pid(self, process: str) -> int:
        """Return the id of the process `platform` or `engines`."""
        return self._standin_pids[process]

    def description(self) -> dict[str, typing.Any]:
        """Return what the launcher prints."""
        names = ("engines", "log", "hosts", "weights", "service")
        return {
            "api_key": self.api_key,
            "model": self.model,
            "booking_path": self.booking_path,
            "nodes": [
                {
                    "name": node.name,
                    "zone": node.zone,
                    "pid": node.pid,
                    "url": node.url,
                }
                for node in self.nodes
            ],
            "standins": {name: self.standins[name] for name in names},
        }

    def stop(self) -> None:
        """Stop the nodes gracefully, then the stand-ins; at most 10 s."""
        nodes = [node.process for node in self.nodes if node.process]
        _stop_all(nodes, NODE_STOP_TIMEOUT_S)
        _stop_all(self._processes, STANDIN_STOP_TIMEOUT_S)
        for process in self._processes:
            for pipe in (process.stdin, process.stdout):
                if pipe:
                    pipe.close()
        self.pool.clear()
        self._directory.cleanup()

    def _start_standin(self, name: str, spec: typing.Any) -> dict[str, str]:
        process = subprocess.Popen(
            [sys.executable, "-m", "quetzalward_standins", name],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
        )
        self._processes.append(process)
        self._standin_pids[name] = process.pid
        assert process.stdin and process.stdout
        document = json.dumps(_faults.to_document(spec))
        process.stdin.write(document.encode() + b"\n")
        process.stdin.flush()
        line = process.stdout.readline()
        if not line:
            raise ClusterError(f"stand-in {name} ended during its start")
        return typing.cast(dict[str, str], json.loads(line))

    def _prepare_nodes(self) -> None:
        directory = pathlib.Path(self._directory.name)
        secret_file = directory / "secret"
        secret_file.write_text(secrets.token_hex(32))
        secret_file.chmod(0o600)
        ports = free_ports(3 * self.spec.nodes)
        for number in range(self.spec.nodes):
            name = f"node-{number + 1}"
            zone = self.spec.zones[number % len(self.spec.zones)]
            listen, operators, peers = [
                f"127.0.0.1:{ports.pop()}" for _ in range(3)
            ]
            settings = {
                "name": name,
                "zone": zone,
                "region": self.spec.region,
                "listen": listen,
                "operators_listen": operators,
                "peers_listen": peers,
                "log_url": f"{self.standins['log']}/c/{name}",
                "hosts_url": f"{self.standins['hosts']}/c/{name}",
                "weights_url": self.standins["weights"],
                "secret_file": str(secret_file),
                "bootstrap_operator_sha256": sha256(self.operator_token),
                **self.spec.node_settings,
            }
            file = directory / f"{name}.json"
            file.write_text(json.dumps(settings, indent=2))
            self.nodes.append(
                Node(
                    name,
                    zone,
                    f"http://{listen}",
                    f"http://{operators}",
                    str(file),
                )
            )

    def configuration(self) -> dict[str, typing.Any]:
        """Return the configuration document that `start` publishes."""
        spec = self.spec
        service = self.standins["service"]
        return {
            "zones": {zone: {"region": spec.region} for zone in spec.zones},
            "models": {
                MODEL: {
                    "hosts_per_replica": spec.hosts_per_replica,
                    "replicas": spec.replicas,
                    "adapters": [ADAPTER],
                }
            },
            "services": {
                SERVICE: {
                    "targets": [
                        {"url": f"{service}/c/{SERVICE}-{zone}", "zone": zone}
                        for zone in spec.zones
                    ],
                    "repeatable": [{"method": "GET", "path": "/"}],
                    "status_path": "/bookings/{key}",
                }
            },
            "customers": {
                "cedarline": {"key_sha256": [sha256(self.api_key)]},
                "rohrdaemm": {"key_sha256": [sha256(self.other_api_key)]},
            },
            "operators": {
                "ops": {"token_sha256": sha256(self.operator_token)}
            },
            "engines": {
                "honours_fencing": spec.engines.honours_fencing,
                "default_bearable": spec.engines.bearable,
            },
            **spec.configuration,
        }

    def _publish(self) -> None:
        document = {"base_revision": 0, "document": self.configuration()}
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            for node in self.nodes:
                if not node.running:
                    raise ClusterError(f"{node.name} ended during its start")
                answer = self.operate(node, "POST", "/config", document)
                # A conflict means that an earlier attempt, whose answer was
                # lost, was accepted.
                if answer and answer.status in (200, 201, 202, 409):
                    return
                if answer and answer.status in (400, 401, 403, 422):
                    raise ClusterError(f"configuration: {answer.data!r}")
            time.sleep(POLL_S)
        raise ClusterError("no node accepted the configuration")

    def _request(
        self, method: str, url: str, document: typing.Any
    ) -> urllib3.BaseHTTPResponse | None:
        headers = {"Authorization": f"Bearer {self.operator_token}"}
        try:
            return self.pool.request(
                method,
                url,
                json=document,
                headers=headers,
                timeout=10.0,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            return None


def sha256(text: str) -> str:
    """Return the SHA-256 of a text as hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()


def host_specs(spec: ClusterSpec) -> list[_fleet.HostSpec]:
    """Return the hosts of a cluster, in whole fabric domains."""
    replicas = -(-spec.replicas // len(spec.zones))
    needed = replicas * spec.hosts_per_replica + spec.spare_hosts_per_zone
    domains = -(-needed // spec.hosts_per_domain)
    return [
        _fleet.HostSpec(
            f"{zone}-host-{domain * spec.hosts_per_domain + number + 1}",
            zone,
            f"{zone}-domain-{domain + 1}",
        )
        for zone in spec.zones
        for domain in range(domains)
        for number in range(spec.hosts_per_domain)
    ]


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that nothing uses now.

    Clusters that start at the same time draw from different parts of the
    range, because a node binds its port only later.
    """
    part = os.getpid() % PORT_PARTS
    ports = NODE_PORTS[part::PORT_PARTS]
    found: list[int] = []
    for port in random.SystemRandom().sample(ports, len(ports)):
        if len(found) == count:
            break
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


def _stop_all(
    processes: list[subprocess.Popen[bytes]], timeout_s: float
) -> None:
    for process in processes:
        if process.poll() is None:
            process.terminate()
    deadline = time.monotonic() + timeout_s
    for process in processes:
        try:
            process.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
