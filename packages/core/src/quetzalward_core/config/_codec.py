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
# Starts an error text that continues with a JSON list of unknown keys.
_UNKNOWN_KEYS_PREFIX = "unknown keys "
_PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[('?)(.*?)\2\]")


def _strict(kind: type) -> typing.Callable[[typing.Any, typing.Any], object]:
    accepted = (int, float) if kind is float else (kind,)

    def convert(value: typing.Any, _: typing.Any) -> object:
        if isinstance(value, bool) or not isinstance(value, accepted):
            type_name = type(value).__name__
            raise TypeError(f"expected {_TYPE_NAMES[kind]}, found {type_name}")
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
    """One error in a document: the path of the value and the cause."""

    path: tuple[str, ...]
    cause: str

    def __str__(self) -> str:
        """Return the path in dotted form and the cause."""
        return f"{'.'.join(self.path) or '(top level)'}: {self.cause}"


def _parse_problems(message: str) -> list[Problem]:
    """Parse one cattrs error message; unknown keys give a problem each."""
    cause, _, location = message.rpartition(" @ ")
    if not cause:
        cause, location = location, "$"
    steps = [
        key or index
        for key, _, index in _PATH_STEP.findall(location.removeprefix("$"))
    ]
    if not cause.startswith(_UNKNOWN_KEYS_PREFIX):
        return [Problem(tuple(steps), cause)]
    keys = json.loads(cause.removeprefix(_UNKNOWN_KEYS_PREFIX))
    # The path includes the key, so that the origin is the file that sets it.
    return [Problem((*steps, key), f"unknown key {key!r}") for key in keys]


def _describe(error: BaseException, kind: type | None) -> str:
    del kind
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return _UNKNOWN_KEYS_PREFIX + json.dumps(sorted(error.extra_fields))
    if isinstance(error, KeyError):
        return f"required key {error.args[0]!r} is missing"
    if isinstance(error, AttributeError):
        return "expected an object"
    return str(error)


def structure(
    document: dict[str, typing.Any],
) -> tuple[_model.Configuration | None, list[Problem]]:
    """Return the configuration, or `None` and every structural problem."""
    try:
        return _CONVERTER.structure(document, _model.Configuration), []
    except cattrs.BaseValidationError as error:
        messages = cattrs.transform_error(error, format_exception=_describe)
        return None, [p for text in messages for p in _parse_problems(text)]
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        return None, [Problem((), str(error))]


def from_document(
    document: dict[str, typing.Any],
) -> _model.Configuration:
    """Build the configuration from a merged JSON document.

    Raises `QuetzalwardError` of kind `config_invalid` with every problem.
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
    """Return the configuration as a JSON document, defaults included."""
    return typing.cast(
        dict[str, typing.Any], _CONVERTER.unstructure(configuration)
    )
