"""JSON encoding of batches; each entry is tagged by its `kind`.

Decoding is strict and depends only on the bytes, so that every node treats
the same records as malformed.
"""

import json
import math
import re
import typing

import attrs
import cattrs

from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results
from quetzalward_core import errors

MAX_BATCH_BYTES = 1_048_576
# The recursion limit of the JSON decoder depends on the caller's stack depth,
# so deeper nesting than this is malformed on every node.
MAX_DEPTH = 64
_OPENING_BRACKET = re.compile(r"[\[{]")
_STRING_LITERAL = re.compile(r'"(?:[^"\\]|\\.)*"', re.DOTALL)
_MAX_INTEGER = 2**63 - 1


@attrs.frozen
class Malformed:
    """Placeholder for an entry of a batch that could not be decoded."""

    reason: _results.VoidReason
    detail: str


@attrs.frozen
class Batch:
    """The entries of one append, in order."""

    writer: str
    seq: int
    entries: tuple[_records.Entry | Malformed, ...]


def _exact_type_hook(
    kind: type,
) -> typing.Callable[[typing.Any, type], typing.Any]:
    """Return a structure hook that accepts values of exactly one type."""

    def check(value: typing.Any, _: type) -> typing.Any:
        if type(value) is not kind:
            raise ValueError(
                f"expected type {kind.__name__}, got {value!r:.80}"
            )
        if type(value) is int and abs(value) > _MAX_INTEGER:
            raise ValueError("integer out of range of 64 bits")
        return value

    return check


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects extra keys and wrong JSON types."""
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=False
    )
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _exact_type_hook(kind))
    return converter


_CONVERTER = make_converter()


def encode_batch(
    writer: str, seq: int, entries: typing.Iterable[_records.Entry]
) -> str:
    """Return the JSON text of one append."""
    encoded = []
    for entry in entries:
        fields = _CONVERTER.unstructure(entry)
        kind = _records.KIND_BY_CLASS[type(entry)]
        encoded.append({"kind": kind, **fields})
    return to_json({"writer": writer, "seq": seq, "entries": encoded})


def to_json(value: typing.Any) -> str:
    """Return the canonical JSON text of a value."""
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), allow_nan=False
    )


def decode_batch(data: str) -> Batch:
    """Decode the data of a record.

    Raises `QuetzalwardError` of kind `malformed_record` if the batch as a
    whole cannot be decoded. Single invalid entries become `Malformed`.
    """
    try:
        document = _parse_json(data)
        entries = document["entries"]
        writer, seq = document["writer"], document["seq"]
        well_formed = (
            len(document) == 3
            and type(writer) is str
            and type(seq) is int
            and 1 <= seq <= _MAX_INTEGER
            and type(entries) is list
            and len(entries) <= _results.MAX_BATCH_ENTRIES
        )
    except (ValueError, KeyError, TypeError) as error:
        raise _malformed(str(error)) from error
    if not well_formed:
        raise _malformed(
            "expected an object with valid writer, seq and entries"
        )
    return Batch(writer, seq, tuple(_decode_entry(e) for e in entries))


def _malformed(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        errors.ErrorKind.MALFORMED_RECORD, f"batch: {detail}"
    )


def _parse_json(data: str) -> typing.Any:
    if len(data) > MAX_BATCH_BYTES:
        raise ValueError("data exceeds the size limit")
    if _depth_exceeds(data):
        raise ValueError("nesting exceeds the depth limit")
    return json.loads(
        data, parse_constant=_reject_constant, parse_float=_parse_finite_float
    )


def _depth_exceeds(data: str) -> bool:
    if data.count("[") + data.count("{") <= MAX_DEPTH:
        return False
    depth = 0
    for bracket in re.findall(r"[\[\]{}]", _STRING_LITERAL.sub("", data)):
        depth += 1 if _OPENING_BRACKET.match(bracket) else -1
        if depth > MAX_DEPTH:
            return True
    return False


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"number out of range: {text[:40]}")
    return number


def _reject_constant(name: str) -> typing.Any:
    raise ValueError(f"non-finite number {name}")


def _decode_entry(document: typing.Any) -> _records.Entry | Malformed:
    if type(document) is not dict or type(document.get("kind")) is not str:
        return Malformed(
            _results.VoidReason.MALFORMED, "entry is not an object with a kind"
        )
    fields = {name: v for name, v in document.items() if name != "kind"}
    cls = _records.CLASS_BY_KIND.get(document["kind"])
    if cls is None:
        reason = _results.VoidReason.UNKNOWN_KIND
        return Malformed(reason, document["kind"][:80])
    try:
        entry: _records.Entry = _CONVERTER.structure(fields, cls)
        return entry
    except Exception as error:  # cattrs raises many types for bad input
        return Malformed(_results.VoidReason.MALFORMED, str(error)[:200])
