"""Request rates that targets name in their answers, as one node knows them."""

import attrs

from quetzalward_core import clock

# Id of a target and the time of its start. A restart ends its limit.
TargetKey = tuple[str, int]


@attrs.frozen
class LimitNotice:
    """What an answer says of its target's limit."""

    # Requests a second that the target takes from all nodes together; `None`
    # if the answer names no limit.
    per_s: float | None


@attrs.define
class _NamedLimit:
    per_s: float
    named_ms: clock.Millis


class TargetLimits:
    """The limits of targets that answered this node."""

    def __init__(self) -> None:
        """Start without limits."""
        self._by_key: dict[TargetKey, _NamedLimit] = {}

    def per_s(self, key: TargetKey) -> float | None:
        """Return a target's limit, `None` if it has none."""
        limit = self._by_key.get(key)
        return None if limit is None else limit.per_s

    def observe(
        self, key: TargetKey, notice: LimitNotice, now_ms: clock.Millis
    ) -> bool:
        """Record what an answer says; tell whether the limit changed."""
        known_per_s = self.per_s(key)
        if notice.per_s is None:
            self._by_key.pop(key, None)
        else:
            self._by_key[key] = _NamedLimit(notice.per_s, now_ms)
        return known_per_s != notice.per_s

    def retain(self, keys: set[TargetKey]) -> None:
        """Forget targets that no longer exist or have restarted."""
        for key in set(self._by_key) - keys:
            del self._by_key[key]
