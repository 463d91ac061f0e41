"""What a forwarder does with a request while its service is rolled out."""

from __future__ import annotations

import unittest

import msgspec

from bamboopier_decisions.rollouts.order import (
    Rollout,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bamboopier_proxy.refusals import CallerError, ExecutionStatus

from ..forwarder_builders import SERVICE, ForwarderHarness, make_entry

OLD, NEW = "v1", "v2"


def make_rollout(
    state: RolloutState, version: str, former: str, share: float
) -> Rollout:
    status = RolloutStatus(state, version, (former,), share)
    return Rollout(RolloutOrder(SERVICE, version, 15.0), status, 1)


class SendTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.harness = ForwarderHarness()
        self.traffic = self.harness.rollout_traffic
        entry = msgspec.structs.replace(make_entry(), software_version=NEW)
        self.harness.fleet.remove(self.harness.clock.now, entry.name)
        self.harness.fleet.put(self.harness.clock.now, entry)

    async def test_a_version_on_trial_answers_are_counted(self) -> None:
        running = make_rollout(RolloutState.RUNNING, NEW, OLD, 1.0)
        self.traffic.set_rollout(SERVICE, running)
        await self.harness.forward()
        answers = self.harness.forwarder._rollout_answers.find(SERVICE, NEW)
        self.assertEqual(sum(counts.answers for counts in answers.values()), 1)

    async def test_a_request_is_not_sent_to_a_version_taken_back(self) -> None:
        taken_back = make_rollout(RolloutState.ROLLED_BACK, NEW, OLD, 0.0)
        self.traffic.set_rollout(SERVICE, taken_back)
        with self.assertRaises(CallerError) as raised:
            await self.harness.forward()
        self.assertIs(raised.exception.ran, ExecutionStatus.NOT_EXECUTED)
        self.assertEqual(self.harness.pool.heads, [])

    async def test_a_version_taken_back_while_connecting_gets_no_request(self) -> None:
        """Guards against a request that is sent after its version was taken back."""
        taken_back = make_rollout(RolloutState.ROLLED_BACK, NEW, OLD, 0.0)
        self.harness.on_connect = lambda: self.traffic.set_rollout(SERVICE, taken_back)
        with self.assertRaises(CallerError) as raised:
            await self.harness.forward()
        self.assertIs(raised.exception.ran, ExecutionStatus.NOT_EXECUTED)
        self.assertEqual(self.harness.pool.heads, [])


if __name__ == "__main__":
    unittest.main()
