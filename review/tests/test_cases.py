"""The cases of the independent review: each holds, with its disruption and without."""

from __future__ import annotations

import asyncio
import os
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILDS = ("deploy/build", "review/build.sh")
# What a case exits with if its rule held.
HELD = 0


async def run(script: str, *, has_disruption: bool = True) -> tuple[int, str]:
    """Run a script of the repository; return its exit status and its output."""
    process = await asyncio.create_subprocess_exec(
        "bash",
        str(ROOT / script),
        cwd=ROOT,
        env={**os.environ, "TROUBLE": "1" if has_disruption else "0"},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode(errors="replace")


class CaseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for build in BUILDS:
            status, output = await run(build)
            self.assertEqual(status, 0, output)

    async def check(self, number: int) -> None:
        record = ROOT / "review" / str(number) / "record.txt"
        before = record.read_bytes()
        try:
            script = f"review/{number}/run.sh"
            outcomes = await asyncio.gather(
                run(script), run(script, has_disruption=False)
            )
            for status, output in outcomes:
                self.assertEqual(status, HELD, output)
        finally:
            # The record that the review committed stays.
            record.write_bytes(before)

    async def test_an_unreadable_entry_hides_no_change(self) -> None:
        await self.check(1)

    async def test_a_deeply_nested_entry_ends_no_process(self) -> None:
        await self.check(2)

    async def test_a_failure_after_a_run_promises_nothing(self) -> None:
        await self.check(3)

    async def test_silent_connections_are_no_outage(self) -> None:
        await self.check(4)

    async def test_an_outdated_list_is_not_confirmed(self) -> None:
        await self.check(5)


if __name__ == "__main__":
    unittest.main()
