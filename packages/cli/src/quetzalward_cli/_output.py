"""Formats command results as text, tables or JSON."""

import json
import sys
import typing

import attrs

Row = typing.Mapping[str, typing.Any]


@attrs.frozen
class Report:
    """The result of a command: lines of text, then the rows of a table.

    With `--json`, `value` is printed instead.
    """

    value: typing.Any
    as_json: bool
    rows: tuple[Row, ...] = ()
    lines: tuple[str, ...] = ()


def serialize(result: object) -> str | None:
    """Return the text to print for a command's result, None for nothing."""
    if not isinstance(result, Report):
        return None if result is None else str(result)
    if result.as_json:
        return json.dumps(result.value, indent=2, sort_keys=True)
    parts = list(result.lines)
    if result.rows:
        parts += format_table(result.rows)
    return "\n".join(parts) or "nothing to show"


def _format_cell(value: object) -> str:
    if isinstance(value, (list, tuple)):
        return ",".join(str(item) for item in value)
    return "-" if value is None else str(value)


def format_table(rows: typing.Sequence[Row]) -> list[str]:
    """Return the lines of a table with aligned columns and a heading line."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [columns] + [
        [_format_cell(r.get(c)) for c in columns] for r in rows
    ]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return [
        "  ".join(c.ljust(w) for c, w in zip(line, widths)).rstrip()
        for line in cells
    ]


def show_progress(text: str) -> None:
    """Replace the progress line on stderr if stderr is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)


def clear_progress() -> None:
    """Clear the progress line."""
    show_progress("")
