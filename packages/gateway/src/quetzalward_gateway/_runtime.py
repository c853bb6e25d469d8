"""What the tasks of a node share, and one request's context."""

import time

import attrs

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_gateway import _http
from quetzalward_gateway import _log
from quetzalward_gateway import _metrics
from quetzalward_gateway import _ports
from quetzalward_gateway import _server
from quetzalward_gateway import _state

_NANOS_PER_MILLI = 1_000_000


@attrs.define
class Runtime:
    """Dependencies of the request path."""

    platform: _ports.Platform
    state: _state.NodeState
    time: clock.Clock
    log: _log.EventLog
    metrics: _metrics.Metrics

    def now_ms(self) -> clock.Millis:
        """Return monotonic time."""
        return self.time.now_ms()

    @staticmethod
    def boot_ms() -> clock.Millis:
        """Return time that also counts while the machine is suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOS_PER_MILLI


@attrs.frozen
class Refused:
    """Why the gateway answers a request itself."""

    kind: errors.ErrorKind
    reason: str
    retry_after_ms: clock.Millis | None = None


@attrs.define
class Call:
    """A request that was admitted, with its route and deadline."""

    runtime: Runtime
    raw: _server.RawRequest
    request: _ports.CallerRequest
    responder: _server.Responder
    route: fleet.Route
    service: fleet.Service
    customer: fleet.Customer | None
    # Monotonic time by which the caller has its final answer.
    until_ms: clock.Millis

    def left_ms(self) -> clock.Millis:
        """Return the time left."""
        return self.until_ms - self.runtime.now_ms()

    def target_headers(
        self,
        target: fleet.Target,
        last_event_id: str | None,
    ) -> _http.Headers:
        """Return the headers of a send to a target."""
        return self.runtime.platform.target_headers(
            self.request,
            target.id,
            max(1, self.left_ms()),
            self.customer.name if self.customer else None,
            last_event_id,
            len(self.raw.body),
        )

    def may_repeat(self) -> bool:
        """Take one repeated send from the service's budget."""
        runtime = self.runtime
        return runtime.state.repeat_budget(self.service.name).try_spend(
            runtime.now_ms(), runtime.state.nodes
        )

    def first_send(self) -> None:
        """Count the first send towards the budget."""
        runtime = self.runtime
        runtime.state.repeat_budget(self.service.name).record_request(
            runtime.now_ms()
        )

    def refuse(self, refused: Refused) -> None:
        """Answer the caller in the gateway's own name."""
        refuse(self.runtime, self.request, self.responder, refused, self.route)

    def note(self, event: str, **fields: object) -> None:
        """Log a decision about this request."""
        self.runtime.log.event(
            event,
            request=self.request.attempt_id.decode("latin-1"),
            route=self.route.name,
            age_ms=self.runtime.now_ms() - self.raw.received_ms,
            **fields,
        )


def refuse(
    runtime: Runtime,
    request: _ports.CallerRequest,
    responder: _server.Responder,
    refused: Refused,
    route: fleet.Route | None = None,
) -> None:
    """Answer a request with the status of an error kind."""
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
