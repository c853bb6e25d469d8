"""Conversion between JSON documents and the configuration model."""

import json
import math
import re
import typing

import attrs
import cattrs

from quetzalward_core.config import _model
from quetzalward_core import errors

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_TYPE_NAMES = {int: "an integer", float: "a number", str: "a string"}
# Marks a JSON list of unknown keys in the text of an error.
_UNKNOWN_KEYS = "unknown keys "
_STEP = re.compile(r"\.([^.\[\]]+)|\[('?)(.*?)\2\]")


def _strict(kind: type) -> typing.Callable[[typing.Any, typing.Any], object]:
    accepted = (int, float) if kind is float else (kind,)

    def convert(value: typing.Any, _: typing.Any) -> object:
        if isinstance(value, bool) or not isinstance(value, accepted):
            shown = type(value).__name__
            raise TypeError(f"expected {_TYPE_NAMES[kind]}, found {shown}")
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError("expected a finite number")
        return kind(value)

    return convert


def _strict_bool(value: typing.Any, _: typing.Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, found {value!r:.40}")
    return value


for _kind in _TYPE_NAMES:
    _CONVERTER.register_structure_hook(_kind, _strict(_kind))
_CONVERTER.register_structure_hook(bool, _strict_bool)


@attrs.frozen
class Problem:
    """One fault of a document: where it is and what is wrong."""

    path: tuple[str, ...]
    cause: str

    def __str__(self) -> str:
        """Return the path in dotted form and the cause."""
        return f"{'.'.join(self.path) or '(top level)'}: {self.cause}"


def _problems(message: str) -> list[Problem]:
    """Return the problems of one line of cattrs; one for each unknown key."""
    cause, _, where = message.rpartition(" @ ")
    if not cause:
        cause, where = where, "$"
    steps = [a or c for a, _, c in _STEP.findall(where.removeprefix("$"))]
    if not cause.startswith(_UNKNOWN_KEYS):
        return [Problem(tuple(steps), cause)]
    keys = json.loads(cause.removeprefix(_UNKNOWN_KEYS))
    # With the key in the path, its own file is named as the origin.
    return [Problem((*steps, key), f"unknown key {key!r}") for key in keys]


def _describe(error: BaseException, kind: type | None) -> str:
    del kind
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return _UNKNOWN_KEYS + json.dumps(sorted(error.extra_fields))
    if isinstance(error, KeyError):
        return f"required key {error.args[0]!r} is missing"
    if isinstance(error, AttributeError):
        return "expected an object"
    return str(error)


def structure(
    document: dict[str, typing.Any],
) -> tuple[_model.Configuration | None, list[Problem]]:
    """Build the configuration, or return every structural problem."""
    try:
        return _CONVERTER.structure(document, _model.Configuration), []
    except cattrs.BaseValidationError as error:
        lines = cattrs.transform_error(error, format_exception=_describe)
        return None, [one for line in lines for one in _problems(line)]
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        return None, [Problem((), str(error))]


def from_document(
    document: dict[str, typing.Any],
) -> _model.Configuration:
    """Build the configuration from a merged JSON document.

    Raises `QuetzalwardError` of kind `config_invalid` with the paths at fault.
    """
    configuration, problems = structure(document)
    if configuration is None:
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_INVALID, "; ".join(map(str, problems))
        )
    return configuration


def to_document(
    configuration: _model.Configuration,
) -> dict[str, typing.Any]:
    """Return the configuration as a JSON document with every default."""
    return typing.cast(
        dict[str, typing.Any], _CONVERTER.unstructure(configuration)
    )
