"""The token rule of the stand-in engines, so that anyone can check answers.

Token `i` of an answer is `{h}:{i} `, `h` the first 8 hexadecimal digits of
the SHA-256 of the last user message (or of the prompt).
"""

import hashlib
import typing

PREFIX_BLOCK_CHARS = 256
MAX_PREFIX_BLOCKS = 64

Body = dict[str, typing.Any]


def text_of(content: typing.Any) -> str:
    """Return the text of a message's content or of a prompt."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    parts = [
        part if isinstance(part, str) else str(part.get("text", ""))
        for part in content
    ]
    return "".join(parts)


def question(body: Body) -> str:
    """Return the text that decides the tokens of an answer."""
    if "messages" not in body:
        return text_of(body.get("prompt", ""))
    for message in reversed(body["messages"]):
        if message.get("role") == "user":
            return text_of(message.get("content"))
    return ""


def prompt(body: Body) -> str:
    """Return the whole text that an engine processes before it answers."""
    if "messages" not in body:
        return text_of(body.get("prompt", ""))
    return "\n".join(
        f"{message.get('role')}: {text_of(message.get('content'))}"
        for message in body["messages"]
    )


def digest(text: str) -> str:
    """Return the 8 digits that mark every token of an answer."""
    return hashlib.sha256(text.encode()).hexdigest()[:8]


def token(mark: str, index: int) -> str:
    """Return one token of the answer whose digest is `mark`."""
    return f"{mark}:{index} "


def expected(body: Body, start: int, stop: int) -> str:
    """Return the tokens from `start` up to but without `stop`."""
    mark = digest(question(body))
    return "".join(token(mark, index) for index in range(start, stop))


def prefix_ids(text: str) -> list[str]:
    """Return the prefix cache's ids for a prompt, shortest prefix first.

    Each id covers all characters up to the end of one whole block, as in
    `quetzalward_core.routing`; a rest shorter than a block has none.
    """
    ends = range(PREFIX_BLOCK_CHARS, len(text) + 1, PREFIX_BLOCK_CHARS)
    return [
        hashlib.sha256(text[:end].encode()).hexdigest()[:16]
        for end in ends[:MAX_PREFIX_BLOCKS]
    ]
