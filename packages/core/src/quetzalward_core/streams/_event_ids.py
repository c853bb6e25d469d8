"""Signed ids of SSE events, with which any node can continue a stream.

An id is `{stream_id}.{index}.{mac}`. `stream_id` is 16 random hex digits
followed by the sampling seed as 8 hex digits; `index` is the number of tokens
sent so far. The MAC also covers the phase of the event, so that a caller that
already has the finish event does not receive it a second time.
"""

import enum
import hashlib
import hmac
import re

import attrs

from quetzalward_core import errors

MAC_HEX_DIGITS = 16
RANDOM_HEX_DIGITS = 16
SEED_HEX_DIGITS = 8
MAX_SEED = 16**SEED_HEX_DIGITS - 1

_EVENT_ID = re.compile(r"([0-9a-f]{24})\.(0|[1-9][0-9]{0,8})\.([0-9a-f]{16})")


class Phase(enum.IntEnum):
    """The part of an answer that the caller has received, in order."""

    NOTHING = 0
    START = 1
    TOKENS = 2
    FINISH = 3
    USAGE = 4
    DONE = 5


@attrs.frozen
class Position:
    """The number of tokens and the phase that a caller has received."""

    index: int
    phase: Phase


START_POSITION = Position(0, Phase.NOTHING)


def make_stream_id(random_hex: str, seed: int) -> str:
    """Return a stream id from 16 random hex digits and a 32-bit seed.

    Raises `ValueError` if either is out of range.
    """
    if not re.fullmatch(r"[0-9a-f]{16}", random_hex):
        raise ValueError("random_hex must be 16 hex digits")
    if not 0 <= seed <= MAX_SEED:
        raise ValueError("seed must be an unsigned 32-bit integer")
    return f"{random_hex}{seed:08x}"


def seed_from_stream_id(stream_id: str) -> int:
    """Return the sampling seed that a stream id contains."""
    return int(stream_id[RANDOM_HEX_DIGITS:], 16)


@attrs.frozen
class EventSigner:
    """Signs and verifies the event ids of one request of one customer."""

    secret: bytes
    customer: str
    # SHA-256 hex of the endpoint and the request body.
    body_hash: str
    _macs_by_stream_id: dict[str, hmac.HMAC] = attrs.field(
        factory=dict, init=False, repr=False, eq=False
    )

    def event_id(self, stream_id: str, position: Position) -> str:
        """Return the id of the event after which a caller is at `position`."""
        mac = self._mac(stream_id, position)
        return f"{stream_id}.{position.index}.{mac}"

    def check(self, event_id: str) -> tuple[str, Position]:
        """Return the stream id and position of a Last-Event-ID.

        Raises `QuetzalwardError` of kind `bad_continuation` for any id that
        was not issued for this customer and request.
        """
        match = _EVENT_ID.fullmatch(event_id)
        if match:
            stream_id, index, mac = match.groups()
            for phase in Phase:
                position = Position(int(index), phase)
                expected = self._mac(stream_id, position)
                if hmac.compare_digest(mac, expected):
                    return stream_id, position
        raise errors.QuetzalwardError(
            errors.ErrorKind.BAD_CONTINUATION,
            "Last-Event-ID was not issued for this customer and request",
        )

    def _mac(self, stream_id: str, position: Position) -> str:
        prefix_mac = self._macs_by_stream_id.get(stream_id)
        if prefix_mac is None:
            prefix_mac = hmac.new(self.secret, digestmod=hashlib.sha256)
            for field in (self.customer, self.body_hash, stream_id):
                data = field.encode()
                # Length prefixes make the encoding of the fields unambiguous.
                prefix_mac.update(len(data).to_bytes(4, "big") + data)
            self._macs_by_stream_id[stream_id] = prefix_mac
        # Each token's id differs only in the position, so the keyed prefix is
        # hashed once per stream.
        mac = prefix_mac.copy()
        mac.update(b"%d.%d" % (position.index, position.phase))
        return mac.hexdigest()[:MAC_HEX_DIGITS]
