"""Compact forms of demand and of ages."""

import functools
import hashlib
import math
import struct
import typing

import attrs

from quetzalward_core import clock

# Eight steps per octave keep the error of a decoded value below 5%.
_STEPS_PER_OCTAVE = 8
_SMALLEST = 1 / 64
MAX_CODE = 255
# Changes of up to two steps (19%) are noise of a second's measurement; saying
# each of them again would fill the digests.
UNSAID_STEPS = 2
_DEMAND = struct.Struct(">IBB")
_AGE = struct.Struct(">HB")
AGE_UNIT_MS = 100
# Older nodes are left out; nothing asks for larger ages.
MAX_AGE_CODE = 250


@attrs.frozen
class Demand:
    """What one customer wants from one node at present."""

    rate_per_s: float
    concurrency: float


def encode_amount(value: float) -> int:
    """Return the code of an amount; 0 stands for nothing."""
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
    """Return the 32-bit key that stands for a customer in a digest."""
    digest = hashlib.sha256(customer.encode()).digest()
    return int.from_bytes(digest[:4], "big")


@functools.lru_cache(maxsize=4096)
def node_key(node: str) -> int:
    """Return the 16-bit key that stands for a node among ages.

    Two nodes may share one; then the larger age counts for both.
    """
    digest = hashlib.sha256(node.encode()).digest()
    return int.from_bytes(digest[:2], "big")


def pack_demand(
    demand_by_customer: typing.Mapping[str, Demand], max_bytes: int
) -> bytes:
    """Return six bytes per customer, the largest demands first."""
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
    """Tell whether a packed demand changed enough to say it again."""
    before = {row[0]: row[1:] for row in _DEMAND.iter_unpack(old)}
    after = {row[0]: row[1:] for row in _DEMAND.iter_unpack(new)}
    if before.keys() != after.keys():
        return True
    return any(
        abs(one - other) > UNSAID_STEPS
        for key, codes in after.items()
        for one, other in zip(codes, before[key])
    )


def pack_ages(
    heard_ms_by_node: typing.Mapping[str, clock.Millis],
    now_ms: clock.Millis,
) -> bytes:
    """Return three bytes per node heard lately, ages rounded up."""
    code_by_key: dict[int, int] = {}
    oldest_ms = now_ms - MAX_AGE_CODE * AGE_UNIT_MS
    hidden = set()
    for node, heard_ms in heard_ms_by_node.items():
        key = node_key(node)
        if heard_ms < oldest_ms:
            hidden.add(key)
            continue
        code = max(0, -((heard_ms - now_ms) // AGE_UNIT_MS))
        code_by_key[key] = max(code, code_by_key.get(key, 0))
    return b"".join(
        _AGE.pack(key, code)
        for key, code in code_by_key.items()
        if key not in hidden
    )


def unpack_ages(packed: bytes) -> dict[int, clock.Millis]:
    """Return ages in milliseconds by node key."""
    whole = len(packed) - len(packed) % _AGE.size
    return {
        key: code * AGE_UNIT_MS
        for key, code in _AGE.iter_unpack(packed[:whole])
    }
