"""Command line of the experiments: `python -m quetzalward_bench NAME`."""

import importlib
import sys

import fire

# Imported only when asked for, as some need a plotting library.
MODULE_BY_NAME = {
    "coldstart": "quetzalward_bench._coldstart",
    "fold": "quetzalward_bench.fold",
    "formation": "quetzalward_bench.formation",
    "limits": "quetzalward_bench._limits",
    "membership": "quetzalward_bench.membership",
    "retries": "quetzalward_bench._retries",
    "routing": "quetzalward_bench._routing",
    "streaming": "quetzalward_bench._streaming",
}


def main() -> None:
    """Run the experiment that the first argument names."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in MODULE_BY_NAME:
        names = "|".join(sorted(MODULE_BY_NAME))
        sys.exit(f"usage: python -m quetzalward_bench {names} [OPTIONS]")
    module = importlib.import_module(MODULE_BY_NAME[name])
    fire.Fire(module.main, command=sys.argv[2:], name=name)


if __name__ == "__main__":
    main()
