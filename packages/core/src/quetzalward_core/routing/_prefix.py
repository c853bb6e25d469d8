"""Prompt prefixes and an index of the engines' prefix caches.

A prefix id names the first `n * BLOCK_CHARS` characters of a prompt. Cache
events carry the same ids.
"""

import collections
import hashlib
import typing

BLOCK_CHARS = 256
# Bounds the hashing per request; 64 blocks are about 4,000 tokens.
MAX_BLOCKS = 64
ID_HEX_DIGITS = 16
# Bounds the memory per target to about 0.5 MB.
MAX_PREFIXES = 4_096
CHARS_PER_TOKEN = 4


def prefix_ids(prompt: str) -> tuple[str, ...]:
    """Return the ids of the prompt's prefixes, shortest first."""
    digest = hashlib.sha256()
    ids = []
    blocks = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for block in range(blocks):
        start = block * BLOCK_CHARS
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        ids.append(digest.copy().hexdigest()[:ID_HEX_DIGITS])
    return tuple(ids)


def token_count(prompt: str) -> int:
    """Return an estimate of the prompt's tokens."""
    return max(1, len(prompt) // CHARS_PER_TOKEN)


class PrefixIndex:
    """Prefixes that are probably in one target's cache.

    Cache events arrive late and with gaps, so prefixes are also added when
    requests are sent. The least recently seen ones are evicted.
    """

    def __init__(self, capacity: int = MAX_PREFIXES) -> None:
        """Hold at most `capacity` prefixes."""
        self._capacity = capacity
        self._seen: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of prefixes held."""
        return len(self._seen)

    def add(self, ids: typing.Iterable[str]) -> None:
        """Add prefixes that are cached or about to be."""
        for prefix in ids:
            self._seen[prefix] = None
            self._seen.move_to_end(prefix)
        while len(self._seen) > self._capacity:
            self._seen.popitem(last=False)

    def evict(self, prefix: str) -> None:
        """Remove a prefix that the engine has evicted."""
        self._seen.pop(prefix, None)

    def clear(self) -> None:
        """Remove all prefixes, for an engine that has lost its cache."""
        self._seen.clear()

    def cached_tokens(self, ids: typing.Sequence[str]) -> int:
        """Return the tokens of the longest known prefix."""
        for index in range(len(ids) - 1, -1, -1):
            if ids[index] in self._seen:
                return (index + 1) * BLOCK_CHARS // CHARS_PER_TOKEN
        return 0
