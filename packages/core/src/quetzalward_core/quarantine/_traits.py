"""What two requests may have in common, as nodes compare and report it.

A request has one trait for each shared part of its prompt, and one for the
whole request, which its exact repeats have as well.
"""

import hashlib
import typing

# Longer ids of parts are replaced by a digest: callers choose them, and
# messages must hold them.
MAX_ID_CHARS = 16
_DIGEST_BYTES = MAX_ID_CHARS // 2
# No part's id contains a colon, which ends it in the header.
_REQUEST_PREFIX = "request:"


def part_ids(names: typing.Iterable[str]) -> tuple[str, ...]:
    """Return ids of bounded length for the parts of a prompt, each once.

    The size of a request's head limits their number.
    """
    return tuple(_part_id(name) for name in dict.fromkeys(names))


def _part_id(name: str) -> str:
    if len(name) <= MAX_ID_CHARS:
        return name
    digest = hashlib.blake2b(
        name.encode(errors="replace"), digest_size=_DIGEST_BYTES
    )
    return digest.hexdigest()


def request_trait(
    customer: str, method: bytes, host: str, target: bytes, body: bytes
) -> str:
    """Return the trait of a whole request.

    `target` has path and query. Other headers differ between repeats.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (
        customer.encode(errors="replace"),
        method,
        host.lower().encode(errors="replace"),
        target,
        body,
    ):
        # The length keeps different requests from hashing the same bytes.
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return _REQUEST_PREFIX + digest.hexdigest()


def is_request(trait: str) -> bool:
    """Tell whether a trait stands for a whole request."""
    return trait.startswith(_REQUEST_PREFIX)
