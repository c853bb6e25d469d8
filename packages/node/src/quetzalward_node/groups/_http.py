"""HTTP client of the engines."""

import json
import time
import typing

import logbook
import urllib3

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_node.groups import _platform

_LOG = logbook.Logger("groups.http")
CONNECT_TIMEOUT_MS = 500
REPORT_TIMEOUT_MS = 1_000
# Reports and answers to orders are some kilobytes.
MAX_ANSWER_BYTES = 65_536
_READ_BYTES = 8_192
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
            status, body = self._call(
                "GET", f"{engine_url}/report", None, REPORT_TIMEOUT_MS
            )
            if status != 200:
                return None
            return parse_report(json.loads(body))
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
            status, body = self._call(
                "POST",
                f"{engine_url}/orders",
                json.dumps(order_document(order)).encode(),
                agreement.ORDER_TIMEOUT_MS,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _platform.OrderAnswer(0, str(error))
        if status < 300:
            return _platform.OrderAnswer(status)
        try:
            document = json.loads(body)
            return _platform.OrderAnswer(
                status,
                str(document.get("error", "")),
                str(document.get("host", "")),
            )
        except (ValueError, AttributeError):
            return _platform.OrderAnswer(status)

    def _call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_ms: clocks.Millis,
    ) -> tuple[int, bytes]:
        """Return status and body of an answer.

        Raises `OSError` or an error of urllib3, also if the answer is too
        long or takes too long as a whole: a time-out of the socket holds for
        one read, and an engine in trouble may send bytes without end.
        """
        end_s = time.monotonic() + timeout_ms / clocks.MILLIS_PER_SECOND
        response = self._pool.request(
            method,
            url,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            timeout=_timeout(timeout_ms),
            preload_content=False,
        )
        received = bytearray()
        try:
            while part := response.read1(_READ_BYTES):
                received += part
                if len(received) > MAX_ANSWER_BYTES:
                    raise OSError(f"more than {MAX_ANSWER_BYTES} bytes")
                if time.monotonic() > end_s:
                    raise TimeoutError(f"not whole within {timeout_ms} ms")
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return response.status, bytes(received)
