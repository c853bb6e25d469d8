"""The engines over HTTP."""

import json
import typing

import logbook
import urllib3

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_node.groups import _platform

_LOG = logbook.Logger("groups.http")
CONNECT_TIMEOUT_MS = 500
REPORT_TIMEOUT_MS = 1_000
_POOL_SIZE = 8
_POOLS = 64


def _timeout(total_ms: clocks.Millis) -> urllib3.Timeout:
    """Return a timeout for a whole request."""
    return urllib3.Timeout(
        connect=CONNECT_TIMEOUT_MS / clocks.MILLIS_PER_SECOND,
        total=total_ms / clocks.MILLIS_PER_SECOND,
    )


def parse_report(document: typing.Any) -> _platform.EngineReport:
    """Return a report; raises `KeyError`, `TypeError` or `ValueError`."""
    return _platform.EngineReport(
        str(document["target"]),
        int(document["epoch"]),
        {
            str(item["host"]): int(item["incarnation"])
            for item in document["hosts"]
        },
        str(document["state"]),
        tuple(str(name) for name in document["models"]),
        int(document["running"]),
        int(document["waiting"]),
        int(document["age_ms"]),
    )


def order_document(order: _platform.Order) -> dict[str, typing.Any]:
    """Return the JSON document of an order; other kinds leave out hosts."""
    document: dict[str, typing.Any] = {
        "order_id": order.order_id,
        "fencing": order.fencing,
        "kind": order.kind,
        "group": order.group,
        "epoch": order.epoch,
        "model": order.model,
    }
    if order.kind == "assign":
        document["hosts"] = [
            {"host": host, "incarnation": incarnation}
            for host, incarnation in order.hosts
        ]
    if order.kind == "load":
        document["adapters"] = list(order.adapters)
        document["versions"] = list(order.versions)
    return document


class HttpEngineClient:
    """Implements `EngineClient`; each call is one attempt."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._pool = urllib3.PoolManager(
            num_pools=_POOLS, maxsize=_POOL_SIZE, retries=False
        )

    def report(self, engine_url: str) -> _platform.EngineReport | None:
        """Return an engine's report, or `None` if none arrived."""
        try:
            answer = self._pool.request(
                "GET",
                f"{engine_url}/report",
                timeout=_timeout(REPORT_TIMEOUT_MS),
            )
            if answer.status != 200:
                return None
            return parse_report(json.loads(answer.data))
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        except (ValueError, KeyError, TypeError) as error:
            _LOG.warning("unreadable report from {}: {}", engine_url, error)
            return None

    def order(
        self, engine_url: str, order: _platform.Order
    ) -> _platform.OrderAnswer:
        """Send an order once."""
        try:
            answer = self._pool.request(
                "POST",
                f"{engine_url}/orders",
                body=json.dumps(order_document(order)).encode(),
                headers={"Content-Type": "application/json"},
                timeout=_timeout(agreement.ORDER_TIMEOUT_MS),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _platform.OrderAnswer(0, str(error))
        if answer.status < 300:
            return _platform.OrderAnswer(answer.status)
        try:
            document = json.loads(answer.data)
            return _platform.OrderAnswer(
                answer.status,
                str(document.get("error", "")),
                str(document.get("host", "")),
            )
        except (ValueError, AttributeError):
            return _platform.OrderAnswer(answer.status)
