"""HTTP reads with size limits, for engines and the host list."""

import functools
import http.client
import threading

import attrs
import urllib3
from urllib3 import connection

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 65_536
MAX_EVENTS_BYTES = 262_144
# Allows for growth over 5,700 hosts at about 150 bytes each.
MAX_HOSTS_BYTES = 4_194_304


@attrs.frozen
class Body:
    """A decoded body and the number of bytes read from the network."""

    data: bytes
    wire_bytes: int


# Scheme, host and port.
_Origin = tuple[str, str, int]


class FetchError(Exception):
    """A read failed; the message gives the reason."""


class Fetcher:
    """Reads URLs over persistent connections; safe for use by many threads.

    It has a connection pool of its own, as those of urllib3 take a third more
    time per read and polling is most of a node's control work.
    """

    def __init__(self, connections: int) -> None:
        """Keep at most `connections` idle connections."""
        self._max_idle = connections
        self._lock = threading.Lock()
        self._idle: dict[_Origin, connection.HTTPConnection] = {}

    def get(self, url: str, max_bytes: int) -> Body:
        """Return a body of at most `max_bytes` bytes.

        Raises `FetchError` on any fault or status other than 200.
        """
        origin, path = _split_url(url)
        conn = self._acquire(origin)
        try:
            body = self._read(conn, path, max_bytes)
        except (
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
            OSError,
        ) as error:
            conn.close()
            raise FetchError(f"{url}: {error}") from error
        except FetchError:
            conn.close()
            raise
        self._release(origin, conn)
        return body

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            conns = list(self._idle.values())
            self._idle.clear()
        for conn in conns:
            conn.close()

    @staticmethod
    def _read(
        conn: connection.HTTPConnection, path: str, max_bytes: int
    ) -> Body:
        """Send a request and read its answer to the end."""
        conn.request(
            "GET",
            path,
            headers={"Accept-Encoding": "gzip"},
            preload_content=False,
        )
        if conn.sock is not None:
            conn.sock.settimeout(READ_TIMEOUT_S)
        response = conn.getresponse()
        data = response.read(max_bytes + 1, decode_content=True)
        if response.status != 200 or len(data) > max_bytes:
            raise FetchError(
                f"unexpected answer: status {response.status}, "
                f"{len(data)} bytes read"
            )
        wire_bytes = response.tell()
        # The connection can be reused only after the answer was read in full.
        response.drain_conn()
        return Body(data, wire_bytes)

    def _acquire(self, origin: _Origin) -> connection.HTTPConnection:
        """Return an open idle connection, or a new one."""
        with self._lock:
            conn = self._idle.pop(origin, None)
        if conn is not None:
            if conn.is_connected:
                return conn
            conn.close()
        scheme, host, port = origin
        if scheme == "https":
            return connection.HTTPSConnection(
                host, port, timeout=CONNECT_TIMEOUT_S
            )
        return connection.HTTPConnection(host, port, timeout=CONNECT_TIMEOUT_S)

    def _release(
        self, origin: _Origin, conn: connection.HTTPConnection
    ) -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        with self._lock:
            if len(self._idle) < self._max_idle and origin not in self._idle:
                self._idle[origin] = conn
                return
        conn.close()


@functools.lru_cache(maxsize=1024)
def _split_url(url: str) -> tuple[_Origin, str]:
    """Return a URL's origin and its path with the query."""
    parts = urllib3.util.parse_url(url)
    scheme = parts.scheme or "http"
    port = parts.port or (443 if scheme == "https" else 80)
    host = (parts.host or "").strip("[]")
    return (scheme, host, port), parts.request_uri
