"""Merge of a folder of JSON files in the order of their names.

Objects merge key by key, `null` removes a key, lists and scalars replace what
earlier files gave (RFC 7396, JSON Merge Patch).
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
class Merged:
    """The merged document and the file that gave each value."""

    document: Document
    origins: dict[Path, str]

    def origin(self, path: Path) -> str | None:
        """Return the file that gave the value at `path` or its parent."""
        for length in range(len(path), 0, -1):
            if path[:length] in self.origins:
                return self.origins[path[:length]]
        return None


def _refuse_duplicates(pairs: list[tuple[str, typing.Any]]) -> Document:
    keys = [key for key, _ in pairs]
    for key in keys:
        if keys.count(key) > 1:
            raise ValueError(f"key {key!r} stands twice in one object")
    return dict(pairs)


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def parse_file(file: ConfigFile) -> Document:
    """Return the file's JSON object.

    Raises `QuetzalwardError` of kind `config_invalid` with file and cause.
    """
    try:
        document = json.loads(
            file.text,
            object_pairs_hook=_refuse_duplicates,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        raise _invalid(file.name, str(error)) from error
    if not isinstance(document, dict):
        raise _invalid(file.name, "the top level must be an object")
    return document


def _invalid(name: str, cause: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        errors.ErrorKind.CONFIG_INVALID, f"{name}: {cause}"
    )


def _forget(origins: dict[Path, str], path: Path) -> None:
    for known in [p for p in origins if p[: len(path)] == path]:
        del origins[known]


def _apply(
    base: Document,
    patch: Document,
    name: str,
    origins: dict[Path, str],
    parent: Path,
) -> None:
    for key, value in patch.items():
        path = (*parent, key)
        if value is None:
            base.pop(key, None)
            _forget(origins, path)
        elif isinstance(value, dict):
            if not isinstance(base.get(key), dict):
                _forget(origins, path)
                base[key] = {}
                origins[path] = name
            _apply(base[key], value, name, origins, path)
        else:
            _forget(origins, path)
            base[key] = value
            origins[path] = name


def merge(files: typing.Iterable[ConfigFile]) -> Merged:
    """Merge files in the order of their names.

    Raises `QuetzalwardError` of kind `config_invalid` for a malformed file.
    """
    document: Document = {}
    origins: dict[Path, str] = {}
    for file in sorted(files, key=lambda item: item.name):
        _apply(document, parse_file(file), file.name, origins, ())
    return Merged(document, origins)
