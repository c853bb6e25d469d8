"""HTTP server of the operators' port."""

import json
import re
import typing

import attrs
from cheroot import wsgi
import logbook

from quetzalward_core import errors
from quetzalward_node import _problems
from quetzalward_node.operators import _api
from quetzalward_node.operators import _auth

_LOG = logbook.Logger(__name__)
THREADS = 8
MAX_BODY_BYTES = 8 * 1_048_576
MAX_HEADER_BYTES = 32_768
SOCKET_TIMEOUT_S = 10
SHUTDOWN_TIMEOUT_S = 2

Environ = dict[str, typing.Any]
Reply = tuple[int, str, bytes, dict[str, str]]
_JSON = "application/json"
_TEXT = "text/plain; charset=utf-8"


@attrs.frozen
class Observability:
    """Sources of readiness, metrics and trace spans.

    Readiness and metrics are served without authentication.
    """

    not_ready: typing.Callable[[], list[str]]
    metrics_text: typing.Callable[[], str]
    metrics_content_type: str
    spans: typing.Callable[[str], list[dict[str, typing.Any]]]


@attrs.frozen
class _Route:
    method: str
    pattern: re.Pattern[str]
    handler: typing.Callable[..., typing.Any]
    # Whether the handler takes the operator's name and the body.
    takes_operator_and_body: bool


def _wsgi_status(status: int) -> str:
    return f"{status} {'OK' if status < 300 else 'Error'}"


class _HttpServer(wsgi.Server):
    """HTTP server whose library's messages are logged escaped."""

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of the HTTP library."""
        _LOG.debug("operators' port: {!r}", msg)


class OperatorsServer:
    """Serves health, metrics and the operators' API on one address."""

    def __init__(
        self,
        address: tuple[str, int],
        api: _api.OperatorsApi,
        observability: Observability,
        bootstrap_sha256: str | None,
        tls: typing.Any = None,
    ) -> None:
        """Create the server; `prepare` binds its address."""
        self._api = api
        self._observability = observability
        self._bootstrap_sha256 = bootstrap_sha256
        self._routes = _routes(api, observability)
        self._server = _HttpServer(
            address,
            self._application,
            numthreads=THREADS,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.ssl_adapter = tls

    @property
    def port(self) -> int:
        """Return the bound port, after `prepare`."""
        return int(self._server.bind_addr[1])

    def prepare(self) -> None:
        """Bind the address.

        Raises `OSError` if the address is in use.
        """
        self._server.prepare()

    def serve(self) -> None:
        """Serve until `stop`; runs in a thread of its own."""
        self._server.serve()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _application(
        self, environ: Environ, start_response: typing.Any
    ) -> list[bytes]:
        try:
            status, content_type, body, extra = self._answer(environ)
        except errors.QuetzalwardError as error:
            status, content_type, body, extra = _problem(error)
        except Exception as error:
            _LOG.exception("unhandled exception in the operators' API")
            status, content_type, body, extra = _problem(
                errors.QuetzalwardError(
                    errors.ErrorKind.INTERNAL, type(error).__name__
                )
            )
        headers = {
            "Content-Type": content_type,
            "Content-Length": str(len(body)),
            **extra,
        }
        start_response(_wsgi_status(status), list(headers.items()))
        return [body]

    def _answer(self, environ: Environ) -> Reply:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/healthz":
            return 200, _TEXT, b"ok\n", {}
        if path == "/readyz":
            return self._readiness()
        if path == "/metrics":
            text = self._observability.metrics_text().encode()
            return 200, self._observability.metrics_content_type, text, {}
        operator = _auth.authenticate(
            environ.get("HTTP_AUTHORIZATION", ""),
            self._api.configuration(),
            self._bootstrap_sha256,
        )
        value = self._route(method, path, operator, environ)
        return 200, _JSON, json.dumps(value).encode(), {}

    def _readiness(self) -> Reply:
        reasons = self._observability.not_ready()
        if not reasons:
            return 200, _TEXT, b"ready\n", {}
        return 503, _TEXT, ("\n".join(reasons) + "\n").encode(), {}

    def _route(
        self, method: str, path: str, operator: str, environ: Environ
    ) -> typing.Any:
        path_matched = False
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            path_matched = True
            if route.method != method:
                continue
            if not route.takes_operator_and_body:
                return route.handler(*match.groups())
            return route.handler(operator, *match.groups(), _body(environ))
        kind = errors.ErrorKind.NOT_FOUND
        if path_matched:
            kind = errors.ErrorKind.METHOD_NOT_ALLOWED
        raise errors.QuetzalwardError(kind, f"{method} {path!r:.200}")


def _routes(
    api: _api.OperatorsApi, observability: Observability
) -> tuple[_Route, ...]:
    def spans(request_id: str) -> dict[str, typing.Any]:
        return {"spans": observability.spans(request_id)}

    def drain(operator: str, body: typing.Any) -> dict[str, typing.Any]:
        del operator, body
        return api.start_drain()

    table: tuple[tuple[str, str, typing.Callable[..., typing.Any]], ...] = (
        ("GET", r"/config", api.show_config),
        ("POST", r"/config", api.publish),
        ("GET", r"/config/history", api.history),
        ("GET", r"/nodes", api.nodes),
        ("GET", r"/zones", api.zones),
        ("POST", r"/zones/([^/]+)", api.set_zone),
        ("GET", r"/targets", api.list_targets),
        ("POST", r"/targets/([^/]+)", api.set_target),
        ("GET", r"/groups", api.groups),
        ("GET", r"/groups/([^/]+)", api.explain_group),
        ("GET", r"/status", api.status),
        ("GET", r"/traces/([^/]+)", spans),
        ("POST", r"/drain", drain),
    )
    return tuple(
        _Route(
            method,
            re.compile("/operators/v1" + path),
            handler,
            method == "POST",
        )
        for method, path, handler in table
    )


def _body(environ: Environ) -> typing.Any:
    data = environ["wsgi.input"].read()
    if not data:
        return None
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise errors.QuetzalwardError(
            errors.ErrorKind.MALFORMED_REQUEST,
            f"body is not valid JSON: {error!s:.200}",
        ) from error


def _problem(error: errors.QuetzalwardError) -> Reply:
    status, headers, body = _problems.render(error)
    extra = dict(headers)
    return status, extra.pop("Content-Type"), body, extra
