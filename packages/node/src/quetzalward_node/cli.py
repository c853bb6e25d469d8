"""The `quetzalward-node` program."""

import sys

import fire
import logbook

from quetzalward_core import errors
from quetzalward_node import _settings
from quetzalward_node import app

LOG_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name}"
    " {record.channel}: {record.message}"
)


def run(settings: str) -> None:
    """Run a node until SIGTERM or SIGINT.

    Args:
        settings: path of the settings file, JSON.
    """
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.INFO, format_string=LOG_FORMAT
    )
    with handler.applicationbound():
        app.Node(_settings.load_settings(settings)).run()


def main() -> None:
    """Run the program and exit with 1 on a listed error."""
    try:
        fire.Fire({"run": run}, name="quetzalward-node")
    except (errors.QuetzalwardError, OSError) as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(1)
