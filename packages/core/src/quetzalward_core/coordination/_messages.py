"""Messages between nodes: a node's status and the coordinator's view.

Messages are JSON arrays in datagrams. Each replaces the one before, so a lost
one is not repeated, and one that cannot be decoded is discarded whole.
"""

import json
import typing
import zlib

import attrs


@attrs.frozen
class GroupWork:
    """Requests at a group, from one node or from all nodes."""

    group: str
    epoch: int
    active: float
    pending_prefill_tokens: float
    # Time since the last event of any stream; -1 if there was none.
    event_age_ms: int
    # The group has requests but emits no events.
    stalled: bool = False
    # Ratio of measured to predicted gaps between events: from one node the
    # mean of the last `gap_count` gaps, from the coordinator the smoothed mean
    # of all nodes.
    slowness: float = 1.0
    gap_count: int = 0


@attrs.frozen
class Outcome:
    """Answers of a target outside groups within one interval."""

    target_id: str
    answered: int
    failed: int
    mean_latency_ms: float


@attrs.frozen
class Status:
    """Message from a node to the coordinator."""

    node: str
    term: int
    # The sender's clock, which the next view sent to it echoes.
    sent_ms: int
    requests: int
    work: tuple[GroupWork, ...]
    outcomes: tuple[Outcome, ...]
    # Targets that a response named as the cause of a failure.
    suspects: tuple[str, ...]


@attrs.frozen
class GroupEntry:
    """A group that accepts requests."""

    name: str
    epoch: int
    model: str
    head: str


@attrs.frozen
class RelayedRecord:
    """A record of a topic, as stored."""

    offset: int
    key: str
    # `None` if the key was deleted.
    value: str | None


@attrs.frozen
class TopicView:
    """The coordinator's last read of a topic, and its age."""

    end: int
    age_ms: int
    # The most recent records, up to `end`.
    records: tuple[RelayedRecord, ...]


@attrs.frozen
class StoreView:
    """The coordinator's last reads of the store."""

    operations: TopicView
    targets: TopicView


@attrs.frozen
class View:
    """Message from the coordinator to every node."""

    node: str
    term: int
    address: str
    nodes: int
    # Whether `groups` and `closing` list all groups that have requests or
    # accept them.
    complete: bool
    groups: tuple[GroupEntry, ...]
    # Groups that finish running work and accept no more, by name and epoch.
    closing: tuple[tuple[str, int], ...]
    work: tuple[GroupWork, ...]
    outcomes: tuple[Outcome, ...]
    store: StoreView | None = None


# Longer messages are compressed, because they would exceed one packet of most
# networks.
MAX_UNCOMPRESSED_BYTES = 1_200
MAX_DECOMPRESSED_BYTES = 1_000_000

# Ends the echoed clock. Neither JSON nor compressed data begins with digits
# and this separator.
_ECHO_SEPARATOR = b";"

_STATUS = "status"
_VIEW = "view"


def encode(message: Status | View) -> bytes:
    """Return a message as a datagram, compressed if it is long."""
    kind = _STATUS if isinstance(message, Status) else _VIEW
    row = attrs.astuple(message)
    data = json.dumps([kind, *row], separators=(",", ":")).encode()
    if len(data) > MAX_UNCOMPRESSED_BYTES:
        return zlib.compress(data, level=1)
    return data


def _store_view(row: list[typing.Any]) -> StoreView:
    """Return the decoded store part of a view."""
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
    """Return a view's datagram, prefixed with a status' `sent_ms`."""
    return b"%d%s%s" % (sent_ms, _ECHO_SEPARATOR, datagram)


def split_echo(datagram: bytes) -> tuple[int | None, bytes]:
    """Return the echoed clock of a view, if it has one, and the rest."""
    head, separator, rest = datagram.partition(_ECHO_SEPARATOR)
    if not separator or not head.isdigit():
        return None, datagram
    return int(head), rest


def _decompress(datagram: bytes) -> bytes:
    """Return the JSON of a datagram, which may be compressed.

    Raises `ValueError` if it is not valid compressed data.
    """
    if datagram.startswith(b"["):
        return datagram
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(datagram, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error


def decode(datagram: bytes) -> Status | View:
    """Return the message in a datagram.

    Raises `ValueError` if it contains none.
    """
    try:
        kind, *row = json.loads(_decompress(datagram))
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
