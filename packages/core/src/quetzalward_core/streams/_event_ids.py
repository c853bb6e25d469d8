"""Ids of SSE events, from which any node can continue a stream.

An id is `{stream}.{index}.{mac}`. `stream` is 16 random hex digits followed by
the sampling seed as 8 hex digits; `index` is the number of tokens sent so far.
The mac also covers the phase of the event, so that a caller that already has
the finish event does not receive it a second time.
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

_ID = re.compile(r"([0-9a-f]{24})\.(0|[1-9][0-9]{0,8})\.([0-9a-f]{16})")


class Phase(enum.IntEnum):
    """How much of an answer the caller has after an event, in order."""

    NOTHING = 0
    START = 1
    TOKENS = 2
    FINISH = 3
    USAGE = 4
    DONE = 5


@attrs.frozen
class Position:
    """How much of one answer a caller has received."""

    index: int
    phase: Phase


BEGINNING = Position(0, Phase.NOTHING)


def make_stream(random_hex: str, seed: int) -> str:
    """Return a stream name from 16 random hex digits and a 32-bit seed."""
    if not re.fullmatch(r"[0-9a-f]{16}", random_hex):
        raise ValueError("random_hex must be 16 hex digits")
    if not 0 <= seed <= MAX_SEED:
        raise ValueError("seed must fit into 32 bits")
    return f"{random_hex}{seed:08x}"


def seed_of(stream: str) -> int:
    """Return the sampling seed that a stream name carries."""
    return int(stream[RANDOM_HEX_DIGITS:], 16)


@attrs.frozen
class EventSigner:
    """Makes and checks the event ids of one request of one customer."""

    secret: bytes
    customer: str
    # SHA-256 hex of the endpoint and the request body.
    body_hash: str
    _macs_by_stream: dict[str, hmac.HMAC] = attrs.field(
        factory=dict, init=False, repr=False, eq=False
    )

    def event_id(self, stream: str, position: Position) -> str:
        """Return the id of the event that brings a caller to `position`."""
        mac = self._mac(stream, position)
        return f"{stream}.{position.index}.{mac}"

    def check(self, event_id: str) -> tuple[str, Position]:
        """Return the stream and position that a Last-Event-ID names.

        Raises `QuetzalwardError` of kind `bad_continuation` for any id that
        was not made for this customer and request.
        """
        match = _ID.fullmatch(event_id)
        if match:
            stream, index, mac = match.groups()
            for phase in Phase:
                position = Position(int(index), phase)
                expected = self._mac(stream, position)
                if hmac.compare_digest(mac, expected):
                    return stream, position
        raise errors.QuetzalwardError(
            errors.ErrorKind.BAD_CONTINUATION,
            "Last-Event-ID was not issued for this customer and request",
        )

    def _mac(self, stream: str, position: Position) -> str:
        known = self._macs_by_stream.get(stream)
        if known is None:
            known = hmac.new(self.secret, digestmod=hashlib.sha256)
            for field in (self.customer, self.body_hash, stream):
                data = field.encode()
                # Lengths keep two lists of fields from the same bytes.
                known.update(len(data).to_bytes(4, "big") + data)
            self._macs_by_stream[stream] = known
        # Every token has an id; only its position differs from the last.
        mac = known.copy()
        mac.update(b"%d.%d" % (position.index, position.phase))
        return mac.hexdigest()[:MAC_HEX_DIGITS]
