"""Dependencies shared by a node's tasks, and the context of a request."""

import time

import attrs

from quetzalward_core import clock
from quetzalward_core import draining
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import limits
from quetzalward_core import notices
from quetzalward_gateway import _attempts
from quetzalward_gateway import _crash_guard
from quetzalward_gateway import _http
from quetzalward_gateway import _log
from quetzalward_gateway import _memory
from quetzalward_gateway import _metrics
from quetzalward_gateway import _pacing
from quetzalward_gateway import _ports
from quetzalward_gateway import _responses
from quetzalward_gateway import _state
from quetzalward_gateway import _watched_store

_NANOS_PER_MILLI = 1_000_000


def boot_ms() -> clock.Millis:
    """Return the time since boot in milliseconds, including suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOS_PER_MILLI


@attrs.define
class Runtime:
    """Dependencies shared by the tasks and requests of a node."""

    platform: _ports.Platform
    state: _state.NodeState
    time: clock.Clock
    log: _log.EventLog
    metrics: _metrics.Metrics
    store: _watched_store.WatchedStore
    # Set once the node stops.
    drain: draining.Drain | None = None
    answer_memory: _memory.AnswerMemory = attrs.field(
        factory=_memory.AnswerMemory
    )
    costly_work: _pacing.CostlyWork = attrs.field(factory=_pacing.CostlyWork)
    # The admitted requests that are under way.
    calls: set["Call"] = attrs.field(factory=set)

    def now_ms(self) -> clock.Millis:
        """Return monotonic time in milliseconds."""
        return self.time.now_ms()

    @staticmethod
    def boot_ms() -> clock.Millis:
        """Return the time since boot in milliseconds, including suspension."""
        return boot_ms()


@attrs.frozen
class Refused:
    """Error with which the gateway itself answers a request."""

    kind: errors.ErrorKind
    reason: str
    retry_after_ms: clock.Millis | None = None


@attrs.define(eq=False)
class Call:
    """An admitted request with its route and deadline."""

    runtime: Runtime
    raw: _responses.RawRequest
    request: _ports.CallerRequest
    responder: _responses.Responder
    route: fleet.Route
    service: fleet.Service
    customer: fleet.Customer | None
    # Monotonic time by which the caller must have the complete answer.
    deadline_ms: clock.Millis
    # Whether a target may have received the request.
    is_sent: bool = False
    _guard: _crash_guard.CrashGuard | None = None

    @property
    def crash_guard(self) -> _crash_guard.CrashGuard:
        """Return what keeps the request from crashing more targets."""
        if self._guard is None:
            self._guard = _crash_guard.CrashGuard(
                self.runtime.state,
                self.runtime.time,
                self.service,
                self.customer,
                self.request,
                self.raw,
            )
        return self._guard

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is forwarded event by event.

        The route decides, also where its service has no engine.
        """
        return (
            self.service.engine is not None
            or self.route.kind is fleet.RequestKind.STREAMING
        )

    def remaining_ms(self) -> clock.Millis:
        """Return the time until the deadline; negative after it."""
        return self.deadline_ms - self.runtime.now_ms()

    def target_headers(
        self,
        target: fleet.Target,
        last_event_id: str | None,
    ) -> _http.Headers:
        """Return the headers of the request that is now sent to a target."""
        self.is_sent = True
        return self.runtime.platform.target_headers(
            self.request,
            target.id,
            max(1, self.remaining_ms()),
            self.customer.name if self.customer else None,
            last_event_id,
            len(self.raw.body),
        )

    def try_spend_retry(self) -> bool:
        """Use one retry of the service's budget; false if it is exhausted."""
        runtime = self.runtime
        return runtime.state.retry_budget(self.service.name).try_spend(
            runtime.now_ms(), runtime.state.node_count
        )

    def record_first_send(self, pool: limits.PoolKey) -> None:
        """Count the request as demand, and for the retry budget."""
        runtime = self.runtime
        runtime.state.target_limits.record_demand(pool, runtime.now_ms())
        runtime.state.retry_budget(self.service.name).record_request(
            runtime.now_ms()
        )

    def refusal_of_crash(self, may_have_run: bool) -> Refused:
        """Return the refusal of this request if targets crash under it."""
        reason = _crash_guard.BLOCKED_REASON
        if may_have_run:
            return Refused(errors.ErrorKind.TARGET_FAILED, reason)
        return Refused(
            errors.ErrorKind.PROMPT_BLOCKED,
            reason,
            self.crash_guard.retry_after_ms,
        )

    def withheld(self, target: fleet.Target) -> _attempts.Attempt | None:
        """Return a failed attempt if a target no longer takes requests.

        That may change while a connection is opened.
        """
        state = self.runtime.state
        verdict = state.admits_now(target, self.runtime.now_ms())
        if isinstance(verdict, notices.Allowed):
            return None
        return _attempts.Attempt(
            _attempts.Result.UNREACHABLE,
            f"nothing was sent, as the target is {verdict.reason.value}",
        )

    def observe_answer(
        self,
        target: fleet.Target,
        pool: limits.PoolKey,
        answer: _ports.TargetAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Record what a target's answer says of the target.

        `sent_ms` is when the request was sent.
        """
        self._observe_limit(target, pool, answer, sent_ms)
        notice = _attempts.target_notice(self.request, answer)
        if notice is not None:
            observe_notice(
                self.runtime,
                target.key,
                notice,
                source="answer",
                request=self.request.attempt_id.decode("latin-1"),
                status=answer.status,
                sent_age_ms=self.runtime.now_ms() - sent_ms,
            )

    def _observe_limit(
        self,
        target: fleet.Target,
        pool: limits.PoolKey,
        answer: _ports.TargetAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Record what a target's answer says of its limit.

        `sent_ms` is when the request was sent.
        """
        if answer.limit is None:
            self.log_event("limit_unreadable", target=target.id)
        notice = _attempts.limit_notice(self.request, answer)
        if notice is None:
            return
        state = self.runtime.state
        is_change = state.target_limits.observe(
            target.key, pool, notice, sent_ms, self.runtime.now_ms()
        )
        if is_change:
            if notice.per_s is not None:
                state.send_message_now = True
            self.log_event(
                "target_limit",
                target=target.id,
                limit_per_s=notice.per_s,
                source="answer",
            )

    def refuse(self, refused: Refused) -> None:
        """Answer the caller with an error of the gateway itself."""
        refuse(self.runtime, self.request, self.responder, refused, self.route)

    def log_event(self, event: str, **fields: object) -> None:
        """Log an event of this request."""
        self.runtime.log.event(
            event,
            request=self.request.attempt_id.decode("latin-1"),
            route=self.route.name,
            age_ms=self.runtime.now_ms() - self.raw.received_ms,
            **fields,
        )


def observe_notice(
    runtime: Runtime,
    key: limits.TargetKey,
    notice: notices.TargetNotice,
    **fields: object,
) -> None:
    """Record and log what a target says of itself, apart from its limit."""
    target_id, born_ms = key
    known, now_ms = runtime.state.notices, runtime.now_ms()
    if notice.is_leaving and known.observe_leaving(key):
        # The coordinator asks the targets that nodes report, and learns it
        # from the report of this one.
        runtime.state.suspects.add(target_id)
        runtime.state.send_message_now = True
        runtime.log.event(
            "target_leaving", target=target_id, born_ms=born_ms, **fields
        )
    unreadable = list(notice.unreadable)
    if notice.rest_ms is not None:
        if notice.rest_ms > notices.MAX_REST_MS:
            unreadable.append(f"rest of {notice.rest_ms} ms")
        elif known.observe_rest(key, notice.rest_ms, now_ms):
            runtime.log.event(
                "target_resting",
                target=target_id,
                born_ms=born_ms,
                rest_ms=notice.rest_ms,
                **fields,
            )
    if unreadable:
        runtime.log.event(
            "notice_unreadable",
            target=target_id,
            headers=unreadable,
            **fields,
        )


def refuse(
    runtime: Runtime,
    request: _ports.CallerRequest,
    responder: _responses.Responder,
    refused: Refused,
    route: fleet.Route | None = None,
) -> None:
    """Log and count a refused request, and answer it with an error."""
    answer = errors.PROBLEM_TYPES[refused.kind]
    configuration = runtime.state.configuration
    runtime.log.event(
        "refused",
        request=request.attempt_id.decode("latin-1"),
        route=route.name if route else None,
        kind=refused.kind.value,
        status=answer.status,
        reason=refused.reason,
        retry_after_ms=refused.retry_after_ms,
        version=configuration.version if configuration else None,
    )
    runtime.metrics.count("refused", refused.kind.value)
    headers = runtime.platform.refusal_headers(request, refused.retry_after_ms)
    responder.send_response(answer.status, headers, b"")
