"""Randomized fault soak of real gateway processes.

`python -m quetzalward_bench.soak --seed N` runs one seed; `--seeds A-B` runs
several and prints a line of JSON for each.
"""

from quetzalward_bench.soak._run import Report
from quetzalward_bench.soak._run import run_seed

__all__ = ["Report", "run_seed"]
