"""Command line of the fault soak."""

import argparse
import asyncio
import json
import sys

import attrs

from quetzalward_bench.soak import _run


def main() -> int:
    """Run the seeds; return 1 if any guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="N or A-B")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--logs", help="directory for the nodes' logs")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        report = asyncio.run(
            _run.run_seed(seed, options.seconds, options.nodes, options.logs)
        )
        failed += bool(report.broken)
        print(json.dumps(attrs.asdict(report)), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
