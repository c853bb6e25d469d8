"""The era of the platform's store, which a restore from a copy ends.

Offsets, and the terms that are numbered by them, are comparable only within
one era: after a restore the store gives out the same offsets again.
"""

import enum

import attrs

from quetzalward_core import clock

# Era of a store that has named none.
UNKNOWN_ERA = -1


class EraChange(enum.Enum):
    """What the era of an answer says about the store."""

    NONE = "none"
    # The store was restored since this node last heard from it.
    RESTORED = "restored"
    # The answer is from before the restore that this node knows of.
    OUTDATED = "outdated"


@attrs.define
class StoreEra:
    """The era as the answers to this node's own calls show it."""

    number: int = UNKNOWN_ERA
    _learned_ms: clock.Millis = 0

    def observe(
        self, era: int | None, sent_ms: clock.Millis, now_ms: clock.Millis
    ) -> EraChange:
        """Process the era of an answer to a call sent at `sent_ms`.

        A lower era may come from before the restore, or from a store that
        counts anew. Only a call that was sent after this node had learned of
        the higher era tells one from the other. An answer without an era
        changes nothing.
        """
        known = self.number
        if era is None or era == known:
            return EraChange.NONE
        if era < known and sent_ms <= self._learned_ms:
            return EraChange.OUTDATED
        self.number = era
        self._learned_ms = now_ms
        return EraChange.NONE if known == UNKNOWN_ERA else EraChange.RESTORED
