"""When each node was last heard from, with a compact encoding as ages."""

import typing

from quetzalward_core import clock
from quetzalward_core.membership import _index

AGE_UNIT_MS = 100
# Larger ages are sent as `NOT_HEARD`; no caller needs them.
MAX_AGE_CODE = 250
NOT_HEARD = 255
_NEVER_MS = -(2**60)


class LastHeardTable:
    """Times at which the nodes of the fold were last heard from.

    The compact encoding is one byte per node, in the order of the index.
    """

    def __init__(self, own_node: str) -> None:
        """Start without nodes."""
        self._own_node = own_node
        self._index = _index.NodeIndex()
        self._last_heard_ms: list[clock.Millis] = []

    def set_index(self, index: _index.NodeIndex) -> None:
        """Replace the nodes by those of the fold; drop all others."""
        known = self.last_heard_ms_by_node()
        self._index = index
        self._last_heard_ms = [
            known.get(name, _NEVER_MS) for name in index.names
        ]

    def last_heard_ms_by_node(self) -> dict[str, clock.Millis]:
        """Return when each node was last heard; omits those never heard."""
        return {
            name: heard_ms
            for name, heard_ms in zip(self._index.names, self._last_heard_ms)
            if heard_ms != _NEVER_MS
        }

    def pack(self, now_ms: clock.Millis) -> bytes:
        """Return ages in units of 100 ms, rounded up; the own age is 0."""
        own_number = self._index.number_by_node.get(self._own_node)
        if own_number is not None:
            self._last_heard_ms[own_number] = now_ms
        rounded_ms = now_ms + AGE_UNIT_MS - 1
        codes = [
            (rounded_ms - heard_ms) // AGE_UNIT_MS
            for heard_ms in self._last_heard_ms
        ]
        return bytes(
            [
                NOT_HEARD if code > MAX_AGE_CODE else max(code, 0)
                for code in codes
            ]
        )

    def merge_ages(
        self,
        ages: bytes,
        as_of_ms: clock.Millis,
        matches: typing.Sequence[tuple[int, list[int]]] | None,
    ) -> None:
        """Merge the ages of a digest; the later time of each node wins.

        `as_of_ms` must not be later than the time at which the ages were
        encoded; `matches` is `None` for a digest with the same fold. Ages of
        a wrong length are ignored.
        """
        if matches is not None:
            ages = self._reindexed(ages, matches)
        if len(ages) != len(self._last_heard_ms):
            return
        heard_ms = [
            (
                as_of_ms - code * AGE_UNIT_MS
                if code <= MAX_AGE_CODE
                else _NEVER_MS
            )
            for code in ages
        ]
        self._last_heard_ms = list(map(max, self._last_heard_ms, heard_ms))

    def _reindexed(
        self, ages: bytes, matches: typing.Sequence[tuple[int, list[int]]]
    ) -> bytes:
        """Return the ages in the order of this node's own fold.

        If several nodes share a key, the largest age is used.
        """
        found = bytearray([NOT_HEARD]) * len(self._last_heard_ms)
        for number, foreign in matches:
            if foreign[-1] < len(ages):
                found[number] = max(ages[other] for other in foreign)
        return bytes(found)
