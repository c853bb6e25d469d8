"""Run one experiment: `python -m quetzalward_bench NAME`."""

import importlib
import sys


def main() -> int:
    """Run the module that the first argument names."""
    if len(sys.argv) < 2 or not sys.argv[1].isidentifier():
        print("usage: python -m quetzalward_bench NAME [ARGUMENT ...]")
        return 2
    module = importlib.import_module(f"quetzalward_bench.{sys.argv[1]}")
    result: int = module.main(sys.argv[2:])
    return result


if __name__ == "__main__":
    sys.exit(main())
