"""Run the tests of all packages; the last line is "N passed, N failed".

Test modules run in parallel, each in its own process, so that their threads
and sockets do not interfere. The tests listed in KNOWN-RED.txt run as well;
their failures are printed but do not fail the run.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
MODULE_TIMEOUT_S = 600
RESULT_PREFIX = "@@result "


def known_failing_tests() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as failing."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    prefix = "test: "
    return {
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    }


def find_modules(patterns: list[str]) -> list[pathlib.Path]:
    """Return the test files whose path contains any of the patterns."""
    found = sorted(ROOT.glob("packages/*/tests/**/test_*.py"))
    found += sorted(ROOT.glob("platform/tests/**/test_*.py"))
    if not patterns:
        return found
    return [p for p in found if any(text in str(p) for text in patterns)]


def run_module(path: pathlib.Path) -> dict[str, object]:
    """Run one test file in a child process; return its counts and output.

    A child that prints no result counts as one failed test.
    """
    command = [sys.executable, __file__, "--child", str(path)]
    try:
        process = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_S,
        )
        output = process.stdout + process.stderr
    except subprocess.TimeoutExpired as error:
        output = f"{path}: no result within {MODULE_TIMEOUT_S} s: {error}"
    for line in output.splitlines():
        if line.startswith(RESULT_PREFIX):
            result = json.loads(line.removeprefix(RESULT_PREFIX))
            return {"output": output, **result}
    return {"output": output, "run": 1, "failed": [str(path)], "skipped": 0}


def test_id(test: unittest.TestCase) -> str:
    """Return the id of a test, or of the test that contains a subtest."""
    return getattr(test, "test_case", test).id()


def run_child(path: str) -> None:
    """Run one test file in this process and print its counts as JSON."""
    file = pathlib.Path(path)
    tests_dir = next(p for p in file.parents if p.name == "tests")
    sys.path.insert(0, str(tests_dir))
    loader = unittest.TestLoader()
    suite = loader.discover(
        str(file.parent), pattern=file.name, top_level_dir=str(tests_dir)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = sorted(
        {test_id(test) for test, _ in result.failures + result.errors}
    )
    counts = {
        "run": result.testsRun,
        "failed": failed,
        "skipped": len(result.skipped),
        "unexpected": len(result.unexpectedSuccesses),
    }
    print(RESULT_PREFIX + json.dumps(counts), flush=True)
    os._exit(0)


def main() -> int:
    """Run the selected test files and report the totals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="*")
    parser.add_argument("--child")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    if options.child:
        run_child(options.child)
    passed, failures, known_failures = 0, [], []
    known_ids = known_failing_tests()
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for outcome in pool.map(run_module, find_modules(options.patterns)):
            failed = list(outcome["failed"])  # type: ignore[call-overload]
            new_failures = [name for name in failed if name not in known_ids]
            known_failures += [name for name in failed if name in known_ids]
            failures += new_failures
            passed += int(outcome["run"]) - len(failed)  # type: ignore
            if new_failures:
                print(outcome["output"])
    for name in known_failures:
        print(f"known red: {name}")
    for name in failures:
        print(f"FAILED: {name}")
    print(f"{passed} passed, {len(failures)} failed", flush=True)
    return 1 if failures or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
