"""Dispatcher side of at-most-once calls.

An intent may be dispatched only after `IntentTracker.decide` returned
`DISPATCH`. It does so at most once per intent, and never after the intent was
abandoned.
"""

import enum

from quetzalward_core.agreement import _calls
from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results


class Decision(enum.StrEnum):
    """What to do with an intent after its append finished."""

    # Read back as the first intent of its key, before the deadline.
    DISPATCH = "dispatch"
    # Another intent claimed the key first; look the key up.
    TAKEN = "taken"
    # Not on the log, and never dispatched.
    NOT_RUN = "not_run"
    # Never dispatched, but on the log or possibly on it. `CallAbandoned` must
    # be appended to release the key.
    GIVE_UP = "give_up"


class IntentState(enum.StrEnum):
    """State of an intent as this process knows it."""

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"
    # The final record of the intent was read back.
    ENDED = "ended"
    # Created by another process.
    FOREIGN = "foreign"


class IntentTracker:
    """Tracks the intents of one process until their final record is read."""

    def __init__(self, writer: str) -> None:
        """Create a tracker that issues intent ids for a writer."""
        self._writer = writer
        self._last_number = 0
        self._state_by_intent: dict[str, IntentState] = {}

    def __len__(self) -> int:
        return len(self._state_by_intent)

    def create_intent(
        self, customer: str, key: str, fingerprint: str, retention_ms: int
    ) -> _records.CallIntent:
        """Return a new intent for the caller to append."""
        self._last_number += 1
        intent_id = f"{self._writer}/{self._last_number}"
        self._state_by_intent[intent_id] = IntentState.CLAIMING
        # The fold rejects intents with a retention outside these bounds.
        clamped_retention_ms = min(
            max(1, retention_ms), _calls.MAX_RETENTION_MS
        )
        return _records.CallIntent(
            intent_id,
            customer,
            key,
            fingerprint,
            self._writer,
            clamped_retention_ms,
        )

    def decide(
        self,
        intent_id: str,
        result: _results.EntryResult | None,
        maybe_appended: bool,
        in_time: bool,
    ) -> Decision:
        """Decide whether an intent is dispatched.

        `result` is the result that was read back, or `None`. In that case
        `maybe_appended` tells whether the intent may still be on the log.
        `in_time` tells whether the caller's deadline has not passed. Any
        further call for the same intent returns `GIVE_UP`.
        """
        if self._state_by_intent.get(intent_id) is not IntentState.CLAIMING:
            return Decision.GIVE_UP
        if isinstance(result, _results.Void):
            del self._state_by_intent[intent_id]
            return Decision.TAKEN
        if result is None and not maybe_appended:
            del self._state_by_intent[intent_id]
            return Decision.NOT_RUN
        if result is None or not in_time:
            self._state_by_intent[intent_id] = IntentState.ABANDONED
            return Decision.GIVE_UP
        self._state_by_intent[intent_id] = IntentState.DISPATCHED
        return Decision.DISPATCH

    def abandon(self, intent_id: str) -> None:
        """Mark an intent decided as `DISPATCH` as never dispatched."""
        if intent_id in self._state_by_intent:
            self._state_by_intent[intent_id] = IntentState.ABANDONED

    def mark_unknown(self, intent_id: str) -> None:
        """Mark the outcome of a dispatched call as unknown."""
        if intent_id in self._state_by_intent:
            self._state_by_intent[intent_id] = IntentState.UNKNOWN

    def forget(self, intent_id: str) -> None:
        """Remove an intent whose final record was read back."""
        self._state_by_intent.pop(intent_id, None)

    def state(self, intent_id: str) -> IntentState:
        """Return the state of an intent."""
        state = self._state_by_intent.get(intent_id)
        if state is not None:
            return state
        if intent_id.startswith(f"{self._writer}/"):
            return IntentState.ENDED
        return IntentState.FOREIGN
