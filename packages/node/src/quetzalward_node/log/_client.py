"""HTTP client of the platform's log."""

import json
import typing

import attrs
import urllib3

from quetzalward_core import clock

CONNECT_TIMEOUT_MS = 1_000
# Read timeout beyond the time for which the log was asked to wait.
READ_TIMEOUT_MARGIN_MS = 2_000
APPEND_TIMEOUT_MS = 2_000
_POOL_SIZE = 4


class LogReadError(Exception):
    """A read failed; retry after a pause."""


class ExpiredError(Exception):
    """The requested records have expired; bootstrap from a snapshot."""

    def __init__(self, first: int, next_offset: int) -> None:
        """Hold the oldest available offset and the next to be written."""
        super().__init__(f"records before offset {first} have expired")
        self.first = first
        self.next_offset = next_offset


class NotAppendedError(Exception):
    """The append certainly had no effect; retry after a pause."""


class AppendRefusedError(NotAppendedError):
    """The log rejected the batch permanently; do not retry."""


class UncertainAppendError(Exception):
    """The append may have had an effect; read the log to find out."""


@attrs.frozen
class Record:
    """One record; `time_ms` is the append time by the log's clock."""

    offset: int
    batch_id: str
    data: str
    time_ms: int


@attrs.frozen
class Page:
    """Records returned by one read, and the bounds of the stream."""

    first: int
    next_offset: int
    records: tuple[Record, ...]


class LogStore(typing.Protocol):
    """An append-only log of several streams."""

    def append(self, stream: str, batch_id: str, data: str) -> int:
        """Append a record and return its offset.

        Raises `NotAppendedError`, `AppendRefusedError` or
        `UncertainAppendError`.
        """

    def read(
        self, stream: str, start: int, limit: int, wait_ms: clock.Millis
    ) -> Page:
        """Read up to `limit` records from an offset.

        Waits up to `wait_ms` if there are none yet.

        Raises `ExpiredError` or `LogReadError`.
        """


class HttpLogStore:
    """Log store over HTTP.

    The retries of the HTTP library are disabled, because they would hide
    whether an append was sent.
    """

    def __init__(self, base_url: str) -> None:
        """Use the log at a base URL such as `http://127.0.0.1:9000`."""
        self._base_url = base_url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=_POOL_SIZE, retries=False)

    def append(self, stream: str, batch_id: str, data: str) -> int:
        """Append a record; see `LogStore.append`."""
        body = json.dumps({"id": batch_id, "data": data}).encode()
        try:
            response = self._pool.request(
                "POST",
                self._url(stream),
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=_timeout(APPEND_TIMEOUT_MS),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise NotAppendedError(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise UncertainAppendError(str(error)) from error
        return _parse_append_response(response.status, response.data)

    def read(
        self, stream: str, start: int, limit: int, wait_ms: clock.Millis
    ) -> Page:
        """Read records; see `LogStore.read`."""
        try:
            response = self._pool.request(
                "GET",
                self._url(stream),
                fields={
                    "from": str(start),
                    "limit": str(limit),
                    "wait_ms": str(wait_ms),
                },
                timeout=_timeout(wait_ms + READ_TIMEOUT_MARGIN_MS),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise LogReadError(str(error)) from error
        return _parse_page(response.status, response.data)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.clear()

    def _url(self, stream: str) -> str:
        return f"{self._base_url}/v1/streams/{stream}/records"


def _timeout(read_ms: clock.Millis) -> urllib3.Timeout:
    return urllib3.Timeout(
        connect=CONNECT_TIMEOUT_MS / clock.MILLIS_PER_SECOND,
        read=read_ms / clock.MILLIS_PER_SECOND,
    )


def _parse_append_response(status: int, body: bytes) -> int:
    if status == 429:
        raise NotAppendedError(
            "append rate limit of the log exceeded (status 429)"
        )
    if 400 <= status < 500 and status != 408:
        raise AppendRefusedError(
            f"log responded with status {status}: {body[:200]!r}"
        )
    if status != 200 and status != 201:
        raise UncertainAppendError(f"log responded with status {status}")
    try:
        return int(json.loads(body)["offset"])
    except (ValueError, KeyError, TypeError) as error:
        raise UncertainAppendError(
            f"invalid response of the log: {error}"
        ) from error


def _parse_page(status: int, body: bytes) -> Page:
    if status not in (200, 410):
        raise LogReadError(f"log responded with status {status}")
    try:
        document = json.loads(body)
        first, next_offset = int(document["first"]), int(document["next"])
        if status == 410:
            raise ExpiredError(first, next_offset)
        records = tuple(
            Record(
                int(item["offset"]),
                str(item["id"]),
                str(item["data"]),
                int(item["time_ms"]),
            )
            for item in document["records"]
        )
    except (ValueError, KeyError, TypeError) as error:
        raise LogReadError(f"invalid response of the log: {error}") from error
    return Page(first, next_offset, records)
