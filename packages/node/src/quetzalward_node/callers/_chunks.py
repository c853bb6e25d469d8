"""Classification of the chunks that engines send."""

import json
import re
import typing

import attrs

from quetzalward_core import streams

DONE = "[DONE]"
_NUMBER = re.compile(r"[0-9]{1,9}")

_Json = dict[str, typing.Any]


class ChunkError(ValueError):
    """The engine sent something that is not a completion chunk."""


@attrs.frozen
class Chunk:
    """One event of an engine's stream."""

    document: _Json
    answer_id: str | None
    # The engine's number of the token, if it numbers tokens.
    numbered: int | None
    is_token: bool
    finishes: bool
    # The chunk has a choice, with or without a token in it.
    has_choice: bool
    usage: _Json | None


def _choice(document: _Json) -> _Json | None:
    choices = document.get("choices")
    if not isinstance(choices, list):
        raise ChunkError("chunk without choices")
    if not choices:
        return None
    if len(choices) > 1 or not isinstance(choices[0], dict):
        raise ChunkError("chunk with more than one choice")
    return typing.cast(_Json, choices[0])


def _content(choice: _Json) -> tuple[bool, bool]:
    """Return whether a choice carries output, and whether it has a role."""
    delta = choice.get("delta")
    if not isinstance(delta, dict):
        return bool(choice.get("text")), False
    names = ("content", "tool_calls", "refusal", "reasoning_content")
    return any(delta.get(name) for name in names), bool(delta.get("role"))


def parse(event: streams.Event) -> Chunk | None:
    """Return an event's chunk, or `None` for the terminal `[DONE]`.

    Raises `ChunkError` for anything else, such as an error object.
    """
    if event.data.strip() == DONE:
        return None
    try:
        document = json.loads(event.data)
    except (ValueError, RecursionError) as error:
        raise ChunkError("event is not JSON") from error
    if not isinstance(document, dict) or "error" in document:
        raise ChunkError("engine reported an error in its stream")
    choice = _choice(document)
    numbered = None
    if _NUMBER.fullmatch(event.event_id or ""):
        numbered = int(event.event_id or "")
    output, role, finishes = False, False, False
    if choice is not None:
        output, role = _content(choice)
        finishes = choice.get("finish_reason") is not None
    # A token may decode to no text; then only its number shows it.
    silent = numbered is not None and not role and not finishes
    answer_id = document.get("id")
    usage = document.get("usage")
    return Chunk(
        document=document,
        answer_id=answer_id if isinstance(answer_id, str) else None,
        numbered=numbered,
        is_token=choice is not None and (output or silent),
        finishes=finishes,
        has_choice=choice is not None,
        usage=usage if isinstance(usage, dict) else None,
    )
