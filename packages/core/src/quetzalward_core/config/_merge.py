"""Merging of a folder of JSON files in the order of their names.

Objects are merged key by key, `null` removes a key, and lists and scalars
replace the values of earlier files (RFC 7396, JSON Merge Patch).
"""

import json
import typing

import attrs

from quetzalward_core import errors

Document = dict[str, typing.Any]
Path = tuple[str, ...]


@attrs.frozen
class ConfigFile:
    """One file of the folder: its name and its text."""

    name: str
    text: str


@attrs.frozen
class MergedDocument:
    """The merged document and the file that sets each value."""

    document: Document
    origins: dict[Path, str]

    def origin(self, path: Path) -> str | None:
        """Return the file that sets `path` or its nearest parent."""
        for length in range(len(path), 0, -1):
            if path[:length] in self.origins:
                return self.origins[path[:length]]
        return None


def _reject_duplicate_keys(pairs: list[tuple[str, typing.Any]]) -> Document:
    keys = [key for key, _ in pairs]
    for key in keys:
        if keys.count(key) > 1:
            raise ValueError(f"duplicate key {key!r} in one object")
    return dict(pairs)


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def parse_file(file: ConfigFile) -> Document:
    """Return the file's JSON object.

    Raises `QuetzalwardError` of kind `config_invalid` that names the file.
    """
    try:
        document = json.loads(
            file.text,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise _invalid(file.name, str(error)) from error
    if not isinstance(document, dict):
        raise _invalid(file.name, "the top level must be a JSON object")
    return document


def _invalid(file_name: str, cause: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        errors.ErrorKind.CONFIG_INVALID, f"{file_name}: {cause}"
    )


def _remove_origins(origins: dict[Path, str], path: Path) -> None:
    for child in [p for p in origins if p[: len(path)] == path]:
        del origins[child]


def _apply_patch(
    base: Document,
    patch: Document,
    file_name: str,
    origins: dict[Path, str],
    parent: Path,
) -> None:
    for key, value in patch.items():
        path = (*parent, key)
        if value is None:
            base.pop(key, None)
            _remove_origins(origins, path)
        elif isinstance(value, dict):
            if not isinstance(base.get(key), dict):
                _remove_origins(origins, path)
                base[key] = {}
                origins[path] = file_name
            _apply_patch(base[key], value, file_name, origins, path)
        else:
            _remove_origins(origins, path)
            base[key] = value
            origins[path] = file_name


def merge(files: typing.Iterable[ConfigFile]) -> MergedDocument:
    """Merge files in the order of their names.

    Raises `QuetzalwardError` of kind `config_invalid` for a malformed file.
    """
    document: Document = {}
    origins: dict[Path, str] = {}
    for file in sorted(files, key=lambda item: item.name):
        _apply_patch(document, parse_file(file), file.name, origins, ())
    return MergedDocument(document, origins)
