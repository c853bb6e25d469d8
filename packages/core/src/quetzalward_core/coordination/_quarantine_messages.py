"""Messages about prompts under which targets crash.

They are sent only while there is something to say. Nodes of an older version
do not know them and ignore them.
"""

import typing

import attrs


@attrs.frozen
class CrashRow:
    """An attempt whose target crashed before the answer had settled."""

    request: str
    target: str
    parts: tuple[str, ...]
    weight: int
    age_ms: int


@attrs.frozen
class SoundRow:
    """Time since the last answer began that settled with a part."""

    part: str
    age_ms: int


@attrs.frozen
class CrashReport:
    """Message from a node to the coordinator: its evidence."""

    node: str
    term: int
    crashes: tuple[CrashRow, ...]
    # For the suspects of the last `QuarantineView` and the node's own crashes.
    sound: tuple[SoundRow, ...]
    # Settled answers by the age of their beginning.
    sound_counts: tuple[int, ...]
    # Blocks that the node knows and the coordinator has not sent.
    blocks: tuple[tuple[str, ...], ...] = ()


@attrs.frozen
class BlockRow:
    """A block, and whether the store has it."""

    parts: tuple[str, ...]
    saved: bool


@attrs.frozen
class QuarantineView:
    """Message from the coordinator to every node: suspects and all blocks."""

    node: str
    term: int
    suspects: tuple[str, ...]
    blocks: tuple[BlockRow, ...]


def crash_report(row: list[typing.Any]) -> CrashReport:
    """Return the decoded message."""
    node, term, crashes, sound, sound_counts, blocks = row
    return CrashReport(
        str(node),
        int(term),
        tuple(_crash_row(*item) for item in crashes),
        tuple(SoundRow(str(part), int(age_ms)) for part, age_ms in sound),
        tuple(int(count) for count in sound_counts),
        tuple(_parts(item) for item in blocks),
    )


def quarantine_view(row: list[typing.Any]) -> QuarantineView:
    """Return the decoded message."""
    node, term, suspects, blocks = row
    return QuarantineView(
        str(node),
        int(term),
        _parts(suspects),
        tuple(BlockRow(_parts(parts), bool(saved)) for parts, saved in blocks),
    )


def _crash_row(
    request: typing.Any,
    target: typing.Any,
    parts: typing.Any,
    weight: typing.Any,
    age_ms: typing.Any,
) -> CrashRow:
    return CrashRow(
        str(request), str(target), _parts(parts), int(weight), int(age_ms)
    )


def _parts(items: typing.Any) -> tuple[str, ...]:
    return tuple(str(item) for item in items)
