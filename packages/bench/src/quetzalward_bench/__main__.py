"""Command line of the experiments: `python -m quetzalward_bench NAME`."""

import importlib
import sys

import fire

# Imported only when asked for, as some need a plotting library.
MODULE_BY_NAME = {
    "capacity": "quetzalward_bench.capacity",
    "coldstart": "quetzalward_bench._coldstart",
    "day": "quetzalward_bench.day",
    "fold": "quetzalward_bench.fold",
    "formation": "quetzalward_bench.formation",
    "limits": "quetzalward_bench._limits",
    "membership": "quetzalward_bench.membership",
    "overhead": "quetzalward_bench.overhead",
    "propagation": "quetzalward_bench.propagation",
    "retries": "quetzalward_bench._retries",
    "routing": "quetzalward_bench._routing",
    "weighted": "quetzalward_bench.weighted",
    "zone": "quetzalward_bench.zone",
    "streaming": "quetzalward_bench._streaming",
}
# These take their list of arguments and return an exit status.
OWN_PARSER = frozenset({"formation", "membership"})


def main() -> None:
    """Run the experiment that the first argument names."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in MODULE_BY_NAME:
        names = "|".join(sorted(MODULE_BY_NAME))
        sys.exit(f"usage: python -m quetzalward_bench {names} [OPTIONS]")
    module = importlib.import_module(MODULE_BY_NAME[name])
    if name in OWN_PARSER:
        sys.exit(module.main(sys.argv[2:]))
    fire.Fire(module.main, command=sys.argv[2:], name=name)


if __name__ == "__main__":
    main()
