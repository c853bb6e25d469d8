"""The launcher behind `make cluster`."""

import json
import signal
import sys
import threading
import types
import typing

from quetzalward_standins import cluster
from quetzalward_standins import demo

# A wait without a limit would keep the main thread from running handlers on
# some platforms.
WAIT_S = 1.0


class Stopped(Exception):
    """A signal asked the launcher to stop."""


def stop_on_signals() -> threading.Event:
    """Turn the first SIGINT or SIGTERM into `Stopped`, ignore later ones.

    The returned event is set as well: Python drops an exception that a
    handler raises inside a destructor or a weak reference's callback, and a
    launcher that relied on the exception alone once waited for ever.
    """
    stopped = threading.Event()

    def stop(number: int, frame: types.FrameType | None) -> typing.NoReturn:
        stopped.set()
        # A second signal must not interrupt the stop.
        for other in (signal.SIGINT, signal.SIGTERM):
            signal.signal(other, signal.SIG_IGN)
        raise Stopped

    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGTERM, stop)
    return stopped


def run_cluster(
    spec: cluster.ClusterSpec = cluster.ClusterSpec(),
) -> None:
    """Run a cluster until a signal; print its description on one line."""
    stopped = stop_on_signals()
    running = cluster.Cluster(spec)
    try:
        running.start()
        # A caller that starts on the printed line should find its model.
        running.wait_serving()
        print(json.dumps(running.description()), flush=True)
        while not stopped.wait(WAIT_S):
            pass
        raise Stopped
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
