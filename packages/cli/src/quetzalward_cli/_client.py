"""HTTP client for the operators' API of the nodes."""

import json
import os
import pathlib
import typing

import attrs
import urllib3

from quetzalward_core import errors

NODES_ENV_VAR = "QUETZALWARD_NODES"
TOKEN_FILE_ENV_VAR = "QUETZALWARD_TOKEN_FILE"
CA_FILE_ENV_VAR = "QUETZALWARD_CA_FILE"
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 30.0
MIN_NON_SUCCESS_STATUS = 300

Json = typing.Any


class ResponseLostError(Exception):
    """A request was sent but no response arrived; it may have taken effect."""


@attrs.frozen
class ConnectionSettings:
    """Base URLs of the nodes, the operator's token and the CA file."""

    node_urls: tuple[str, ...]
    token: str
    ca_file: str | None = None


def connection_settings(
    node: str | None, token_file: str | None, ca_file: str | None
) -> ConnectionSettings:
    """Return connection settings from options or environment variables.

    An option takes precedence over its variable. Raises `QuetzalwardError` of
    kind `malformed_request` if the nodes or the token file are not given or
    the token file cannot be read.
    """
    node_list = node or os.environ.get(NODES_ENV_VAR, "")
    path = token_file or os.environ.get(TOKEN_FILE_ENV_VAR)
    if not node_list or not path:
        raise errors.QuetzalwardError(
            errors.ErrorKind.MALFORMED_REQUEST,
            f"give --node and --token-file, or set {NODES_ENV_VAR} and"
            f" {TOKEN_FILE_ENV_VAR}",
        )
    try:
        token = pathlib.Path(path).read_text().strip()
    except OSError as error:
        raise errors.QuetzalwardError(
            errors.ErrorKind.MALFORMED_REQUEST, f"{path}: {error.strerror}"
        ) from error
    urls = tuple(
        url.strip().rstrip("/") for url in node_list.split(",") if url.strip()
    )
    ca = ca_file or os.environ.get(CA_FILE_ENV_VAR)
    return ConnectionSettings(urls, token, ca)


def _parse_error(status: int, body: Json) -> errors.QuetzalwardError:
    fields = body if isinstance(body, dict) else {}
    try:
        kind = errors.ErrorKind(fields.get("kind", ""))
    except ValueError:
        kind = errors.ErrorKind.INTERNAL
    detail = str(fields.get("detail", f"HTTP status {status}"))
    return errors.QuetzalwardError(kind, detail)


class OperatorClient:
    """Sends requests to the first reachable node, or to a given one."""

    def __init__(self, settings: ConnectionSettings) -> None:
        """Create a client that tries the nodes in the given order."""
        self._settings = settings
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
        )
        self._pool = urllib3.PoolManager(
            timeout=timeout, retries=False, ca_certs=settings.ca_file
        )

    @property
    def node_urls(self) -> tuple[str, ...]:
        """Return the base URLs of the operators' API, one per node."""
        return self._settings.node_urls

    def request_node(
        self, node_url: str, method: str, path: str, body: Json = None
    ) -> Json:
        """Send one request to one node and return the decoded response.

        Raises `ResponseLostError` if the request was sent but no response
        arrived, so that it may have taken effect; `OSError` if no connection
        was established; and `QuetzalwardError` if the node reports an error.
        """
        headers = {"Authorization": f"Bearer {self._settings.token}"}
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            response = self._pool.request(
                method, node_url + path, body=data, headers=headers
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise OSError(f"{node_url}: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise ResponseLostError(f"{node_url}: {error}") from error
        return self._decode_response(response)

    @staticmethod
    def _decode_response(response: urllib3.BaseHTTPResponse) -> Json:
        try:
            value = json.loads(response.data) if response.data else None
        except ValueError:
            value = None
        if response.status >= MIN_NON_SUCCESS_STATUS:
            raise _parse_error(response.status, value)
        return value

    def request(self, method: str, path: str, body: Json = None) -> Json:
        """Send a request to the first node that can be reached.

        Raises the errors of `request_node`, except `OSError`: if no node
        responds, `QuetzalwardError` of kind `log_unavailable`. A GET whose
        response is lost is sent to the next node.
        """
        causes = []
        for node_url in self.node_urls:
            try:
                return self.request_node(node_url, method, path, body)
            except OSError as error:
                causes.append(str(error))
            except ResponseLostError:
                if method != "GET":
                    raise
        raise errors.QuetzalwardError(
            errors.ErrorKind.LOG_UNAVAILABLE,
            "no node answered: " + "; ".join(causes),
        )

    def get(self, path: str) -> Json:
        """Send a GET request and return the decoded response."""
        return self.request("GET", path)
