"""Blocked prompts, as every node knows them."""

import typing

import attrs

# A caller could send ever new parts under which targets crash; the oldest
# block is dropped beyond this number.
MAX_BLOCKS = 256


@attrs.frozen
class Block:
    """Prompts that contain all of these parts are refused."""

    parts: frozenset[str]
    # Whether the store has it, so that a missing record means that an
    # operator lifted it.
    saved: bool = False


class Quarantine:
    """The blocks in force at this node, and the suspects."""

    def __init__(self) -> None:
        """Start without blocks."""
        self._block_by_parts: dict[frozenset[str], Block] = {}
        self.suspects: frozenset[str] = frozenset()

    @property
    def blocks(self) -> tuple[Block, ...]:
        """Return all blocks, the oldest first."""
        return tuple(self._block_by_parts.values())

    def add(self, block: Block) -> Block | None:
        """Add a block; return the one dropped for it, if any.

        A saved block stays so.
        """
        known = self._block_by_parts.get(block.parts)
        if known is not None:
            block = attrs.evolve(block, saved=known.saved or block.saved)
        self._block_by_parts[block.parts] = block
        if len(self._block_by_parts) <= MAX_BLOCKS:
            return None
        return self._block_by_parts.pop(next(iter(self._block_by_parts)))

    def set_saved(self, parts: frozenset[str], saved: bool) -> None:
        """Set whether the store has a block that is known."""
        known = self._block_by_parts[parts]
        self._block_by_parts[parts] = attrs.evolve(known, saved=saved)

    def remove(self, parts: frozenset[str]) -> bool:
        """Remove a block; false if there was none."""
        return self._block_by_parts.pop(parts, None) is not None

    def blocking(self, parts: typing.Collection[str]) -> Block | None:
        """Return a block that a prompt's shared parts fall under."""
        if not self._block_by_parts or not parts:
            return None
        present = frozenset(parts)
        for block in self._block_by_parts.values():
            if block.parts <= present:
                return block
        return None
