"""Requests and answers of the engines in the OpenAI format."""

import collections.abc
import itertools
import json
import queue
import time

import attrs

from quetzalward_standins import _http
from quetzalward_standins import _target
from quetzalward_standins import answers

DEFAULT_MAX_TOKENS = 16
MAX_TOKENS = 8192
# How often a stream without tokens looks whether its caller has gone.
WAIT_STEP_S = 0.25


@attrs.frozen
class Draft:
    """A parsed request for an answer."""

    chat: bool
    stream: bool
    include_usage: bool
    model: str
    mark: str
    prompt_tokens: int
    start: int
    sequence: _target.Sequence
    # Whether chunks tell when they were made.
    stamped: bool = False


def parse_draft(
    body: dict[str, _http.Json], chat: bool, request_id: str
) -> Draft:
    """Parse the body of a completions call, or raise `BadRequest`."""
    options = body.get("stream_options") or {}
    count = body.get("max_completion_tokens") or body.get("max_tokens")
    count = DEFAULT_MAX_TOKENS if count is None else count
    start = body.get("resume_from") or 0
    priority = body.get("priority") or 0
    if not all(isinstance(value, int) for value in (count, start, priority)):
        raise _http.BadRequest("token counts and priority must be integers")
    if not 0 < count <= MAX_TOKENS or not 0 <= start <= count:
        raise _http.BadRequest("max_tokens or resume_from out of range")
    if ("messages" in body) != chat:
        raise _http.BadRequest("messages or prompt missing")
    prompt = answers.prompt(body)
    sequence = _target.Sequence(
        request_id, answers.prefix_ids(prompt), start, count, priority
    )
    return Draft(
        chat=chat,
        stream=bool(body.get("stream")),
        include_usage=bool(options.get("include_usage")),
        model=str(body.get("model")),
        mark=answers.digest(answers.question(body)),
        prompt_tokens=max(1, len(prompt.split())),
        start=start,
        sequence=sequence,
        stamped=bool(body.get("stamped")),
    )


def tokens_of(
    target: _target.Target,
    sequence: _target.Sequence,
    request: _http.Request,
) -> collections.abc.Generator[list[int], None, None]:
    """Yield runs of token indices; an empty run means the engine failed."""
    try:
        while True:
            try:
                index = sequence.events.get(timeout=WAIT_STEP_S)
            except queue.Empty:
                if request.is_closed():
                    raise _http.DropConnection from None
                continue
            # Tokens that piled up are written together, which keeps many
            # streams cheap.
            run = []
            while index >= 0:
                run.append(index)
                try:
                    index = sequence.events.get_nowait()
                except queue.Empty:
                    break
            if run:
                yield run
            if index == _target.FAILED:
                yield []
                return
            if index == _target.END:
                return
    finally:
        target.drop(sequence)


def json_answer(
    draft: Draft, tokens: collections.abc.Iterator[list[int]]
) -> _http.Response:
    indices: list[int] = []
    for run in tokens:
        if not run:
            return _http.error_response(500, "engine_failed")
        indices += run
    text = "".join(answers.token(draft.mark, index) for index in indices)
    document = _document(draft, text, "length", streamed=False)
    document["usage"] = _usage(draft)
    return _http.json_response(200, document)


def stream_answer(
    draft: Draft,
    first: list[int] | None,
    rest: collections.abc.Generator[list[int], None, None],
) -> collections.abc.Iterator[bytes]:
    try:
        for run in itertools.chain([first] if first else [], rest):
            if not run:
                raise _http.DropConnection
            yield b"".join(_token_event(draft, index) for index in run)
        yield _event(_document(draft, "", "length", streamed=True))
        if draft.include_usage:
            document = _document(draft, "", None, streamed=True)
            yield _event({**document, "choices": [], "usage": _usage(draft)})
        yield b"data: [DONE]\n\n"
    finally:
        rest.close()


def _token_event(draft: Draft, index: int) -> bytes:
    text = answers.token(draft.mark, index)
    document = _document(draft, text, None, streamed=True)
    if draft.chat and index == draft.start:
        document["choices"][0]["delta"]["role"] = "assistant"
    return _event(document)


def _event(document: dict[str, _http.Json]) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _usage(draft: Draft) -> dict[str, int]:
    count = draft.sequence.stop - draft.start
    return {
        "prompt_tokens": draft.prompt_tokens,
        "completion_tokens": count,
        "total_tokens": draft.prompt_tokens + count,
    }


def _document(
    draft: Draft, text: str, finish_reason: str | None, *, streamed: bool
) -> dict[str, _http.Json]:
    choice: dict[str, _http.Json] = {"index": 0}
    if not draft.chat:
        choice["text"] = text
    elif streamed:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["message"] = {"role": "assistant", "content": text}
    choice["logprobs"] = None
    choice["finish_reason"] = finish_reason
    kind = "text_completion"
    if draft.chat:
        kind = "chat.completion" + (".chunk" if streamed else "")
    document = {
        "id": draft.sequence.request_id,
        "object": kind,
        "created": int(time.time()),
        "model": draft.model,
        "choices": [choice],
    }
    if draft.stamped:
        # A usual field that a node passes on unchanged.
        document["system_fingerprint"] = str(time.monotonic_ns())
    return document
