"""The fold of a call stream: keys of calls that run at most once."""

import enum
import heapq
import operator
import sys
import typing

import attrs

from quetzalward_core.agreement import _fold
from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results

# How long an abandoned intent is remembered, in case its `CallIntent` arrives
# after it. Longer than any append is retried.
ABANDONED_RETENTION_MS = 24 * 60 * 60 * 1000
MAX_RETENTION_MS = 30 * 24 * 60 * 60 * 1000

_Void = _results.VoidReason
KeyId = tuple[str, str]


class KeyState(enum.StrEnum):
    """What is known of a key; a key that is absent may be claimed."""

    OPEN = "open"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.frozen
class CallKey:
    """A claimed key, its first intent, and the answer once there is one.

    `position` is the intent's; `body` is base64, or `None` if not kept.
    """

    customer: str
    key: str
    fingerprint: str
    intent_id: str
    dispatcher: str
    position: int
    state: KeyState
    touched_ms: int
    retention_ms: int
    status: int = 0
    content_type: str = ""
    body: str | None = None

    @property
    def expires_ms(self) -> int:
        """Return the log time after which the key is forgotten."""
        return self.touched_ms + self.retention_ms


_FIELDS = [field.name for field in attrs.fields(CallKey)]
_row = operator.attrgetter(*_FIELDS)
_ROWS_PER_LINE = 100
_STATE_FIELD = _FIELDS.index("state")
# Few different values; one copy of each saves a third of a key's memory.
_SHARED_FIELDS = [
    _FIELDS.index(name) for name in ("customer", "dispatcher", "content_type")
]
_Expiry = tuple[int, tuple[str, ...]]


def _owns(writer: str, intent_id: str) -> bool:
    """Tell whether an intent id is the writer's.

    Ids start with the writer's name, so that nobody can give up an intent of
    another node that is still on its way.
    """
    return intent_id.startswith(f"{writer}/")


class CallState(_fold.Fold):
    """Keys of one call stream, by customer and key."""

    stream_kind = "calls"

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self._keys_by_id: dict[KeyId, CallKey] = {}
        self._abandoned_ms_by_intent: dict[str, int] = {}
        # Earliest possible expiry times, soonest first; the time is looked
        # up again when it has come.
        self._expiries: list[_Expiry] = []

    def __len__(self) -> int:
        return len(self._keys_by_id)

    def lookup(self, customer: str, key: str) -> CallKey | None:
        """Return what is known of a customer's key, or `None`."""
        return self._keys_by_id.get((customer, key))

    def abandoned(self, intent_id: str) -> bool:
        """Tell whether the intent's dispatcher gave it up."""
        return intent_id in self._abandoned_ms_by_intent

    def keys(self) -> typing.Iterable[CallKey]:
        """Return all remembered keys."""
        return self._keys_by_id.values()

    def _apply_entry(
        self, position: int, writer: str, entry: _records.Entry
    ) -> _results.EntryResult:
        reason: _results.VoidReason | None
        match entry:
            case _records.CallIntent():
                reason = self._intent(position, writer, entry)
            case _records.CallAbandoned():
                reason = self._abandon(writer, entry)
            case _records.CallResult():
                reason = self._result(entry)
            case _records.CallUnknown():
                reason = self._unknown(entry)
            case _records.SnapshotPart():
                reason = None
            case _:
                reason = _Void.WRONG_STREAM
        if reason is None:
            return _results.Accepted(position)
        return _results.Void(position, reason)

    def _intent(
        self, position: int, writer: str, entry: _records.CallIntent
    ) -> _results.VoidReason | None:
        if entry.dispatcher != writer or not _owns(writer, entry.intent_id):
            return _Void.WRONG_WRITER
        if not 0 < entry.retention_ms <= MAX_RETENTION_MS:
            return _Void.MALFORMED
        if entry.intent_id in self._abandoned_ms_by_intent:
            return _Void.ABANDONED
        known = self.lookup(entry.customer, entry.key)
        if known is not None:
            same = known.fingerprint == entry.fingerprint
            return _Void.KEY_TAKEN if same else _Void.KEY_REUSED
        self._set(
            CallKey(
                customer=sys.intern(entry.customer),
                key=entry.key,
                fingerprint=entry.fingerprint,
                intent_id=entry.intent_id,
                dispatcher=sys.intern(entry.dispatcher),
                position=position,
                state=KeyState.OPEN,
                touched_ms=self.time_ms,
                retention_ms=entry.retention_ms,
            )
        )
        return None

    def _abandon(
        self, writer: str, entry: _records.CallAbandoned
    ) -> _results.VoidReason | None:
        known = self.lookup(entry.customer, entry.key)
        if known is None or known.intent_id != entry.intent_id:
            if not _owns(writer, entry.intent_id):
                return _Void.WRONG_WRITER
            self._remember_abandoned(entry.intent_id, self.time_ms)
            return None
        if known.dispatcher != writer:
            return _Void.WRONG_WRITER
        if known.state is KeyState.DONE:
            return _Void.WRONG_STATE
        del self._keys_by_id[(entry.customer, entry.key)]
        self._remember_abandoned(entry.intent_id, self.time_ms)
        return None

    def _result(
        self, entry: _records.CallResult
    ) -> _results.VoidReason | None:
        known = self.lookup(entry.customer, entry.key)
        if known is None or known.intent_id != entry.intent_id:
            return _Void.WRONG_INTENT
        if known.state is KeyState.DONE:
            return _Void.WRONG_STATE
        self._set(
            attrs.evolve(
                known,
                state=KeyState.DONE,
                touched_ms=self.time_ms,
                status=entry.status,
                content_type=sys.intern(entry.content_type),
                body=entry.body,
            )
        )
        return None

    def _unknown(
        self, entry: _records.CallUnknown
    ) -> _results.VoidReason | None:
        known = self.lookup(entry.customer, entry.key)
        if known is None or known.intent_id != entry.intent_id:
            return _Void.WRONG_INTENT
        if known.state is not KeyState.OPEN:
            return _Void.WRONG_STATE
        self._set(
            attrs.evolve(
                known, state=KeyState.UNKNOWN, touched_ms=self.time_ms
            )
        )
        return None

    def _set(self, known: CallKey) -> None:
        key_id = (known.customer, known.key)
        if key_id not in self._keys_by_id:
            heapq.heappush(self._expiries, (known.expires_ms, key_id))
        self._keys_by_id[key_id] = known

    def _remember_abandoned(self, intent_id: str, time_ms: int) -> None:
        self._abandoned_ms_by_intent[intent_id] = time_ms
        expires_ms = time_ms + ABANDONED_RETENTION_MS
        heapq.heappush(self._expiries, (expires_ms, (intent_id,)))

    def _expire(self) -> None:
        while self._expiries and self._expiries[0][0] < self.time_ms:
            _, subject = heapq.heappop(self._expiries)
            if len(subject) == 2:
                self._expire_key((subject[0], subject[1]))
            else:
                self._expire_abandoned(subject[0])

    def _expire_key(self, key_id: KeyId) -> None:
        known = self._keys_by_id.get(key_id)
        if known is None:
            return
        if known.expires_ms < self.time_ms:
            del self._keys_by_id[key_id]
        else:
            heapq.heappush(self._expiries, (known.expires_ms, key_id))

    def _expire_abandoned(self, intent_id: str) -> None:
        since_ms = self._abandoned_ms_by_intent.get(intent_id)
        if since_ms is None:
            return
        if since_ms + ABANDONED_RETENTION_MS < self.time_ms:
            del self._abandoned_ms_by_intent[intent_id]

    def _copy_from(self, other: "CallState") -> None:
        self._keys_by_id = dict(other._keys_by_id)
        self._abandoned_ms_by_intent = dict(other._abandoned_ms_by_intent)
        self._expiries = list(other._expiries)

    def _members(self) -> typing.Iterator[tuple[str, typing.Any]]:
        yield "abandoned", self._abandoned_ms_by_intent
        # The order of the keys is that of their intents on the log, the same
        # on every node, so no sort is needed. Rows rather than objects,
        # because a snapshot holds 100,000 keys and more.
        known = list(self._keys_by_id.values())
        for start in range(0, len(known), _ROWS_PER_LINE):
            chunk = known[start : start + _ROWS_PER_LINE]
            yield "keys", [_row(item) for item in chunk]

    def _restore_member(self, name: str, value: typing.Any) -> None:
        if name == "abandoned":
            for intent_id, time_ms in value.items():
                self._remember_abandoned(intent_id, time_ms)
        elif name == "keys":
            for row in value:
                self._restore_row(row)
        else:
            raise ValueError(f"unknown member {name}")

    def _restore_row(self, row: list[typing.Any]) -> None:
        row[_STATE_FIELD] = KeyState(row[_STATE_FIELD])
        for field in _SHARED_FIELDS:
            row[field] = sys.intern(row[field])
        self._set(CallKey(*row))
