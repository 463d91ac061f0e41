"""Tests of the check that pinned packages can be installed on both kinds of machine."""

from __future__ import annotations

import unittest
from unittest import mock

import wheels


class WheelTests(unittest.TestCase):
    def check(self, pins: list[str], machine: str, absent: set[str]) -> list[str]:
        """Check pins of which those in ``absent`` have no wheel."""

        def find(wanted: list[str], _: str) -> str | None:
            for pin in wanted:
                if pin in absent:
                    return f"ERROR: No matching distribution found for {pin}\n"
            return None

        with mock.patch("wheels.find_wheels", find):
            return wheels.check(pins, machine)

    def test_each_package_without_a_wheel_is_named(self) -> None:
        """Guards against a machine on which the set-up stops while installing."""
        pins = ["a==1", "b==2", "c==3"]
        faults = self.check(pins, "aarch64", {"a==1", "c==3"})
        expected = ["a==1 on aarch64: no wheel", "c==3 on aarch64: no wheel"]
        self.assertEqual(faults, expected)

    def test_a_package_built_from_source_needs_its_build_tools(self) -> None:
        pins = ["hdrhistogram==0.10.8", "setuptools==84"]
        absent = {"hdrhistogram==0.10.8"}
        fault = "hdrhistogram==0.10.8 on aarch64: pbr is not installed"
        self.assertEqual(self.check(pins, "aarch64", absent), [fault])
        self.assertEqual(self.check([*pins, "pbr==7"], "aarch64", absent), [])

    def test_an_index_that_does_not_answer_is_an_error(self) -> None:
        """Guards against a check that passes since it could not ask."""
        with mock.patch("wheels.find_wheels", return_value="no route\n"):
            self.assertEqual(wheels.check(["a==1"], "x86_64"), ["x86_64: no route"])


if __name__ == "__main__":
    unittest.main()
