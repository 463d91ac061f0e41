"""Safeguards of targets that ask for rest, or report that they leave."""

from __future__ import annotations

from mutations import Mutation

FORWARDING = "libraries/decisions/src/bamboopier_decisions/forwarding"
REST_PERIOD = f"{FORWARDING}/rest_period.py"
FLEET = f"{FORWARDING}/fleet.py"
REST_TESTS = "tests.forwarding.test_rest_period.RestPeriodTests"
PLACEMENT_TESTS = "tests.forwarding.test_placement.PlacementTests"
FLEET_TESTS = "tests.forwarding.test_fleet.FleetTests"

MUTATIONS = (
    Mutation(
        "a resting target gets no requests",
        f"{FORWARDING}/placement.py",
        "max(allowed_at, state.rest.until)",
        "allowed_at",
        "libraries/decisions",
        f"{PLACEMENT_TESTS}.test_the_first_end_of_all_rests_is_known",
    ),
    Mutation(
        "a rest is checked right before the send",
        "libraries/proxy/src/bamboopier_proxy/forwarder.py",
        "in_flight.state.rest.is_resting(now)",
        "False",
        "libraries/proxy",
        "tests.test_attempts.AttemptTests"
        ".test_nothing_is_sent_to_a_target_that_asks_for_rest_meanwhile",
    ),
    Mutation(
        "a shorter rest does not end a longer one",
        REST_PERIOD,
        " or until <= self.until",
        "",
        "libraries/decisions",
        f"{REST_TESTS}.test_a_shorter_rest_does_not_end_a_longer_one",
    ),
    Mutation(
        "a rest is bounded",
        REST_PERIOD,
        "min(seconds, MAX_REST_SECONDS)",
        "seconds",
        "libraries/decisions",
        f"{REST_TESTS}.test_an_endless_rest_ends",
    ),
    Mutation(
        "requests after a rest increase with the responses",
        REST_PERIOD,
        "        self._responses = 0\n",
        "",
        "libraries/decisions",
        f"{REST_TESTS}.test_requests_after_a_rest_increase_with_the_responses",
    ),
    Mutation(
        "a rest holds for an instance that is listed again",
        FLEET,
        "            or state.rest.is_resting(now)\n",
        "",
        "libraries/decisions",
        f"{FLEET_TESTS}.test_a_rest_holds_for_an_instance_that_is_listed_again",
    ),
    Mutation(
        "a target that reports that it leaves gets no requests",
        f"{FORWARDING}/target_state.py",
        "self.entry.leaving or self.reports_leaving",
        "self.entry.leaving",
        "libraries/decisions",
        f"{FLEET_TESTS}.test_a_target_that_reports_leaving_stays_away",
    ),
    Mutation(
        "a target that leaves is not used when it is listed again",
        FLEET,
        "            state.reports_leaving = former.leaving\n",
        "",
        "libraries/decisions",
        f"{FLEET_TESTS}.test_a_target_that_reports_leaving_stays_away",
    ),
    Mutation(
        "a rejection for other weights reports that the target leaves",
        "libraries/proxy/src/bamboopier_proxy/target_reports.py",
        " and metadata.target != state.entry.name",
        "",
        "libraries/proxy",
        "tests.test_target_reports.TargetReportTests"
        ".test_every_response_of_the_instance_may_report_that_it_leaves",
    ),
    Mutation(
        "only responses after a rest admit more requests",
        "libraries/proxy/src/bamboopier_proxy/target_reports.py",
        "        if in_flight.ramped:\n            state",
        "        if True:\n            state",
        "libraries/proxy",
        "tests.test_target_reports.TargetReportTests"
        ".test_only_responses_to_requests_after_a_rest_admit_more",
    ),
    Mutation(
        "callers are told a time after the first rest ends",
        f"{FORWARDING}/wait_queue.py",
        "max(min(shortest, max_seconds), capacity_in)",
        "min(shortest, max_seconds)",
        "libraries/decisions",
        "tests.forwarding.test_retry_after.RetryAfterTests"
        ".test_callers_return_after_there_is_capacity_at_different_moments",
    ),
)
