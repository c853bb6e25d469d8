"""State of the dispatch task: admission, queues and grants.

Pure apart from the control source, which it reads again before each grant.
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

# Time a request thread has to send an attempt after its grant.
GRANT_LIFETIME_MS = 1_000
# The control view may change between choice and grant; a few rounds suffice.
_MAX_ROUNDS = 4

Outcome = interfaces.Grant | errors.QuetzalwardError


@attrs.frozen
class _Waiting:
    """A request in a queue."""

    ticket: int
    request: interfaces.RouteRequest
    until_ms: clock.Millis


@attrs.frozen
class _Open:
    """A grant that was not released."""

    grant: interfaces.Grant
    model: str
    sent_ms: clock.Millis


@attrs.define
class _Line:
    """Requests that wait for a target of one model."""

    retries: dict[int, _Waiting] = attrs.field(factory=dict)
    queue: limits.FairQueue[_Waiting] = attrs.field(factory=limits.FairQueue)
    drain: limits.DrainRate = attrs.field(factory=limits.DrainRate)


class DispatchState:
    """Decides on every draft of one node."""

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
        self._budget = limits.RetryBudget(
            self.control.configuration.limits.retry_budget_percent
        )
        self._lines: dict[str, _Line] = {}
        self._open: dict[int, _Open] = {}
        self._next_grant = 1
        self._stopping = False

    def stop(self) -> None:
        """Refuse new work from now on; queued and running work goes on."""
        self._stopping = True

    @property
    def open_grants(self) -> int:
        """Return the number of grants that were not released."""
        return len(self._open)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(
            len(line.queue) + len(line.retries)
            for line in self._lines.values()
        )

    def refresh(self, now_ms: clock.Millis) -> None:
        """Apply the newest control view."""
        self.control = self._source.view()
        self.pool.apply_control(self.control, now_ms)
        percent = self.control.configuration.limits.retry_budget_percent
        self._budget.configure(percent)

    def submit(
        self,
        ticket: int,
        request: interfaces.RouteRequest,
        now_ms: clock.Millis,
    ) -> Outcome | None:
        """Return a grant or error for a request, or `None` once queued."""
        self.refresh(now_ms)
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        line = self._lines.setdefault(request.model, _Line())
        if request.attempt > 1:
            return self._submit_retry(ticket, request, line, now_ms)
        self._budget.record_request(now_ms)
        over = self.customers.admit(
            request.customer, request.request_id, self.control, now_ms
        )
        if over is not None:
            return over
        if not len(line.queue) and not line.retries:
            grant = self._grant(request, now_ms)
            if grant is not None:
                return grant
        return self._enqueue(ticket, request, line, now_ms)

    def _submit_retry(
        self,
        ticket: int,
        request: interfaces.RouteRequest,
        line: _Line,
        now_ms: clock.Millis,
    ) -> Outcome | None:
        """Serve a later attempt ahead of the queue."""
        grant = self._grant(request, now_ms)
        if grant is not None:
            return grant
        until_ms = self._wait_limit(request, now_ms)
        if until_ms <= now_ms:
            return self._timed_out(request, now_ms)
        line.retries[ticket] = _Waiting(ticket, request, until_ms)
        return None

    def _enqueue(
        self,
        ticket: int,
        request: interfaces.RouteRequest,
        line: _Line,
        now_ms: clock.Millis,
    ) -> Outcome | None:
        """Queue a first attempt unless it would miss its deadline."""
        settings = _customers.settings_of(
            request.customer, self.control.configuration
        )
        priority = settings.priority + request.priority
        cost = float(
            request.max_tokens + routing.token_count(request.prompt) // 8
        )
        ahead = 1 + line.queue.position(
            request.customer, priority, settings.weight, cost
        )
        rejection = self._early_rejection(request, line, ahead, now_ms)
        if rejection is not None:
            self.customers.finish(request.request_id)
            return errors.QuetzalwardError(
                rejection.kind,
                f"{ahead} requests for {request.model!r} wait ahead",
                rejection.retry_after_ms,
            )
        waiting = _Waiting(ticket, request, self._wait_limit(request, now_ms))
        line.queue.push(
            str(ticket),
            waiting,
            request.customer,
            priority,
            settings.weight,
            cost,
        )
        return None

    def _early_rejection(
        self,
        request: interfaces.RouteRequest,
        line: _Line,
        ahead: int,
        now_ms: clock.Millis,
    ) -> limits.Rejection | None:
        """Return a rejection if the queue is too long for a request."""
        settings = self.control.configuration
        if settings.routing.policy == "random":
            return None
        base = self.pool.base_model(request.model) or request.model
        return limits.check_wait(
            line.drain.expected_wait_ms(ahead, now_ms),
            self.pool.first_token_ms(base),
            now_ms,
            request.deadline_ms,
            settings.limits.max_queue_ms,
            self._rng,
        )

    def _wait_limit(
        self, request: interfaces.RouteRequest, now_ms: clock.Millis
    ) -> clock.Millis:
        """Return when a request stops waiting for a target."""
        longest_ms = self.control.configuration.limits.max_queue_ms
        return min(request.deadline_ms, now_ms + longest_ms)

    def tick(self, now_ms: clock.Millis) -> list[tuple[int, Outcome]]:
        """Serve and expire queued requests; return tickets with outcomes."""
        self.refresh(now_ms)
        outcomes: list[tuple[int, Outcome]] = []
        for line in self._lines.values():
            self._expire(line, now_ms, outcomes)
            self._serve(line, now_ms, outcomes)
        return outcomes

    def _expire(
        self,
        line: _Line,
        now_ms: clock.Millis,
        outcomes: list[tuple[int, Outcome]],
    ) -> None:
        """Answer requests that waited too long or may not start here."""
        waiting = [*line.retries.values(), *line.queue.items()]
        for one in waiting:
            error = self._isolated()
            if error is None and one.until_ms <= now_ms:
                error = self._timed_out(one.request, now_ms)
            if error is not None:
                self._drop(line, one)
                outcomes.append((one.ticket, error))

    def _serve(
        self,
        line: _Line,
        now_ms: clock.Millis,
        outcomes: list[tuple[int, Outcome]],
    ) -> None:
        """Give free targets to waiting requests, retries first."""
        for one in list(line.retries.values()):
            grant = self._grant(one.request, now_ms)
            if grant is not None:
                del line.retries[one.ticket]
                outcomes.append((one.ticket, grant))
        head = line.queue.peek()
        while head is not None:
            grant = self._grant(head.request, now_ms)
            if grant is None:
                return
            line.queue.pop()
            line.drain.record_departure(now_ms, bool(len(line.queue)))
            outcomes.append((head.ticket, grant))
            head = line.queue.peek()

    def withdraw(self, ticket: int) -> None:
        """Forget a queued request whose caller gave up."""
        for line in self._lines.values():
            retry = line.retries.pop(ticket, None)
            queued = line.queue.remove(str(ticket))
            if queued is not None:
                self.customers.finish(queued.request.request_id)
            if retry is not None or queued is not None:
                return

    def _drop(self, line: _Line, one: _Waiting) -> None:
        """Remove a queued request and free what it holds."""
        line.retries.pop(one.ticket, None)
        if line.queue.remove(str(one.ticket)) is not None:
            self.customers.finish(one.request.request_id)

    def _grant(
        self, request: interfaces.RouteRequest, now_ms: clock.Millis
    ) -> interfaces.Grant | None:
        """Return a grant if a target is free and every rule still holds."""
        for _ in range(_MAX_ROUNDS):
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
            self._next_grant,
            request.request_id,
            choice.target_id,
            choice.url,
            choice.zone,
            request.attempt,
            now_ms + GRANT_LIFETIME_MS,
        )
        self._next_grant += 1
        base = self.pool.base_model(request.model) or request.model
        self._open[grant.grant_id] = _Open(grant, base, now_ms)
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
        """End an attempt; false if the grant was released before."""
        opened = self._open.pop(grant.grant_id, None)
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
        """Free the customer's place of a request; may be repeated."""
        self.customers.finish(request_id)

    def may_retry(self, now_ms: clock.Millis) -> bool:
        """Spend one retry from the budget."""
        return self._budget.try_spend(now_ms)

    def _refusal(
        self, request: interfaces.RouteRequest
    ) -> errors.QuetzalwardError | None:
        """Return why this node takes no such request now."""
        if self._stopping and request.attempt == 1:
            return errors.QuetzalwardError(
                errors.ErrorKind.NODE_STOPPING, "this node is stopping"
            )
        isolated = self._isolated()
        if isolated is not None:
            return isolated
        base = self.pool.base_model(request.model)
        if base is None:
            return errors.QuetzalwardError(
                errors.ErrorKind.UNKNOWN_MODEL,
                f"no model, adapter or version {request.model!r}",
            )
        if not self.pool.has_group(base):
            return self._no_target(request)
        return None

    def _isolated(self) -> errors.QuetzalwardError | None:
        if not self.control.isolated:
            return None
        return errors.QuetzalwardError(
            errors.ErrorKind.NODE_ISOLATED,
            "neither the log nor a majority of nodes is reachable",
            limits.jittered_retry_after_ms(0, self._rng),
        )

    def _no_target(
        self, request: interfaces.RouteRequest
    ) -> errors.QuetzalwardError:
        return errors.QuetzalwardError(
            errors.ErrorKind.NO_TARGET,
            f"no replica of {request.model!r} is in service",
            limits.jittered_retry_after_ms(0, self._rng),
        )

    def _timed_out(
        self, request: interfaces.RouteRequest, now_ms: clock.Millis
    ) -> errors.QuetzalwardError:
        """Return the error for a request that found no free target."""
        base = self.pool.base_model(request.model)
        if base is None or not self.pool.any_present(base, now_ms):
            return self._no_target(request)
        kind = errors.ErrorKind.OVERLOADED
        if request.deadline_ms <= now_ms:
            kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        return errors.QuetzalwardError(
            kind,
            f"no replica of {request.model!r} became free in time",
            limits.jittered_retry_after_ms(0, self._rng),
        )
