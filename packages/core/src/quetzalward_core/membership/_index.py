"""Numbering of the nodes of the fold, for compact per-node values.

The fold is the fleet's state that a node derives from the control log.
"""

import hashlib
import typing

_KEY_BYTES = 2
_HASH_BYTES = 8


def node_key(node: str) -> bytes:
    """Return the short hash that identifies a node across different folds."""
    return hashlib.sha256(node.encode()).digest()[:_KEY_BYTES]


class NodeIndex:
    """Numbers the nodes of the fold in the order of their names.

    Nodes with an equal `fold_hash` use the same numbers; otherwise
    `match_keys` maps the numbers by node keys.
    """

    def __init__(self, nodes: typing.Iterable[str] = ()) -> None:
        """Number the given nodes from 0."""
        self.names = tuple(sorted(nodes))
        self.number_by_node = {name: i for i, name in enumerate(self.names)}
        keys = [node_key(name) for name in self.names]
        self.keys = b"".join(keys)
        joined = "\0".join(self.names).encode()
        self.fold_hash = hashlib.sha256(joined).digest()[:_HASH_BYTES]
        self._numbers_by_key: dict[bytes, list[int]] = {}
        for number, key in enumerate(keys):
            self._numbers_by_key.setdefault(key, []).append(number)

    def match_keys(self, keys: bytes) -> list[tuple[int, list[int]]]:
        """Return own numbers, each with the foreign numbers of the same key.

        `keys` are the concatenated node keys of another index. If several
        nodes share a key, all of their numbers are returned, and the caller
        must use the most pessimistic of their values.
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
