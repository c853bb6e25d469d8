"""Readable tables for people, JSON for programs."""

import json
import sys
import typing

import attrs

Row = typing.Mapping[str, typing.Any]


@attrs.frozen
class Report:
    """What a command has to say: lines, or rows under headings.

    `value` is printed instead with `--json`.
    """

    value: typing.Any
    as_json: bool
    rows: tuple[Row, ...] = ()
    lines: tuple[str, ...] = ()


def serialize(result: object) -> str | None:
    """Return a command's report as text."""
    if not isinstance(result, Report):
        return None if result is None else str(result)
    if result.as_json:
        return json.dumps(result.value, indent=2, sort_keys=True)
    parts = list(result.lines)
    if result.rows:
        parts += table(result.rows)
    return "\n".join(parts) or "nothing to show"


def _cell(value: object) -> str:
    if isinstance(value, (list, tuple)):
        return ",".join(str(item) for item in value)
    return "-" if value is None else str(value)


def table(rows: typing.Sequence[Row]) -> list[str]:
    """Return rows as lines of aligned columns, headings first."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [columns] + [[_cell(r.get(c)) for c in columns] for r in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return [
        "  ".join(c.ljust(w) for c, w in zip(line, widths)).rstrip()
        for line in cells
    ]


def progress(text: str) -> None:
    """Show one line of progress on the error stream, if it is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)


def end_progress() -> None:
    """Remove the line of progress."""
    progress("")
