"""HTTP client of the engines."""

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
_MAX_POOLS = 64


def _timeout(total_ms: clocks.Millis) -> urllib3.Timeout:
    """Return the connect timeout and a total timeout for a request."""
    return urllib3.Timeout(
        connect=CONNECT_TIMEOUT_MS / clocks.MILLIS_PER_SECOND,
        total=total_ms / clocks.MILLIS_PER_SECOND,
    )


def parse_report(document: typing.Any) -> _platform.EngineReport:
    """Decode a report.

    Raises `KeyError`, `TypeError` or `ValueError` if it is malformed.
    """
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
    """Return the JSON document of an order.

    Hosts are only in assign orders, adapters and versions in load orders.
    """
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
    """Implements `EngineClient`; requests are not retried."""

    def __init__(self) -> None:
        """Create the client; connections are opened on first use."""
        self._pool = urllib3.PoolManager(
            num_pools=_MAX_POOLS, maxsize=_POOL_SIZE, retries=False
        )

    def report(self, engine_url: str) -> _platform.EngineReport | None:
        """Return an engine's report, or `None` if none was received."""
        try:
            response = self._pool.request(
                "GET",
                f"{engine_url}/report",
                timeout=_timeout(REPORT_TIMEOUT_MS),
            )
            if response.status != 200:
                return None
            return parse_report(json.loads(response.data))
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        except (ValueError, KeyError, TypeError) as error:
            _LOG.warning(
                "malformed engine report from {}: {}", engine_url, error
            )
            return None

    def order(
        self, engine_url: str, order: _platform.Order
    ) -> _platform.OrderAnswer:
        """Send an order, without retries."""
        try:
            response = self._pool.request(
                "POST",
                f"{engine_url}/orders",
                body=json.dumps(order_document(order)).encode(),
                headers={"Content-Type": "application/json"},
                timeout=_timeout(agreement.ORDER_TIMEOUT_MS),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _platform.OrderAnswer(0, str(error))
        if response.status < 300:
            return _platform.OrderAnswer(response.status)
        try:
            document = json.loads(response.data)
            return _platform.OrderAnswer(
                response.status,
                str(document.get("error", "")),
                str(document.get("host", "")),
            )
        except (ValueError, AttributeError):
            return _platform.OrderAnswer(response.status)
