"""Open-loop callers on one event loop that time and check every token."""

import asyncio
import json
import time
import typing
import urllib.parse

import attrs

from quetzalward_standins import answers

READ_TIMEOUT_S = 20.0
CHAT_PATH = "/v1/chat/completions"


@attrs.define
class Record:
    """What one caller saw of one request."""

    customer: str
    # Seconds on the monotonic clock.
    planned_s: float
    status: int = 0
    first_ms: float | None = None
    gaps_ms: list[float] = attrs.field(factory=list)
    tokens: int = 0
    whole: bool = False
    # A token that is not the next one of the caller's own answer.
    wrong: str | None = None
    failure: str | None = None


class StreamBrokenError(Exception):
    """The answer ended early or is not an answer."""


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status and whether the body is chunked."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    status = int(head.split(" ", 2)[1])
    return status, "transfer-encoding: chunked" in head


async def _lines(
    reader: asyncio.StreamReader, chunked: bool
) -> typing.AsyncIterator[tuple[bytes, float]]:
    """Yield the lines of a body with the time they arrived."""
    rest = b""
    while True:
        if chunked:
            size = int((await reader.readline()).strip() or b"0", 16)
            part = (await reader.readexactly(size + 2))[:size]
        else:
            part = await reader.read(65_536)
        now_s = time.monotonic()
        if not part:
            return
        *lines, rest = (rest + part).split(b"\n")
        for line in lines:
            yield line, now_s


class Check:
    """Compares the tokens of one answer with the rule of the engines."""

    def __init__(self, body: dict[str, typing.Any], record: Record) -> None:
        """Start before the first token."""
        self._mark = answers.digest(answers.question(body))
        self._wanted = body["max_tokens"]
        self._record = record
        self._last_s: float | None = None

    def take(self, line: bytes, now_s: float) -> None:
        """Take one line of an event stream."""
        if not line.startswith(b"data: "):
            return
        data = line[6:].strip()
        if data == b"[DONE]":
            self._record.whole = self._record.tokens == self._wanted
            if not self._record.whole:
                self._record.wrong = f"{self._record.tokens} tokens at the end"
            return
        document = json.loads(data)
        if "choices" not in document:
            raise StreamBrokenError(str(document.get("kind")))
        for choice in document["choices"]:
            text = choice.get("delta", {}).get("content")
            if text:
                self._take_text(text, now_s)

    def _take_text(self, text: str, now_s: float) -> None:
        record = self._record
        for part in text.split():
            if part != f"{self._mark}:{record.tokens}":
                record.wrong = f"{text!r} at {record.tokens}"
            record.tokens += 1
        if self._last_s is None:
            record.first_ms = (now_s - record.planned_s) * 1000
        else:
            record.gaps_ms.append((now_s - self._last_s) * 1000)
        self._last_s = now_s


async def draft(
    url: str,
    api_key: str,
    body: dict[str, typing.Any],
    record: Record,
    timeout_s: float = READ_TIMEOUT_S,
) -> None:
    """Stream one answer and fill the record; never raises."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            parts = urllib.parse.urlsplit(url)
            reader, writer = await asyncio.open_connection(
                parts.hostname, parts.port
            )
            data = json.dumps({**body, "stream": True}).encode()
            head = (
                f"POST {parts.path}{CHAT_PATH} HTTP/1.1\r\n"
                f"Host: {parts.netloc}\r\n"
                f"Authorization: Bearer {api_key}\r\n"
                "Content-Type: application/json\r\n"
                "Connection: close\r\n"
                f"Content-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            record.status, chunked = await _read_head(reader)
            check = Check(body, record)
            if record.status != 200:
                record.failure = f"status {record.status}"
                return
            async for line, now_s in _lines(reader, chunked):
                check.take(line, now_s)
            if not record.whole:
                record.failure = "ended early"
    except TimeoutError:
        record.failure = "timeout"
    except (OSError, ValueError, EOFError, StreamBrokenError) as error:
        record.failure = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
