"""HTTP interface of the stand-in engines and of the host list."""

import itertools
import urllib.parse

from quetzalward_standins import _faults
from quetzalward_standins import _fleet
from quetzalward_standins import _http
from quetzalward_standins import _openai
from quetzalward_standins import _orders
from quetzalward_standins import _target

HOST_PREFIX = "/h/"


class Engines:
    """Routes requests to hosts and faults to the fleet."""

    def __init__(self, fleet: _fleet.Fleet, orders: _orders.OrderBook) -> None:
        """Serve the hosts of a fleet."""
        self._fleet = fleet
        self._orders = orders
        self._numbers = itertools.count(1)

    def handle(self, request: _http.Request) -> _http.Response:
        """Answer a request to the engines' port."""
        if request.path == "/faults":
            return self._handle_faults(request)
        if request.path == "/stats":
            return _http.json_response(200, self._stats())
        if request.client in self._fleet.switches.cut_clients:
            raise _http.DropConnection
        if not request.path.startswith(HOST_PREFIX):
            return _http.error_response(404, "not_found")
        name, _, rest = request.path.removeprefix(HOST_PREFIX).partition("/")
        host = self._fleet.hosts.get(name)
        if host is None:
            return _http.error_response(404, "unknown_host")
        self._fleet.wait_until_present(host, request)
        return self._handle_host(host, "/" + rest, request)

    def handle_hosts(self, request: _http.Request) -> _http.Response:
        """Answer a request to the host list's port."""
        if request.path == "/faults":
            return self._handle_faults(request)
        if request.path != "/hosts":
            return _http.error_response(404, "not_found")
        switches = self._fleet.switches
        if request.client in switches.hosts_cut_clients:
            raise _http.DropConnection
        if switches.hosts_outage:
            return _http.error_response(503, "outage")
        return _http.json_response(200, self._fleet.host_list(request.client))

    def _handle_host(
        self, host: _fleet.Host, path: str, request: _http.Request
    ) -> _http.Response:
        if path == "/report":
            return _http.json_response(200, self._fleet.report(host))
        if path == "/orders" and request.method == "POST":
            return self._orders.handle(host, request.document())
        group = host.group
        if group is None:
            return _http.error_response(503, "empty")
        if group.first is not host:
            return _http.error_response(503, "not_first_host")
        target = group.target
        if path == "/cache_events":
            return _cache_events(target, request)
        if path.startswith("/kv/"):
            return _kv(target, path.removeprefix("/kv/"), request)
        if request.method != "POST":
            return _http.error_response(404, "not_found")
        if path == "/v1/cancel":
            request_id = str(request.document().get("request_id"))
            cancelled = target.cancel(request_id)
            return _http.json_response(200, {"cancelled": cancelled})
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self._answer(host, target, path, request)
        return _http.error_response(404, "not_found")

    def _answer(
        self,
        host: _fleet.Host,
        target: _target.Target,
        path: str,
        request: _http.Request,
    ) -> _http.Response:
        request_id = request.headers.get("x-request-id", "")
        request_id = request_id or f"engine-{next(self._numbers)}"
        chat = path == "/v1/chat/completions"
        draft = _openai.parse_draft(request.document(), chat, request_id)
        try:
            if target.state in ("cold", "warm"):
                if draft.model not in target.models:
                    raise _target.RefusedError(404, "unknown_model")
            target.submit(draft.sequence)
        except _target.RefusedError as error:
            return _http.error_response(error.status, error.error)
        tokens = _openai.tokens_of(target, draft.sequence, request)
        if not draft.stream:
            response = _openai.json_answer(draft, tokens)
            return self._unless_gone(host, response)
        # The status line waits for the first token, so that a request that
        # fails before it gets an error status.
        first = next(tokens, None)
        if first == []:
            response = _http.error_response(500, "engine_failed")
            return self._unless_gone(host, response)
        chunks = _openai.stream_answer(draft, first, tokens)
        return _http.Response(
            200,
            content_type="text/event-stream",
            headers=(("X-Request-Id", request_id),),
            chunks=chunks,
        )

    def _unless_gone(
        self, host: _fleet.Host, response: _http.Response
    ) -> _http.Response:
        """Return the response unless its host has died meanwhile."""
        if host.state == _fleet.DEAD:
            raise _http.DropConnection
        return response

    def _handle_faults(self, request: _http.Request) -> _http.Response:
        if request.method == "POST":
            self.apply_fault(request.document())
        with self._fleet.lock:
            hosts = {
                name: {
                    "state": "paused" if host.paused else host.state,
                    "incarnation": host.incarnation,
                    "zone": host.spec.zone,
                    "domain": host.spec.domain,
                    "group": host.group.target.id if host.group else None,
                }
                for name, host in self._fleet.hosts.items()
            }
            switches = _faults.to_document(self._fleet.switches)
            return _http.json_response(
                200, {"switches": switches, "hosts": hosts}
            )

    def apply_fault(self, document: dict[str, _http.Json]) -> None:
        """Set switches, or carry out one action on chosen hosts."""
        fleet = self._fleet
        action = document.pop("action", None)
        if action is None:
            fleet.set_switches(_faults.merge(fleet.switches, document))
            return
        with fleet.lock:
            hosts = self._select(document)
            if action in ("cold", "slow", "fail"):
                self._act_on_targets(action, hosts, document)
                return
            actions = {
                "kill": fleet.kill,
                "pause": fleet.pause,
                "resume": fleet.resume,
                "revive": fleet.revive,
                "leave": fleet.leave,
            }
            if action not in actions:
                raise _http.BadRequest(f"unknown action {action!r}")
            for host in hosts:
                actions[action](host)

    def _select(self, document: dict[str, _http.Json]) -> list[_fleet.Host]:
        hosts = list(self._fleet.hosts.values())
        chosen = {
            "host": lambda host: host.spec.name,
            "domain": lambda host: host.spec.domain,
            "zone": lambda host: host.spec.zone,
            "target": lambda host: host.group and host.group.target.id,
        }
        for name, value_of in chosen.items():
            if name in document:
                hosts = [h for h in hosts if value_of(h) == document[name]]
        if not hosts or not chosen.keys() & document.keys():
            raise _http.BadRequest("no host, domain, zone or target chosen")
        return hosts

    def _act_on_targets(
        self,
        action: str,
        hosts: list[_fleet.Host],
        document: dict[str, _http.Json],
    ) -> None:
        groups = {host.group for host in hosts if host.group}
        for group in groups:
            if action == "cold":
                group.target.make_cold()
            elif action == "slow":
                group.target.slow_factor = float(document.get("factor", 1))
            else:
                group.target.fail_requests()

    def _stats(self) -> _http.Json:
        now_ms = self._fleet.clock.now_ms()
        with self._fleet.lock:
            groups = list(self._fleet.groups.values())
            totals = dict(self._fleet.totals())
        targets = {}
        for group in groups:
            target = group.target
            last_ms = target.last_request_ms
            targets[target.id] = {
                "zone": group.first.spec.zone,
                "hosts": [host.spec.name for host, _ in group.members],
                "roles": [host.role for host, _ in group.members],
                "complete": group.complete,
                "counts": dict(target.counts),
                "last_request_age_ms": (
                    None if last_ms is None else now_ms - last_ms
                ),
                **target.snapshot(),
            }
        return {"targets": targets, "totals": totals}


def _cache_events(
    target: _target.Target, request: _http.Request
) -> _http.Response:
    events, following = target.cache_events(request.number("after", 0))
    return _http.json_response(
        200,
        {
            "events": [
                {"seq": event.seq, "prefix": event.prefix, "op": event.op}
                for event in events
            ],
            "next": following,
        },
    )


def _kv(
    target: _target.Target, prefix: str, request: _http.Request
) -> _http.Response:
    prefix = urllib.parse.unquote(prefix)
    if request.method == "PUT":
        target.import_prefix(prefix)
        return _http.Response(204)
    if not target.has_prefix(prefix):
        return _http.error_response(404, "not_cached")
    return _http.json_response(200, {"prefix": prefix, "kv": prefix})
