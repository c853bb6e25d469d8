"""The fold of a call stream: idempotency keys of at-most-once calls."""

import enum
import heapq
import operator
import sys
import typing

import attrs

from quetzalward_core.agreement import _fold
from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results

# Retention of abandoned intent ids, so that a `CallIntent` that reaches the
# log after its `CallAbandoned` is still refused. Appends are retried for a
# shorter time than this.
ABANDONED_RETENTION_MS = 24 * 60 * 60 * 1000
MAX_RETENTION_MS = 30 * 24 * 60 * 60 * 1000

_Reason = _results.VoidReason
KeyId = tuple[str, str]


class KeyState(enum.StrEnum):
    """State of a claimed key; a key without an entry may be claimed."""

    OPEN = "open"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.frozen
class CallKey:
    """A claimed key with its first intent and, once known, the response.

    `position` is the stream position of the intent. `body` is base64, or
    `None` if it was not retained.
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
        """Return the log time in ms after which the key is removed."""
        return self.touched_ms + self.retention_ms


_KEY_FIELDS = [field.name for field in attrs.fields(CallKey)]
_row_values = operator.attrgetter(*_KEY_FIELDS)
_ROWS_PER_LINE = 100
_STATE_FIELD = _KEY_FIELDS.index("state")
# These fields have few distinct values; interning them saves a third of the
# memory of a key.
_INTERNED_FIELDS = [
    _KEY_FIELDS.index(name)
    for name in ("customer", "dispatcher", "content_type")
]
_Expiry = tuple[int, tuple[str, ...]]


def _owns_intent_id(writer: str, intent_id: str) -> bool:
    """Tell whether an intent id was issued by the writer.

    Intent ids start with the writer's name, so that no other node can abandon
    an intent that has not reached the log yet.
    """
    return intent_id.startswith(f"{writer}/")


class CallState(_fold.Fold):
    """The claimed keys of one call stream, by customer and key."""

    stream_kind = "calls"

    def __init__(self) -> None:
        """Create an empty state."""
        super().__init__()
        self._keys_by_id: dict[KeyId, CallKey] = {}
        self._abandoned_ms_by_intent: dict[str, int] = {}
        # Heap of expiry times. A key may have been updated since its entry
        # was pushed, so the current time is looked up when an entry is due.
        self._expiries: list[_Expiry] = []

    def __len__(self) -> int:
        return len(self._keys_by_id)

    def lookup(self, customer: str, key: str) -> CallKey | None:
        """Return the entry of a customer's key, or `None`."""
        return self._keys_by_id.get((customer, key))

    def is_abandoned(self, intent_id: str) -> bool:
        """Tell whether the intent's dispatcher abandoned it."""
        return intent_id in self._abandoned_ms_by_intent

    def keys(self) -> typing.Iterable[CallKey]:
        """Return all keys that have not expired."""
        return self._keys_by_id.values()

    def _apply_entry(
        self, position: int, writer: str, entry: _records.Entry
    ) -> _results.EntryResult:
        reason: _results.VoidReason | None
        match entry:
            case _records.CallIntent():
                reason = self._apply_intent(position, writer, entry)
            case _records.CallAbandoned():
                reason = self._apply_abandoned(writer, entry)
            case _records.CallResult():
                reason = self._apply_result(entry)
            case _records.CallUnknown():
                reason = self._apply_unknown(entry)
            case _records.SnapshotPart():
                reason = None
            case _:
                reason = _Reason.WRONG_STREAM
        if reason is None:
            return _results.Accepted(position)
        return _results.Void(position, reason)

    def _apply_intent(
        self, position: int, writer: str, entry: _records.CallIntent
    ) -> _results.VoidReason | None:
        if entry.dispatcher != writer or not _owns_intent_id(
            writer, entry.intent_id
        ):
            return _Reason.WRONG_WRITER
        if not 0 < entry.retention_ms <= MAX_RETENTION_MS:
            return _Reason.MALFORMED
        if entry.intent_id in self._abandoned_ms_by_intent:
            return _Reason.ABANDONED
        call_key = self.lookup(entry.customer, entry.key)
        if call_key is not None:
            same = call_key.fingerprint == entry.fingerprint
            return _Reason.KEY_TAKEN if same else _Reason.KEY_REUSED
        self._store_key(
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

    def _apply_abandoned(
        self, writer: str, entry: _records.CallAbandoned
    ) -> _results.VoidReason | None:
        call_key = self.lookup(entry.customer, entry.key)
        if call_key is None or call_key.intent_id != entry.intent_id:
            if not _owns_intent_id(writer, entry.intent_id):
                return _Reason.WRONG_WRITER
            self._remember_abandoned(entry.intent_id, self.time_ms)
            return None
        if call_key.dispatcher != writer:
            return _Reason.WRONG_WRITER
        if call_key.state is KeyState.DONE:
            return _Reason.WRONG_STATE
        del self._keys_by_id[(entry.customer, entry.key)]
        self._remember_abandoned(entry.intent_id, self.time_ms)
        return None

    def _apply_result(
        self, entry: _records.CallResult
    ) -> _results.VoidReason | None:
        call_key = self.lookup(entry.customer, entry.key)
        if call_key is None or call_key.intent_id != entry.intent_id:
            return _Reason.WRONG_INTENT
        if call_key.state is KeyState.DONE:
            return _Reason.WRONG_STATE
        self._store_key(
            attrs.evolve(
                call_key,
                state=KeyState.DONE,
                touched_ms=self.time_ms,
                status=entry.status,
                content_type=sys.intern(entry.content_type),
                body=entry.body,
            )
        )
        return None

    def _apply_unknown(
        self, entry: _records.CallUnknown
    ) -> _results.VoidReason | None:
        call_key = self.lookup(entry.customer, entry.key)
        if call_key is None or call_key.intent_id != entry.intent_id:
            return _Reason.WRONG_INTENT
        if call_key.state is not KeyState.OPEN:
            return _Reason.WRONG_STATE
        self._store_key(
            attrs.evolve(
                call_key, state=KeyState.UNKNOWN, touched_ms=self.time_ms
            )
        )
        return None

    def _store_key(self, call_key: CallKey) -> None:
        key_id = (call_key.customer, call_key.key)
        if key_id not in self._keys_by_id:
            heapq.heappush(self._expiries, (call_key.expires_ms, key_id))
        self._keys_by_id[key_id] = call_key

    def _remember_abandoned(self, intent_id: str, time_ms: int) -> None:
        self._abandoned_ms_by_intent[intent_id] = time_ms
        expires_ms = time_ms + ABANDONED_RETENTION_MS
        heapq.heappush(self._expiries, (expires_ms, (intent_id,)))

    def _expire(self) -> None:
        while self._expiries and self._expiries[0][0] < self.time_ms:
            _, expired_id = heapq.heappop(self._expiries)
            if len(expired_id) == 2:
                self._expire_key((expired_id[0], expired_id[1]))
            else:
                self._expire_abandoned(expired_id[0])

    def _expire_key(self, key_id: KeyId) -> None:
        call_key = self._keys_by_id.get(key_id)
        if call_key is None:
            return
        if call_key.expires_ms < self.time_ms:
            del self._keys_by_id[key_id]
        else:
            heapq.heappush(self._expiries, (call_key.expires_ms, key_id))

    def _expire_abandoned(self, intent_id: str) -> None:
        abandoned_ms = self._abandoned_ms_by_intent.get(intent_id)
        if abandoned_ms is None:
            return
        if abandoned_ms + ABANDONED_RETENTION_MS < self.time_ms:
            del self._abandoned_ms_by_intent[intent_id]

    def _copy_from(self, other: "CallState") -> None:
        self._keys_by_id = dict(other._keys_by_id)
        self._abandoned_ms_by_intent = dict(other._abandoned_ms_by_intent)
        self._expiries = list(other._expiries)

    def _sections(self) -> typing.Iterator[tuple[str, typing.Any]]:
        yield "abandoned", self._abandoned_ms_by_intent
        # Keys are in the order of their intents on the log, which is the same
        # on every node, so they need no sorting. They are written as rows, not
        # objects, because a snapshot holds 100,000 keys and more.
        call_keys = list(self._keys_by_id.values())
        for start in range(0, len(call_keys), _ROWS_PER_LINE):
            chunk = call_keys[start : start + _ROWS_PER_LINE]
            yield "keys", [_row_values(item) for item in chunk]

    def _restore_section(self, name: str, value: typing.Any) -> None:
        if name == "abandoned":
            for intent_id, time_ms in value.items():
                self._remember_abandoned(intent_id, time_ms)
        elif name == "keys":
            for row in value:
                self._restore_row(row)
        else:
            raise ValueError(f"unknown section {name}")

    def _restore_row(self, row: list[typing.Any]) -> None:
        row[_STATE_FIELD] = KeyState(row[_STATE_FIELD])
        for field in _INTERNED_FIELDS:
            row[field] = sys.intern(row[field])
        self._store_key(CallKey(*row))
