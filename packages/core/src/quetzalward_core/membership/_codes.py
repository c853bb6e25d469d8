"""Compact encoding of demand."""

import functools
import hashlib
import math
import struct
import typing

import attrs

# Eight steps per octave keep the error of a decoded value below 5%.
_STEPS_PER_OCTAVE = 8
_SMALLEST = 1 / 64
MAX_CODE = 255
# Changes of up to two steps (19%) are noise of a measurement over one second;
# publishing each of them would fill the digests.
MAX_UNPUBLISHED_STEPS = 2
_DEMAND = struct.Struct(">IBB")


@attrs.frozen
class Demand:
    """Current demand of one customer at one node."""

    rate_per_s: float
    concurrency: float


def encode_amount(value: float) -> int:
    """Return the one-byte logarithmic code of an amount.

    Amounts below 1/64 are encoded as 0.
    """
    if value < _SMALLEST:
        return 0
    steps = round(math.log2(value / _SMALLEST) * _STEPS_PER_OCTAVE)
    return min(MAX_CODE, steps + 1)


def decode_amount(code: int) -> float:
    """Return the amount of a code."""
    if code == 0:
        return 0.0
    return float(_SMALLEST * 2 ** ((code - 1) / _STEPS_PER_OCTAVE))


@functools.lru_cache(maxsize=4096)
def customer_key(customer: str) -> int:
    """Return the 32-bit hash that identifies a customer in a digest."""
    digest = hashlib.sha256(customer.encode()).digest()
    return int.from_bytes(digest[:4], "big")


def pack_demand(
    demand_by_customer: typing.Mapping[str, Demand], max_bytes: int
) -> bytes:
    """Return six bytes per customer, the largest demands first.

    Omits customers without demand, and the smallest beyond `max_bytes`.
    """
    rows = []
    for customer, demand in demand_by_customer.items():
        rate = encode_amount(demand.rate_per_s)
        concurrency = encode_amount(demand.concurrency)
        if rate or concurrency:
            rows.append((-concurrency, -rate, customer_key(customer)))
    rows.sort()
    kept = rows[: max_bytes // _DEMAND.size]
    return b"".join(
        _DEMAND.pack(key, -rate, -concurrency)
        for concurrency, rate, key in kept
    )


def unpack_demand(packed: bytes) -> dict[int, Demand]:
    """Return demand by customer key; an incomplete row is ignored."""
    whole = len(packed) - len(packed) % _DEMAND.size
    return {
        key: Demand(decode_amount(rate), decode_amount(concurrency))
        for key, rate, concurrency in _DEMAND.iter_unpack(packed[:whole])
    }


def demand_differs(old: bytes, new: bytes) -> bool:
    """Tell whether a packed demand changed enough to be published again."""
    before = {row[0]: row[1:] for row in _DEMAND.iter_unpack(old)}
    after = {row[0]: row[1:] for row in _DEMAND.iter_unpack(new)}
    if before.keys() != after.keys():
        return True
    return any(
        abs(one - other) > MAX_UNPUBLISHED_STEPS
        for key, codes in after.items()
        for one, other in zip(codes, before[key])
    )
