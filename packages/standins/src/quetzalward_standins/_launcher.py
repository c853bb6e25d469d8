"""The launcher behind `make cluster`."""

import json
import signal
import sys
import types
import typing

from quetzalward_standins import cluster
from quetzalward_standins import demo


class Stopped(Exception):
    """A signal asked the launcher to stop."""


def stop_on_signals() -> None:
    """Turn the first SIGINT or SIGTERM into `Stopped`, ignore later ones."""

    def stop(number: int, frame: types.FrameType | None) -> typing.NoReturn:
        # A second signal must not interrupt the stop.
        for other in (signal.SIGINT, signal.SIGTERM):
            signal.signal(other, signal.SIG_IGN)
        raise Stopped

    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGTERM, stop)


def run_cluster(
    spec: cluster.ClusterSpec = cluster.ClusterSpec(),
) -> None:
    """Run a cluster until a signal; print its description on one line."""
    stop_on_signals()
    running = cluster.Cluster(spec)
    try:
        running.start()
        print(json.dumps(running.description()), flush=True)
        while True:
            signal.pause()
    except Stopped:
        print("cluster: stopping", file=sys.stderr)
    except cluster.ClusterError as error:
        sys.exit(f"cluster: {error}")
    finally:
        running.stop()


def run_demo() -> int:
    """Run the demo; return the exit status."""
    stop_on_signals()
    try:
        return 1 if demo.run() else 0
    except Stopped:
        print("demo: stopped by a signal", file=sys.stderr)
        return 1
