"""Admission of a caller's request and dispatch to its service."""

import asyncio
import traceback

from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_gateway import _http
from quetzalward_gateway import _plain
from quetzalward_gateway import _ports
from quetzalward_gateway import _responses
from quetzalward_gateway import _runtime
from quetzalward_gateway import _stopping
from quetzalward_gateway import _streaming

# Deadline of a request whose headers state none.
DEFAULT_DEADLINE_MS = 30_000
# Retry-After of a request that another node, or this one shortly after, can
# serve.
ISOLATED_RETRY_AFTER_MS = 500


async def handle(
    runtime: _runtime.Runtime,
    raw: _responses.RawRequest,
    responder: _responses.Responder,
) -> None:
    """Serve a caller's request.

    An exception is logged and ends only this request; the caller gets
    the status of an internal error unless a response has been started.
    """
    try:
        request = runtime.platform.decode_request(
            raw.method, raw.target, raw.headers
        )
        runtime.state.request_count += 1
        call = _admit(runtime, raw, request, responder)
        if isinstance(call, _runtime.Refused):
            _runtime.refuse(runtime, request, responder, call)
            return
        await serve(call)
    except Exception as error:
        runtime.log.event(
            "internal_error",
            request=request_id(runtime, raw.method, raw.target, raw.headers),
            reason=traceback.format_exc(),
            error=repr(error),
        )
        if not responder.started:
            status = errors.PROBLEM_TYPES[errors.ErrorKind.INTERNAL].status
            responder.send_response(status, [], b"")


async def serve(call: _runtime.Call) -> None:
    """Serve an admitted request; answer it if the node ends it."""
    calls = call.runtime.calls
    calls.add(call)
    try:
        if call.is_stream:
            await _streaming.StreamExchange(call).run()
        else:
            await _plain.run(call)
    except asyncio.CancelledError:
        if not call.responder.is_open:
            # The caller has left.
            raise
        _stopping.end(call)
    finally:
        calls.discard(call)


def request_id(
    runtime: _runtime.Runtime,
    method: bytes,
    target: bytes,
    headers: _http.Headers,
) -> str | None:
    """Return the id of a request, `None` if it cannot be decoded."""
    try:
        request = runtime.platform.decode_request(method, target, headers)
    except Exception:
        return None
    return request.attempt_id.decode("latin-1")


def _admit(
    runtime: _runtime.Runtime,
    raw: _responses.RawRequest,
    request: _ports.CallerRequest,
    responder: _responses.Responder,
) -> _runtime.Call | _runtime.Refused:
    """Check the route and the API key, and set the request's deadline."""
    state = runtime.state
    configuration = state.configuration
    if configuration is None or not state.directory.complete:
        return _runtime.Refused(
            errors.ErrorKind.NODE_ISOLATED,
            "no configuration or list of targets has been read yet",
            ISOLATED_RETRY_AFTER_MS,
        )
    route = state.find_route(request.host, request.path)
    is_fresh = state.freshness.is_ready(runtime.boot_ms())
    if route is None:
        if not is_fresh:
            return _runtime.Refused(
                errors.ErrorKind.NODE_ISOLATED,
                "no route matches, but the configuration may be outdated",
                ISOLATED_RETRY_AFTER_MS,
            )
        return _runtime.Refused(
            errors.ErrorKind.NOT_FOUND, "no route matches the request"
        )
    customer = _check_key(runtime, configuration, route, request)
    if isinstance(customer, _runtime.Refused):
        return customer
    service = state.pick_service(route)
    if service is None:
        return _runtime.Refused(
            errors.ErrorKind.NO_TARGET,
            "the route has no service to send to",
            ISOLATED_RETRY_AFTER_MS,
        )
    timeout_ms = request.timeout_ms
    if timeout_ms is None:
        timeout_ms = DEFAULT_DEADLINE_MS
    timeout_ms = min(timeout_ms, route.timeout_ms or timeout_ms)
    call = _runtime.Call(
        runtime,
        raw,
        request,
        responder,
        route,
        service,
        customer,
        raw.received_ms + timeout_ms,
    )
    if runtime.drain is not None:
        return _stopping.admit(call, runtime.drain)
    return call


def _check_key(
    runtime: _runtime.Runtime,
    configuration: fleet.Configuration,
    route: fleet.Route,
    request: _ports.CallerRequest,
) -> fleet.Customer | None | _runtime.Refused:
    """Return the customer of a request's API key, `None` if none is needed.

    Returns a refusal if the key is unknown or cannot be checked. A
    configuration that requires keys but has none admits nobody.
    """
    if not configuration.requires_keys or route.anonymous:
        return None
    freshness = runtime.state.freshness
    if not freshness.may_serve_keys(runtime.boot_ms()):
        return _runtime.Refused(
            errors.ErrorKind.NODE_ISOLATED,
            "the configuration is too old to check API keys against it",
            ISOLATED_RETRY_AFTER_MS,
        )
    # An empty entry in the configuration must not admit requests without key.
    if request.api_key:
        customer = configuration.customer_by_key.get(request.api_key)
        if customer is not None:
            return customer
    if not freshness.is_ready(runtime.boot_ms()):
        return _runtime.Refused(
            errors.ErrorKind.NODE_ISOLATED,
            "unknown API key, but the configuration may be outdated",
            ISOLATED_RETRY_AFTER_MS,
        )
    return _runtime.Refused(
        errors.ErrorKind.UNAUTHENTICATED, "unknown API key"
    )
