"""Conversion between JSON documents and the configuration model."""

import typing

import cattrs

from quetzalward_core.config import _model
from quetzalward_core import errors

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def from_document(
    document: dict[str, typing.Any],
) -> _model.Configuration:
    """Build the configuration from a merged JSON document.

    Raises `QuetzalwardError` of kind `config_invalid` with the paths at fault.
    """
    try:
        return _CONVERTER.structure(document, _model.Configuration)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_INVALID, reasons
        ) from error


def to_document(
    configuration: _model.Configuration,
) -> dict[str, typing.Any]:
    """Return the configuration as a JSON document with every default."""
    return typing.cast(
        dict[str, typing.Any], _CONVERTER.unstructure(configuration)
    )
