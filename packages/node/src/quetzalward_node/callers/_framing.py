"""Strict, incremental framing of HTTP/1.1 requests.

The connection manager receives a request completely before a worker thread
handles it, so that a slow caller occupies no thread. Syntax that two HTTP
implementations could interpret differently (bare line feeds, repeated
lengths, folded headers) is rejected.
"""

import re

import attrs

from quetzalward_core import errors

MAX_HEADER_COUNT = 100
MAX_CHUNK_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 4096
# Headers that may occur only once: repeated values would be ambiguous.
UNIQUE_HEADERS = frozenset(
    (
        "authorization",
        "content-encoding",
        "content-length",
        "content-type",
        "expect",
        "host",
        "idempotency-key",
        "last-event-id",
        "transfer-encoding",
    )
)

_HEADER = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)"
)
_LENGTH = re.compile(r"[0-9]{1,15}")
_CHUNK_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,8})[ \t]*(;[^\x00-\x08\x0a-\x1f]*)?"
)
_CRLF = b"\r\n"
_HEAD_END = b"\r\n\r\n"


def _malformed(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.MALFORMED_REQUEST, detail)


def _too_large(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.BODY_TOO_LARGE, detail)


@attrs.frozen
class Head:
    """Request line and headers; names are in lower case, in order."""

    raw: bytes
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the first value of a header, given in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@attrs.frozen
class FramedRequest:
    """A complete request."""

    head: Head
    body: bytes


def parse_head(raw: bytes) -> Head:
    """Split a head that ends with an empty line.

    Raises `QuetzalwardError` of kind `malformed_request` or
    `headers_too_large`.
    """
    lines = raw.removesuffix(_HEAD_END).split(_CRLF)
    if len(lines) - 1 > MAX_HEADER_COUNT:
        raise errors.QuetzalwardError(
            errors.ErrorKind.HEADERS_TOO_LARGE,
            f"more than {MAX_HEADER_COUNT} headers",
        )
    headers = []
    seen = set()
    for line in lines[1:]:
        match = _HEADER.fullmatch(line)
        if not match:
            raise _malformed("a header line is malformed")
        name = match.group(1).decode("ascii").lower()
        if name in UNIQUE_HEADERS and name in seen:
            raise _malformed(f"header {name} is repeated")
        seen.add(name)
        headers.append((name, match.group(2).decode("latin-1").strip(" \t")))
    if lines[0].endswith(b"HTTP/1.1") and "host" not in seen:
        raise _malformed("header host is missing")
    return Head(raw, tuple(headers))


@attrs.define
class Framer:
    """Splits the bytes received on one connection into requests."""

    max_header_bytes: int
    max_body_bytes: int
    head: Head | None = None
    _buffer: bytearray = attrs.field(factory=bytearray)
    _scanned_bytes: int = 0
    _body: bytearray = attrs.field(factory=bytearray)
    # Bytes still to be received of the body or of the current chunk.
    _remaining_bytes: int = 0
    _chunked: bool = False
    _in_trailer: bool = False
    _trailer_bytes: int = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes buffered for this connection."""
        return len(self._buffer) + len(self._body)

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits for a 100 Continue response."""
        if self.head is None:
            return False
        return (self.head.get("expect") or "").lower() == "100-continue"

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def take(self) -> FramedRequest | None:
        """Return the next complete request, or `None` if more is needed.

        Raises `QuetzalwardError` (malformed_request, headers_too_large,
        body_too_large); the connection is then unusable.
        """
        if self.head is None and not self._take_head():
            return None
        complete = (
            self._take_chunks() if self._chunked else self._take_fixed_length()
        )
        if not complete or self.head is None:
            return None
        request = FramedRequest(self.head, bytes(self._body))
        self.head = None
        self._body = bytearray()
        return request

    def _take_head(self) -> bool:
        while self._scanned_bytes == 0 and self._buffer.startswith(_CRLF):
            # RFC 9112 lets a server ignore empty lines before a request.
            del self._buffer[:2]
        end = self._find_head_end()
        if max(end, len(self._buffer) if end < 0 else 0) > (
            self.max_header_bytes
        ):
            raise errors.QuetzalwardError(
                errors.ErrorKind.HEADERS_TOO_LARGE,
                f"headers larger than {self.max_header_bytes} bytes",
            )
        if end < 0:
            return False
        head = parse_head(bytes(self._buffer[:end]))
        del self._buffer[:end]
        self._scanned_bytes = 0
        self._begin_body(head)
        self.head = head
        return True

    def _find_head_end(self) -> int:
        while (at := self._buffer.find(b"\n", self._scanned_bytes)) >= 0:
            if at == 0 or self._buffer[at - 1 : at] != b"\r":
                raise _malformed(
                    "a header line ends without a carriage return"
                )
            self._scanned_bytes = at + 1
            if self._buffer[max(0, at - 3) : at + 1] == _HEAD_END:
                return at + 1
        return -1

    def _begin_body(self, head: Head) -> None:
        self._remaining_bytes = 0
        self._in_trailer = False
        self._trailer_bytes = 0
        encoding = head.get("transfer-encoding")
        length = head.get("content-length")
        self._chunked = encoding is not None
        if encoding is not None:
            if encoding.lower() != "chunked" or length is not None:
                raise _malformed(
                    "transfer-encoding must be chunked, without content-length"
                )
            if not head.raw.split(_CRLF, 1)[0].endswith(b"HTTP/1.1"):
                raise _malformed("a chunked body requires HTTP/1.1")
        elif length is not None:
            if not _LENGTH.fullmatch(length):
                raise _malformed("content-length is not a number")
            self._remaining_bytes = int(length)
        self._check_body_size(self._remaining_bytes)

    def _check_body_size(self, size: int) -> None:
        if size > self.max_body_bytes:
            raise _too_large(f"body larger than {self.max_body_bytes} bytes")

    def _consume_buffer(self) -> None:
        count = min(self._remaining_bytes, len(self._buffer))
        self._body += self._buffer[:count]
        del self._buffer[:count]
        self._remaining_bytes -= count

    def _take_fixed_length(self) -> bool:
        self._consume_buffer()
        return self._remaining_bytes == 0

    def _take_chunks(self) -> bool:
        while True:
            if self._in_trailer:
                return self._take_trailer()
            if self._remaining_bytes > 0:
                if not self._take_chunk_data():
                    return False
            elif not self._take_chunk_line():
                return False

    def _take_chunk_data(self) -> bool:
        if self._remaining_bytes > 2:
            count = min(self._remaining_bytes - 2, len(self._buffer))
            self._body += self._buffer[:count]
            del self._buffer[:count]
            self._remaining_bytes -= count
        if self._remaining_bytes > 2 or len(self._buffer) < 2:
            return False
        if self._buffer[:2] != _CRLF:
            raise _malformed("a chunk is longer than its size")
        del self._buffer[:2]
        self._remaining_bytes = 0
        return True

    def _take_chunk_line(self) -> bool:
        end = self._buffer.find(b"\n")
        if max(end, len(self._buffer) if end < 0 else 0) > (
            MAX_CHUNK_LINE_BYTES
        ):
            raise _malformed("a chunk size line is too long")
        if end < 0:
            return False
        line = bytes(self._buffer[: end + 1])
        match = _CHUNK_LINE.fullmatch(line.removesuffix(_CRLF))
        if not line.endswith(_CRLF) or not match:
            raise _malformed("a chunk size is malformed")
        del self._buffer[: end + 1]
        size = int(match.group(1), 16)
        self._check_body_size(len(self._body) + size)
        if size == 0:
            self._in_trailer = True
        else:
            # Includes the line break after the chunk's data.
            self._remaining_bytes = size + 2
        return True

    def _take_trailer(self) -> bool:
        """Discard trailer fields, which are not used."""
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[: end + 1])
            del self._buffer[: end + 1]
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_TRAILER_BYTES:
                raise _malformed("trailers are too long")
            if line == _CRLF:
                return True
            if not line.endswith(_CRLF):
                raise _malformed("a trailer line is malformed")
        if len(self._buffer) + self._trailer_bytes > MAX_TRAILER_BYTES:
            raise _malformed("trailers are too long")
        return False
