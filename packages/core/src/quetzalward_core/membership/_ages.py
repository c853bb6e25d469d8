"""When each node was last heard, and its compact form.

The compact form is two strings of bytes: a key of two bytes for each node in
the order of their names, and one byte for each node's age. Nodes with the
same fold have the same keys, so that ages need no look-up between them.
"""

import hashlib
import typing

from quetzalward_core import clock

AGE_UNIT_MS = 100
# Larger ages count as "not heard"; nothing asks for them.
MAX_AGE_CODE = 250
NOT_HEARD = 255
_KEY_BYTES = 2
_NEVER_MS = -(2**60)


def node_key(node: str) -> bytes:
    """Return the key that stands for a node.

    Two nodes may share one; between nodes with different folds the larger
    age then counts for both.
    """
    return hashlib.sha256(node.encode()).digest()[:_KEY_BYTES]


class AgeTable:
    """Times at which the nodes of the fold were heard."""

    def __init__(self, own: str) -> None:
        """Know no node."""
        self._own = own
        self._index_by_node: dict[str, int] = {}
        self._indexes_by_key: dict[bytes, list[int]] = {}
        self._heard_ms: list[clock.Millis] = []
        self._keys = b""

    def set_members(self, nodes: typing.Iterable[str]) -> None:
        """Take over the nodes of the fold and forget all others."""
        known = self.heard_ms_by_node()
        names = sorted(nodes)
        keys = [node_key(name) for name in names]
        self._index_by_node = {name: i for i, name in enumerate(names)}
        self._heard_ms = [known.get(name, _NEVER_MS) for name in names]
        self._keys = b"".join(keys)
        self._indexes_by_key = {}
        for index, key in enumerate(keys):
            self._indexes_by_key.setdefault(key, []).append(index)

    def heard_ms_by_node(self) -> dict[str, clock.Millis]:
        """Return when each node was heard, without those never heard."""
        return {
            name: self._heard_ms[index]
            for name, index in self._index_by_node.items()
            if self._heard_ms[index] != _NEVER_MS
        }

    def pack(self, now_ms: clock.Millis) -> tuple[bytes, bytes]:
        """Return keys and ages, ages rounded up; the own age is 0."""
        own = self._index_by_node.get(self._own)
        if own is not None:
            self._heard_ms[own] = now_ms
        rounded_ms = now_ms + AGE_UNIT_MS - 1
        codes = [
            (rounded_ms - heard_ms) // AGE_UNIT_MS
            for heard_ms in self._heard_ms
        ]
        ages = bytes(
            [
                NOT_HEARD if code > MAX_AGE_CODE else max(code, 0)
                for code in codes
            ]
        )
        return self._keys, ages

    def note(self, keys: bytes, ages: bytes, as_of_ms: clock.Millis) -> None:
        """Move times forward by the ages of a digest.

        `as_of_ms` must not be after the moment the ages were written.
        """
        if keys != self._keys or len(ages) != len(self._heard_ms):
            ages = self._translated(keys, ages)
        heard_ms = [
            (
                as_of_ms - code * AGE_UNIT_MS
                if code <= MAX_AGE_CODE
                else _NEVER_MS
            )
            for code in ages
        ]
        self._heard_ms = list(map(max, self._heard_ms, heard_ms))

    def _translated(self, keys: bytes, ages: bytes) -> bytes:
        """Return the ages in the order of this node's own fold."""
        found = bytearray([NOT_HEARD]) * len(self._heard_ms)
        oldest_by_key: dict[bytes, int] = {}
        for index, code in enumerate(ages):
            key = keys[_KEY_BYTES * index : _KEY_BYTES * (index + 1)]
            oldest_by_key[key] = max(code, oldest_by_key.get(key, 0))
        for key, code in oldest_by_key.items():
            for index in self._indexes_by_key.get(key, ()):
                found[index] = code
        return bytes(found)
