"""Run the mutation tests of the agreement code, listed in mutants.json.

Each mutant is a single fault, applied to a temporary copy of the packages; the
test listed with it must fail on that copy. Prints one line per mutant. The
exit status is 1 if a test does not catch its mutant or fails without it.
"""

import concurrent.futures
import enum
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MUTANTS_FILE = ROOT / "tools" / "mutants.json"
MAX_PARALLEL_MUTANTS = 4
TEST_TIMEOUT_S = 180
# os._exit ends the process even if a failed test leaves threads running.
RUN_TEST_SCRIPT = """
import os, sys, unittest
sys.path.insert(0, sys.argv[1])
suite = unittest.defaultTestLoader.loadTestsFromName(sys.argv[2])
result = unittest.TextTestRunner(verbosity=0).run(suite)
os._exit(0 if result.wasSuccessful() and result.testsRun else 1)
"""

Mutant = dict[str, str]


class Verdict(enum.Enum):
    """Result of a test; without a fault only `PASSED` is good."""

    PASSED = "MISSED"
    FAILED = "caught"
    # CI would end such a run as failed, so the fault does not go unnoticed.
    TIMED_OUT = "caught by time-out"


def copy_packages(folder: pathlib.Path) -> None:
    """Copy the packages to a folder, without caches and build metadata."""
    shutil.copytree(
        ROOT / "packages",
        folder / "packages",
        ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
    )


def run_test(folder: pathlib.Path, package: str, test: str) -> Verdict:
    """Run one test, given by its id, on a copy."""
    sources = sorted(folder.glob("packages/*/src"))
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(str(path) for path in sources),
        "PYTHONDONTWRITEBYTECODE": "1",
        "QUETZALWARD_FUZZ_SHRINK": "0",
    }
    tests = str(folder / "packages" / package / "tests")
    try:
        process = subprocess.run(
            [sys.executable, "-c", RUN_TEST_SCRIPT, tests, test],
            cwd=folder,
            env=environment,
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return Verdict.TIMED_OUT
    return Verdict.PASSED if process.returncode == 0 else Verdict.FAILED


def run_mutant(mutant: Mutant) -> Verdict:
    """Run the mutant's test on the mutated copy.

    Raises `ValueError` unless the file has the original text exactly once.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        copy_packages(folder)
        path = folder / mutant["file"]
        text = path.read_text()
        if text.count(mutant["original"]) != 1:
            raise ValueError(
                f"{mutant['name']}: original text must occur exactly once"
            )
        mutated = text.replace(mutant["original"], mutant["replaced"])
        # Any test would catch a mutant that does not compile.
        compile(mutated, mutant["file"], "exec")
        path.write_text(mutated)
        return run_test(folder, mutant["package"], mutant["test"])


def check_mutants(mutants: list[Mutant]) -> int:
    """Run all mutants, print each result and return how many were missed."""
    missed_count = 0
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_MUTANTS) as pool:
        for mutant, verdict in zip(
            mutants, pool.map(run_mutant, mutants), strict=True
        ):
            missed_count += verdict is Verdict.PASSED
            print(
                f"{verdict.value}  {mutant['name']}  ({mutant['test']})",
                flush=True,
            )
    return missed_count


def main() -> int:
    """Check that the tests pass without faults and fail with each mutant."""
    mutants: list[Mutant] = json.loads(MUTANTS_FILE.read_text())
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        copy_packages(folder)
        failing = sorted(
            test
            for package, test in {(m["package"], m["test"]) for m in mutants}
            if run_test(folder, package, test) is not Verdict.PASSED
        )
    for test in failing:
        print(f"fails without any fault: {test}")
    missed_count = check_mutants(mutants)
    print(f"{len(mutants) - missed_count} of {len(mutants)} faults caught")
    return 1 if failing or missed_count else 0


if __name__ == "__main__":
    sys.exit(main())
