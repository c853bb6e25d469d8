"""Stand-ins for the cases of the second review; standard library only.

A store of keyed topics, plain replicas, clients, and the supervisor of
gateway processes. They speak what PROTOCOL.md and DEPLOY.md say, on loopback
addresses and the real clock.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-north"
TENANT = "north"
# Bounds of the site files.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "syncS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 132,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuationMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stallMs": 5000,
    "requireFence": False,
    "ceilingWindowS": 5,
    "loadOverage": 1.1,
}
HEARTBEAT_S = 1.2
# Delay after which the platform starts a process again that has ended.
RESTART_S = 0.5


class CannotRun(Exception):
    """The case could not be set up."""


_ports = itertools.cycle(range(20_000 + os.getpid() % 200 * 40, 32_000))


def free_port(kind=socket.SOCK_STREAM):
    """Return a free loopback port below the ephemeral range."""
    for port in _ports:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


async def read_head(reader):
    """Return the first line and the headers (names in lower case)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first_line, headers, body=b""):
    """Return the bytes of an HTTP message with a length."""
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: keyed topics, conditional appends, long reads."""

    def __init__(self):
        self.topics = collections.defaultdict(list)
        # Rises with each restore; all answers carry it.
        self.era = 1
        self.is_away = False
        # When each record was written, by topic.
        self._written_s = collections.defaultdict(list)
        self._writers = set()
        self.port = None
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self.port = free_port()
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    def put(self, topic, key, value):
        """Append a record; an empty value drops the key."""
        if self.is_away:
            return
        self.topics[topic].append((key, value))
        self._written_s[topic].append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    def go_away(self):
        """End all connections; nothing is answered or written any more."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, since_s):
        """Go on from a copy of a time, in the next era."""
        for topic, written_s in self._written_s.items():
            while written_s and written_s[-1] > since_s:
                written_s.pop()
                self.topics[topic].pop()
        self.era += 1
        self.is_away = False

    def newest(self, topic):
        """Return offset and value of the newest record of each key."""
        found = {}
        for offset, (key, value) in enumerate(self.topics[topic]):
            found[key] = (offset, value)
        return {k: v for k, v in found.items() if v[1]}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while not self.is_away:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.is_away:
                    return
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                status, answer = await self._answer(path, query, body)
                kind = (
                    "application/octet-stream"
                    if path == "/log-read"
                    else "application/json"
                )
                writer.write(
                    message(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": kind, "Store-Era": self.era},
                        answer,
                    )
                )
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path, query, body):
        topic = query.get("topic", "")
        records = self.topics[topic]
        if path == "/log-newest":
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in self.newest(topic).items()
            ]
            return 200, json.dumps(
                {"items": items, "hasMore": False, "end": len(records)}
            ).encode()
        if path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            at = query.get("at")
            if at is not None and int(at) != len(records):
                return 412, json.dumps({"end": len(records)}).encode()
            offset, position = len(records), 0
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + length]
                position += 4 + length
                size = content[0]
                self.put(
                    topic, content[1 : 1 + size].decode(), content[1 + size :]
                )
            return 200, json.dumps(
                {"offset": offset, "end": len(self.topics[topic])}
            ).encode()
        if path == "/log-read":
            start = int(query["from"])
            if start > len(records):
                return 410, json.dumps({"first": 0}).encode()
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while len(records) <= start and time.monotonic() < until:
                try:
                    async with asyncio.timeout(until - time.monotonic()):
                        await self._changed.wait()
                except TimeoutError:
                    break
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            return 200, data
        return 404, b"{}"

    def holder(self):
        """Return the node that last wrote under a condition."""
        for topic, records in self.topics.items():
            if topic in ("keyed.op", "keyed.servers"):
                continue
            for _, value in reversed(records):
                try:
                    return json.loads(value)["node"]
                except (ValueError, KeyError, TypeError):
                    continue
        return None


class Replica:
    """A plain replica; `work` decides how it serves a request.

    `work` is called with the replica and the request's headers and body and
    returns the status, extra headers and body, or `None` if the replica
    crashes.
    """

    def __init__(self, store, name, service, zone, work, slots=6):
        self.store, self.name, self.service = store, name, service
        self.zone, self.work, self.slots = zone, work, slots
        self.port = None
        self.alive = False
        self.born = 0
        self.sequence = 0
        self._server = None
        self._writers = set()
        self._slots = None

    async def start(self):
        """Start, as a new life at the same address."""
        if self.port is None:
            self.port = free_port()
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.alive = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._slots = asyncio.Semaphore(self.slots)
        self.beat()

    def beat(self):
        """Write the entry."""
        if not self.alive:
            return
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def crash(self):
        """End at once; all connections end."""
        self.alive = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.alive:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not self.alive:
                    return
                echo = {
                    "Quetzalward-Attempt-Id": headers.get(
                        "quetzalward-attempt-id", ""
                    )
                }
                if headers.get("quetzalward-expect-replica") != self.name:
                    writer.write(
                        message(
                            "HTTP/1.1 421 Misdirected Request",
                            {"Quetzalward-Replica-Id": self.name, **echo},
                        )
                    )
                    continue
                async with self._slots:
                    answer = await self.work(self, line, headers, body)
                if not self.alive:
                    return
                if answer is None:
                    self.crash()
                    return
                status, extra, answer_body = answer
                seal = {"Quetzalward-Replica-Seal": "3e1b.07.5a2"}
                writer.write(
                    message(
                        f"HTTP/1.1 {status} X",
                        {**echo, **seal, **extra},
                        answer_body,
                    )
                )
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Gateway:
    """A gateway process, started and supervised as the platform does it."""

    def __init__(self, name, zone, folder, store, bootstrap=True, memory=300):
        self.name, self.zone, self.memory_mb = name, zone, memory
        self.front, self.ready = free_port(), free_port()
        self._peers = free_port(socket.SOCK_DGRAM)
        self._file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self._store = store
        self.process = None
        self.started_s = 0.0
        self.starts = 0
        self.ends = []

    def _settings(self):
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "r",
            "zones": {self.zone: "r"},
            "bind": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "internalPorts": [self._peers, self._peers],
            "seeds": [],
            "bootstrap": self.starts == 0,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": self.memory_mb,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{self._store.port}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
            },
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        self._file.write_text(json.dumps(self._settings()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["QUETZALWARD_NODE_FILE"] = str(self._file)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "quetzalward_platform"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.started_s = time.monotonic()
        self.starts += 1

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def rss_mb(self):
        """Return the resident memory of the process."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill(self):
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                return " 200" in line
        except (OSError, EOFError, TimeoutError):
            return False


class Site:
    """The store, replicas and gateways of a small deployment."""

    def __init__(self, gateways, seed):
        self.rng = random.Random(seed)
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.replicas = []
        self.gateways = []
        self.tasks = []
        self._gateway_count = gateways
        self.zero_s = time.monotonic()
        self.version = 0
        self.configuration = None
        self.rotation = []
        self.lines = []

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def now(self):
        """Return the time since the start of the case."""
        return time.monotonic() - self.zero_s

    def publish(self, routes, services, keys=(KEY,)):
        """Write a configuration, as the operator does."""
        self.version += 3
        self.configuration = (self.version, routes, services, keys)
        self.write_again()

    def write_again(self):
        """Write the configuration, which a restored store may lack."""
        version, routes, services, keys = self.configuration
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": TENANT, "apiKeys": list(keys)}],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def start(self):
        """Start the processes and wait until all are ready."""
        if not (REPOSITORY / "target/deps/quetzalward_platform").exists():
            raise CannotRun("the deploy file's build has not been run")
        for number in range(self._gateway_count):
            gateway = Gateway(
                f"front-{number}",
                f"z{number % 3}",
                pathlib.Path(self.folder.name),
                self.store,
            )
            self.gateways.append(gateway)
            gateway.start()
        self.tasks.append(asyncio.create_task(self._beat()))
        self.tasks.append(asyncio.create_task(self._rotate()))
        until = time.monotonic() + 20
        while time.monotonic() < until:
            ready = [await g.is_ready() for g in self.gateways]
            if all(ready):
                await asyncio.sleep(3)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the gateways did not become ready")

    async def _rotate(self):
        """Ask each node once a second whether it is ready, as the entry does.

        After two misses a node receives no new connections until it answers
        with 200 again; one that has just started has not answered yet.
        """
        misses = dict.fromkeys(self.gateways, 2)
        while True:
            for gateway in self.gateways:
                is_ready = await gateway.is_ready()
                misses[gateway] = 0 if is_ready else misses[gateway] + 1
            self.rotation = [g for g in self.gateways if misses[g] < 2]
            await asyncio.sleep(1)

    def entry(self):
        """Return the node that a new connection is passed to."""
        return self.rng.choice(self.rotation or self.gateways)

    def holder(self):
        """Return the gateway that last wrote under a condition."""
        name = self.store.holder()
        for gateway in self.gateways:
            if gateway.name == name:
                return gateway
        raise CannotRun("no gateway has written to the store")

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas:
                replica.beat()

    def stop(self):
        """End all processes that were started."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for gateway in self.gateways:
                pathlib.Path(keep, gateway.log.name).write_bytes(
                    gateway.log.read_bytes()
                )
        self.folder.cleanup()


_attempts = itertools.count(1)


def attempt_id():
    """Return an id that no other attempt has."""
    return f"{next(_attempts):016x}"


async def send(
    gateway, method, path, body=b"", deadline_ms=1500, ident=None, key=KEY
):
    """Send a request on a new connection; return id, status and headers.

    The status is `None` if the connection failed or ended.
    """
    ident = ident or attempt_id()
    head = {
        "Host": HOST,
        "Quetzalward-Attempt-Id": ident,
        "Quetzalward-Request-Deadline": deadline_ms,
        "Authorization": f"Token {key}",
    }
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.front
            )
            writer.write(message(f"{method} {path} HTTP/1.1", head, body))
            await writer.drain()
            line, headers = await read_head(reader)
            await read_body(reader, headers)
            return ident, int(line.split(" ")[1]), headers
    except (OSError, EOFError, ValueError, TimeoutError):
        return ident, None, {}
    finally:
        if writer is not None:
            writer.close()


async def ask(reader, writer, method, path, body, deadline_ms, ident):
    """Send a request on an open connection; return the answer's status.

    Raises `OSError` or `EOFError` if the connection ends without an answer.
    """
    head = {
        "Host": HOST,
        "Quetzalward-Attempt-Id": ident,
        "Quetzalward-Request-Deadline": deadline_ms,
        "Authorization": f"Token {KEY}",
    }
    writer.write(message(f"{method} {path} HTTP/1.1", head, body))
    await writer.drain()
    line, headers = await read_head(reader)
    await read_body(reader, headers)
    if headers.get("connection") == "close":
        writer.close()
    return int(line.split(" ")[1])


def plain_route(prefix, kind, service, timeout_ms=1500, attempts=1):
    """Return a route of a configuration."""
    return {
        "name": f"r{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "anonymous": False,
        "sticky": False,
        "canResume": False,
    }


def plain_service(name):
    """Return a service without an engine."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 100,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
    }


def has_trouble():
    """Tell whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, gateways, seed=1):
    """Run a case, write its record and exit with its result.

    `case` takes a site whose store runs, starts it, and returns whether the
    rule was broken.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    # An end from outside ends the processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        result = asyncio.run(_run(case, gateways, seed, folder))
    except CannotRun as error:
        print(f"the case could not run: {error}")
        result = 2
    except Exception:
        traceback.print_exc()
        result = 2
    sys.exit(result)


async def _run(case, gateways, seed, folder):
    site = Site(gateways, seed)
    await site.store.start()
    try:
        async with asyncio.timeout(110):
            is_broken = await case(site)
        site.note("the rule was broken" if is_broken else "the rule held")
        print(site.lines[-1])
        return int(is_broken)
    finally:
        site.stop()
        (folder / "record.txt").write_text("\n".join(site.lines) + "\n")
