"""The platform's log over HTTP."""

import json
import typing

import attrs
import urllib3

from quetzalward_core import clock

CONNECT_TIMEOUT_MS = 1_000
# A read may take this much longer than the time it asked the log to wait.
READ_GRACE_MS = 2_000
APPEND_TIMEOUT_MS = 2_000
_POOL_SIZE = 4


class LogReadError(Exception):
    """The log gave no usable answer to a read; read again after a pause."""


class ExpiredError(Exception):
    """The wanted records have expired; bootstrap from a snapshot."""

    def __init__(self, first: int, next_offset: int) -> None:
        """Name the oldest kept offset and the next one to be written."""
        super().__init__(f"records before offset {first} have expired")
        self.first = first
        self.next_offset = next_offset


class NotAppendedError(Exception):
    """This attempt certainly had no effect; append again after a pause."""


class AppendRefusedError(NotAppendedError):
    """The log will never take this batch; do not append it again."""


class UncertainAppendError(Exception):
    """This attempt may have had an effect; read before deciding."""


@attrs.frozen
class Record:
    """One record; `time_ms` is the log's own time of the append."""

    offset: int
    batch_id: str
    data: str
    time_ms: int


@attrs.frozen
class Page:
    """The answer to a read."""

    first: int
    next_offset: int
    records: tuple[Record, ...]


class LogStore(typing.Protocol):
    """An append-only log with streams."""

    def append(self, stream: str, batch_id: str, data: str) -> int:
        """Append a record and return its offset.

        Raises `NotAppendedError`, `AppendRefusedError` or
        `UncertainAppendError`.
        """

    def read(
        self, stream: str, start: int, limit: int, wait_ms: clock.Millis
    ) -> Page:
        """Read records from an offset, waiting for the first one.

        Raises `ExpiredError` or `LogReadError`.
        """


class HttpLogStore:
    """The log's HTTP interface.

    A retry inside the HTTP library would hide whether an append was sent, so
    the library's own retries are off.
    """

    def __init__(self, base_url: str) -> None:
        """Use the log at a base URL such as `http://127.0.0.1:9000`."""
        self._base_url = base_url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=_POOL_SIZE, retries=False)

    def append(self, stream: str, batch_id: str, data: str) -> int:
        """Append a record; see `LogStore.append`."""
        body = json.dumps({"id": batch_id, "data": data}).encode()
        try:
            answer = self._pool.request(
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
        return _appended_offset(answer.status, answer.data)

    def read(
        self, stream: str, start: int, limit: int, wait_ms: clock.Millis
    ) -> Page:
        """Read records; see `LogStore.read`."""
        try:
            answer = self._pool.request(
                "GET",
                self._url(stream),
                fields={
                    "from": str(start),
                    "limit": str(limit),
                    "wait_ms": str(wait_ms),
                },
                timeout=_timeout(wait_ms + READ_GRACE_MS),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise LogReadError(str(error)) from error
        return _page(answer.status, answer.data)

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


def _appended_offset(status: int, body: bytes) -> int:
    if status == 429:
        raise NotAppendedError("the log's append rate is used up")
    if 400 <= status < 500 and status != 408:
        raise AppendRefusedError(f"status {status}: {body[:200]!r}")
    if status != 200 and status != 201:
        raise UncertainAppendError(f"status {status}")
    try:
        return int(json.loads(body)["offset"])
    except (ValueError, KeyError, TypeError) as error:
        raise UncertainAppendError(f"unreadable answer: {error}") from error


def _page(status: int, body: bytes) -> Page:
    if status not in (200, 410):
        raise LogReadError(f"status {status}")
    try:
        document = json.loads(body)
        first, following = int(document["first"]), int(document["next"])
        if status == 410:
            raise ExpiredError(first, following)
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
        raise LogReadError(f"unreadable answer: {error}") from error
    return Page(first, following, records)
