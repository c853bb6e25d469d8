"""Command line of the experiments: `python -m quetzalward_bench NAME`."""

import fire

from quetzalward_bench import _routing

EXPERIMENTS = {
    "routing": _routing.main,
}


if __name__ == "__main__":
    fire.Fire(EXPERIMENTS)
