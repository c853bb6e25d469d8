"""State of the dispatch task: admission, queues and grants.

Without I/O; the only outside input is the control source, which is read again
before each grant.
"""

import random

import attrs

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import limits
from quetzalward_core import routing
from quetzalward_node.dispatch import _customers
from quetzalward_node.dispatch import _pool
from quetzalward_node.dispatch import _records
from quetzalward_node import interfaces

# Time in which the request thread must send the attempt once it has a grant.
GRANT_LIFETIME_MS = 1_000
# The control view may change between the choice of a target and the grant;
# the choice is then repeated, for which a few rounds suffice.
_MAX_CHOICE_ROUNDS = 4

Outcome = interfaces.Grant | errors.QuetzalwardError


@attrs.frozen
class _QueuedRequest:
    """A queued request."""

    ticket: int
    request: interfaces.RouteRequest
    queue_deadline_ms: clock.Millis


@attrs.frozen
class _OpenGrant:
    """An unreleased grant."""

    grant: interfaces.Grant
    model: str
    sent_ms: clock.Millis


@attrs.define
class _Pending:
    """Requests that wait for a target of one model, adapter or version."""

    retries: dict[int, _QueuedRequest] = attrs.field(factory=dict)
    queue: limits.FairQueue[_QueuedRequest] = attrs.field(
        factory=limits.FairQueue
    )
    drain_rate: limits.DrainRate = attrs.field(factory=limits.DrainRate)


class DispatchState:
    """Admits, queues and grants the drafts of one node."""

    def __init__(
        self,
        node: str,
        zone: str,
        source: interfaces.ControlSource,
        rng: random.Random,
        now_ms: clock.Millis,
    ) -> None:
        """Start with the source's current view."""
        self._source = source
        self._rng = rng
        self.control = source.view()
        self.pool = _pool.TargetPool(node, zone, self.control, rng, now_ms)
        self.customers = _customers.CustomerLimits(node, now_ms)
        self._retry_budget = limits.RetryBudget(
            self.control.configuration.limits.retry_budget_percent
        )
        self._pending_by_model: dict[str, _Pending] = {}
        self._grants_by_id: dict[int, _OpenGrant] = {}
        self._next_grant_id = 1
        self._stopping = False

    def stop_admission(self) -> None:
        """Reject new drafts; queued and running ones continue."""
        self._stopping = True

    @property
    def open_grants(self) -> int:
        """Return the number of unreleased grants."""
        return len(self._grants_by_id)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(
            len(pending.queue) + len(pending.retries)
            for pending in self._pending_by_model.values()
        )

    def refresh(self, now_ms: clock.Millis) -> None:
        """Apply the newest control view."""
        self.control = self._source.view()
        self.pool.apply_control(self.control, now_ms)
        percent = self.control.configuration.limits.retry_budget_percent
        self._retry_budget.configure(percent)

    def submit(
        self,
        ticket: int,
        request: interfaces.RouteRequest,
        now_ms: clock.Millis,
    ) -> Outcome | None:
        """Return a grant or error for a request, or `None` once queued."""
        self.refresh(now_ms)
        admission_error = self._admission_error(request)
        if admission_error is not None:
            return admission_error
        pending = self._pending_by_model.setdefault(request.model, _Pending())
        if request.attempt > 1:
            return self._submit_retry(ticket, request, pending, now_ms)
        self._retry_budget.record_request(now_ms)
        limit_error = self.customers.admit(
            request.customer, request.request_id, self.control, now_ms
        )
        if limit_error is not None:
            return limit_error
        if not len(pending.queue) and not pending.retries:
            grant = self._grant(request, now_ms)
            if grant is not None:
                return grant
        return self._enqueue(ticket, request, pending, now_ms)

    def _submit_retry(
        self,
        ticket: int,
        request: interfaces.RouteRequest,
        pending: _Pending,
        now_ms: clock.Millis,
    ) -> Outcome | None:
        """Return a grant for a later attempt, or put it ahead of the queue."""
        grant = self._grant(request, now_ms)
        if grant is not None:
            return grant
        queue_deadline_ms = self._queue_deadline_ms(request, now_ms)
        if queue_deadline_ms <= now_ms:
            return self._timeout_error(request, now_ms)
        pending.retries[ticket] = _QueuedRequest(
            ticket, request, queue_deadline_ms
        )
        return None

    def _enqueue(
        self,
        ticket: int,
        request: interfaces.RouteRequest,
        pending: _Pending,
        now_ms: clock.Millis,
    ) -> Outcome | None:
        """Queue a first attempt, unless it would wait too long."""
        settings = _customers.customer_settings(
            request.customer, self.control.configuration
        )
        priority = settings.priority + request.priority
        cost = float(
            request.max_tokens + routing.token_count(request.prompt) // 8
        )
        ahead = 1 + pending.queue.position(
            request.customer, priority, settings.weight, cost
        )
        rejection = self._early_rejection(request, pending, ahead, now_ms)
        if rejection is not None:
            self.customers.finish(request.request_id)
            return errors.QuetzalwardError(
                rejection.kind,
                f"{ahead} requests for {request.model!r} are queued ahead; "
                "the wait would be too long",
                rejection.retry_after_ms,
            )
        queued = _QueuedRequest(
            ticket, request, self._queue_deadline_ms(request, now_ms)
        )
        pending.queue.push(
            str(ticket),
            queued,
            request.customer,
            priority,
            settings.weight,
            cost,
        )
        return None

    def _early_rejection(
        self,
        request: interfaces.RouteRequest,
        pending: _Pending,
        ahead: int,
        now_ms: clock.Millis,
    ) -> limits.Rejection | None:
        """Return a rejection if the expected wait is too long."""
        settings = self.control.configuration
        if settings.routing.policy == "random":
            return None
        base = self.pool.base_model(request.model) or request.model
        return limits.check_wait(
            pending.drain_rate.expected_wait_ms(ahead, now_ms),
            self.pool.first_token_ms(base),
            now_ms,
            request.deadline_ms,
            settings.limits.max_queue_ms,
            self._rng,
        )

    def _queue_deadline_ms(
        self, request: interfaces.RouteRequest, now_ms: clock.Millis
    ) -> clock.Millis:
        """Return the time until which a request may wait for a target."""
        max_queue_ms = self.control.configuration.limits.max_queue_ms
        return min(request.deadline_ms, now_ms + max_queue_ms)

    def tick(self, now_ms: clock.Millis) -> list[tuple[int, Outcome]]:
        """Expire and serve queued requests; return tickets with outcomes."""
        self.refresh(now_ms)
        outcomes: list[tuple[int, Outcome]] = []
        for pending in self._pending_by_model.values():
            self._expire(pending, now_ms, outcomes)
            self._serve(pending, now_ms, outcomes)
        return outcomes

    def _expire(
        self,
        pending: _Pending,
        now_ms: clock.Millis,
        outcomes: list[tuple[int, Outcome]],
    ) -> None:
        """End requests that timed out, or all if the node is isolated."""
        queued_requests = [*pending.retries.values(), *pending.queue.items()]
        for queued in queued_requests:
            error = self._isolation_error()
            if error is None and queued.queue_deadline_ms <= now_ms:
                error = self._timeout_error(queued.request, now_ms)
            if error is not None:
                self._remove(pending, queued)
                outcomes.append((queued.ticket, error))

    def _serve(
        self,
        pending: _Pending,
        now_ms: clock.Millis,
        outcomes: list[tuple[int, Outcome]],
    ) -> None:
        """Grant free targets to queued requests, retries first."""
        for queued in list(pending.retries.values()):
            grant = self._grant(queued.request, now_ms)
            if grant is not None:
                del pending.retries[queued.ticket]
                outcomes.append((queued.ticket, grant))
        head = pending.queue.peek()
        while head is not None:
            grant = self._grant(head.request, now_ms)
            if grant is None:
                return
            pending.queue.pop()
            pending.drain_rate.record_departure(
                now_ms, bool(len(pending.queue))
            )
            outcomes.append((head.ticket, grant))
            head = pending.queue.peek()

    def withdraw(self, ticket: int) -> None:
        """Remove a queued request whose thread stopped waiting."""
        for pending in self._pending_by_model.values():
            retry = pending.retries.pop(ticket, None)
            queued = pending.queue.remove(str(ticket))
            if queued is not None:
                self.customers.finish(queued.request.request_id)
            if retry is not None or queued is not None:
                return

    def _remove(self, pending: _Pending, queued: _QueuedRequest) -> None:
        """Remove a queued request and free its concurrency slot."""
        pending.retries.pop(queued.ticket, None)
        if pending.queue.remove(str(queued.ticket)) is not None:
            self.customers.finish(queued.request.request_id)

    def _grant(
        self, request: interfaces.RouteRequest, now_ms: clock.Millis
    ) -> interfaces.Grant | None:
        """Return a grant if a target has capacity and may still be used."""
        for _ in range(_MAX_CHOICE_ROUNDS):
            if self.control.isolated:
                return None
            choice = self.pool.choose(request, now_ms)
            if choice is None:
                return None
            self.refresh(now_ms)
            if self.control.isolated:
                return None
            if self.pool.may_send(choice.target_id, request.model, now_ms):
                return self._open_grant(request, choice, now_ms)
        return None

    def _open_grant(
        self,
        request: interfaces.RouteRequest,
        choice: _records.Choice,
        now_ms: clock.Millis,
    ) -> interfaces.Grant:
        grant = interfaces.Grant(
            self._next_grant_id,
            request.request_id,
            choice.target_id,
            choice.url,
            choice.zone,
            request.attempt,
            now_ms + GRANT_LIFETIME_MS,
        )
        self._next_grant_id += 1
        base = self.pool.base_model(request.model) or request.model
        self._grants_by_id[grant.grant_id] = _OpenGrant(grant, base, now_ms)
        self.pool.sent(
            grant.grant_id, choice.target_id, request.prompt, now_ms
        )
        return grant

    def release(
        self,
        grant: interfaces.Grant,
        report: interfaces.AttemptReport,
        now_ms: clock.Millis,
    ) -> bool:
        """End an attempt; false if the grant was already released."""
        opened = self._grants_by_id.pop(grant.grant_id, None)
        if opened is None:
            return False
        self.pool.ended(
            grant.grant_id,
            opened.grant.target_id,
            opened.model,
            opened.sent_ms,
            report,
            now_ms,
        )
        return True

    def finish(self, request_id: str) -> None:
        """Free a request's concurrency slot; may be called repeatedly."""
        self.customers.finish(request_id)

    def may_retry(self, now_ms: clock.Millis) -> bool:
        """Spend one retry from the budget."""
        return self._retry_budget.try_spend(now_ms)

    def _admission_error(
        self, request: interfaces.RouteRequest
    ) -> errors.QuetzalwardError | None:
        """Return the error if this node cannot accept the request now."""
        if self._stopping and request.attempt == 1:
            return errors.QuetzalwardError(
                errors.ErrorKind.NODE_STOPPING, "this node is stopping"
            )
        isolation_error = self._isolation_error()
        if isolation_error is not None:
            return isolation_error
        base = self.pool.base_model(request.model)
        if base is None:
            return errors.QuetzalwardError(
                errors.ErrorKind.UNKNOWN_MODEL,
                f"unknown model, adapter or version {request.model!r}",
            )
        if not self.pool.has_group(base):
            return self._no_target_error(request)
        return None

    def _isolation_error(self) -> errors.QuetzalwardError | None:
        if not self.control.isolated:
            return None
        return errors.QuetzalwardError(
            errors.ErrorKind.NODE_ISOLATED,
            "neither the log nor a majority of nodes is reachable",
            limits.jittered_retry_after_ms(0, self._rng),
        )

    def _no_target_error(
        self, request: interfaces.RouteRequest
    ) -> errors.QuetzalwardError:
        return errors.QuetzalwardError(
            errors.ErrorKind.NO_TARGET,
            f"no replica of {request.model!r} is in service",
            limits.jittered_retry_after_ms(0, self._rng),
        )

    def _timeout_error(
        self, request: interfaces.RouteRequest, now_ms: clock.Millis
    ) -> errors.QuetzalwardError:
        """Return the error for a request that timed out in the queue."""
        base = self.pool.base_model(request.model)
        if base is None or not self.pool.any_eligible(base, now_ms):
            return self._no_target_error(request)
        kind = errors.ErrorKind.OVERLOADED
        if request.deadline_ms <= now_ms:
            kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        return errors.QuetzalwardError(
            kind,
            f"no replica of {request.model!r} had a free slot in time",
            limits.jittered_retry_after_ms(0, self._rng),
        )
