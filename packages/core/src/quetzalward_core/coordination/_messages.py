"""Messages between nodes: a node's status and the coordinator's view.

They are JSON arrays in datagrams; a lost one is replaced by the next, and a
reader takes nothing from one that it cannot decode.
"""

import json
import typing
import zlib

import attrs


@attrs.frozen
class GroupWork:
    """One node's work at a group, or the work of all nodes."""

    group: str
    epoch: int
    active: float
    unread_tokens: float
    # Time since the last event of any stream; -1 if there was none.
    event_age_ms: int
    # The group produces nothing for work that it has.
    stalled: bool = False
    # Measured against predicted pauses: from one node the mean of the last
    # `paces` pauses, from the coordinator the smoothed mean of all nodes.
    slowness: float = 1.0
    paces: int = 0


@attrs.frozen
class Outcome:
    """Answers of a plain target within one interval."""

    target_id: str
    answered: int
    failed: int
    mean_latency_ms: float


@attrs.frozen
class Status:
    """What a node tells the coordinator."""

    node: str
    term: int
    # The sender's clock, which the next view to it repeats.
    sent_ms: int
    requests: int
    work: tuple[GroupWork, ...]
    outcomes: tuple[Outcome, ...]
    # Targets that an answer named as the cause of a failure.
    suspects: tuple[str, ...]


@attrs.frozen
class GroupEntry:
    """A group that takes requests."""

    name: str
    epoch: int
    model: str
    head: str


@attrs.frozen
class RelayedRecord:
    """A record of a topic, as the store holds it."""

    offset: int
    key: str
    # `None` if the key was dropped.
    value: str | None


@attrs.frozen
class TopicView:
    """What the coordinator last read of a topic, and how long ago."""

    end: int
    age_ms: int
    # The records of the last moments, up to `end`.
    records: tuple[RelayedRecord, ...]


@attrs.frozen
class StoreView:
    """What the coordinator last read from the store."""

    operations: TopicView
    targets: TopicView


@attrs.frozen
class View:
    """What the coordinator tells every node."""

    node: str
    term: int
    address: str
    nodes: int
    # Whether `groups` and `closing` name all groups that work.
    complete: bool
    groups: tuple[GroupEntry, ...]
    # Groups that finish their work and take none, by name and epoch.
    closing: tuple[tuple[str, int], ...]
    work: tuple[GroupWork, ...]
    outcomes: tuple[Outcome, ...]
    store: StoreView | None = None


# A longer message would not fit one packet of most networks.
PLAIN_BYTES = 1_200
MAX_BYTES = 1_000_000

# Neither JSON nor compressed data begins with digits and this mark.
_ECHO_END = b";"

_STATUS = "status"
_VIEW = "view"


def encode(message: Status | View) -> bytes:
    """Return the datagram of a message."""
    kind = _STATUS if isinstance(message, Status) else _VIEW
    row = attrs.astuple(message)
    data = json.dumps([kind, *row], separators=(",", ":")).encode()
    if len(data) > PLAIN_BYTES:
        return zlib.compress(data, level=1)
    return data


def _store_view(row: list[typing.Any]) -> StoreView:
    """Return the part of a view about the store."""
    operations, targets = row
    return StoreView(_topic_view(operations), _topic_view(targets))


def _topic_view(row: list[typing.Any]) -> TopicView:
    end, age_ms, records = row
    return TopicView(
        int(end),
        int(age_ms),
        tuple(RelayedRecord(*item) for item in records),
    )


def with_echo(datagram: bytes, sent_ms: int) -> bytes:
    """Return a view's datagram for the node whose status was `sent_ms`."""
    return b"%d%s%s" % (sent_ms, _ECHO_END, datagram)


def split_echo(datagram: bytes) -> tuple[int | None, bytes]:
    """Return the repeated clock of a view, if it has one, and the rest."""
    head, mark, rest = datagram.partition(_ECHO_END)
    if not mark or not head.isdigit():
        return None, datagram
    return int(head), rest


def _expand(datagram: bytes) -> bytes:
    """Return the text of a datagram, which may be compressed."""
    if datagram.startswith(b"["):
        return datagram
    expander = zlib.decompressobj()
    try:
        return expander.decompress(datagram, MAX_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error


def decode(datagram: bytes) -> Status | View:
    """Return the message of a datagram.

    Raises `ValueError` if it is none.
    """
    try:
        kind, *row = json.loads(_expand(datagram))
        if kind == _STATUS:
            node, term, sent_ms, requests, work, outcomes, suspects = row
            return Status(
                str(node),
                int(term),
                int(sent_ms),
                int(requests),
                tuple(GroupWork(*item) for item in work),
                tuple(Outcome(*item) for item in outcomes),
                tuple(str(item) for item in suspects),
            )
        if kind == _VIEW:
            (
                node,
                term,
                address,
                nodes,
                complete,
                groups,
                closing,
                work,
                outcomes,
                store,
            ) = row
            return View(
                str(node),
                int(term),
                str(address),
                int(nodes),
                bool(complete),
                tuple(GroupEntry(*item) for item in groups),
                tuple((str(name), int(epoch)) for name, epoch in closing),
                tuple(GroupWork(*item) for item in work),
                tuple(Outcome(*item) for item in outcomes),
                None if store is None else _store_view(store),
            )
    except (TypeError, ValueError) as error:
        raise ValueError(f"datagram cannot be decoded: {error}") from error
    raise ValueError(f"unknown kind of message {kind!r}")
