"""The nodes of the fold in one order, for compact per-node values."""

import hashlib
import typing

_KEY_BYTES = 2
_HASH_BYTES = 8


def node_key(node: str) -> bytes:
    """Return the key that stands for a node between different folds."""
    return hashlib.sha256(node.encode()).digest()[:_KEY_BYTES]


class NodeIndex:
    """Numbers the nodes of the fold by their sorted names.

    Two nodes with the same fold have the same numbers, which `fold_hash`
    tells; otherwise `matches` finds the numbers by keys.
    """

    def __init__(self, nodes: typing.Iterable[str] = ()) -> None:
        """Number the given nodes."""
        self.names = tuple(sorted(nodes))
        self.number_by_node = {name: i for i, name in enumerate(self.names)}
        keys = [node_key(name) for name in self.names]
        self.keys = b"".join(keys)
        joined = "\0".join(self.names).encode()
        self.fold_hash = hashlib.sha256(joined).digest()[:_HASH_BYTES]
        self._numbers_by_key: dict[bytes, list[int]] = {}
        for number, key in enumerate(keys):
            self._numbers_by_key.setdefault(key, []).append(number)

    def matches(self, keys: bytes) -> list[tuple[int, list[int]]]:
        """Return own numbers, each with the numbers of the same key.

        A key that several nodes share gives all of them; the caller takes
        the value that is worst for its use.
        """
        foreign: dict[bytes, list[int]] = {}
        for number in range(len(keys) // _KEY_BYTES):
            start = number * _KEY_BYTES
            key = keys[start : start + _KEY_BYTES]
            foreign.setdefault(key, []).append(number)
        return [
            (number, numbers)
            for key, numbers in foreign.items()
            for number in self._numbers_by_key.get(key, ())
        ]
