"""Apply deliberate faults to the agreement and check that tests catch them.

Each fault is applied alone to a scratch copy of the tree, and the test named
with it must fail there. Prints one line per fault; the exit status is 1 if a
fault was not caught, or if its test fails without it.
"""

import concurrent.futures
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MUTANTS = ROOT / "tools" / "mutants.json"
JOBS = 4
TIMEOUT_S = 180
# Ends at once, also when a failed test leaves threads behind.
RUN_TEST = """
import os, sys, unittest
sys.path.insert(0, sys.argv[1])
suite = unittest.defaultTestLoader.loadTestsFromName(sys.argv[2])
result = unittest.TextTestRunner(verbosity=0).run(suite)
os._exit(0 if result.wasSuccessful() and result.testsRun else 1)
"""

Mutant = dict[str, str]


def copy_tree(folder: pathlib.Path) -> None:
    """Copy the packages without caches."""
    shutil.copytree(
        ROOT / "packages",
        folder / "packages",
        ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
    )


def test_passes(folder: pathlib.Path, package: str, test: str) -> bool:
    """Run one test, by its id, on a copy of the tree."""
    sources = sorted(folder.glob("packages/*/src"))
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(str(path) for path in sources),
        "PYTHONDONTWRITEBYTECODE": "1",
        "QUETZALWARD_FUZZ_SHRINK": "0",
    }
    tests = str(folder / "packages" / package / "tests")
    # A test that hangs is no proof, so a timeout ends the whole run.
    done = subprocess.run(
        [sys.executable, "-c", RUN_TEST, tests, test],
        cwd=folder,
        env=environment,
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    return done.returncode == 0


def run_mutant(mutant: Mutant) -> bool:
    """Tell whether the mutant's test fails on the mutated copy."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        copy_tree(folder)
        path = folder / mutant["file"]
        text = path.read_text()
        if text.count(mutant["original"]) != 1:
            raise ValueError(f"{mutant['name']}: original not found once")
        mutated = text.replace(mutant["original"], mutant["replaced"])
        # A fault that does not compile would be caught by any test.
        compile(mutated, mutant["file"], "exec")
        path.write_text(mutated)
        return not test_passes(folder, mutant["package"], mutant["test"])


def check(mutants: list[Mutant]) -> int:
    """Run all mutants and print what became of each."""
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        for mutant, caught in zip(
            mutants, pool.map(run_mutant, mutants), strict=True
        ):
            missed += not caught
            word = "caught" if caught else "MISSED"
            print(f"{word}  {mutant['name']}  ({mutant['test']})", flush=True)
    return missed


def main() -> int:
    """Check that the tests pass without faults and fail with each."""
    mutants: list[Mutant] = json.loads(MUTANTS.read_text())
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        copy_tree(folder)
        failing = sorted(
            test
            for package, test in {(m["package"], m["test"]) for m in mutants}
            if not test_passes(folder, package, test)
        )
    for test in failing:
        print(f"fails without any fault: {test}")
    missed = check(mutants)
    print(f"{len(mutants) - missed} of {len(mutants)} faults caught")
    return 1 if failing or missed else 0


if __name__ == "__main__":
    sys.exit(main())
