"""The two response formats: an event stream or one JSON object."""

import json
import typing

import attrs

from quetzalward_core import errors
from quetzalward_core import streams
from quetzalward_node import _problems
from quetzalward_node.callers import _chunks
from quetzalward_node.callers import _connection
from quetzalward_node.callers import _drafts

EVENT_STREAM = "text/event-stream; charset=utf-8"
# Far above any response within `max_tokens`; bounds memory per request.
MAX_COLLECTED_BYTES = 8_388_608

_Json = dict[str, typing.Any]


@attrs.frozen
class ResponseMetadata:
    """The fields that all chunks of a completion share."""

    stream: str
    endpoint: _drafts.Endpoint
    model: str
    created_s: int

    def envelope(self, streamed: bool) -> _Json:
        """Return the JSON fields other than choices and usage."""
        chat = self.endpoint is _drafts.Endpoint.CHAT
        kind = "text_completion"
        if chat:
            kind = "chat.completion.chunk" if streamed else "chat.completion"
        return {
            "id": f"{'chatcmpl' if chat else 'cmpl'}-{self.stream}",
            "object": kind,
            "created": self.created_s,
            "model": self.model,
        }


class Sink(typing.Protocol):
    """Receives the chunks of a completion in order."""

    def send(self, position: streams.Position, chunk: _chunks.Chunk) -> None:
        """Accept a chunk; `position` is the caller's position after it."""

    def hold(self) -> None:
        """Buffer writes until `try_flush` or `release`."""

    def try_flush(self) -> bool:
        """Send buffered data without blocking; false if some remains."""

    def release(self) -> None:
        """Send the remaining buffered data; blocks on a slow caller."""

    def finish(self, position: streams.Position, usage: _Json) -> None:
        """Complete the response."""

    def fail(
        self, position: streams.Position, error: errors.QuetzalwardError
    ) -> None:
        """End the response with an error."""


def _choices(chunk: _chunks.Chunk, drop_role: bool) -> list[_Json]:
    choices = typing.cast(list[_Json], chunk.document["choices"])
    delta = choices[0].get("delta") if choices else None
    if drop_role and isinstance(delta, dict) and "role" in delta:
        # An engine that resumes a completion repeats the role.
        without_role = {k: v for k, v in delta.items() if k != "role"}
        return [{**choices[0], "delta": without_role}]
    return choices


@attrs.define(eq=False)
class EventStreamSink:
    """Writes server-sent events; blocks while the caller reads slowly."""

    exchange: _connection.Exchange
    signer: streams.EventSigner
    metadata: ResponseMetadata
    include_usage: bool
    # The caller's position at the start of this request.
    start: streams.Position

    def send(self, position: streams.Position, chunk: _chunks.Chunk) -> None:
        """Write a chunk as one event."""
        document = self.metadata.envelope(streamed=True)
        resumed = self.start.phase > streams.Phase.NOTHING
        document["choices"] = _choices(chunk, resumed or position.index > 1)
        if "system_fingerprint" in chunk.document:
            fingerprint = chunk.document["system_fingerprint"]
            document["system_fingerprint"] = fingerprint
        if self.include_usage:
            document["usage"] = None
        self._write(position, json.dumps(document))

    def hold(self) -> None:
        """Buffer writes until `try_flush` or `release`."""
        self.exchange.start_buffering()

    def try_flush(self) -> bool:
        """Send buffered data without blocking; false if some remains."""
        return self.exchange.try_flush()

    def release(self) -> None:
        """Send the remaining buffered data; blocks on a slow caller."""
        self.exchange.stop_buffering()

    def finish(self, position: streams.Position, usage: _Json) -> None:
        """Write the usage, if asked for, and the terminal event."""
        sent_phase = max(position.phase, self.start.phase)
        if self.include_usage and sent_phase < streams.Phase.USAGE:
            document = self.metadata.envelope(streamed=True)
            document["choices"] = []
            document["usage"] = usage
            at = streams.Position(position.index, streams.Phase.USAGE)
            self._write(at, json.dumps(document))
        if sent_phase < streams.Phase.DONE:
            at = streams.Position(position.index, streams.Phase.DONE)
            self._write(at, _chunks.DONE)
        self._start_response()

    def fail(
        self, position: streams.Position, error: errors.QuetzalwardError
    ) -> None:
        """Write the error as an event, or as the response if none started.

        The event carries the id of the caller's position, so that the caller
        can resume from it.
        """
        if not self.exchange.headers_sent:
            self.exchange.fail(error)
            return
        self._write(position, json.dumps(_problems.problem(error)))

    def _start_response(self) -> None:
        if not self.exchange.headers_sent:
            headers = [
                ("Content-Type", EVENT_STREAM),
                ("Cache-Control", "no-store"),
            ]
            self.exchange.start(200, headers)

    def _write(self, position: streams.Position, data: str) -> None:
        self._start_response()
        event_id = self.signer.event_id(self.metadata.stream, position)
        self.exchange.write(streams.format_event(data, event_id))


@attrs.define(eq=False)
class CollectingSink:
    """Collects the whole completion and sends it as one JSON object."""

    exchange: _connection.Exchange
    metadata: ResponseMetadata
    _texts: list[str] = attrs.field(factory=list)
    _refusals: list[str] = attrs.field(factory=list)
    _logprobs: list[_Json] = attrs.field(factory=list)
    _tool_calls: dict[int, _Json] = attrs.field(factory=dict)
    _finish_reason: str | None = None
    _bytes: int = 0

    def send(self, position: streams.Position, chunk: _chunks.Chunk) -> None:
        """Append a chunk's content."""
        choice = typing.cast(list[_Json], chunk.document["choices"])[0]
        self._bytes += len(json.dumps(choice))
        if self._bytes > MAX_COLLECTED_BYTES:
            raise errors.QuetzalwardError(
                errors.ErrorKind.TARGET_FAILED,
                f"the response is larger than {MAX_COLLECTED_BYTES} bytes",
            )
        delta = choice.get("delta")
        if isinstance(delta, dict):
            self._append_text(self._texts, delta.get("content"))
            self._append_text(self._refusals, delta.get("refusal"))
            self._merge_tool_calls(delta.get("tool_calls"))
        else:
            self._append_text(self._texts, choice.get("text"))
        if isinstance(choice.get("logprobs"), dict):
            self._logprobs.append(choice["logprobs"])
        if choice.get("finish_reason") is not None:
            self._finish_reason = str(choice["finish_reason"])

    def hold(self) -> None:
        """Do nothing; the response is sent as a whole."""

    def try_flush(self) -> bool:
        """Return true, since nothing is written before `finish`."""
        return True

    def release(self) -> None:
        """Do nothing; the response is sent as a whole."""

    def finish(self, position: streams.Position, usage: _Json) -> None:
        """Send the response."""
        document = self.metadata.envelope(streamed=False)
        choice: _Json = {"index": 0, "logprobs": self._merged_logprobs()}
        text = "".join(self._texts)
        if self.metadata.endpoint is _drafts.Endpoint.CHAT:
            choice["message"] = self._message(text)
        else:
            choice["text"] = text
        choice["finish_reason"] = self._finish_reason or "stop"
        document["choices"] = [choice]
        document["usage"] = usage
        headers = [("Content-Type", "application/json")]
        self.exchange.respond(200, headers, json.dumps(document).encode())

    def fail(
        self, position: streams.Position, error: errors.QuetzalwardError
    ) -> None:
        """Send the error."""
        self.exchange.fail(error)

    def _message(self, text: str) -> _Json:
        message: _Json = {"role": "assistant", "content": text}
        message["refusal"] = "".join(self._refusals) or None
        if self._tool_calls:
            message["content"] = text or None
            calls = [call for _, call in sorted(self._tool_calls.items())]
            message["tool_calls"] = calls
        return message

    def _append_text(self, texts: list[str], text: typing.Any) -> None:
        if isinstance(text, str):
            texts.append(text)

    def _merge_tool_calls(self, deltas: typing.Any) -> None:
        for delta in deltas if isinstance(deltas, list) else []:
            if not isinstance(delta, dict):
                continue
            index = delta.get("index", 0)
            call = self._tool_calls.setdefault(
                index if isinstance(index, int) else 0,
                {
                    "id": "",
                    "type": "function",
                    "function": {"name": "", "arguments": ""},
                },
            )
            call["id"] = delta.get("id") or call["id"]
            function = delta.get("function")
            if isinstance(function, dict):
                for name in ("name", "arguments"):
                    call["function"][name] += function.get(name) or ""

    def _merged_logprobs(self) -> _Json | None:
        if not self._logprobs:
            return None
        merged: _Json = {}
        for part in self._logprobs:
            for name, values in part.items():
                if isinstance(values, list):
                    merged.setdefault(name, []).extend(values)
        return merged
