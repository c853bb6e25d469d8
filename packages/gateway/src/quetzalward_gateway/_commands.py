"""Sends the commands of a coordinator to targets: probes and orders."""

import asyncio
import traceback

import attrs

from quetzalward_core import grouping
from quetzalward_gateway import _http
from quetzalward_gateway import _runtime

# A healthy target answers a probe in milliseconds; an order may have to wait.
ORDER_TIMEOUT_MS = 1_200
PROBE_TIMEOUT_MS = 250
# Reports and answers to orders are some kilobytes; decoding one that is far
# larger would take memory and time.
MAX_REPORT_BYTES = 1024 * 1024
_JSON_HEADERS = [(b"content-type", b"application/json")]


class CommandSender:
    """Sends each probe and each order in a task of its own."""

    def __init__(self, runtime: _runtime.Runtime) -> None:
        """Start without commands in flight."""
        self._runtime = runtime
        self._client = _http.HttpClient(runtime.now_ms)
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel(self) -> None:
        """Cancel the commands in flight; targets may still execute them."""
        for task in self._tasks:
            task.cancel()

    def send(
        self, coordinator: grouping.Coordinator, command: grouping.Command
    ) -> None:
        """Send a command and report its result to the coordinator."""
        if isinstance(command, grouping.Probe):
            coroutine = self._send_probe(coordinator, command)
        else:
            coroutine = self._send_order(coordinator, command)
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_probe(
        self, coordinator: grouping.Coordinator, command: grouping.Probe
    ) -> None:
        runtime = self._runtime
        address = coordinator.address_of(command.target_id)
        if address is None:
            return
        method, path = runtime.platform.probe_request()
        runtime.metrics.count("reports")
        report = None
        try:
            answer = await self._client.call(
                address,
                method,
                path,
                [],
                b"",
                PROBE_TIMEOUT_MS,
                reuse=False,
                max_body_bytes=MAX_REPORT_BYTES,
            )
            report = runtime.platform.decode_report(answer)
            if report is not None:
                # A report has no seal, but names the target's start. It
                # turns no request away, so that it asks for no rest.
                _runtime.observe_notice(
                    runtime,
                    (command.target_id, report.born_ms),
                    attrs.evolve(
                        runtime.platform.decode_notice(answer.headers),
                        rest_ms=None,
                    ),
                    source="report",
                )
        except _http.CallFailed as error:
            runtime.log.event(
                "report_missing",
                target=command.target_id,
                reached=error.sent,
                reason=str(error),
            )
            if error.sent:
                coordinator.record_unanswered_probe(
                    command.target_id, runtime.now_ms()
                )
                return
        except Exception as error:
            self._log_fault(error)
        coordinator.record_report(command.target_id, report, runtime.now_ms())

    async def _send_order(
        self, coordinator: grouping.Coordinator, order: grouping.Order
    ) -> None:
        runtime = self._runtime
        address = coordinator.address_of(order.target_id)
        if address is None:
            return
        method, path, body = runtime.platform.order_request(order)
        runtime.metrics.count("orders", type(order).__name__)
        reason = ""
        try:
            answer = await self._client.call(
                address,
                method,
                path,
                _JSON_HEADERS,
                body,
                ORDER_TIMEOUT_MS,
                reuse=False,
                max_body_bytes=MAX_REPORT_BYTES,
            )
            result = runtime.platform.decode_order_answer(answer.status)
        except _http.CallFailed as error:
            result = grouping.OrderAnswer.UNREACHABLE
            if error.sent:
                result = grouping.OrderAnswer.UNANSWERED
            reason = str(error)
        except Exception as error:
            self._log_fault(error)
            # It may have been sent.
            result = grouping.OrderAnswer.UNANSWERED
            reason = repr(error)
        runtime.log.event(
            "order",
            order=type(order).__name__,
            result=result.value,
            reason=reason,
            **attrs.asdict(order),
        )
        coordinator.record_order_answer(order, result, runtime.now_ms())

    def _log_fault(self, error: Exception) -> None:
        """Log a fault of a task, whose result nobody awaits."""
        self._runtime.log.event(
            "internal_error", reason=traceback.format_exc(), error=repr(error)
        )
