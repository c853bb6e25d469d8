"""Commands: the launcher, the demo and the two stand-in processes."""

import sys

import fire

from quetzalward_standins import _launcher
from quetzalward_standins import _processes


class Commands:
    """Development commands of quetzalward."""

    def cluster(self) -> None:
        """Run a cluster until Ctrl-C or SIGTERM."""
        _launcher.run_cluster()

    def demo(self) -> None:
        """Run the demo; exit with status 1 if anything failed."""
        sys.exit(_launcher.run_demo())

    def platform(self) -> None:
        """Run log, weight store and service."""
        _processes.run_platform()

    def engines(self) -> None:
        """Run the engines and the host list."""
        _processes.run_engines()


if __name__ == "__main__":
    fire.Fire(Commands, name="quetzalward_standins")
