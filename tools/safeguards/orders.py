"""Safeguards of leases, load slots and weight versions."""

from __future__ import annotations

from mutations import Mutation

MUTATIONS = (
    Mutation(
        "a lease is waited out whole",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        return max(0.0, self._observed_at + record.duration - now)\n",
        "        return max(0.0, self._observed_at + record.duration / 2 - now)\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseMachineTests",
    ),
    Mutation(
        "the wait starts anew with each renewal",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        if observed.version > self._observed.version:\n"
        "            self._observed = observed\n"
        "            self._observed_at = now\n",
        "        if observed.version > self._observed.version:\n"
        "            self._observed = observed\n"
        "            self._observed_at = now if self._observed_at < 0 "
        "else self._observed_at\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseTests."
        "test_a_predecessor_is_waited_out_from_its_last_sign",
    ),
    Mutation(
        "a lease lapses on the holder's own clock",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        return sent is not None and now < sent + record.duration * (\n"
        "            1 - CLOCK_RATE_ERROR\n"
        "        )\n",
        "        return sent is not None\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseMachineTests",
    ),
    Mutation(
        "a holder ends early for clocks that run apart",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "CLOCK_RATE_ERROR = 0.01\n",
        "CLOCK_RATE_ERROR = 0.0\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseTests."
        "test_a_holder_ends_before_a_faster_clock_lets_another_begin",
    ),
    Mutation(
        "a lease counts from the write that took effect",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        sent = self._sent_at.get(record.serial)\n",
        "        sent = max(self._sent_at.values(), default=None)\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseTests."
        "test_a_renewal_that_landed_late_counts_from_when_it_was_sent",
    ),
    Mutation(
        "each new holder has a higher fencing number",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        fence = self.fence if self.is_held(now) else self.fence + 1\n",
        "        fence = max(1, self.fence)\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseMachineTests",
    ),
    Mutation(
        "a lagging read does not restart the wait",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        if observed.version > self._observed.version:\n"
        "            self._observed = observed\n",
        "        if observed.version != self._observed.version:\n"
        "            self._observed = observed\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseTests."
        "test_a_predecessor_is_waited_out_from_its_last_sign",
    ),
    Mutation(
        "one target of a service goes on serving",
        "libraries/decisions/src/bamboopier_decisions/membership/load_slots.py",
        "min(loads_at_once, serving_targets - 1)",
        "loads_at_once",
        "libraries/decisions",
        "tests.membership.test_fleet_view.RollOutTests.test_one_target_goes_on_serving",
    ),
    Mutation(
        "the old version serves until a target has the new one",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "        if not new:\n            return self._previous\n",
        "",
        "libraries/decisions",
        "tests.membership.test_fleet_view.RollOutTests."
        "test_requests_follow_the_targets_through_a_roll_out",
    ),
    Mutation(
        "targets not heard of yet are taken to have the old version",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "self._previous if self._previous and unreported else self.configured",
        "self.configured",
        "libraries/gateway",
        "tests.test_fleet.VersionTests."
        "test_targets_without_a_report_keep_the_old_version_in_use",
    ),
    Mutation(
        "the version before is what targets have",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "in_use[0][0] if in_use else self.configured",
        "self.configured",
        "libraries/gateway",
        "tests.test_fleet.VersionTests.test_a_superseded_version_keeps_the_one_in_use",
    ),
    Mutation(
        "a roll-out may be underway when a gateway starts",
        "libraries/gateway/src/bamboopier_gateway/fleet.py",
        "ModelVersions(now, model.version)",
        "ModelVersions(now - 600, model.version)",
        "libraries/gateway",
        "tests.test_fleet.VersionTests."
        "test_a_gateway_started_during_a_rollout_uses_the_versions_of_its_targets",
    ),
    Mutation(
        "targets at a version in between serve",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "        if versions:\n"
        "            return Counter(versions).most_common(1)[0][0]\n",
        "",
        "libraries/gateway",
        "tests.test_fleet.VersionTests.test_targets_at_an_intermediate_version_serve",
    ),
    Mutation(
        "the old version ends in any case",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "        if now >= self._changed_at + ROLLOUT_SECONDS:\n"
        "            return self.configured\n",
        "",
        "libraries/decisions",
        "tests.membership.test_fleet_view.RollOutTests."
        "test_requests_follow_the_targets_through_a_roll_out",
    ),
    Mutation(
        "the lease is renewed just before an order",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "            if not await self._lease.acquire():\n"
        "                return LoadOutcome.NO_LEASE\n",
        "",
        "libraries/agent",
        "tests.test_weights.WeightsTests."
        "test_a_renewal_shows_a_takeover_to_a_clock_that_stood_still",
    ),
    Mutation(
        "the slot is checked just before an order",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "            if not slot.held or not self._lease.held:\n"
        "                return LoadOutcome.NO_LEASE\n"
        "            answer",
        "            answer",
        "libraries/agent",
        "tests.test_weights.WeightsTests."
        "test_a_slot_that_lapsed_in_a_pause_is_not_used",
    ),
    Mutation(
        "no order without a lease",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "        if not self._lease.held:\n"
        "            return LoadOutcome.NO_LEASE\n"
        "        count",
        "        count",
        "libraries/agent",
        "tests.test_weights.WeightsTests."
        "test_without_the_platform_no_order_and_serving_goes_on",
    ),
    Mutation(
        "no more loads at once than allowed",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "count_slots(service.loads_at_once, self._count_targets())",
        "99",
        "libraries/agent",
        "tests.test_weights.WeightsTests.test_no_more_loads_at_once_than_allowed",
    ),
    Mutation(
        "the slot of a killed agent is waited out",
        "libraries/agent/src/bamboopier_agent/load_slots.py",
        "Lease(self._holder, self._holder, self._lease_seconds)",
        "Lease(self._holder, self._service, self._lease_seconds)",
        "libraries/agent",
        "tests.test_weights.WeightsTests."
        "test_a_slot_of_a_killed_agent_comes_back_after_its_lease",
    ),
    Mutation(
        "no new work while weights are swapped",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "        self._standing.set_loading(True)\n",
        "",
        "libraries/agent",
        "tests.test_weights.WeightsTests."
        "test_nothing_is_let_in_until_the_engine_reports_the_version",
    ),
    Mutation(
        "the version that the engine reports is awaited",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "            if self._watch.reachable and self._watch.version == wanted:\n",
        "            if self._watch.reachable:\n",
        "libraries/agent",
        "tests.test_weights.WeightsTests."
        "test_nothing_is_let_in_until_the_engine_reports_the_version",
    ),
    Mutation(
        "a failed load gives its slot back at once",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "                if isinstance(answer.err_value, OrderFailedError):\n"
        "                    return LoadOutcome.FAILED\n",
        "",
        "libraries/agent",
        "tests.test_weights.WeightsTests."
        "test_a_load_that_failed_gives_slot_and_work_back",
    ),
    Mutation(
        "orders carry the lease's fencing number",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "self._target.load_weights(wanted, self._lease.lease.fence)",
        "self._target.load_weights(wanted, 10**6)",
        "libraries/agent",
        "tests.test_weights.WeightsTests."
        "test_an_engine_that_checks_refuses_the_older_number",
    ),
    Mutation(
        "a target that ignores fencing numbers is waited for",
        "libraries/agent/src/bamboopier_agent/weights.py",
        "            TakeoverPolicy.AT_ONCE if checks else TakeoverPolicy.AFTER_WAIT\n",
        "            TakeoverPolicy.AT_ONCE\n",
        "libraries/agent",
        "tests.test_weights.WeightsTests.test_a_second_agent_waits_out_the_first",
    ),
    Mutation(
        "closed targets do not count for a version",
        "libraries/gateway/src/bamboopier_gateway/target_reports.py",
        "if r is not None and r.accepting]",
        "if r is not None]",
        "libraries/gateway",
        "tests.test_target_reports.TargetReportsTests."
        "test_closed_and_lost_targets_do_not_count_for_a_version",
    ),
    Mutation(
        "a request goes to a target of its version",
        "libraries/decisions/src/bamboopier_decisions/routing/target_state.py",
        '        if not version or self.load.weight_version in ("", version):\n',
        "        if True:\n",
        "libraries/decisions",
        "tests.membership.test_fleet_view.RollOutTests."
        "test_a_request_goes_to_a_target_of_its_version",
    ),
    Mutation(
        "closed targets are asked again",
        "libraries/gateway/src/bamboopier_gateway/target_reports.py",
        "        groups = (closed, others) if self._poll_closed "
        "else (others, closed)\n",
        "        groups = (others,)\n",
        "libraries/gateway",
        "tests.test_target_reports.TargetReportsTests."
        "test_targets_without_requests_are_polled_in_turn",
    ),
    Mutation(
        "an agent refuses a request for another version",
        "libraries/agent/src/bamboopier_agent/service.py",
        "        if wanted and wanted != self._watch.version:\n",
        "        if False:\n",
        ".",
        "tests.test_weights.WeightsTests."
        "test_an_agent_refuses_a_request_for_another_version",
    ),
)
