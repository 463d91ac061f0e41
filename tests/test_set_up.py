"""What a user is told whose machine lacks something."""

from __future__ import annotations

import contextlib
import io
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import set_up

UNREACHABLE = """\
WARNING: Retrying (Retry(total=0)) after connection broken by 'NewConnectionError('x')'
ERROR: No matching distribution found for aiohttp==3.14.5
"""
NO_VERSION = """\
The conflict is caused by:
    bamboopier-daemon 0.1.0 depends on uvloop
    The user requested (constraint) uvloop==0.99.9
ERROR: ResolutionImpossible: for help visit https://example.invalid
"""
NOT_BUILT = """\
    error: command 'gcc' failed: No such file or directory
  ERROR: Failed building wheel for hdrhistogram
ERROR: Could not build wheels
"""


class MachineTests(unittest.TestCase):
    def test_another_python_is_named(self) -> None:
        """Guards against a traceback of a package that this Python does not have."""
        with mock.patch("sys.version_info", (3, 10, 4)):
            self.assertIn("3.11 is needed", set_up.find_fault() or "")

    def test_another_machine_is_named(self) -> None:
        with mock.patch("platform.machine", return_value="riscv64"):
            self.assertIn("riscv64", set_up.find_fault() or "")


class OutputTests(unittest.TestCase):
    def test_the_cause_is_one_line(self) -> None:
        """Guards against a user who has to find the cause in the output of pip."""
        for output, cause in (
            (UNREACHABLE, "the package index cannot be reached"),
            (NO_VERSION, "the package index has no uvloop==0.99.9 for this machine"),
            (NOT_BUILT, "hdrhistogram could not be built"),
            ("no space\n", "no space"),
            ("", "no output"),
        ):
            with self.subTest(cause):
                self.assertEqual(set_up.explain(output), cause)

    def test_a_missing_compiler_is_named_if_something_was_not_built(self) -> None:
        """Guards against a machine with a cached wheel that needs no compiler."""
        with mock.patch("shutil.which", return_value=None):
            self.assertIsNone(set_up.find_fault())
            self.assertIn("no C compiler", set_up.explain(NOT_BUILT))

    def test_all_output_of_a_failure_is_kept(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            environment = str(Path(folder, "venv"))
            code = "import sys; print('one'); sys.exit('two')"
            fault = set_up.run([sys.executable, "-c", code], environment)
            self.assertIn("two", fault or "")
            self.assertIn("one", Path(f"{environment}.log").read_text())

    def test_a_machine_that_lacks_something_is_left_as_it_is(self) -> None:
        errors = io.StringIO()
        with (
            mock.patch("set_up.find_fault", return_value="no compiler"),
            mock.patch("set_up.run") as run,
            contextlib.redirect_stderr(errors),
        ):
            self.assertEqual(set_up.main(".venv", "setuptools"), 1)
        run.assert_not_called()
        self.assertEqual(errors.getvalue().count("\n"), 1)


if __name__ == "__main__":
    unittest.main()
