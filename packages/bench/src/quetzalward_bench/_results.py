"""Files of results, and the exit status of an experiment."""

import datetime
import json
import os
import pathlib
import sys
import typing

RESULTS = pathlib.Path("results")

Document = dict[str, typing.Any]


def conditions(seed: int) -> Document:
    """Return what a reader needs to judge the figures."""
    return {
        "seed": seed,
        "started": datetime.datetime.now(datetime.UTC).isoformat(
            "T", "seconds"
        ),
        "cpus": os.cpu_count(),
        # Other programs run on the machine too.
        "load_average": [round(value, 1) for value in os.getloadavg()],
    }


def rounded(value: typing.Any, digits: int = 3) -> typing.Any:
    """Return a document with shorter floating-point numbers."""
    if isinstance(value, float):
        return round(value, digits)
    if isinstance(value, dict):
        return {key: rounded(one, digits) for key, one in value.items()}
    if isinstance(value, list | tuple):
        return [rounded(one, digits) for one in value]
    return value


def path(name: str, folder: str) -> pathlib.Path:
    """Return the path of a results file; its folder exists afterwards."""
    directory = pathlib.Path(folder) if folder else RESULTS
    directory.mkdir(parents=True, exist_ok=True)
    return directory / name


def write(name: str, document: Document, folder: str = "") -> None:
    """Write a result as JSON."""
    text = json.dumps(rounded(document), indent=1, sort_keys=True)
    path(f"{name}.json", folder).write_text(text + "\n")


def read(name: str, folder: str = "") -> Document:
    """Return a result that an earlier command wrote."""
    text = path(f"{name}.json", folder).read_text()
    return typing.cast(Document, json.loads(text))


def finish(violations: typing.Sequence[str]) -> None:
    """Print violated invariants and exit with 1 if there are any."""
    for violation in violations:
        print(f"violation: {violation}", file=sys.stderr)
    print(f"violations: {len(violations)}")
    if violations:
        sys.exit(1)
