"""Safeguards of leases, load slots, load orders and weight versions."""

from __future__ import annotations

from mutations import Mutation

MUTATIONS = (
    Mutation(
        "a takeover waits for the full lease duration",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        return max(0.0, self._observed_at + record.duration - now)\n",
        "        return max(0.0, self._observed_at + record.duration / 2 - now)\n",
        "libraries/decisions",
        "tests.membership.test_lease",
    ),
    Mutation(
        "the wait restarts at each renewal",
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
        "test_the_wait_counts_from_the_last_renewal",
    ),
    Mutation(
        "a lease expires on the holder's own clock",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        return sent is not None and now < sent + record.duration * (\n"
        "            1 - CLOCK_RATE_ERROR\n"
        "        )\n",
        "        return sent is not None\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseMachineTests",
    ),
    Mutation(
        "a holder's lease expires early to allow for clock rate errors",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "CLOCK_RATE_ERROR = 0.01\n",
        "CLOCK_RATE_ERROR = 0.0\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseTests."
        "test_a_lease_expires_before_a_faster_clock_allows_takeover",
    ),
    Mutation(
        "a lease counts from the sending of the write that took effect",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        sent = self._sent_at.get(record.serial)\n",
        "        sent = max(self._sent_at.values(), default=None)\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseTests."
        "test_a_delayed_renewal_counts_from_when_it_was_sent",
    ),
    Mutation(
        "each new holder has a higher fencing token",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        fence = self.fence if self.is_held(now) else self.fence + 1\n",
        "        fence = max(1, self.fence)\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseMachineTests",
    ),
    Mutation(
        "a read from a lagging replica does not restart the wait",
        "libraries/decisions/src/bamboopier_decisions/membership/lease.py",
        "        if observed.version > self._observed.version:\n"
        "            self._observed = observed\n",
        "        if observed.version != self._observed.version:\n"
        "            self._observed = observed\n",
        "libraries/decisions",
        "tests.membership.test_lease.LeaseTests."
        "test_the_wait_counts_from_the_last_renewal",
    ),
    Mutation(
        "at least one target of a service keeps serving",
        "libraries/decisions/src/bamboopier_decisions/membership/load_slots.py",
        "min(loads_at_once, serving_targets - 1)",
        "loads_at_once",
        "libraries/decisions",
        "tests.membership.test_fleet_view.RolloutTests.test_one_target_keeps_serving",
    ),
    Mutation(
        "the old version serves until a target has the new one",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "        if not new:\n            return self._previous\n",
        "",
        "libraries/decisions",
        "tests.membership.test_fleet_view.RolloutTests."
        "test_requests_follow_the_targets_through_a_rollout",
    ),
    Mutation(
        "targets without a report are assumed to have the old version",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "self._previous if self._previous and unreported else self.configured",
        "self.configured",
        "libraries/gateway",
        "tests.test_fleet.VersionTests."
        "test_targets_without_a_report_keep_the_old_version_in_use",
    ),
    Mutation(
        "the previous version is the one in use at the targets",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "in_use[0][0] if in_use else self.configured",
        "self.configured",
        "libraries/gateway",
        "tests.test_fleet.VersionTests.test_a_superseded_version_keeps_the_one_in_use",
    ),
    Mutation(
        "a starting gateway assumes that a rollout may be in progress",
        "libraries/gateway/src/bamboopier_gateway/fleet.py",
        "ModelVersions(now, model.version)",
        "ModelVersions(now - 600, model.version)",
        "libraries/gateway",
        "tests.test_fleet.VersionTests."
        "test_a_gateway_started_during_a_rollout_uses_the_versions_of_its_targets",
    ),
    Mutation(
        "targets at an intermediate version serve",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "        if versions:\n"
        "            return Counter(versions).most_common(1)[0][0]\n",
        "",
        "libraries/gateway",
        "tests.test_fleet.VersionTests.test_targets_at_an_intermediate_version_serve",
    ),
    Mutation(
        "the old version is dropped after the time of a rollout in any case",
        "libraries/decisions/src/bamboopier_decisions/membership/versions.py",
        "        if now >= self._changed_at + ROLLOUT_SECONDS:\n"
        "            return self.configured\n",
        "",
        "libraries/decisions",
        "tests.membership.test_fleet_view.RolloutTests."
        "test_requests_follow_the_targets_through_a_rollout",
    ),
    Mutation(
        "the lease is renewed immediately before a load order",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "            if not await self._lease.acquire():\n"
        "                return LoadOutcome.NO_LEASE\n",
        "",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests."
        "test_a_renewal_detects_a_takeover_despite_a_stopped_clock",
    ),
    Mutation(
        "the slot is checked immediately before a load order",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "            if not slot.held or not self._lease.held:\n"
        "                return LoadOutcome.NO_LEASE\n"
        "            result",
        "            result",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests."
        "test_a_slot_that_expired_during_a_suspension_is_not_used",
    ),
    Mutation(
        "no load order is sent without a lease",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "        if not self._lease.held:\n"
        "            return LoadOutcome.NO_LEASE\n"
        "        count",
        "        count",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests."
        "test_without_the_platform_serving_continues_without_orders",
    ),
    Mutation(
        "the number of concurrent weight loads is limited",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "count_slots(service.loads_at_once, self._count_targets())",
        "99",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests.test_no_more_loads_at_once_than_allowed",
    ),
    Mutation(
        "the slot of a killed agent is not free before its lease expires",
        "libraries/agent/src/bamboopier_agent/load_slots.py",
        "Lease(self._holder, self._holder, self._lease_seconds)",
        "Lease(self._holder, self._service, self._lease_seconds)",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests."
        "test_the_slot_of_a_killed_agent_is_free_after_its_lease",
    ),
    Mutation(
        "no request is admitted while weights are loaded",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "        self._availability_gate.set_loading(True)\n",
        "",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests."
        "test_no_request_is_admitted_until_the_version_is_reported",
    ),
    Mutation(
        "a load waits until the engine reports the configured version",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "            if self._monitor.reachable and "
        "self._monitor.version == configured_version:\n",
        "            if self._monitor.reachable:\n",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests."
        "test_no_request_is_admitted_until_the_version_is_reported",
    ),
    Mutation(
        "a failed load releases its slot at once",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "                if isinstance(result.err_value, OrderFailedError):\n"
        "                    return LoadOutcome.FAILED\n",
        "",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests."
        "test_a_failed_load_releases_the_slot_and_reopens_the_gate",
    ),
    Mutation(
        "load orders carry the lease's fencing token",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "configured_version, self._lease.lease.fence\n",
        "configured_version, 10**6\n",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests."
        "test_an_engine_that_checks_refuses_the_older_token",
    ),
    Mutation(
        "a takeover waits if the target ignores fencing tokens",
        "libraries/agent/src/bamboopier_agent/weight_updater.py",
        "            TakeoverPolicy.AT_ONCE if checks else TakeoverPolicy.AFTER_WAIT\n",
        "            TakeoverPolicy.AT_ONCE\n",
        "libraries/agent",
        "tests.test_weight_updater.WeightUpdaterTests.test_a_second_agent_waits_until_the_lease_expires",
    ),
    Mutation(
        "targets that accept no requests do not count for a version",
        "libraries/gateway/src/bamboopier_gateway/target_reports.py",
        "if r is not None and r.accepting]",
        "if r is not None]",
        "libraries/gateway",
        "tests.test_target_reports.TargetReportsTests."
        "test_closed_and_lost_targets_do_not_count_for_a_version",
    ),
    Mutation(
        "a request goes only to a target of its version",
        "libraries/decisions/src/bamboopier_decisions/routing/target_state.py",
        '        if not version or self.load.weight_version in ("", version):\n',
        "        if True:\n",
        "libraries/decisions",
        "tests.membership.test_fleet_view.RolloutTests."
        "test_a_request_goes_to_a_target_of_its_version",
    ),
    Mutation(
        "targets that accept no requests are polled again",
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
        "        if requested and requested != self._monitor.version:\n",
        "        if False:\n",
        ".",
        "tests.test_weights.WeightsTests."
        "test_an_agent_refuses_a_request_for_another_version",
    ),
)
