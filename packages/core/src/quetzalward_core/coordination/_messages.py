"""Messages between nodes: a node's status, the coordinator's view and relay.

Messages are JSON arrays in datagrams. Each replaces the one before, so a lost
one is not repeated, and one that cannot be decoded is discarded whole. What a
node has acknowledged in its status is left out of the messages to it.
"""

import collections.abc
import json
import re
import typing
import zlib

import attrs

from quetzalward_core.coordination import _limit_messages
from quetzalward_core.coordination import _quarantine_messages
from quetzalward_core.coordination import _store_era


@attrs.frozen
class GroupWork:
    """Requests at a group, from one node or from all nodes."""

    # The group's label.
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
class Known:
    """State of the holder's that a node has already applied."""

    # Term and version of the group list; -1 if there is none.
    term: int = -1
    groups_version: int = -1
    operations_offset: int = -1
    targets_offset: int = -1
    # Era of the store in which both offsets were given out.
    era: int = _store_era.UNKNOWN_ERA
    # Precedence of the configuration in force.
    numbering: int = -1
    version: int = -1
    # Whether the node knows what was in force before the last restore of the
    # store; 0 or 1.
    is_informed: int = 0


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
    # What the sender has received: the version of the group list, and the
    # offsets up to which it has applied both topics.
    known: Known = Known()


@attrs.frozen
class GroupEntry:
    """A group that accepts requests; its name is its label."""

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
    """Records of a topic, and the age of the proof that none is missing."""

    # Offset up to which the records reach.
    end: int
    # Time since the topic ended at `end`.
    age_ms: int
    records: tuple[RelayedRecord, ...]


@attrs.frozen
class StoreView:
    """The coordinator's last reads of the store."""

    # Era of the store in which the offsets were given out.
    era: int
    operations: TopicView
    targets: TopicView
    # Time for which removals of targets are still deferred after an outage of
    # the store.
    removal_deferral_ms: int = 0
    # Precedence of the configuration in force at the coordinator.
    numbering: int = -1
    version: int = -1
    # Whether the coordinator knows it to be the latest.
    is_settled: bool = False


@attrs.frozen
class ConfigurationCopy:
    """The configuration in force, for a node to which the store lost it."""

    node: str
    numbering: int
    version: int
    # The operators' record.
    key: str
    value: str


@attrs.frozen
class Relay:
    """Message from the coordinator to every node between two views."""

    node: str
    term: int
    address: str
    # The sender's clock.
    sent_ms: int
    store: StoreView | None
    # Whether the sender stops soon, so that another node claims the term.
    is_leaving: bool = False


@attrs.frozen
class GroupList:
    """Groups that have requests or accept them."""

    # Counts the changes of the list within a term.
    version: int
    open: tuple[GroupEntry, ...]
    # Groups that finish running work and accept no more, by label and epoch.
    closing: tuple[tuple[str, int], ...]

    def keys(self) -> list[tuple[str, int]]:
        """Return label and epoch of all groups, in a fixed order."""
        return [(g.name, g.epoch) for g in self.open] + list(self.closing)


@attrs.frozen
class GroupLoadRow:
    """Work of all nodes at a group."""

    # Index of the group in `GroupList.keys`.
    position: int
    active: float
    pending_prefill_tokens: int
    # Time since the last event of any stream; -1 if there was none.
    event_age_ms: int
    slowness: float


@attrs.frozen
class View:
    """Message from the coordinator to every node: groups and their load."""

    node: str
    term: int
    address: str
    sent_ms: int
    nodes: int
    # Whether the group list has all groups.
    complete: bool
    groups_version: int
    # `None` if the receiver has this version already.
    groups: GroupList | None
    load: tuple[GroupLoadRow, ...]
    outcomes: tuple[Outcome, ...]
    # Addresses of some of the nodes, which change from view to view. The next
    # holder sends its first messages to them.
    peers: tuple[str, ...] = ()
    store: StoreView | None = None
    # As in `Relay`.
    is_leaving: bool = False


# Longer messages are compressed, because they would exceed one packet of most
# networks.
MAX_UNCOMPRESSED_BYTES = 1_200
MAX_DECOMPRESSED_BYTES = 1_000_000
# A message is compressed once and sent to all nodes.
COMPRESSION_LEVEL = 6

# Ends the echoed clock. Neither JSON nor compressed data begins with digits
# and this separator.
_ECHO_SEPARATOR = b";"
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_MAX_ECHO_DIGITS = 18
# Largest number of requests, tokens or ms that a message states.
_MAX_AMOUNT = 1e15

_STATUS = "status"
_VIEW = "view"
_RELAY = "relay"
_CONFIGURATION_COPY = "configuration"
_CRASH_REPORT = "crashes"
_HOLD_VIEW = "holds"
_TRIAL_REQUEST = "trial-request"
_TRIAL_GRANT = "trial"
_QUARANTINE_VIEW = "quarantine"
_LIMIT_REPORT = "limit-report"
_LIMIT_LIST = "limits"
_PERMIT_GRANT = "permits"
_KIND_BY_TYPE: dict[type, str] = {
    Status: _STATUS,
    View: _VIEW,
    Relay: _RELAY,
    ConfigurationCopy: _CONFIGURATION_COPY,
    _quarantine_messages.CrashReport: _CRASH_REPORT,
    _quarantine_messages.HoldView: _HOLD_VIEW,
    _quarantine_messages.TrialRequest: _TRIAL_REQUEST,
    _quarantine_messages.TrialGrant: _TRIAL_GRANT,
    _quarantine_messages.QuarantineView: _QUARANTINE_VIEW,
    _limit_messages.LimitReport: _LIMIT_REPORT,
    _limit_messages.LimitList: _LIMIT_LIST,
    _limit_messages.PermitGrant: _PERMIT_GRANT,
}

Message = (
    Status
    | View
    | Relay
    | ConfigurationCopy
    | _quarantine_messages.CrashReport
    | _quarantine_messages.HoldView
    | _quarantine_messages.TrialRequest
    | _quarantine_messages.TrialGrant
    | _quarantine_messages.QuarantineView
    | _limit_messages.LimitReport
    | _limit_messages.LimitList
    | _limit_messages.PermitGrant
)


def encode(message: Message) -> bytes:
    """Return a message as a datagram, compressed if it is long."""
    kind = _KIND_BY_TYPE[type(message)]
    row = attrs.astuple(message)
    data = json.dumps([kind, *row], separators=(",", ":")).encode()
    if len(data) > MAX_UNCOMPRESSED_BYTES:
        return zlib.compress(data, level=COMPRESSION_LEVEL)
    return data


def _store_view(row: list[typing.Any] | None) -> StoreView | None:
    """Return the decoded store part of a message."""
    if row is None:
        return None
    (
        era,
        operations,
        targets,
        removal_deferral_ms,
        numbering,
        version,
        is_settled,
    ) = row
    return StoreView(
        int(era),
        _topic_view(operations),
        _topic_view(targets),
        int(removal_deferral_ms),
        int(numbering),
        int(version),
        bool(is_settled),
    )


def _topic_view(row: list[typing.Any]) -> TopicView:
    end, age_ms, records = row
    return TopicView(
        int(end),
        int(age_ms),
        tuple(_relayed_record(*item) for item in records),
    )


def with_echo(datagram: bytes, sent_ms: int) -> bytes:
    """Return a view's datagram, prefixed with a status' `sent_ms`."""
    return b"%d%s%s" % (sent_ms, _ECHO_SEPARATOR, datagram)


def split_echo(datagram: bytes) -> tuple[int | None, bytes]:
    """Return the echoed clock of a view, if it has one, and the rest."""
    head, separator, rest = datagram.partition(_ECHO_SEPARATOR)
    if not separator or not head.isdigit() or len(head) > _MAX_ECHO_DIGITS:
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


def decode(datagram: bytes) -> Message:
    """Return the message in a datagram.

    Raises `ValueError` if it contains none.
    """
    try:
        kind, *row = json.loads(_decompress(datagram))
        decode_row = _DECODER_BY_KIND.get(kind)
        if decode_row is not None:
            return decode_row(row)
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise ValueError(f"datagram cannot be decoded: {error}") from error
    raise ValueError(f"unknown kind of message {kind!r}")


def _status(row: list[typing.Any]) -> Status:
    node, term, sent_ms, requests, work, outcomes, suspects, known = row
    return Status(
        str(node),
        int(term),
        int(sent_ms),
        int(requests),
        tuple(_group_work(*item) for item in work),
        tuple(_outcome(*item) for item in outcomes),
        tuple(str(item) for item in suspects),
        Known(*(int(item) for item in known)),
    )


def _configuration_copy(row: list[typing.Any]) -> ConfigurationCopy:
    node, numbering, version, key, value = row
    return ConfigurationCopy(
        str(node), int(numbering), int(version), str(key), str(value)
    )


def _relay(row: list[typing.Any]) -> Relay:
    node, term, address, sent_ms, store, is_leaving = row
    return Relay(
        str(node),
        int(term),
        _address(address),
        int(sent_ms),
        _store_view(store),
        bool(is_leaving),
    )


def _view(row: list[typing.Any]) -> View:
    (
        node,
        term,
        address,
        sent_ms,
        nodes,
        complete,
        groups_version,
        groups,
        load,
        outcomes,
        peers,
        store,
        is_leaving,
    ) = row
    return View(
        str(node),
        int(term),
        _address(address),
        int(sent_ms),
        int(nodes),
        bool(complete),
        int(groups_version),
        None if groups is None else _group_list(groups),
        tuple(_group_load(*item) for item in load),
        tuple(_outcome(*item) for item in outcomes),
        tuple(_address(item) for item in peers),
        _store_view(store),
        bool(is_leaving),
    )


def _address(text: typing.Any) -> str:
    """Return an address; raises `ValueError` if it is not HOST:PORT."""
    host, _, port = str(text).rpartition(":")
    if not host or not _PORT.fullmatch(port) or not 0 < int(port) <= 65_535:
        raise ValueError(f"{text!r} is not an address")
    return str(text)


def _amount(value: typing.Any) -> float:
    """Return a number; raises `ValueError` if sums of it may overflow."""
    amount = float(value)
    if not abs(amount) <= _MAX_AMOUNT:
        raise ValueError(f"{amount} is out of range")
    return amount


def _group_work(
    group: typing.Any,
    epoch: typing.Any,
    active: typing.Any,
    pending_prefill_tokens: typing.Any,
    event_age_ms: typing.Any,
    stalled: typing.Any,
    slowness: typing.Any,
    gap_count: typing.Any,
) -> GroupWork:
    return GroupWork(
        str(group),
        int(epoch),
        _amount(active),
        _amount(pending_prefill_tokens),
        int(event_age_ms),
        bool(stalled),
        _amount(slowness),
        int(gap_count),
    )


def _outcome(
    target_id: typing.Any,
    answered: typing.Any,
    failed: typing.Any,
    mean_latency_ms: typing.Any,
) -> Outcome:
    return Outcome(
        str(target_id), int(answered), int(failed), _amount(mean_latency_ms)
    )


def _group_load(
    position: typing.Any,
    active: typing.Any,
    pending_prefill_tokens: typing.Any,
    event_age_ms: typing.Any,
    slowness: typing.Any,
) -> GroupLoadRow:
    return GroupLoadRow(
        int(position),
        _amount(active),
        int(pending_prefill_tokens),
        int(event_age_ms),
        _amount(slowness),
    )


def _group_entry(
    name: typing.Any, epoch: typing.Any, model: typing.Any, head: typing.Any
) -> GroupEntry:
    return GroupEntry(str(name), int(epoch), str(model), str(head))


def _relayed_record(
    offset: typing.Any, key: typing.Any, value: typing.Any
) -> RelayedRecord:
    return RelayedRecord(
        int(offset), str(key), None if value is None else str(value)
    )


def _group_list(row: list[typing.Any]) -> GroupList:
    version, entries, closing = row
    return GroupList(
        int(version),
        tuple(_group_entry(*item) for item in entries),
        tuple((str(name), int(epoch)) for name, epoch in closing),
    )


_DECODER_BY_KIND: dict[
    str, collections.abc.Callable[[list[typing.Any]], Message]
] = {
    _STATUS: _status,
    _RELAY: _relay,
    _CONFIGURATION_COPY: _configuration_copy,
    _VIEW: _view,
    _CRASH_REPORT: _quarantine_messages.crash_report,
    _HOLD_VIEW: _quarantine_messages.hold_view,
    _TRIAL_REQUEST: _quarantine_messages.trial_request,
    _TRIAL_GRANT: _quarantine_messages.trial_grant,
    _QUARANTINE_VIEW: _quarantine_messages.quarantine_view,
    _LIMIT_REPORT: _limit_messages.limit_report,
    _LIMIT_LIST: _limit_messages.limit_list,
    _PERMIT_GRANT: _limit_messages.permit_grant,
}
