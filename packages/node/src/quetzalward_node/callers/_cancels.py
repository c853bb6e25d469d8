"""Cancellation of attempts at engines, on background threads.

A cancel request often goes to a host that has just failed; waiting for its
response must not delay the failover.
"""

import json
import queue
import threading

import attrs

from quetzalward_node.callers import _meters
from quetzalward_node.callers import _targets

CANCEL_TIMEOUT_MS = 1_000
THREAD_COUNT = 4
MAX_QUEUED_CANCELS = 1024


@attrs.frozen
class _CancelRequest:
    url: str
    attempt_id: str


class Canceller:
    """Sends `POST /v1/cancel` for attempts that are no longer needed."""

    def __init__(
        self, connections: _targets.TargetConnections, meters: _meters.Meters
    ) -> None:
        """Create the canceller; `start` starts its threads."""
        self._connections = connections
        self._meters = meters
        self._queue: queue.Queue[_CancelRequest | None] = queue.Queue(
            MAX_QUEUED_CANCELS
        )
        self._threads = [
            threading.Thread(
                target=self._run, name=f"cancel-{number}", daemon=True
            )
            for number in range(THREAD_COUNT)
        ]

    def start(self) -> None:
        """Start the sender threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send the queued requests and stop the threads."""
        for _ in self._threads:
            self._queue.put(None)
        for thread in self._threads:
            thread.join()

    def cancel(self, url: str, attempt_id: str) -> None:
        """Queue a cancel request; dropped and counted if the queue is full."""
        try:
            self._queue.put_nowait(_CancelRequest(url, attempt_id))
        except queue.Full:
            self._meters.cancels.add("dropped")

    def _run(self) -> None:
        while (cancel := self._queue.get()) is not None:
            self._meters.cancels.add(self._send(cancel))

    def _send(self, cancel: _CancelRequest) -> str:
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
        except (_targets.TargetTimeoutError, _targets.TargetConnectionError):
            return "failed"
        finally:
            self._connections.release(connection)
