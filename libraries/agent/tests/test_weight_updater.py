"""Orders to load weights with suspended and killed agents, refusals and late reports.

The tests check the orders that the engines recorded.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from bamboopier_agent.load_slots import SLOT_LEASE_SECONDS
from bamboopier_agent.weight_updater import LoadOutcome
from bamboopier_decisions.membership.availability import UnavailableReason

from .order_builders import DURATION, Agent, Clock, Engine, Objects


class WeightUpdaterTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        for module in ("lease", "load_slots"):
            name = f"bamboopier_agent.{module}.read_clock"
            self.enterContext(mock.patch(name, self.clock))
        poll = mock.patch(
            "bamboopier_agent.weight_updater.READ_BACK_POLL_SECONDS", 0.001
        )
        self.enterContext(poll)
        settle = mock.patch("bamboopier_agent.weight_updater.SLOT_HOLD_SECONDS", 0.0)
        self.enterContext(settle)
        self.objects = Objects()

    async def load(self, agent: Agent) -> LoadOutcome:
        """Run one load to its end."""
        agent.engine.finish.set()
        return await agent.weight_updater.reconcile()

    async def start_loading(self, agent: Agent) -> asyncio.Task[LoadOutcome]:
        """Start a load and return once the engine has received the order."""
        task = asyncio.create_task(agent.weight_updater.reconcile())
        async with asyncio.timeout(10):
            await agent.engine.started.wait()
        return task

    async def test_no_more_loads_at_once_than_allowed(self) -> None:
        """Six targets of a service receive a new version at the same time.

        If all loaded at once, the weight store would be overloaded and no target would
        serve.
        """
        agents = [Agent(self.objects, Engine(), f"desk-{n}") for n in range(6)]
        for agent in agents:
            await agent.acquire_lease()
        while any(agent.engine.version != "v2" for agent in agents):
            tasks = [asyncio.create_task(a.weight_updater.reconcile()) for a in agents]
            for _ in range(100):
                await asyncio.sleep(0)
            loading = [agent for agent in agents if agent.engine.loading]
            self.assertEqual(len(loading), 2)
            for agent in loading:
                agent.engine.finish.set()
            await asyncio.gather(*tasks)
        self.assertEqual([len(agent.engine.orders) for agent in agents], [1] * 6)

    async def test_the_last_serving_target_waits(self) -> None:
        """With two targets and two allowed loads, one target continues to serve."""
        agents = [
            Agent(self.objects, Engine(), f"desk-{n}", targets=2) for n in range(2)
        ]
        for agent in agents:
            await agent.acquire_lease()
        first = await self.start_loading(agents[0])
        self.assertIs(await agents[1].weight_updater.reconcile(), LoadOutcome.NO_SLOT)
        agents[0].engine.finish.set()
        await first

    async def test_the_slot_of_a_killed_agent_is_free_after_its_lease(self) -> None:
        """An agent is killed while its engine loads, and the engine continues to load.

        If the slot were free at once, one load too many would run.
        """
        killed = Agent(self.objects, Engine(), "desk-1", loads_at_once=1)
        other = Agent(self.objects, Engine(), "desk-2", loads_at_once=1)
        for agent in (killed, other):
            await agent.acquire_lease()
        task = await self.start_loading(killed)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertIs(await self.load(other), LoadOutcome.NO_SLOT)
        restarted = Agent(self.objects, Engine(), "desk-1", loads_at_once=1)
        self.assertTrue(await restarted.acquire_lease())
        self.assertIs(await self.load(restarted), LoadOutcome.NO_SLOT)
        self.clock.now += SLOT_LEASE_SECONDS - 1
        await other.acquire_lease()
        self.assertIs(await self.load(other), LoadOutcome.NO_SLOT)
        self.clock.now += 1
        self.assertIs(await self.load(other), LoadOutcome.LOADED)

    async def test_a_suspended_holder_that_resumes_sends_no_order(self) -> None:
        """An agent is suspended with a slot, and another agent takes over the target.

        When it resumes, its order would replace v2 by v1.
        """
        for checks_fencing in (True, False):
            objects = Objects()
            engine = Engine(checks_fencing, version="v0", reported="v0")
            suspended = Agent(objects, engine, vm="old", version="v1")
            successor = Agent(objects, engine, vm="new", version="v2")
            await suspended.acquire_lease()
            await successor.lease.observe()

            async def take_over(successor: Agent = successor) -> None:
                self.clock.now += DURATION
                await successor.acquire_lease()
                await self.load(successor)

            objects.after_write["loads"] = take_over
            self.assertIs(await self.load(suspended), LoadOutcome.NO_LEASE)
            self.assertEqual([version for version, _ in engine.orders], ["v2"])

    async def test_a_holder_suspended_before_the_order_sends_none(self) -> None:
        """The machine is suspended between the last renewal and the order.

        Its monotonic clock continued, so the agent detects that its lease has expired.
        """
        engine = Engine(checks_fencing=False)
        agent = Agent(self.objects, engine)
        await agent.acquire_lease()

        async def suspend() -> None:
            self.clock.now += DURATION

        self.objects.after_write["targets"] = suspend
        self.assertIs(await self.load(agent), LoadOutcome.NO_LEASE)
        self.assertEqual(engine.orders, [])

    async def test_a_renewal_detects_a_takeover_despite_a_stopped_clock(self) -> None:
        """The agent's machine is suspended with its clocks while it holds a slot.

        Another agent waits until the lease expires and loads v2. When the first agent
        resumes, its lease is still valid by its clock, and the engine would accept its
        order.
        """
        engine = Engine(checks_fencing=False, version="v0", reported="v0")
        suspended = Agent(self.objects, engine, vm="old", version="v1")
        successor = Agent(self.objects, engine, vm="new", version="v2")
        await suspended.acquire_lease()
        await successor.lease.observe()

        async def take_over() -> None:
            before = self.clock.now
            self.clock.now += DURATION
            await successor.acquire_lease()
            await self.load(successor)
            self.clock.now = before

        self.objects.after_write["loads"] = take_over
        self.assertIs(await self.load(suspended), LoadOutcome.NO_LEASE)
        self.assertEqual([version for version, _ in engine.orders], ["v2"])

    async def test_a_slot_that_expired_during_a_suspension_is_not_used(self) -> None:
        """The agent is suspended after it acquired a slot that another may hold now."""
        agent = Agent(self.objects, Engine())
        await agent.acquire_lease()
        close = agent.availability_gate.set_loading

        def suspend(loading: bool) -> None:
            self.clock.now += SLOT_LEASE_SECONDS
            close(loading)

        with mock.patch.object(agent.availability_gate, "set_loading", suspend):
            self.assertIs(await self.load(agent), LoadOutcome.NO_LEASE)
        self.assertEqual(agent.engine.orders, [])

    async def test_a_second_agent_waits_until_the_lease_expires(self) -> None:
        """Two agents for one target whose engine ignores fencing tokens."""
        engine = Engine(checks_fencing=False)
        first = Agent(self.objects, engine, vm="first")
        second = Agent(self.objects, engine, vm="second")
        self.assertTrue(await first.acquire_lease())
        self.assertFalse(await second.acquire_lease())
        self.clock.now += DURATION - 1
        self.assertFalse(await second.acquire_lease())
        self.clock.now += 1
        self.assertTrue(await second.acquire_lease())
        self.assertGreater(second.lease.lease.fence, first.lease.lease.fence)

    async def test_an_engine_that_checks_refuses_the_older_token(self) -> None:
        """The older agent's machine is suspended with its clock before its order.

        The newer agent takes over at once, because the engine checks tokens. The older
        agent cannot detect this, but the engine refuses its order.
        """
        engine = Engine(version="v0", reported="v0")
        older = Agent(self.objects, engine, vm="older", version="v1")
        newer = Agent(self.objects, engine, vm="newer", version="v2")
        await older.acquire_lease()

        async def take_over() -> None:
            await newer.acquire_lease()
            await self.load(newer)

        self.objects.after_write["targets"] = take_over
        self.assertIs(await self.load(older), LoadOutcome.REFUSED)
        self.assertEqual([version for version, _ in engine.orders], ["v2"])

    async def test_without_the_platform_serving_continues_without_orders(self) -> None:
        agent = Agent(self.objects, Engine())
        await agent.acquire_lease()
        self.objects.down = True
        self.clock.now += DURATION
        self.assertIs(await self.load(agent), LoadOutcome.NO_LEASE)
        self.assertEqual(agent.engine.orders, [])
        self.assertTrue(agent.gate.admission.accepting)

    async def test_no_request_is_admitted_until_the_version_is_reported(self) -> None:
        """The engine has loaded v2 and still reports v1 a few times.

        A request for v1 would be admitted because of that report and run on v2.
        """
        agent = Agent(self.objects, Engine(late_reports=3))
        await agent.acquire_lease()
        task = await self.start_loading(agent)
        self.assertIs(
            agent.availability_gate.unavailable_reason, UnavailableReason.LOADING
        )
        agent.engine.finish.set()
        await agent.monitor.refreshed.wait()
        self.assertEqual((agent.engine.version, agent.monitor.version), ("v2", "v1"))
        self.assertFalse(agent.gate.admission.accepting)
        self.assertIs(await task, LoadOutcome.LOADED)
        self.assertTrue(agent.gate.admission.accepting)

    async def test_a_failed_load_releases_the_slot_and_reopens_the_gate(self) -> None:
        failed = Agent(self.objects, Engine(failing=True), "desk-1", loads_at_once=1)
        other = Agent(self.objects, Engine(), "desk-2", loads_at_once=1)
        for agent in (failed, other):
            await agent.acquire_lease()
        self.assertIs(await self.load(failed), LoadOutcome.FAILED)
        # The engine has reported the failure, so its version is not awaited.
        self.assertFalse(failed.monitor.refreshed.is_set())
        self.assertTrue(failed.gate.admission.accepting)
        self.assertIs(await self.load(other), LoadOutcome.LOADED)
