"""Stand-in of the platform's targets: model engines and plain services.

`GroupFleet` models the groups; this module serves them over HTTP, executes
requests and records the executions, so that tests can check guarantees.
"""

import asyncio
import errno
import json
import random
import time
import typing

import attrs

from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_standins import group_targets
from quetzalward_standins.platform import _http
from quetzalward_standins.platform import _limits
from quetzalward_standins.platform import _notices
from quetzalward_standins.platform import _silence
from quetzalward_standins.platform import _store
from quetzalward_standins.platform import _streams

TARGETS_TOPIC = "keyed.servers"
_STATUS_BY_ANSWER = {
    grouping.OrderAnswer.BEGUN: 202,
    grouping.OrderAnswer.DONE: 200,
    grouping.OrderAnswer.CONFLICT: 409,
    grouping.OrderAnswer.STALE: 412,
}
UPDATE_INTERVAL_S = 0.02
# Time after which a target that crashed under a request is back.
CRASH_RESTART_S = 2.5


@attrs.frozen
class Arrival:
    """One request that a target has read and does not refuse."""

    attempt_id: str
    # The target, or all members of its group.
    target_ids: tuple[str, ...]
    at_s: float
    # Whether the target is able to answer.
    is_sound: bool


@attrs.frozen
class Execution:
    """One execution of a request by a target."""

    attempt_id: str
    target_id: str
    service: str
    tenant: str | None
    # When it began, less the time for which its target stood still before.
    at_s: float
    key_header: str | None


@attrs.frozen
class Crash:
    """The end of a target under a request that crashes it."""

    # The crashing part of the prompt, or the request's body.
    cause: str
    target_id: str
    attempt_id: str
    at_s: float


@attrs.define
class PlainTarget:
    """A target of the plain service."""

    id: str
    port: int = 0
    alive: bool = True
    draining_s: float | None = None


class Targets:
    """All targets, their entries in the store, and their executions."""

    def __init__(
        self,
        store: _store.Store,
        engine: fleet.Engine,
        rng: random.Random,
        domains: int,
        hosts: int,
        plain: int,
    ) -> None:
        """Describe the fleet; `start` makes it listen."""
        self.store = store
        self.fleet = group_targets.GroupFleet(engine, "pool")
        self.arrivals: list[Arrival] = []
        self.executions: list[Execution] = []
        self.refused: set[str] = set()
        self.plain_by_id = {
            f"p{n}": PlainTarget(f"p{n}") for n in range(plain)
        }
        # When the drain or removal of a target was written to the store.
        self.departure_s_by_id: dict[str, float] = {}
        self.token_interval_s = 0.03
        self.plain_service_s = 0.01
        self.stream_faults = _streams.StreamFaults()
        self.limits = _limits.NamedLimits()
        self.notices = _notices.TargetNotices()
        self.silences = _silence.Silences()
        self.crashes: list[Crash] = []
        # Attempts whose answers were broken off by a fault.
        self.broken_attempts: set[str] = set()
        # When each target was killed.
        self.kills_s_by_id: dict[str, list[float]] = {}
        self._restarts: set[asyncio.Task[None]] = set()
        self._rng = rng
        self._server_by_id: dict[str, _http.Server] = {}
        self._port_by_id: dict[str, int] = {}
        # Entries without their count.
        self._entry_by_id: dict[str, bytes] = {}
        self._sequence_by_id: dict[str, int] = {}
        self._started_s = time.monotonic()
        for domain in range(domains):
            for host in range(hosts):
                zone = f"z{domain % 3}"
                self.fleet.add(f"t{domain}-{host}", f"d{domain}", zone)

    async def start(self) -> None:
        """Start the server of each target."""
        for target_id in [*self.fleet.target_by_id, *self.plain_by_id]:
            await self._listen(target_id)

    async def run(self) -> None:
        """Advance the groups and update the entries until cancelled."""
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            now_ms = int((time.monotonic() - self._started_s) * 1000)
            for target in self.fleet.target_by_id.values():
                if target.silent and not self.silences.is_silent(target.id):
                    target.silent = target.partitioned = False
            self.fleet.advance(now_ms - self.fleet.now_ms)
            self._write_entries()

    async def _listen(self, target_id: str) -> None:
        async def handle(request: _http.Request, reply: _http.Reply) -> None:
            await self._serve(target_id, request, reply)

        async def arrive(request: _http.Request) -> None:
            self._record_arrival(target_id, request)
            await self.silences.wait(target_id)

        server = _http.Server(handle, arrive)
        port = self._port_by_id.get(target_id, 0)
        try:
            self._port_by_id[target_id] = await server.start(port)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            # Another process took the port while the target was down.
            self._port_by_id[target_id] = await server.start()
        self._server_by_id[target_id] = server

    # Entries.

    def _write_entries(self) -> None:
        listed = {entry.id: entry for entry in self.fleet.entries()}
        for target_id, target in self.fleet.target_by_id.items():
            if target_id in listed and target.alive:
                self._write(target_id, self._entry(listed[target_id]))
            elif target_id not in listed:
                self._remove(target_id)
        for plain in self.plain_by_id.values():
            if plain.alive:
                self._write(plain.id, self._plain_entry(plain))
            else:
                self._remove(plain.id)

    def _write(self, target_id: str, value: dict[str, object]) -> None:
        data = json.dumps(value).encode()
        if self._entry_by_id.get(target_id) != data:
            self._entry_by_id[target_id] = data
            sequence = self._sequence_by_id.get(target_id, 0) + 1
            self._sequence_by_id[target_id] = sequence
            counted = json.dumps({**value, "sequence": sequence})
            self.store.put(TARGETS_TOPIC, target_id, counted.encode())
            if value["state"] == "draining":
                self.departure_s_by_id.setdefault(target_id, time.monotonic())

    def _remove(self, target_id: str) -> None:
        if self._entry_by_id.pop(target_id, None) is not None:
            self.store.delete(TARGETS_TOPIC, target_id)
            self.departure_s_by_id.setdefault(target_id, time.monotonic())

    def write_again(self) -> None:
        """Write the entries of all targets that a restored store may lack.

        Entries of targets that have gone expire.
        """
        self._entry_by_id.clear()
        self._write_entries()
        listed = self.store.topic_by_name[TARGETS_TOPIC].newest()
        for target_id in listed.keys() - self._entry_by_id.keys():
            self.store.delete(TARGETS_TOPIC, target_id)

    def _entry(self, entry: fleet.Target) -> dict[str, object]:
        membership = entry.membership
        return {
            "service": entry.service,
            "address": f"127.0.0.1:{self._port_by_id[entry.id]}",
            "zone": entry.zone,
            "version": "v1",
            "slots": entry.slots,
            "state": "draining" if entry.draining else "ready",
            "coldLeftMs": 0,
            "sequence": 0,
            "born": entry.born_ms,
            "domain": entry.domain,
            "staged": list(entry.staged_models),
            "group": _encode_membership(membership),
        }

    def _plain_entry(self, plain: PlainTarget) -> dict[str, object]:
        state = "ready" if plain.draining_s is None else "draining"
        return {
            "service": "desk",
            "address": f"127.0.0.1:{self._port_by_id[plain.id]}",
            "zone": "z0",
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 0,
            "born": 1,
        }

    # Faults.

    def kill(self, target_id: str) -> None:
        """Stop a target and reset its connections."""
        self.limits.end(target_id)
        self.notices.end(target_id)
        self.silences.end(target_id)
        self.kills_s_by_id.setdefault(target_id, []).append(time.monotonic())
        if target_id in self.plain_by_id:
            self.plain_by_id[target_id].alive = False
        else:
            self.fleet.kill(target_id)
        self._server_by_id[target_id].close()

    async def restart(self, target_id: str) -> None:
        """Restart a target, at its address if that is still free.

        Faults overlap: a target that was killed twice is restarted once.
        """
        if self.is_alive(target_id):
            return
        if target_id in self.plain_by_id:
            self.plain_by_id[target_id].alive = True
        else:
            self.fleet.restart(target_id)
        self.departure_s_by_id.pop(target_id, None)
        await self._listen(target_id)

    def pause(
        self, target_id: str, seconds: float, writes_entry: bool = True
    ) -> None:
        """Let a target stand still for a time; it loses nothing.

        Without `writes_entry` its entry in the store may expire meanwhile.
        """
        self.silences.begin(target_id, seconds)
        target = self.fleet.target_by_id.get(target_id)
        if target is not None:
            target.silent = True
            target.partitioned = not writes_entry

    def is_alive(self, target_id: str) -> bool:
        """Tell whether a target runs."""
        if target_id in self.plain_by_id:
            return self.plain_by_id[target_id].alive
        return self.fleet.target_by_id[target_id].alive

    # Requests.

    def _record_arrival(self, target_id: str, request: _http.Request) -> None:
        headers = request.headers
        attempt_id = headers.get("quetzalward-attempt-id")
        if (
            attempt_id is None
            or headers.get("quetzalward-expect-replica") != target_id
        ):
            return
        target_ids: tuple[str, ...] = (target_id,)
        is_sound = True
        target = self.fleet.target_by_id.get(target_id)
        if target is not None:
            membership = target.membership
            if not _is_open(membership):
                return
            target_ids = membership.members
            is_sound = self._is_complete(membership)
        self.arrivals.append(
            Arrival(attempt_id, target_ids, request.read_s, is_sound)
        )

    def _retract_arrival(self, target_id: str, attempt_id: str) -> None:
        """Drop the last arrival of a request that its target refuses."""
        for index in reversed(range(len(self.arrivals))):
            arrival = self.arrivals[index]
            if (arrival.attempt_id, arrival.target_ids[0]) == (
                attempt_id,
                target_id,
            ):
                del self.arrivals[index]
                return

    async def _serve(
        self, target_id: str, request: _http.Request, reply: _http.Reply
    ) -> None:
        target = self.fleet.target_by_id.get(target_id)
        if request.path == "/report" and target is not None:
            reply.send(
                200,
                json.dumps(self._report(target_id)).encode(),
                self.notices.headers(target_id, ""),
            )
            return
        if request.path == "/order" and target is not None:
            self._order(target_id, request, reply)
            return
        expected = request.headers.get("quetzalward-expect-replica")
        if expected != target_id:
            reply.send(421, b"", {"Quetzalward-Not-Executed": "1"})
            return
        self.limits.record_arrival(target_id)
        attempt_id = request.headers.get("quetzalward-attempt-id", "")
        self.notices.record_arrival(target_id, attempt_id)
        rest = self.notices.rest_headers(target_id, attempt_id)
        if rest is not None:
            self._retract_arrival(target_id, attempt_id)
            rest |= self._own_headers(target_id, attempt_id)
            reply.send(503, b"", {"Quetzalward-Not-Executed": "1", **rest})
            return
        if target is None:
            await self._serve_plain(target_id, request, reply)
        else:
            await self._serve_stream(target, request, reply)

    def _own_headers(self, target_id: str, attempt_id: str) -> dict[str, str]:
        """Return the headers with which all answers of a target begin."""
        return {
            _streams.REPLICA_SEAL_HEADER: "s",
            "Quetzalward-Attempt-Id": attempt_id,
            **self.limits.headers(target_id),
            **self.notices.headers(target_id, attempt_id),
        }

    def _report(self, target_id: str) -> dict[str, object]:
        report = self.fleet.report(target_id)
        assert report is not None
        return {
            "born": report.born_ms,
            "staged": list(report.staged_models),
            "group": _encode_membership(report.membership),
            "inUse": report.ordered,
            "sequence": report.sequence,
            "queued": 0,
            "active": report.active,
            "pace": 1.0,
        }

    def _order(
        self, target_id: str, request: _http.Request, reply: _http.Reply
    ) -> None:
        order = _decode_order(target_id, json.loads(request.body))
        answer = self.fleet.order(order)
        reply.send(_STATUS_BY_ANSWER.get(answer, 409))

    def _record_execution(
        self,
        target_id: str,
        request: _http.Request,
        members: tuple[str, ...] = (),
    ) -> str:
        delay_s = self.silences.delay_s((target_id, *members), request.read_s)
        attempt_id = request.headers.get("quetzalward-attempt-id", "")
        service = "desk" if target_id in self.plain_by_id else "pool"
        self.executions.append(
            Execution(
                attempt_id,
                target_id,
                service,
                request.headers.get("quetzalward-tenant"),
                time.monotonic() - delay_s,
                request.headers.get("authorization"),
            )
        )
        return attempt_id

    async def _serve_plain(
        self, target_id: str, request: _http.Request, reply: _http.Reply
    ) -> None:
        attempt_id = self._record_execution(target_id, request)
        await asyncio.sleep(self.plain_service_s)
        await self.silences.wait(target_id)
        if request.body in self.stream_faults.crashing_bodies:
            self._crash(target_id, request.body.decode(), attempt_id)
            return
        headers = self._own_headers(target_id, attempt_id)
        if self._rng.random() < self.stream_faults.abort_probability:
            self.broken_attempts.add(attempt_id)
            reply.send_headers(200, {"content-length": "100", **headers})
            reply.send_data(b"part")
            await asyncio.sleep(0.01)
            reply.reset()
            return
        reply.send(200, f"ran {attempt_id}".encode(), headers)

    async def _serve_stream(
        self,
        target: group_targets.GroupTarget,
        request: _http.Request,
        reply: _http.Reply,
    ) -> None:
        membership = target.membership
        if not _is_open(membership):
            refusal = {"Quetzalward-Not-Executed": "1"}
            attempt_id = request.headers.get("quetzalward-attempt-id", "")
            refusal |= self.limits.headers(target.id)
            refusal |= self.notices.headers(target.id, attempt_id)
            reply.send(503, b"", refusal)
            return
        membership.active += 1
        try:
            await self._write_stream(target, membership, request, reply)
        finally:
            membership.active -= 1

    async def _write_stream(
        self,
        target: group_targets.GroupTarget,
        membership: group_targets.TargetMembership,
        request: _http.Request,
        reply: _http.Reply,
    ) -> None:
        while not self._goes_on(membership):
            await asyncio.sleep(self.token_interval_s)
        attempt_id = self._record_execution(
            target.id, request, membership.members
        )
        stream = _streams.Stream(
            request, reply, attempt_id, self.stream_faults, self._rng
        )
        stream.begin(target.id, self._own_headers(target.id, attempt_id))
        if stream.is_complete and not stream.is_framed:
            # Callers cannot tell it from an answer that was broken off.
            self.broken_attempts.add(attempt_id)
        cause = stream.crash_cause()
        if cause is not None:
            await asyncio.sleep(self.token_interval_s)
            await self.silences.wait(target.id)
            self._crash(target.id, cause, attempt_id)
            return
        while not stream.is_complete:
            while not self._goes_on(membership):
                await asyncio.sleep(self.token_interval_s)
            if not stream.send_next():
                self.broken_attempts.add(attempt_id)
                return
            await asyncio.sleep(self.token_interval_s)
        await self.silences.wait(target.id)
        reply.send_end()

    def _crash(self, target_id: str, cause: str, attempt_id: str) -> None:
        """End a target under a request; it is back after some seconds."""
        if not self.is_alive(target_id):
            return
        self.crashes.append(
            Crash(cause, target_id, attempt_id, time.monotonic())
        )
        self.kill(target_id)
        task = asyncio.create_task(self._restart_later(target_id))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_later(self, target_id: str) -> None:
        await asyncio.sleep(CRASH_RESTART_S)
        await self.restart(target_id)

    def _goes_on(self, membership: group_targets.TargetMembership) -> bool:
        """Tell whether a group is complete and no member stands still."""
        return self._is_complete(membership) and not any(
            self.silences.is_silent(member) for member in membership.members
        )

    def _is_complete(self, membership: group_targets.TargetMembership) -> bool:
        """Tell whether all members of a group are alive and in its epoch."""
        for member in membership.members:
            other = self.fleet.target_by_id[member]
            if not other.alive or other.membership is None:
                return False
            if (other.membership.group, other.membership.epoch) != (
                membership.group,
                membership.epoch,
            ):
                return False
        return True


def _is_open(
    membership: group_targets.TargetMembership | None,
) -> typing.TypeGuard[group_targets.TargetMembership]:
    return (
        membership is not None and membership.state is fleet.MemberState.OPEN
    )


def _encode_membership(
    membership: fleet.Membership | None,
) -> dict[str, object] | None:
    if membership is None:
        return None
    return {
        "name": membership.group,
        "epoch": membership.epoch,
        "rank": membership.rank,
        "state": membership.state.value,
    }


def _decode_order(target_id: str, body: dict[str, object]) -> grouping.Order:
    """Return the order that a request body describes."""
    kind = body["op"]
    if kind == "stage":
        return grouping.Stage(target_id, str(body["model"]))
    group, epoch = str(body["group"]), int(str(body["epoch"]))
    if kind == "join":
        members = body["members"]
        assert isinstance(members, list)
        sequence = body.get("precondition")
        return grouping.Join(
            target_id,
            group,
            epoch,
            str(body["model"]),
            tuple(members),
            None if sequence is None else int(str(sequence)),
        )
    if kind == "open":
        return grouping.Open(target_id, group, epoch)
    if kind == "leave":
        return grouping.Leave(target_id, group, epoch)
    return grouping.Close(
        target_id, group, epoch, body.get("closeMode") == "truncate"
    )
