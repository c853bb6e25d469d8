"""Carries out what a coordinator decides: reports and orders."""

import asyncio

import attrs

from quetzalward_core import grouping
from quetzalward_gateway import _http
from quetzalward_gateway import _runtime

# A target that works answers in milliseconds; an order may have to wait.
ORDER_TIMEOUT_MS = 1_200
PROBE_TIMEOUT_MS = 250
_JSON = [(b"content-type", b"application/json")]


class OrderSender:
    """Sends reports and orders, each in a task of its own."""

    def __init__(self, runtime: _runtime.Runtime) -> None:
        """Start with nothing on its way."""
        self._runtime = runtime
        self._client = _http.HttpClient(runtime.now_ms)
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel(self) -> None:
        """Give up what is on its way; it may still be carried out."""
        for task in self._tasks:
            task.cancel()

    def start(
        self, coordinator: grouping.Coordinator, command: grouping.Command
    ) -> None:
        """Carry out a command and tell the coordinator what became of it."""
        if isinstance(command, grouping.Probe):
            work = self._probe(coordinator, command)
        else:
            work = self._order(coordinator, command)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(
        self, coordinator: grouping.Coordinator, command: grouping.Probe
    ) -> None:
        runtime = self._runtime
        target = runtime.state.directory.get(command.target_id)
        if target is None:
            return
        method, path = runtime.platform.report_call()
        runtime.metrics.count("reports")
        report = None
        try:
            answer = await self._client.call(
                target.address,
                method,
                path,
                [],
                b"",
                PROBE_TIMEOUT_MS,
                reuse=False,
            )
            report = runtime.platform.decode_report(answer)
        except _http.CallFailed as error:
            runtime.log.event(
                "report_missing", target=target.id, reason=str(error)
            )
        coordinator.record_report(target.id, report, runtime.now_ms())

    async def _order(
        self, coordinator: grouping.Coordinator, order: grouping.Order
    ) -> None:
        runtime = self._runtime
        target = runtime.state.directory.get(order.target_id)
        if target is None:
            return
        method, path, body = runtime.platform.order_call(order)
        runtime.metrics.count("orders", type(order).__name__)
        reason = ""
        try:
            answer = await self._client.call(
                target.address,
                method,
                path,
                _JSON,
                body,
                ORDER_TIMEOUT_MS,
                reuse=False,
            )
            result = runtime.platform.decode_order_answer(answer.status)
        except _http.CallFailed as error:
            result = grouping.OrderAnswer.UNREACHABLE
            if error.sent:
                result = grouping.OrderAnswer.UNANSWERED
            reason = str(error)
        runtime.log.event(
            "order",
            order=type(order).__name__,
            result=result.value,
            reason=reason,
            **attrs.asdict(order),
        )
        coordinator.record_order_answer(order, result, runtime.now_ms())
