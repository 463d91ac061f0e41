"""The lease under pauses, lost and delayed writes and lagging reads."""

from __future__ import annotations

import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboopier_decisions.membership.lease import (
    Lease,
    LeaseRecord,
    LeaseWrite,
    ObservedLease,
    TakeoverPolicy,
)

DURATION = 60.0
HOLDERS = 3
holders = st.integers(0, HOLDERS - 1)


class LeaseMachine(RuleBasedStateMachine):
    """Three processes request one lease of a target that ignores fencing tokens.

    Their clocks have any offset and rates up to 1% apart; writes are lost, or delayed
    and applied late; reads lag. If two processes could give orders at one moment, an
    old order could put an old weight version back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0
        self.history: list[ObservedLease] = [ObservedLease(0, None)]
        self.delayed_writes: list[LeaseWrite] = []
        self.leases = [
            Lease(f"agent-{n}", f"place-{n}", DURATION) for n in range(HOLDERS)
        ]
        # Offset and rate of each process's clock relative to true time.
        self.clocks = [(1000.0, 1.0), (5.0, 1.0099), (77_000.0, 1.0)]

    def read_clock(self, holder: int) -> float:
        offset, rate = self.clocks[holder]
        return offset + self.time * rate

    def apply(self, write: LeaseWrite) -> bool:
        if write.expected_version != self.history[-1].version:
            return False
        self.history.append(ObservedLease(self.history[-1].version + 1, write.record))
        return True

    @rule(seconds=st.sampled_from([0.1, 29.8, 59.2, 61.0]))
    def advance_time(self, seconds: float) -> None:
        self.time += seconds

    @rule(holder=holders, lag=st.integers(0, 2))
    def read(self, holder: int, lag: int) -> None:
        observed = self.history[max(0, len(self.history) - 1 - lag)]
        self.leases[holder].observe(self.read_clock(holder), observed)

    @rule(
        holder=holders,
        reads_first=st.booleans(),
        fault=st.sampled_from(["", "", "lose", "drop", "hold"]),
    )
    def acquire(self, holder: int, reads_first: bool, fault: str) -> None:
        if reads_first:
            self.read(holder, 0)
        lease = self.leases[holder]
        now = self.read_clock(holder)
        if lease.find_wait(now) > 0:
            return
        write = lease.acquire(now)
        if fault == "hold":
            self.delayed_writes.append(write)
        elif fault != "drop" and self.apply(write) and not fault:
            lease.observe(self.read_clock(holder), self.history[-1])

    @rule(holder=holders)
    def release(self, holder: int) -> None:
        lease = self.leases[holder]
        write = lease.release(self.read_clock(holder))
        if write is not None and self.apply(write):
            lease.observe(self.read_clock(holder), self.history[-1])

    @rule()
    def apply_delayed_writes(self) -> None:
        for write in self.delayed_writes:
            self.apply(write)
        self.delayed_writes.clear()

    @invariant()
    def at_most_one_may_give_orders(self) -> None:
        held = [
            lease.fence
            for number, lease in enumerate(self.leases)
            if lease.is_held(self.read_clock(number))
        ]
        assert len(held) <= 1, held

    @invariant()
    def fencing_tokens_never_fall_and_differ_between_holders(self) -> None:
        records = [
            observed.record for observed in self.history if observed.record is not None
        ]
        fences = [record.fence for record in records]
        assert fences == sorted(fences)
        by_fence: dict[int, str] = {}
        for record in records:
            assert by_fence.setdefault(record.fence, record.holder) == record.holder


LeaseMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, derandomize=True, deadline=None
)
LeaseMachineTests = LeaseMachine.TestCase


class LeaseTests(unittest.TestCase):
    def observe_holder(self, lease: Lease, place: str = "elsewhere") -> None:
        record = LeaseRecord("other", place, 7, DURATION, 1)
        lease.observe(100.0, ObservedLease(3, record))

    def test_the_wait_counts_from_the_last_renewal(self) -> None:
        lease = Lease("me", "here", DURATION)
        self.observe_holder(lease)
        self.assertEqual(lease.find_wait(130.0), 30.0)
        lease.observe(
            150.0, ObservedLease(4, LeaseRecord("other", "there", 7, DURATION, 2))
        )
        # A lagging replica shows the earlier renewal again.
        lease.observe(
            155.0, ObservedLease(3, LeaseRecord("other", "there", 7, DURATION, 1))
        )
        self.assertEqual(lease.find_wait(160.0), 50.0)
        self.assertEqual(lease.find_wait(210.0), 0.0)

    def test_no_wait_when_the_former_holder_cannot_act(self) -> None:
        fenced = Lease("me", "here", DURATION, TakeoverPolicy.AT_ONCE)
        self.observe_holder(fenced)
        restarted = Lease("me", "here", DURATION)
        self.observe_holder(restarted, place="here")
        for lease in (fenced, restarted):
            self.assertEqual(lease.find_wait(100.0), 0.0)
            self.assertEqual(lease.acquire(100.0).record.fence, 8)

    def test_a_lease_expires_before_a_faster_clock_allows_takeover(self) -> None:
        """Both count 60 s from the same write, one of them on a clock 1% too fast."""
        holder = Lease("me", "here", DURATION)
        write = holder.acquire(0.0)
        holder.observe(0.0, ObservedLease(1, write.record))
        other = Lease("other", "there", DURATION)
        other.observe(0.0, ObservedLease(1, write.record))
        takeover_at = DURATION / 1.01
        self.assertEqual(other.find_wait(takeover_at * 1.01), 0.0)
        self.assertFalse(holder.is_held(takeover_at))

    def test_a_delayed_renewal_counts_from_when_it_was_sent(self) -> None:
        """The first renewal is delayed and takes effect, the second is lost.

        Counted from the second, the lease would be held after others may take over.
        """
        lease = Lease("me", "here", DURATION)
        first = lease.acquire(0.0)
        lease.acquire(50.0)
        lease.observe(51.0, ObservedLease(1, first.record))
        self.assertTrue(lease.is_held(59.0))
        self.assertFalse(lease.is_held(60.0))
