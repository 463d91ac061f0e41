"""Tests how the test runner identifies failed and passed tests."""

from __future__ import annotations

import threading
import time
import unittest
from pathlib import Path

from run_tests import (
    ALONE,
    KnownRed,
    Suite,
    SuiteResult,
    list_failed,
    list_passed,
    run_suites,
)

OUTPUT = """\
FAIL: test_outcomes (tests.test_path.PathTests.test_outcomes) (cell='x', keyed=True)
FAIL: test_outcomes (tests.test_path.PathTests.test_outcomes) (cell='y', keyed=True)
ERROR: test_start (tests.test_path.PathTests.test_start)
test_stop (tests.test_path.PathTests.test_stop) ... ok
"""


class FailedTests(unittest.TestCase):
    def test_names_of_failed_tests_match_the_known_red_list(self) -> None:
        # A listed test fails. If its name differed from the one on the list, it would
        # count as a new failure and the run would exit with an error.
        names = ("path:test_outcomes", "path:test_start")
        self.assertEqual(list_failed("path", OUTPUT), names)

    def test_a_listed_test_passed_only_where_its_suite_ran(self) -> None:
        # Only one suite is run. Guards against a runner that reports a listed test of
        # another suite as passed, which a reader would take as evidence.
        listed = frozenset({"path:test_stop", "agent:test_start"})
        red = KnownRed(listed, listed)
        self.assertEqual(list_passed(red, set(), {"agent"}), ["agent:test_start"])
        self.assertEqual(list_passed(red, {"agent:test_start"}, {"agent"}), [])


class AloneTests(unittest.TestCase):
    def test_nothing_runs_beside_a_suite_that_measures(self) -> None:
        """Guards against a rate that falls with what other suites take."""
        lock = threading.Lock()
        running: set[str] = set()
        beside: dict[str, set[str]] = {}

        def run(suite: Suite) -> SuiteResult:
            with lock:
                running.add(suite.name)
                beside[suite.name] = running - {suite.name}
            time.sleep(0.02)
            with lock:
                running.remove(suite.name)
            return SuiteResult(suite.name, 1, (), broken=False, output="", seconds=0.0)

        names = [*ALONE, *(f"suite-{number}" for number in range(8))]
        suites = [Suite(name, Path(), Path()) for name in names]
        results = run_suites(suites, run)
        self.assertEqual({result.name for result in results}, set(names))
        for name in ALONE:
            self.assertEqual(beside[name], set())


if __name__ == "__main__":
    unittest.main()
