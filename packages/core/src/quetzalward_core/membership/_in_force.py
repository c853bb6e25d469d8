"""The nodes on which the newest configuration is in force."""

import typing

from quetzalward_core.membership import _index


class RevisionInForce:
    """The newest revision in force on any node, and the nodes that have it.

    The compact encoding, one bit per node, is part of every digest, so
    that a new configuration is confirmed as fast as digests spread.
    """

    def __init__(self) -> None:
        """Start at revision 0, without nodes."""
        self.revision = 0
        self._index = _index.NodeIndex()
        self._mask = 0

    def set_index(self, index: _index.NodeIndex) -> None:
        """Replace the nodes by those of the fold; drop all others."""
        nodes = self.nodes()
        self._index = index
        self._mask = 0
        for node in nodes:
            self._set(node)

    def _set(self, node: str) -> None:
        number = self._index.number_by_node.get(node)
        if number is not None:
            self._mask |= 1 << number

    def nodes(self) -> list[str]:
        """Return the nodes that have the revision in force."""
        return [
            name
            for number, name in enumerate(self._index.names)
            if self._mask >> number & 1
        ]

    def add(self, node: str, revision: int) -> None:
        """Record that a node has a revision in force."""
        if revision > self.revision:
            self.revision = revision
            self._mask = 0
        if revision == self.revision:
            self._set(node)

    def pack(self) -> bytes:
        """Return one bit per node, in the order of the index."""
        return self._mask.to_bytes((len(self._index.names) + 7) // 8, "little")

    def merge_packed(
        self,
        revision: int,
        packed: bytes,
        matches: typing.Sequence[tuple[int, list[int]]] | None,
    ) -> None:
        """Merge the bits of a digest; an older revision is ignored.

        `matches` is `None` for a digest with the same fold. If several nodes
        share a key, the bits of all of them must be set.
        """
        if revision < self.revision:
            return
        if revision > self.revision:
            self.revision = revision
            self._mask = 0
        mask = int.from_bytes(packed, "little")
        if matches is None:
            self._mask |= mask & ((1 << len(self._index.names)) - 1)
            return
        for number, foreign in matches:
            if all(mask >> other & 1 for other in foreign):
                self._mask |= 1 << number
