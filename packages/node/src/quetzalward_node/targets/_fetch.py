"""Bounded HTTP reads of engines and the host list."""

import attrs
import urllib3

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


class FetchError(Exception):
    """A read failed; the message says how."""


class Fetcher:
    """Reads URLs over kept connections; used by several threads."""

    def __init__(self, connections: int) -> None:
        """Keep one connection per address, `connections` addresses."""
        self._pools = urllib3.PoolManager(
            num_pools=connections,
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )

    def get(self, url: str, limit: int) -> Body:
        """Return a body of at most `limit` bytes.

        Raises `FetchError` on any fault or status other than 200.
        """
        try:
            response = self._pools.request(
                "GET",
                url,
                headers={"Accept-Encoding": "gzip"},
                preload_content=False,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise FetchError(f"{url}: {error}") from error
        try:
            data = response.read(limit + 1, decode_content=True)
            if response.status != 200 or len(data) > limit:
                response.close()
                raise FetchError(
                    f"{url}: status {response.status}, {len(data)} bytes"
                )
            # Reads up to the end, so that the connection can be used again.
            response.drain_conn()
            return Body(data, response.tell())
        except (urllib3.exceptions.HTTPError, OSError) as error:
            response.close()
            raise FetchError(f"{url}: {error}") from error
        finally:
            response.release_conn()

    def close(self) -> None:
        """Close all connections."""
        self._pools.clear()
