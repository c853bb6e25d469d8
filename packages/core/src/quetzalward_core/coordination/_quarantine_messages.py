"""Messages about requests under which targets crash.

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
    traits: tuple[str, ...]
    weight: int
    age_ms: int


@attrs.frozen
class SoundRow:
    """Time since the last answer began that settled with a trait."""

    trait: str
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

    traits: tuple[str, ...]
    saved: bool


@attrs.frozen
class QuarantineView:
    """Message from the coordinator to every node: suspects and all blocks."""

    node: str
    term: int
    suspects: tuple[str, ...]
    blocks: tuple[BlockRow, ...]


@attrs.frozen
class HoldRow:
    """A request that is held, and how many trials were granted."""

    request: str
    trials: int


@attrs.frozen
class HoldView:
    """Message from the coordinator to every node: requests sent as trials."""

    node: str
    term: int
    holds: tuple[HoldRow, ...]


@attrs.frozen
class TrialRequest:
    """Message from a node that has a request which is held."""

    node: str
    term: int
    request: str
    # As this node knows from any coordinator.
    trials: int


@attrs.frozen
class TrialGrant:
    """Message from the coordinator to one node: it may send it once."""

    node: str
    term: int
    request: str


def hold_view(row: list[typing.Any]) -> HoldView:
    """Return the decoded message."""
    node, term, holds = row
    return HoldView(
        str(node),
        int(term),
        tuple(HoldRow(str(request), int(trials)) for request, trials in holds),
    )


def trial_request(row: list[typing.Any]) -> TrialRequest:
    """Return the decoded message."""
    node, term, request, trials = row
    return TrialRequest(str(node), int(term), str(request), int(trials))


def trial_grant(row: list[typing.Any]) -> TrialGrant:
    """Return the decoded message."""
    node, term, request = row
    return TrialGrant(str(node), int(term), str(request))


def crash_report(row: list[typing.Any]) -> CrashReport:
    """Return the decoded message."""
    node, term, crashes, sound, sound_counts, blocks = row
    return CrashReport(
        str(node),
        int(term),
        tuple(_crash_row(*item) for item in crashes),
        tuple(SoundRow(str(trait), int(age_ms)) for trait, age_ms in sound),
        tuple(int(count) for count in sound_counts),
        tuple(_traits(item) for item in blocks),
    )


def quarantine_view(row: list[typing.Any]) -> QuarantineView:
    """Return the decoded message."""
    node, term, suspects, blocks = row
    return QuarantineView(
        str(node),
        int(term),
        _traits(suspects),
        tuple(
            BlockRow(_traits(traits), bool(saved)) for traits, saved in blocks
        ),
    )


def _crash_row(
    request: typing.Any,
    target: typing.Any,
    traits: typing.Any,
    weight: typing.Any,
    age_ms: typing.Any,
) -> CrashRow:
    return CrashRow(
        str(request), str(target), _traits(traits), int(weight), int(age_ms)
    )


def _traits(items: typing.Any) -> tuple[str, ...]:
    return tuple(str(item) for item in items)
