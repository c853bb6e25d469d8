"""Orders to the engines: assign, load, unload and role."""

import collections
import logging
import threading
import time

import attrs
import urllib3

from quetzalward_standins import _faults
from quetzalward_standins import _fleet
from quetzalward_standins import _http

KEPT_RESULTS = 10_000
FETCH_TIMEOUT_S = 30.0
FETCH_RETRY_S = 0.5

_LOG = logging.getLogger(__name__)


@attrs.frozen
class HostRef:
    """A host as an `assign` order names it."""

    host: str
    incarnation: int


@attrs.frozen
class Order:
    """An order; which fields it needs depends on its kind."""

    order_id: str
    fencing: int
    kind: str
    group: str = ""
    epoch: int = 0
    hosts: list[HostRef] = attrs.field(factory=list)
    model: str = ""
    adapters: list[str] = attrs.field(factory=list)
    versions: list[str] = attrs.field(factory=list)
    role: str = ""


class OrderBook:
    """Carries out orders; a repeat of an accepted one has no effect."""

    def __init__(self, fleet: _fleet.Fleet, weights_url: str) -> None:
        """Use the weight store at `weights_url` for loads."""
        self._fleet = fleet
        self._weights_url = weights_url
        self._pool = urllib3.PoolManager(maxsize=64)
        self._results: collections.OrderedDict[str, _http.Response]
        self._results = collections.OrderedDict()

    def handle(
        self, host: _fleet.Host, document: dict[str, _http.Json]
    ) -> _http.Response:
        """Carry out one order that was sent to a host's URL."""
        order = _faults.from_document(document, Order)
        with self._fleet.lock:
            if order.order_id in self._results:
                return self._results[order.order_id]
            response = self._check_fencing(host, order)
            if response is None:
                response = self._carry_out(host, order)
            if response.status >= 300:
                return response
            self._results[order.order_id] = response
            if len(self._results) > KEPT_RESULTS:
                self._results.popitem(last=False)
            return response

    def _check_fencing(
        self, host: _fleet.Host, order: Order
    ) -> _http.Response | None:
        involved = [host]
        for ref in order.hosts:
            if ref.host in self._fleet.hosts:
                involved.append(self._fleet.hosts[ref.host])
        highest = max(member.fencing for member in involved)
        if self._fleet.switches.honours_fencing and order.fencing < highest:
            return _http.error_response(409, "old_fencing", highest=highest)
        for member in involved:
            member.fencing = max(member.fencing, order.fencing)
        return None

    def _carry_out(self, host: _fleet.Host, order: Order) -> _http.Response:
        if order.kind == "assign":
            return self._assign(host, order)
        group = host.group
        if order.kind == "unload" and group is None:
            return _http.json_response(200, {"state": "empty"})
        if group is None:
            return _http.error_response(409, "no_group")
        if order.group and order.group != group.target.id:
            return _http.error_response(
                409, "other_group", group=group.target.id
            )
        if order.kind == "load":
            return self._load(group, order)
        if order.kind == "unload":
            return self._unload(group, order)
        if order.kind == "role":
            host.role = order.role
            return _http.json_response(200, {"role": order.role})
        return _http.error_response(400, f"unknown kind {order.kind!r}")

    def _assign(self, host: _fleet.Host, order: Order) -> _http.Response:
        if not order.hosts or order.hosts[0].host != host.spec.name:
            return _http.error_response(400, "this is not the first host")
        hosts = []
        for ref in order.hosts:
            member = self._fleet.hosts.get(ref.host)
            if (
                member is None
                or not member.present
                or member.incarnation != ref.incarnation
            ):
                return _http.error_response(
                    409, "host_unavailable", host=ref.host
                )
            hosts.append(member)
        group = host.group
        if (
            group
            and group.target.id == order.group
            and group.target.epoch == order.epoch
            and group.complete
        ):
            return _http.json_response(200, {"state": group.target.state})
        self._fleet.add_group(order.group, order.epoch, order.model, hosts)
        return _http.json_response(200, {"state": "empty"})

    def _load(self, group: _fleet.Group, order: Order) -> _http.Response:
        if not group.complete:
            return _http.error_response(409, "incomplete")
        base = order.model or group.model
        names = [base, *order.adapters, *order.versions]
        missing = [n for n in names if n not in group.target.models]
        if missing:
            group.target.loading()
            threading.Thread(
                target=self._fetch, args=(group, missing), daemon=True
            ).start()
        return _http.json_response(202, {"state": group.target.state})

    def _unload(self, group: _fleet.Group, order: Order) -> _http.Response:
        if order.model and order.model != group.model:
            group.target.remove_models([order.model])
            return _http.json_response(200, {"state": group.target.state})
        self._fleet.dissolve(group)
        return _http.json_response(200, {"state": "empty"})

    def _fetch(self, group: _fleet.Group, names: list[str]) -> None:
        for name in names:
            while not self._fetch_once(name):
                if self._is_gone(group):
                    return
                time.sleep(FETCH_RETRY_S)
        with self._fleet.lock:
            if not self._is_gone(group):
                group.target.loaded(names)

    def _is_gone(self, group: _fleet.Group) -> bool:
        """Tell whether a host died or the group was dissolved meanwhile.

        A paused host does not end a load, which goes on after the pause.
        """
        return any(
            host.state == _fleet.DEAD or not group.holds(host, incarnation)
            for host, incarnation in group.members
        )

    def _fetch_once(self, name: str) -> bool:
        try:
            answer = self._pool.request(
                "GET",
                f"{self._weights_url}/weights/{name}",
                timeout=FETCH_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            _LOG.warning("weight store does not answer: %s", error)
            return False
        return answer.status == 200
