"""An agent's claims while the platform loses, delays and refuses its calls.

A caller sends one request under one key to several agents. Each agent writes its claim,
and the response is lost or late, or the gateway disconnects during the write. At most
one agent may run the request. Once the platform has recovered, a key that never ran has
to be granted to the next claim instead of being "outcome unknown" for a day.
"""

from __future__ import annotations

import asyncio
import itertools
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from fault_matrix import CallFault
from result import Ok

from bamboopier_agent import claim_writer, claims
from bamboopier_agent.claims import ClaimTable
from bamboopier_configuration.model import Service
from bamboopier_decisions.claims.table import ClaimOutcome, ClaimStatus

from .builders import DISPATCH, FakeObjects

# Only reached by a test that hangs.
HANG_SECONDS = 10.0


class ClaimTableTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.enterContext(mock.patch.object(claim_writer, "RELEASE_RETRY_SECONDS", 0))
        self.objects = FakeObjects()
        self.agents = [ClaimTable(self.objects, f"agent-{n}") for n in range(2)]

    async def claim(self, number: int, body: bytes = b"A46") -> ClaimOutcome | None:
        result = await self.agents[number].claim(DISPATCH, "fosse", "key", body)
        return result.ok_value if isinstance(result, Ok) else None

    async def wait_until_settled(self) -> None:
        async with asyncio.timeout(HANG_SECONDS):
            for table in self.agents:
                await table.wait_until_released()

    async def test_at_most_one_is_granted_and_no_key_is_lost(self) -> None:
        # A write is retried at once after a lost response. Each cell is therefore run
        # with its faults once and with them in all tries, after which the claim is
        # abandoned.
        cells = list(
            itertools.product(CallFault, CallFault, (1, claim_writer.MAX_TRIES))
        )
        for first, second, times in cells:
            with self.subTest(first=first, second=second, times=times):
                await self._run_cell([first, second] * times)
        print(f"claim table cells: {len(cells)} run")

    async def _run_cell(self, faults: list[CallFault]) -> None:
        self.setUp()
        self.objects.write_faults.extend(faults)
        outcomes = [await self.claim(0), await self.claim(1)]
        self.objects.write_faults.clear()
        self.objects.land_delayed()
        await self.wait_until_settled()
        self.objects.land_delayed()
        outcomes.append(await self.claim(1))
        granted = [
            o for o in outcomes if o is not None and o.status is ClaimStatus.GRANTED
        ]
        self.assertEqual(len(granted), 1, outcomes)

    async def test_a_claim_cancelled_during_its_write_is_released(self) -> None:
        self.objects.may_write.clear()
        task = asyncio.create_task(self.claim(0))
        await self.objects.writing.wait()
        task.cancel()
        await asyncio.wait({task})
        self.objects.may_write.set()
        await self.wait_until_settled()
        outcome = await self.claim(1)
        self.assertEqual(outcome and outcome.status, ClaimStatus.GRANTED)

    async def test_a_claim_cancelled_while_its_write_is_resent_is_released(
        self,
    ) -> None:
        # The write takes effect, its response is lost, the message layer resends it and
        # the platform reports a conflict, which does not prove that it had no effect.
        self.objects.may_write.clear()
        self.objects.write_faults.append(CallFault.RESENT)
        task = asyncio.create_task(self.claim(0))
        await self.objects.writing.wait()
        task.cancel()
        await asyncio.wait({task})
        self.objects.may_write.set()
        await self.wait_until_settled()
        outcome = await self.claim(1)
        self.assertEqual(outcome and outcome.status, ClaimStatus.GRANTED)

    async def test_a_slow_platform_is_refused_and_the_claim_released(self) -> None:
        # The time is over once the write has begun, however slow this machine is: a
        # claim that was not begun leaves nothing to release.
        self.objects.may_write.clear()
        async with asyncio.timeout(HANG_SECONDS):
            limit = asyncio.timeout(None)
            slow = SimpleNamespace(**{**vars(asyncio), "timeout": lambda _: limit})
            with mock.patch.object(claims, "asyncio", slow):
                refused = asyncio.create_task(self.claim(0))
                await self.objects.writing.wait()
                limit.reschedule(asyncio.get_running_loop().time())
                self.assertIsNone(await refused)
        self.assertTrue(self.agents[0].is_abandoned("fosse", "key"))
        self.objects.may_write.set()
        await self.wait_until_settled()
        outcome = await self.claim(1)
        self.assertEqual(outcome and outcome.status, ClaimStatus.GRANTED)

    async def test_an_unused_grant_is_released_once_the_platform_answers(self) -> None:
        granted = await self.claim(0)
        assert granted is not None
        self.objects.down = True
        with mock.patch.object(claims, "RELEASE_TIMEOUT_SECONDS", 0.01):
            await self.agents[0].release(DISPATCH, granted)
        self.objects.down = False
        self.assertTrue(self.agents[0].is_abandoned("fosse", "key"))
        await self.wait_until_settled()
        outcome = await self.claim(1)
        self.assertEqual(outcome and outcome.status, ClaimStatus.GRANTED)

    async def test_a_released_claim_is_still_reported_as_never_run(self) -> None:
        # Agent 1 has read the claim of agent 0, which then releases it. At a recall of
        # that claim, agent 0 must not seem to have lost the response of a run.
        granted = await self.claim(0)
        assert granted is not None and granted.current is not None
        seen = await self.claim(1)
        assert seen is not None and seen.current is not None
        await self.agents[0].release(DISPATCH, granted)
        await self.wait_until_settled()
        self.assertFalse(self.agents[0].is_abandoned("fosse", "key"))
        self.assertTrue(self.agents[0].was_abandoned(seen.current.claim_id))

    async def test_a_stop_waits_for_a_claim_cancelled_as_it_is_granted(self) -> None:
        # In one iteration of the event loop a claim is granted, its gateway
        # disconnects, and the caller's resend arrives at the same agent, which then
        # stops. If the claim were not released, its key would be "outcome unknown"
        # although nothing ran.
        self.objects.may_respond.clear()
        task = asyncio.create_task(self.claim(0))
        await self.objects.written.wait()
        await asyncio.sleep(0)
        (claim_id,) = self.objects.list_claim_ids()
        self.objects.may_respond.set()
        asyncio.get_running_loop().call_soon(task.cancel)
        again = asyncio.create_task(self.claim(0))
        self.objects.may_write.clear()
        asyncio.get_running_loop().call_later(0.01, self.objects.may_write.set)
        await asyncio.wait({task, again})
        self.assertTrue(task.cancelled())
        await self.wait_until_settled()
        self.assertNotIn(claim_id, self.objects.list_claim_ids())

    async def test_an_outage_leaves_no_pending_work(self) -> None:
        self.objects.down = True
        for _ in range(100):
            self.assertIsNone(await self.claim(0))
        await self.wait_until_settled()

    async def test_a_claim_outlives_the_longest_request(self) -> None:
        # A lifetime of one second would grant the key again during its first run.
        short = Service(name="dispatch", kind="plain", key_lifetime_seconds=1.0)
        await self.agents[0].claim(short, "fosse", "key", b"A46")
        later = time.time() + 3600
        with mock.patch("bamboopier_agent.claim_writer.time.time", lambda: later):
            result = await self.agents[1].claim(short, "fosse", "key", b"A46")
        self.assertEqual(result.unwrap().status, ClaimStatus.HELD)

    async def test_claims_of_one_partition_share_a_write(self) -> None:
        with mock.patch.object(claims, "PARTITIONS", 1):
            await asyncio.gather(
                *(
                    self.agents[0].claim(DISPATCH, "fosse", f"key-{n}", b"A46")
                    for n in range(50)
                )
            )
        self.assertLessEqual(self.objects.writes, 2)

    async def test_the_same_attempt_twice_is_granted_once(self) -> None:
        outcomes = await asyncio.gather(self.claim(0), self.claim(0))
        statuses = sorted(outcome.status for outcome in outcomes if outcome)
        self.assertEqual(statuses, [ClaimStatus.GRANTED, ClaimStatus.HELD])

    async def test_a_key_used_for_another_body_is_refused(self) -> None:
        await self.claim(0)
        outcome = await self.claim(1, b"M6")
        self.assertEqual(outcome and outcome.status, ClaimStatus.REUSED)
