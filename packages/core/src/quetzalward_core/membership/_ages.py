"""When each node was last heard, and its compact form."""

import typing

from quetzalward_core import clock
from quetzalward_core.membership import _index

AGE_UNIT_MS = 100
# Larger ages count as "not heard"; nothing asks for them.
MAX_AGE_CODE = 250
NOT_HEARD = 255
_NEVER_MS = -(2**60)


class AgeTable:
    """Times at which the nodes of the fold were heard.

    The compact form is one byte for each node, in the order of the index.
    """

    def __init__(self, own: str) -> None:
        """Know no node."""
        self._own = own
        self._index = _index.NodeIndex()
        self._heard_ms: list[clock.Millis] = []

    def set_index(self, index: _index.NodeIndex) -> None:
        """Take over the nodes of the fold and forget all others."""
        known = self.heard_ms_by_node()
        self._index = index
        self._heard_ms = [known.get(name, _NEVER_MS) for name in index.names]

    def heard_ms_by_node(self) -> dict[str, clock.Millis]:
        """Return when each node was heard, without those never heard."""
        return {
            name: heard_ms
            for name, heard_ms in zip(self._index.names, self._heard_ms)
            if heard_ms != _NEVER_MS
        }

    def pack(self, now_ms: clock.Millis) -> bytes:
        """Return ages, rounded up; the own age is 0."""
        own = self._index.number_by_node.get(self._own)
        if own is not None:
            self._heard_ms[own] = now_ms
        rounded_ms = now_ms + AGE_UNIT_MS - 1
        codes = [
            (rounded_ms - heard_ms) // AGE_UNIT_MS
            for heard_ms in self._heard_ms
        ]
        return bytes(
            [
                NOT_HEARD if code > MAX_AGE_CODE else max(code, 0)
                for code in codes
            ]
        )

    def note(
        self,
        ages: bytes,
        as_of_ms: clock.Millis,
        matches: typing.Sequence[tuple[int, list[int]]] | None,
    ) -> None:
        """Move times forward by the ages of a digest.

        `as_of_ms` must not be after the moment the ages were written;
        `matches` is `None` for a digest with the same fold.
        """
        if matches is not None:
            ages = self._translated(ages, matches)
        if len(ages) != len(self._heard_ms):
            return
        heard_ms = [
            (
                as_of_ms - code * AGE_UNIT_MS
                if code <= MAX_AGE_CODE
                else _NEVER_MS
            )
            for code in ages
        ]
        self._heard_ms = list(map(max, self._heard_ms, heard_ms))

    def _translated(
        self, ages: bytes, matches: typing.Sequence[tuple[int, list[int]]]
    ) -> bytes:
        """Return the ages in the order of this node's own fold.

        Of nodes that share a key the oldest counts.
        """
        found = bytearray([NOT_HEARD]) * len(self._heard_ms)
        for number, foreign in matches:
            if foreign[-1] < len(ages):
                found[number] = max(ages[other] for other in foreign)
        return bytes(found)
