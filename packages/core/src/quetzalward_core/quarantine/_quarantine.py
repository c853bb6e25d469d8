"""Blocked requests, as every node knows them."""

import typing

import attrs

# A caller could send ever new requests under which targets crash; the oldest
# block is dropped beyond this number.
MAX_BLOCKS = 256


@attrs.frozen
class Block:
    """Requests that have all of these traits are refused."""

    traits: frozenset[str]
    # Whether the store has it, so that a missing record means that an
    # operator lifted it.
    saved: bool = False


class Quarantine:
    """The blocks in force at this node, and the suspects."""

    def __init__(self) -> None:
        """Start without blocks."""
        self._block_by_traits: dict[frozenset[str], Block] = {}
        self.suspects: frozenset[str] = frozenset()

    @property
    def blocks(self) -> tuple[Block, ...]:
        """Return all blocks, the oldest first."""
        return tuple(self._block_by_traits.values())

    def add(self, block: Block) -> Block | None:
        """Add a block; return the one dropped for it, if any.

        A saved block stays so.
        """
        known = self._block_by_traits.get(block.traits)
        if known is not None:
            block = attrs.evolve(block, saved=known.saved or block.saved)
        self._block_by_traits[block.traits] = block
        if len(self._block_by_traits) <= MAX_BLOCKS:
            return None
        return self._block_by_traits.pop(next(iter(self._block_by_traits)))

    def set_saved(self, traits: frozenset[str], saved: bool) -> None:
        """Set whether the store has a block that is known."""
        known = self._block_by_traits[traits]
        self._block_by_traits[traits] = attrs.evolve(known, saved=saved)

    def remove(self, traits: frozenset[str]) -> bool:
        """Remove a block; false if there was none."""
        return self._block_by_traits.pop(traits, None) is not None

    def blocking(self, traits: typing.Collection[str]) -> Block | None:
        """Return a block that a request with these traits falls under."""
        if not self._block_by_traits or not traits:
            return None
        present = frozenset(traits)
        for block in self._block_by_traits.values():
            if block.traits <= present:
                return block
        return None
