"""Bounded HTTP reads of engines and the host list."""

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
# 5,700 hosts at about 150 bytes each, with room to grow.
MAX_HOSTS_BYTES = 4_194_304


@attrs.frozen
class Body:
    """A body and the bytes it took on the network."""

    data: bytes
    wire_bytes: int


# Scheme, host and port.
_Origin = tuple[str, str, int]


class FetchError(Exception):
    """A read failed; the message says how."""


class Fetcher:
    """Reads URLs over kept connections; used by several threads.

    It keeps connections itself: the pools of urllib3 take a third more time
    per read, and polling is most of a node's control work.
    """

    def __init__(self, connections: int) -> None:
        """Keep at most `connections` idle connections."""
        self._most = connections
        self._lock = threading.Lock()
        self._idle: dict[_Origin, connection.HTTPConnection] = {}

    def get(self, url: str, limit: int) -> Body:
        """Return a body of at most `limit` bytes.

        Raises `FetchError` on any fault or status other than 200.
        """
        origin, path = _split(url)
        link = self._take(origin)
        try:
            body = self._read(link, path, limit)
        except (
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
            OSError,
        ) as error:
            link.close()
            raise FetchError(f"{url}: {error}") from error
        except FetchError:
            link.close()
            raise
        self._give_back(origin, link)
        return body

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            links = list(self._idle.values())
            self._idle.clear()
        for link in links:
            link.close()

    @staticmethod
    def _read(link: connection.HTTPConnection, path: str, limit: int) -> Body:
        """Send one request and read its answer to the end."""
        link.request(
            "GET",
            path,
            headers={"Accept-Encoding": "gzip"},
            preload_content=False,
        )
        if link.sock is not None:
            link.sock.settimeout(READ_TIMEOUT_S)
        response = link.getresponse()
        data = response.read(limit + 1, decode_content=True)
        if response.status != 200 or len(data) > limit:
            raise FetchError(f"status {response.status}, {len(data)} bytes")
        wire_bytes = response.tell()
        # Reads up to the end, so that the connection can be used again.
        response.drain_conn()
        return Body(data, wire_bytes)

    def _take(self, origin: _Origin) -> connection.HTTPConnection:
        """Return an idle connection that is still open, or a new one."""
        with self._lock:
            link = self._idle.pop(origin, None)
        if link is not None:
            if link.is_connected:
                return link
            link.close()
        scheme, host, port = origin
        if scheme == "https":
            return connection.HTTPSConnection(
                host, port, timeout=CONNECT_TIMEOUT_S
            )
        return connection.HTTPConnection(host, port, timeout=CONNECT_TIMEOUT_S)

    def _give_back(
        self, origin: _Origin, link: connection.HTTPConnection
    ) -> None:
        """Keep a connection for the next read of its origin."""
        with self._lock:
            if len(self._idle) < self._most and origin not in self._idle:
                self._idle[origin] = link
                return
        link.close()


@functools.lru_cache(maxsize=1024)
def _split(url: str) -> tuple[_Origin, str]:
    """Return a URL's origin and the path to ask for."""
    parts = urllib3.util.parse_url(url)
    scheme = parts.scheme or "http"
    port = parts.port or (443 if scheme == "https" else 80)
    host = (parts.host or "").strip("[]")
    return (scheme, host, port), parts.request_uri
