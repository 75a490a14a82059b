"""Runs all tests except those that KNOWN-RED.txt lists.

``python -m tests [PATTERN]`` runs the tests whose dotted name contains the pattern.
"""

import faulthandler
import logging
import os
import sys
import unittest
from pathlib import Path

from camphorgate.log import configure_logging

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
# A run that hangs exits with the stacks of all threads before CI's own limit ends it.
MAX_RUN_SECONDS = 2400


def _known_failures() -> set[str]:
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    lines = KNOWN_FAILURES_PATH.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    cases = []
    for item in suite:
        cases += _flatten(item) if isinstance(item, unittest.TestSuite) else [item]
    return cases


def _reduce_logging() -> None:
    """Limit the output to the results.

    Tests run asyncio in debug mode, which logs a warning for each slow step on a busy
    machine, and gRPC logs connections that a test breaks on purpose.
    """
    configure_logging("CRITICAL")
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")


def _failed_tests(result: unittest.TestResult) -> set[str]:
    """Return the failed tests; several failed subtests of a test count once."""
    cases = [case for case, _ in result.failures + result.errors]
    cases += result.unexpectedSuccesses
    return {getattr(case, "test_case", case).id() for case in cases}


def main() -> int:
    """Run the tests and return the exit code."""
    faulthandler.enable()
    faulthandler.dump_traceback_later(MAX_RUN_SECONDS, exit=True)
    sys.path.insert(0, str(ROOT))
    _reduce_logging()
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    cases = [case for case in _flatten(suite) if pattern in case.id()]
    known_failures = _known_failures()
    unknown = known_failures - {case.id() for case in cases} if not pattern else set()
    selected = [case for case in cases if case.id() not in known_failures]
    for name in sorted(known_failures):
        print(f"passed over, see KNOWN-RED.txt: {name}")
    for name in sorted(unknown):
        print(f"KNOWN-RED.txt names a test that does not exist: {name}")
    result = unittest.TextTestRunner(verbosity=1).run(unittest.TestSuite(selected))
    failed = len(_failed_tests(result))
    skipped = len(result.skipped) + len(known_failures)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    if unknown or not result.testsRun:
        return 1
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
