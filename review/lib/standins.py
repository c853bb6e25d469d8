"""Small stand-ins for the scripts of this review; standard library only.

They follow PROTOCOL.md: the platform's store, plain replicas, replicas of a
model service in groups of one, and clients. The gateway's processes are
started with the command and the environment of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import struct
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "front.example"
OP = "keyed.op"
SERVERS = "keyed.servers"
HEARTBEAT_S = 1.2
JOIN_S = 0.2


def now_s():
    return time.monotonic()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._start_s = now_s()

    def __call__(self, text):
        self._file.write(f"{now_s() - self._start_s:8.3f}  {text}\n")
        self._file.flush()


# HTTP/1.1, server side.


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.read_s = now_s()

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        pairs = self.target.partition("?")[2].split("&")
        return dict(p.partition("=")[::2] for p in pairs if p)

    @property
    def attempt(self):
        return self.headers.get("quetzalward-attempt-id", "")


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, headers, body=b""):
    return head_bytes(status, {**headers, "Content-Length": len(body)}) + body


class Server:
    """Serves requests one by one; `handle` returns False to close."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._connection, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if await self._race(request, reader, writer) is False:
                    break
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _race(self, request, reader, writer):
        """Handle a request; it is dropped when its connection closes."""
        task = asyncio.ensure_future(self.handle(request, writer))
        gone = asyncio.ensure_future(self._closed(reader))
        done, _ = await asyncio.wait(
            {task, gone}, return_when=asyncio.FIRST_COMPLETED
        )
        if task not in done:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return False
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        return task.result()

    @staticmethod
    async def _closed(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    async def handle(self, request, writer):
        raise NotImplementedError


# The platform's store.


class Store(Server):
    """Keyed topics with conditional appends, reads that wait, newest."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    def newest(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            found[key] = (offset, value)
        return {key: row for key, row in found.items() if row[1]}

    async def handle(self, request, writer):
        name = request.query.get("topic", "")
        records = self.topics.setdefault(name, [])
        if request.path == "/log-append":
            self._append(request, writer, name, records)
        elif request.path == "/log-newest":
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in self.newest(name).items()
            ]
            answer = {"items": items, "hasMore": False, "end": len(records)}
            self._json(writer, 200, answer)
        elif request.path == "/log-read":
            await self._read(request, writer, records)
        else:
            self._json(writer, 404, {})

    @staticmethod
    def _json(writer, status, value):
        headers = {"Content-Type": "application/json"}
        writer.write(answer_bytes(status, headers, json.dumps(value).encode()))

    def _append(self, request, writer, name, records):
        if name in (OP, SERVERS):
            self._json(writer, 403, {})
            return
        at = request.query.get("at")
        if at is not None and int(at) != len(records):
            self._json(writer, 412, {"end": len(records)})
            return
        content = request.body[4:]
        size = content[0]
        offset = len(records)
        self.put(name, content[1 : 1 + size].decode(), content[1 + size :])
        self._json(writer, 200, {"offset": offset, "end": offset + 1})

    async def _read(self, request, writer, records):
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        if not 0 <= start <= len(records):
            self._json(writer, 410, {"first": 0})
            return
        end_s = now_s() + wait_s
        while len(records) <= start and now_s() < end_s:
            try:
                async with asyncio.timeout(end_s - now_s()):
                    await self.changed.wait()
            except TimeoutError:
                break
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        writer.write(answer_bytes(200, {}, body))


# Replicas.


class Replica(Server):
    """A plain replica; `serve` answers a request that runs."""

    service = "desk"

    def __init__(self, store, record, name, serve=None):
        super().__init__()
        self.store, self.record, self.id = store, record, name
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.cold_left_ms = 0
        self.runs = []
        self._serve = serve

    async def register(self):
        await self.start()
        self.write_entry()

    def entry(self):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": self.cold_left_ms,
            "born": self.born,
        }

    def write_entry(self):
        self.sequence += 1
        entry = {**self.entry(), "sequence": self.sequence}
        self.store.put_json(SERVERS, self.id, entry)

    def sealed(self, request):
        return {
            "Quetzalward-Attempt-Id": request.attempt,
            "Quetzalward-Replica-Seal": f"seal.{self.id}.{request.attempt}",
        }

    def not_run(self, request, writer, status):
        headers = {
            "Quetzalward-Attempt-Id": request.attempt,
            "Quetzalward-Not-Executed": "1",
        }
        writer.write(answer_bytes(status, headers))

    async def handle(self, request, writer):
        if request.path == "/healthz":
            headers = {"Quetzalward-Replica-Id": self.id}
            writer.write(answer_bytes(200, headers))
            return None
        if request.headers.get("quetzalward-expect-replica", self.id) != (
            self.id
        ):
            self.not_run(request, writer, 421)
            return None
        return await self.run(request, writer)

    def note_run(self, request):
        tenant = request.headers.get("quetzalward-tenant")
        self.runs.append((request.attempt, tenant, request.read_s))
        self.record(
            f"{self.id} runs {request.attempt} {request.method} "
            f"{request.target} tenant={tenant}"
        )

    async def run(self, request, writer):
        self.note_run(request)
        if self._serve is not None:
            return await self._serve(self, request, writer)
        await asyncio.sleep(0.02)
        body = f"ran {request.attempt}".encode()
        writer.write(answer_bytes(200, self.sealed(request), body))
        return None


class ModelReplica(Replica):
    """A replica of a model whose groups have one member."""

    service = "pool"
    load_s = 1.0
    form_s = 0.3

    def __init__(self, store, record, name, serve=None):
        super().__init__(store, record, name, serve)
        self.staged, self.staging = [], None
        self.group = None
        self.orders = 0
        self.highest_epoch = 0

    def crash(self):
        """End without a word; what it held is gone."""
        self.close()
        self.group = None
        self.orders = self.highest_epoch = 0

    async def restart(self):
        """Start again under the same id and at the same address."""
        self.born = int(time.time() * 1000)
        await self.start()
        self.write_entry()

    def own_state(self):
        state = {"staged": self.staged, "domain": "d0"}
        if self.group is not None:
            keys = ("name", "epoch", "state")
            state["group"] = {key: self.group[key] for key in keys}
            state["group"]["rank"] = 0
        return state

    def entry(self):
        return {**super().entry(), **self.own_state()}

    async def handle(self, request, writer):
        if request.path == "/report":
            report = {
                "stage": "both",
                "models": [],
                "inUse": self.staging is not None,
                "sequence": self.orders,
                "queued": 0,
                "active": 0,
                "kvUsed": 0,
                "kvTotal": 100000,
                "handles": 0,
                "pace": 1.0,
                "born": self.born,
                **self.own_state(),
            }
            headers = {"Content-Type": "application/json"}
            body = json.dumps(report).encode()
            writer.write(answer_bytes(200, headers, body))
            return None
        if request.path == "/order":
            status = self.order(json.loads(request.body))
            writer.write(answer_bytes(status, {}))
            return None
        return await super().handle(request, writer)

    def order(self, order):
        op = order["op"]
        if order.get("precondition", self.orders) != self.orders:
            return 409
        if op == "stage":
            return self._stage(order["model"])
        key = (order.get("group"), order.get("epoch"))
        own = None
        if self.group is not None:
            own = (self.group["name"], self.group["epoch"])
        if op == "join":
            return self._join(order, own == key)
        if own != key:
            return 409
        if op == "leave":
            self._begin(None)
            return 200
        if op == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "ready":
                return 409
            self._later(self.form_s, self.group, "open")
            self.orders += 1
            return 202
        if op == "close":
            self._begin({**self.group, "state": "ready"})
            return 200
        return 400

    def _stage(self, model):
        if model in self.staged:
            return 200
        if self.staging is None:
            self.staging = model
            self.orders += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.load_s, self._staged, model)
        return 202

    def _staged(self, model):
        self.staging = None
        self.staged = [model]
        self.write_entry()

    def _join(self, order, is_own):
        if order["epoch"] < self.highest_epoch:
            return 412
        if order["members"] != [self.id] or order["model"] not in self.staged:
            return 409
        if is_own:
            return 200
        self.highest_epoch = order["epoch"]
        group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "state": "joining",
        }
        self._begin(group)
        self._later(JOIN_S, group, "ready")
        return 202

    def _begin(self, group):
        self.group = group
        self.orders += 1
        self.write_entry()

    def _later(self, delay_s, group, state):
        def step():
            if self.group is group:
                group["state"] = state
                self.write_entry()

        asyncio.get_running_loop().call_later(delay_s, step)

    async def run(self, request, writer):
        if self.group is None or self.group["state"] != "open":
            self.not_run(request, writer, 503)
            return None
        return await super().run(request, writer)


def engine():
    return {
        "slots": 13,
        "kvCapacityTokens": 795000,
        "stride": 7,
        "step_ms": 5.95,
        "per_seq_ms": 0.089,
        "context_per_k": 0.01626,
        "read_per_s": 50700.0,
        "pairs_per_m": 0.368,
        "chunk": 2048,
        "report_lag_ms": 20.0,
        "loadsPerS": 4.5,
        "loads_at_once": 6,
        "usual": {"prompt": 200, "answer": 178},
        "keeps": 1,
        "formMs": 300.0,
        "models": [
            {
                "name": "m0",
                "size": 1,
                "share": 1.0,
                "pace": 1.0,
                "loadS": 1.0,
                "warmS": 0.2,
            }
        ],
    }


def route(name, kind, service, **more):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        **more,
    }


def configuration(version, routes, tenants, with_engine=False):
    services = [{"name": "desk", "healthPath": "/healthz", "maxConns": 96}]
    if with_engine:
        services.append(
            {"name": "pool", "healthPath": "/healthz", "engine": engine()}
        )
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }


# The gateway's processes.


class Node:
    """One gateway process, started as the deploy file says."""

    def __init__(self, name, folder, store_port, bootstrap=True):
        self.name = name
        self.front, self.ready = free_port(), free_port()
        self.peers = free_port(socket.SOCK_DGRAM)
        self._log = pathlib.Path(folder) / f"{name}.log"
        self._settings = pathlib.Path(folder) / f"{name}.json"
        settings = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "z-a",
            "region": "r",
            "zones": {"z-a": "r"},
            "bind": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "internalPorts": [self.peers, self.peers],
            "seeds": [],
            "bootstrap": bootstrap,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
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
                "stallMs": 5000,
                "requireFence": False,
                "ceilingWindowS": 5,
                "loadOverage": 1.1,
            },
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "keep_s": 300,
            },
        }
        self._document = settings
        self.process = None

    async def start(self):
        self._settings.write_text(json.dumps(self._document))
        # It is true only when the whole system starts for the first time.
        self._document["bootstrap"] = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["QUETZALWARD_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def log_lines(self):
        return self._log.read_text(errors="replace").splitlines()

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self):
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            answer = await call(self.ready, "GET", "/readiness", {}, b"", 1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200


# Clients.


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers = status, headers
        self.body, self.complete = body, complete


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return int(lines[0].split(" ")[1]), headers


async def read_answer(reader):
    """Read an answer; `complete` is false if it ends early."""
    status, headers = await read_head(reader)
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.strip(), 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        else:
            size = int(headers.get("content-length", "0"))
            body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(port, method, path, headers, body, timeout_s):
    """Send a request on a new connection.

    Raises `TimeoutError`, and `OSError` or `EOFError` without any answer.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(request_bytes(method, path, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()


def headers_of(attempt, key, deadline_ms, **more):
    return {
        "Quetzalward-Attempt-Id": attempt,
        "Quetzalward-Request-Deadline": deadline_ms,
        "Authorization": f"Token {key}",
        **more,
    }


def stream_headers(attempt, key, deadline_ms, prefix, events):
    return headers_of(
        attempt,
        key,
        deadline_ms,
        **{
            "Quetzalward-Model": "m0",
            "Quetzalward-Token-Count": f"200,{events * 7}",
            "Quetzalward-Prompt-Prefix": f"{prefix}:40,{attempt}:160",
        },
    )


class CannotRun(Exception):
    """The case could not be brought about."""


async def wait_until(condition, what, timeout_s=30.0):
    end_s = now_s() + timeout_s
    while now_s() < end_s:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{what} did not come in {timeout_s} s")


class Proxy:
    """Forwards connections to a port; `cut` resets them until `heal`."""

    def __init__(self, port):
        self.target, self.port = port, 0
        self._is_cut = False
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._connection, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self):
        self._is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self):
        self._is_cut = False

    async def _connection(self, reader, writer):
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, other_writer}
        self._writers |= ends
        await asyncio.gather(
            self._forward(reader, other_writer),
            self._forward(other_reader, writer),
        )
        self._writers -= ends

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


def main(folder, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held.

    `case(record, trouble, folder, nodes)` returns what broke the rule; nodes
    that it adds to the list are ended.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def run():
        nodes = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    return await case(record, trouble, temporary, nodes)
            finally:
                for node in nodes:
                    await node.kill()

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        raise SystemExit(2) from None
    for text in broken:
        record(f"BROKEN {text}")
        print(f"BROKEN {text}")
    if not broken:
        record("the rule held")
        print("the rule held")
    raise SystemExit(1 if broken else 0)
