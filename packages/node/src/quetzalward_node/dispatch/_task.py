"""The dispatch task: a thread that owns admission, queues and routing."""

import itertools
import queue
import random
import threading
import typing

import logbook

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_node.dispatch import _messages
from quetzalward_node.dispatch import _services
from quetzalward_node.dispatch import _state
from quetzalward_node import interfaces

TICK_S = 0.05
# Without a queue only demands and the control view need updates, and a 50 ms
# tick costs an idle node 0.4% of a core.
IDLE_TICK_S = 0.5
# Added to a request's deadline, so that the task's own answer comes first.
REPLY_GRACE_MS = 500
# Replies that need no queue are immediate; a longer wait means a stalled task.
REPLY_TIMEOUT_S = 2.0
_MAX_BATCH_MESSAGES = 64

_LOG = logbook.Logger("dispatch")
_CANCELLED = interfaces.AttemptReport(interfaces.AttemptResult.CANCELLED)


class DispatchTask:
    """Implements `Dispatcher` and `TargetsSink`; calls are messages to it."""

    def __init__(
        self,
        node: str,
        zone: str,
        control: interfaces.ControlSource,
        demands: interfaces.DemandExchange,
        time_source: clock.Clock,
        rng: random.Random,
        announce_doubt: typing.Callable[[str], None],
    ) -> None:
        """Create the task; `start` runs its thread.

        `announce_doubt` notifies the other nodes of a doubted target; it must
        not block.
        """
        self._clock = time_source
        self._announce_doubt = announce_doubt
        self._demands = demands
        now_ms = time_source.now_ms()
        self._state = _state.DispatchState(node, zone, control, rng, now_ms)
        self._services = _services.ServiceState(
            zone, self._state.customers, rng
        )
        self._mailbox: queue.Queue[_messages.Message] = queue.Queue()
        self._tickets = itertools.count(1)
        self._waiting_by_ticket: dict[int, _messages.Acquire] = {}
        self._thread = threading.Thread(
            target=self._run, name="dispatch", daemon=True
        )
        self._stopped = False

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop_admission(self) -> None:
        """Reject new drafts; queued ones and later attempts continue."""
        self._mailbox.put(_messages.StopAdmission())

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the thread; queued requests fail with `node_stopping`."""
        self._mailbox.put(_messages.StopTask())
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def acquire(self, request: interfaces.RouteRequest) -> interfaces.Grant:
        """Wait for admission and a target; see `Dispatcher.acquire`."""
        reply: _messages.ReplySlot[_state.Outcome] = _messages.ReplySlot()
        ticket = next(self._tickets)
        self._mailbox.put(_messages.Acquire(ticket, request, reply))
        left_ms = request.deadline_ms - self._clock.now_ms() + REPLY_GRACE_MS
        outcome = reply.wait(max(0, left_ms) / clock.MILLIS_PER_SECOND)
        if outcome is None:
            self._mailbox.put(_messages.Withdraw(ticket))
            raise errors.QuetzalwardError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                "the deadline passed before a target was found",
            )
        if isinstance(outcome, errors.QuetzalwardError):
            raise outcome
        return outcome

    def release(
        self, grant: interfaces.Grant, report: interfaces.AttemptReport
    ) -> None:
        """End an attempt; see `Dispatcher.release`."""
        self._mailbox.put(_messages.Release(grant, report))

    def finish(self, request_id: str) -> None:
        """End a request; see `Dispatcher.finish`."""
        self._mailbox.put(_messages.Finish(request_id))

    def may_retry(self) -> bool:
        """Spend one retry; false if none is left or the task is stalled."""
        reply: _messages.ReplySlot[bool] = _messages.ReplySlot()
        self._mailbox.put(_messages.MayRetry(reply))
        return bool(reply.wait(REPLY_TIMEOUT_S))

    def choose_service(self, call: interfaces.ServiceCall) -> interfaces.Grant:
        """Return a grant for a replica; see `ServiceRouter.choose`."""
        reply: _messages.ReplySlot[typing.Any] = _messages.ReplySlot()
        self._mailbox.put(_messages.ChooseService(call, reply))
        outcome = reply.wait(REPLY_TIMEOUT_S)
        if outcome is None:
            raise errors.QuetzalwardError(
                errors.ErrorKind.OVERLOADED,
                "the dispatch task did not reply in time; "
                "the call was not sent",
            )
        if isinstance(outcome, errors.QuetzalwardError):
            raise outcome
        return typing.cast(interfaces.Grant, outcome)

    def release_service(
        self, grant: interfaces.Grant, report: interfaces.AttemptReport
    ) -> None:
        """End a call; see `ServiceRouter.release`."""
        self._mailbox.put(_messages.ReleaseService(grant, report))

    def hedge_after_ms(self, service: str, repeatable: bool) -> float | None:
        """Return the hedging delay; see `ServiceRouter.hedge_after_ms`."""
        reply: _messages.ReplySlot[float] = _messages.ReplySlot()
        self._mailbox.put(_messages.HedgeAfter(service, repeatable, reply))
        return reply.wait(REPLY_TIMEOUT_S)

    def publish_targets(
        self,
        view: interfaces.TargetsView,
        events: tuple[interfaces.CacheEvent, ...],
    ) -> None:
        """Queue a new view; see `TargetsSink.publish_targets`."""
        self._mailbox.put(_messages.TargetsRead(view, events))

    def doubt_target(self, target_id: str) -> None:
        """Send no new requests to a target until a newer report of it."""
        self._mailbox.put(_messages.TargetDoubted(target_id))

    def _run(self) -> None:
        """Handle messages until stopped."""
        while not self._stopped:
            for message in self._next_batch():
                self._handle_safely(message)
            try:
                self._serve_and_exchange()
            except Exception:
                _LOG.exception("serving queues or exchanging demands failed")
        self._reject_remaining()

    def _next_batch(self) -> list[_messages.Message]:
        """Wait up to a tick; return pending messages, up to a maximum."""
        tick_s = TICK_S if self._waiting_by_ticket else IDLE_TICK_S
        try:
            batch = [self._mailbox.get(timeout=tick_s)]
        except queue.Empty:
            return []
        while len(batch) < _MAX_BATCH_MESSAGES:
            try:
                batch.append(self._mailbox.get_nowait())
            except queue.Empty:
                break
        return batch

    def _serve_and_exchange(self) -> None:
        """Serve the queues and exchange demands with the other nodes."""
        now_ms = self._clock.now_ms()
        for ticket, outcome in self._state.tick(now_ms):
            waiting = self._waiting_by_ticket.pop(ticket)
            self._deliver(waiting, outcome)
        self._state.customers.exchange(self._demands, now_ms)

    def _handle_safely(self, message: _messages.Message) -> None:
        """Handle a message; on an exception only its sender gets an error."""
        try:
            self._handle(message)
        except Exception as error:
            _LOG.exception("handling of a dispatch message failed")
            if isinstance(message, _messages.Acquire):
                self._release_admission(message)
            reply = getattr(message, "reply", None)
            if reply is not None:
                reply.offer(
                    errors.QuetzalwardError(
                        errors.ErrorKind.INTERNAL,
                        f"routing failed: {error}",
                        outcome=errors.Outcome.NOT_RUN,
                    )
                )

    def _handle(self, message: _messages.Message) -> None:
        """Apply one message to the state."""
        now_ms = self._clock.now_ms()
        match message:
            case _messages.Acquire():
                self._handle_acquire(message, now_ms)
            case _messages.Withdraw():
                self._waiting_by_ticket.pop(message.ticket, None)
                self._state.withdraw(message.ticket)
            case _messages.Release():
                self._state.release(message.grant, message.report, now_ms)
                for target_id in self._state.pool.take_doubts():
                    self._announce_doubt(target_id)
            case _messages.Finish():
                self._state.finish(message.request_id)
            case _messages.MayRetry():
                message.reply.offer(self._state.may_retry(now_ms))
            case _messages.ChooseService():
                self._handle_choose(message, now_ms)
            case _messages.ReleaseService():
                self._services.release(message.grant, message.report)
            case _messages.HedgeAfter():
                message.reply.offer(
                    self._services.hedge_after_ms(
                        message.service, message.repeatable
                    )
                )
            case _messages.TargetsRead():
                self._state.pool.apply_targets(
                    message.view, message.events, now_ms
                )
            case _messages.TargetDoubted():
                self._state.pool.doubt(message.target_id, now_ms)
            case _messages.StopAdmission():
                self._state.stop_admission()
            case _messages.StopTask():
                self._stopped = True

    def _handle_acquire(
        self, message: _messages.Acquire, now_ms: clock.Millis
    ) -> None:
        outcome = self._state.submit(message.ticket, message.request, now_ms)
        if outcome is None:
            self._waiting_by_ticket[message.ticket] = message
        else:
            self._deliver(message, outcome)

    def _handle_choose(
        self, message: _messages.ChooseService, now_ms: clock.Millis
    ) -> None:
        self._state.refresh(now_ms)
        outcome = self._services.choose(
            message.call, self._state.control, now_ms
        )
        taken = message.reply.offer(outcome)
        if not taken and isinstance(outcome, interfaces.Grant):
            self._services.release(outcome, _CANCELLED)

    def _deliver(
        self, waiting: _messages.Acquire, outcome: _state.Outcome
    ) -> None:
        """Deliver an outcome; release the grant if the thread timed out."""
        if waiting.reply.offer(outcome):
            return
        if isinstance(outcome, interfaces.Grant):
            self._state.release(outcome, _CANCELLED, self._clock.now_ms())
        self._release_admission(waiting)

    def _release_admission(self, waiting: _messages.Acquire) -> None:
        """Free the concurrency slot of a request that did not start.

        For a later attempt the request thread frees it.
        """
        if waiting.request.attempt == 1:
            self._state.finish(waiting.request.request_id)

    def _reject_remaining(self) -> None:
        """Fail requests that are still queued when the task ends."""
        error = errors.QuetzalwardError(
            errors.ErrorKind.NODE_STOPPING, "this node is stopping"
        )
        while True:
            try:
                message = self._mailbox.get_nowait()
            except queue.Empty:
                break
            reply = getattr(message, "reply", None)
            if reply is not None and isinstance(
                message, _messages.Acquire | _messages.ChooseService
            ):
                reply.offer(error)
        for waiting in self._waiting_by_ticket.values():
            waiting.reply.offer(error)


class ServiceRouting:
    """Implements `ServiceRouter` on the dispatch task."""

    def __init__(self, task: DispatchTask) -> None:
        """Route by messages to the given task."""
        self._task = task

    def choose(self, call: interfaces.ServiceCall) -> interfaces.Grant:
        """Return a grant for a replica; its URL is the replica's base URL."""
        return self._task.choose_service(call)

    def release(
        self, grant: interfaces.Grant, report: interfaces.AttemptReport
    ) -> None:
        """End a call and free its concurrency slot."""
        self._task.release_service(grant, report)

    def hedge_after_ms(self, service: str, repeatable: bool) -> float | None:
        """Return the delay before a second attempt, `None` for never."""
        return self._task.hedge_after_ms(service, repeatable)
