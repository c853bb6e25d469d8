"""Client of the nodes' operators' API."""

import json
import os
import pathlib
import typing

import attrs
import urllib3

from quetzalward_core import errors

NODES_VARIABLE = "QUETZALWARD_NODES"
TOKEN_FILE_VARIABLE = "QUETZALWARD_TOKEN_FILE"
CA_FILE_VARIABLE = "QUETZALWARD_CA_FILE"
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 30.0
HTTP_OK_LIMIT = 300

Json = typing.Any


class LostAnswer(Exception):
    """A request was sent and its answer did not arrive."""


@attrs.frozen
class Access:
    """Where the nodes are and how to show who asks."""

    nodes: tuple[str, ...]
    token: str
    ca_file: str | None = None


def access_from(
    node: str | None, token_file: str | None, ca_file: str | None
) -> Access:
    """Build the access from options, falling back to the environment.

    Raises `QuetzalwardError` of kind `malformed_request` if one is missing.
    """
    nodes = node or os.environ.get(NODES_VARIABLE, "")
    path = token_file or os.environ.get(TOKEN_FILE_VARIABLE)
    if not nodes or not path:
        raise errors.QuetzalwardError(
            errors.ErrorKind.MALFORMED_REQUEST,
            f"give --node and --token-file, or set {NODES_VARIABLE} and"
            f" {TOKEN_FILE_VARIABLE}",
        )
    try:
        token = pathlib.Path(path).read_text().strip()
    except OSError as error:
        raise errors.QuetzalwardError(
            errors.ErrorKind.MALFORMED_REQUEST, f"{path}: {error.strerror}"
        ) from error
    urls = tuple(
        url.strip().rstrip("/") for url in nodes.split(",") if url.strip()
    )
    ca = ca_file or os.environ.get(CA_FILE_VARIABLE)
    return Access(urls, token, ca)


def _error_from(status: int, body: Json) -> errors.QuetzalwardError:
    fields = body if isinstance(body, dict) else {}
    try:
        kind = errors.ErrorKind(fields.get("kind", ""))
    except ValueError:
        kind = errors.ErrorKind.INTERNAL
    detail = str(fields.get("detail", f"HTTP status {status}"))
    return errors.QuetzalwardError(kind, detail)


class OperatorClient:
    """Sends requests to the first node that answers."""

    def __init__(self, access: Access) -> None:
        """Use the nodes in the given order."""
        self._access = access
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
        )
        self._pool = urllib3.PoolManager(
            timeout=timeout, retries=False, ca_certs=access.ca_file
        )

    @property
    def nodes(self) -> tuple[str, ...]:
        """Return the base URLs of the nodes' operators' API."""
        return self._access.nodes

    def request_at(
        self, node: str, method: str, path: str, body: Json = None
    ) -> Json:
        """Send one request to one node and return the decoded answer.

        Raises `LostAnswer` if the request may have taken effect without an
        answer, `OSError` if no connection was made, and `QuetzalwardError`
        for a problem that the node reports.
        """
        headers = {"Authorization": f"Bearer {self._access.token}"}
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            answer = self._pool.request(
                method, node + path, body=data, headers=headers
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise OSError(f"{node}: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise LostAnswer(f"{node}: {error}") from error
        return self._decode(answer)

    @staticmethod
    def _decode(answer: urllib3.BaseHTTPResponse) -> Json:
        try:
            value = json.loads(answer.data) if answer.data else None
        except ValueError:
            value = None
        if answer.status >= HTTP_OK_LIMIT:
            raise _error_from(answer.status, value)
        return value

    def request(self, method: str, path: str, body: Json = None) -> Json:
        """Send a request to the first node that can be reached.

        Raises as `request_at`; `log_unavailable` if no node was reached.
        """
        causes = []
        for node in self.nodes:
            try:
                return self.request_at(node, method, path, body)
            except OSError as error:
                causes.append(str(error))
            except LostAnswer:
                if method != "GET":
                    raise
        raise errors.QuetzalwardError(
            errors.ErrorKind.LOG_UNAVAILABLE,
            "no node answered: " + "; ".join(causes),
        )

    def get(self, path: str) -> Json:
        """Return the decoded answer of a GET."""
        return self.request("GET", path)
