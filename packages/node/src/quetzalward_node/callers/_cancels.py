"""Cancel calls to engines, made off the request threads.

A cancel often goes to a host that just failed; waiting for it there must not
delay the failover.
"""

import json
import queue
import threading

import attrs

from quetzalward_node.callers import _meters
from quetzalward_node.callers import _targets

CANCEL_TIMEOUT_MS = 1_000
THREADS = 4
MAX_QUEUED = 1024


@attrs.frozen
class _Cancel:
    url: str
    attempt_id: str


class Canceller:
    """Sends `POST /v1/cancel` for attempts whose answer nobody wants."""

    def __init__(
        self, connections: _targets.TargetConnections, meters: _meters.Meters
    ) -> None:
        """Create the canceller; `start` starts its threads."""
        self._connections = connections
        self._meters = meters
        self._queue: queue.Queue[_Cancel | None] = queue.Queue(MAX_QUEUED)
        self._threads = [
            threading.Thread(
                target=self._run, name=f"cancel-{number}", daemon=True
            )
            for number in range(THREADS)
        ]

    def start(self) -> None:
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send what is queued and stop."""
        for _ in self._threads:
            self._queue.put(None)
        for thread in self._threads:
            thread.join()

    def cancel(self, url: str, attempt_id: str) -> None:
        """Queue a cancel; dropped and counted if too many are queued."""
        try:
            self._queue.put_nowait(_Cancel(url, attempt_id))
        except queue.Full:
            self._meters.cancels.add("dropped")

    def _run(self) -> None:
        while (cancel := self._queue.get()) is not None:
            self._meters.cancels.add(self._send(cancel))

    def _send(self, cancel: _Cancel) -> str:
        body = json.dumps({"request_id": cancel.attempt_id}).encode()
        headers = {"Content-Type": "application/json"}
        try:
            connection = self._connections.open(cancel.url)
        except _targets.NotConnectedError:
            return "not_connected"
        try:
            connection.send(
                "POST", "/v1/cancel", headers, body, CANCEL_TIMEOUT_MS
            )
            while connection.read(CANCEL_TIMEOUT_MS):
                pass
            return "sent"
        except (_targets.TargetTimeoutError, _targets.TargetBrokenError):
            return "failed"
        finally:
            self._connections.give_back(connection)
