"""Command line of the experiments: `python -m quetzalward_bench NAME`."""

import fire

from quetzalward_bench import _coldstart
from quetzalward_bench import _limits
from quetzalward_bench import _retries
from quetzalward_bench import _routing

EXPERIMENTS = {
    "coldstart": _coldstart.main,
    "limits": _limits.main,
    "retries": _retries.main,
    "routing": _routing.main,
}


if __name__ == "__main__":
    fire.Fire(EXPERIMENTS)
