"""The dispatcher's side of calls that run at most once.

An intent may be dispatched only after `IntentBook.decide` said so; that is
said at most once per intent, and never after the intent was given up.
"""

import enum

from quetzalward_core.agreement import _calls
from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results


class Decision(enum.StrEnum):
    """What to do about an intent whose append ended."""

    # Read back as the first intent of its key, in time.
    DISPATCH = "dispatch"
    # Another intent was first; look at the key.
    TAKEN = "taken"
    # Never on the log, and never dispatched.
    NOT_RUN = "not_run"
    # On the log, or perhaps on it; never dispatched. `CallAbandoned` must be
    # appended to free the key.
    GIVE_UP = "give_up"


class IntentState(enum.StrEnum):
    """What this process knows of one of its intents."""

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"
    # The record that ended it was read back.
    ENDED = "ended"
    # Not an intent of this process.
    FOREIGN = "foreign"


class IntentBook:
    """The intents of one process, until the log shows how they ended."""

    def __init__(self, writer: str) -> None:
        """Open intents in the name of a writer."""
        self._writer = writer
        self._number = 0
        self._state_by_intent: dict[str, IntentState] = {}

    def __len__(self) -> int:
        return len(self._state_by_intent)

    def open(
        self, customer: str, key: str, fingerprint: str, retention_ms: int
    ) -> _records.CallIntent:
        """Return a new intent, to be appended."""
        self._number += 1
        intent_id = f"{self._writer}/{self._number}"
        self._state_by_intent[intent_id] = IntentState.CLAIMING
        # The fold refuses a retention outside these bounds.
        kept_ms = min(max(1, retention_ms), _calls.MAX_RETENTION_MS)
        return _records.CallIntent(
            intent_id, customer, key, fingerprint, self._writer, kept_ms
        )

    def decide(
        self,
        intent_id: str,
        result: _results.EntryResult | None,
        maybe_appended: bool,
        in_time: bool,
    ) -> Decision:
        """Decide about an intent, once.

        `result` is what was read back, or `None`; `maybe_appended` tells
        whether the intent could be on the log all the same.
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
        """Note that an intent that may be dispatched never was."""
        if intent_id in self._state_by_intent:
            self._state_by_intent[intent_id] = IntentState.ABANDONED

    def mark_unknown(self, intent_id: str) -> None:
        """Note that a dispatched call's outcome is unknown."""
        if intent_id in self._state_by_intent:
            self._state_by_intent[intent_id] = IntentState.UNKNOWN

    def ended(self, intent_id: str) -> None:
        """Forget an intent whose last record was read back."""
        self._state_by_intent.pop(intent_id, None)

    def state(self, intent_id: str) -> IntentState:
        """Return what is known of an intent."""
        state = self._state_by_intent.get(intent_id)
        if state is not None:
            return state
        if intent_id.startswith(f"{self._writer}/"):
            return IntentState.ENDED
        return IntentState.FOREIGN
