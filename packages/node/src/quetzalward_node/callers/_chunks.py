"""Parsing and classification of the chunks that engines send."""

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
    completion_id: str | None
    # The token's number, if the engine numbers tokens.
    token_number: int | None
    is_token: bool
    has_finish_reason: bool
    # The chunk has a choice, with or without a token.
    has_choice: bool
    usage: _Json | None


def _single_choice(document: _Json) -> _Json | None:
    choices = document.get("choices")
    if not isinstance(choices, list):
        raise ChunkError("chunk has no list of choices")
    if not choices:
        return None
    if len(choices) > 1 or not isinstance(choices[0], dict):
        raise ChunkError(
            "chunk has more than one choice, or one that is not an object"
        )
    return typing.cast(_Json, choices[0])


def _choice_content(choice: _Json) -> tuple[bool, bool]:
    """Return whether a choice has output and whether it has a role."""
    delta = choice.get("delta")
    if not isinstance(delta, dict):
        return bool(choice.get("text")), False
    names = ("content", "tool_calls", "refusal", "reasoning_content")
    return any(delta.get(name) for name in names), bool(delta.get("role"))


def parse(event: streams.Event) -> Chunk | None:
    """Return an event's chunk, or `None` for the terminal `[DONE]`.

    Raises `ChunkError` for any other event, such as an error object.
    """
    if event.data.strip() == DONE:
        return None
    try:
        document = json.loads(event.data)
    except (ValueError, RecursionError) as error:
        raise ChunkError("event data is not valid JSON") from error
    if not isinstance(document, dict) or "error" in document:
        raise ChunkError("engine sent an error or a non-object in its stream")
    choice = _single_choice(document)
    token_number = None
    if _NUMBER.fullmatch(event.event_id or ""):
        token_number = int(event.event_id or "")
    has_output, has_role, has_finish_reason = False, False, False
    if choice is not None:
        has_output, has_role = _choice_content(choice)
        has_finish_reason = choice.get("finish_reason") is not None
    # A token may decode to an empty text; only its number identifies it.
    is_empty_token = (
        token_number is not None and not has_role and not has_finish_reason
    )
    completion_id = document.get("id")
    usage = document.get("usage")
    return Chunk(
        document=document,
        completion_id=(
            completion_id if isinstance(completion_id, str) else None
        ),
        token_number=token_number,
        is_token=choice is not None and (has_output or is_empty_token),
        has_finish_reason=has_finish_reason,
        has_choice=choice is not None,
        usage=usage if isinstance(usage, dict) else None,
    )
