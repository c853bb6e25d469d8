"""Differences between documents, and the file that sets each value."""

import json
import typing

import attrs

from quetzalward_core.config import _merge


@attrs.frozen
class Change:
    """A value that differs; `None` means that it is absent."""

    path: tuple[str, ...]
    before: typing.Any
    after: typing.Any

    def __str__(self) -> str:
        """Return the change as one line of text."""
        name = ".".join(self.path)
        if self.before is None:
            return f"+ {name} = {json.dumps(self.after)}"
        if self.after is None:
            return f"- {name} = {json.dumps(self.before)}"
        before, after = json.dumps(self.before), json.dumps(self.after)
        return f"~ {name}: {before} -> {after}"


def flatten(
    document: typing.Mapping[str, typing.Any], parent: tuple[str, ...] = ()
) -> dict[tuple[str, ...], typing.Any]:
    """Return the values of a document by path; lists are not expanded."""
    values: dict[tuple[str, ...], typing.Any] = {}
    for key, value in document.items():
        path = (*parent, key)
        if isinstance(value, dict) and value:
            values.update(flatten(value, path))
        else:
            values[path] = value
    return values


def diff(
    before: typing.Mapping[str, typing.Any],
    after: typing.Mapping[str, typing.Any],
) -> list[Change]:
    """Return the changes from one document to another, sorted by path."""
    old, new = flatten(before), flatten(after)
    return [
        Change(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


@attrs.frozen
class Explanation:
    """A value and the file that sets it."""

    path: tuple[str, ...]
    value: typing.Any
    file: str


def explain(
    merged: _merge.MergedDocument, prefix: str = ""
) -> list[Explanation]:
    """Return each value under a dotted path with the file that sets it."""
    prefix_path = tuple(step for step in prefix.split(".") if step)
    return [
        Explanation(path, value, merged.origin(path) or "(default)")
        for path, value in sorted(flatten(merged.document).items())
        if path[: len(prefix_path)] == prefix_path
    ]
