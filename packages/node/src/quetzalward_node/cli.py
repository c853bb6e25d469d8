"""Command line of the node."""

import sys

import fire
import logbook

from quetzalward_core import errors
from quetzalward_node import _settings
from quetzalward_node import _wiring
from quetzalward_node import app

EXIT_REQUESTS_ABORTED = 1
EXIT_INVALID = 2
_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S} {record.level_name} "
    "{record.channel}: {record.message}"
)


def run_node(settings_path: str) -> int:
    """Run a node until a stop signal and return the exit status."""
    logbook.StreamHandler(
        sys.stderr, level="INFO", format_string=_FORMAT
    ).push_application()
    try:
        settings = _settings.load_settings(settings_path)
        node = app.Node(settings, _wiring.build_tasks)
    except errors.QuetzalwardError as error:
        print(f"{error}\n{error.problem_type.remedy}", file=sys.stderr)
        return EXIT_INVALID
    try:
        return 0 if node.run() else EXIT_REQUESTS_ABORTED
    except OSError as error:
        # The port is in use, or the address does not belong to this host.
        print(f"{settings_path}: cannot start: {error}", file=sys.stderr)
        return EXIT_INVALID


class Commands:
    """The quetzalward node."""

    def run(self, settings: str) -> None:
        """Run a node with the settings in a JSON file."""
        sys.exit(run_node(str(settings)))


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="quetzalward-node")
