"""Randomized fault soak of real gateway processes.

`python -m quetzalward_bench.soak --seed N` runs one seed; `--seeds A-B` runs
several. Each seed prints one line of JSON.
"""

from quetzalward_bench.soak._run import Report
from quetzalward_bench.soak._run import run_seed

__all__ = ["Report", "run_seed"]
