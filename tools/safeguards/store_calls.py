"""Safeguards of calls to the store, reports of roll-outs, and plain services."""

from __future__ import annotations

from mutations import Mutation

_DECISIONS = "libraries/decisions/src/bamboopier_decisions/"
_PROXY = "libraries/proxy/src/bamboopier_proxy/"
_SCHEDULE = _DECISIONS + "forwarding/confirmation_schedule.py"
_SCHEDULE_TESTS = "tests.forwarding.test_confirmation_schedule.ManyGatewaysTests"
_REPORTS = _DECISIONS + "rollouts/report_schedule.py"
_REPORT_TESTS = "tests.rollouts.test_report_schedule.ReportScheduleTests"
_AVAILABILITY = _PROXY + "store_availability.py"
_AVAILABILITY_TESTS = "tests.test_store_availability.StoreAvailabilityTests"
_WEIGHTS_TESTS = "tests.test_weights_confirmation.WeightsConfirmationTests"

MUTATIONS = (
    Mutation(
        "one gateway has a list confirmed before the others",
        _SCHEDULE,
        "        return min(first + ORDER_SECONDS * self._rank, self._last_limit)\n",
        "        return min(first, self._last_limit)\n",
        "libraries/decisions",
        f"{_SCHEDULE_TESTS}.test_calls_hardly_grow_with_the_gateways",
    ),
    Mutation(
        "the first asks earlier the more gateways there are",
        _SCHEDULE,
        "        early = SPREAD_SECONDS * math.log2(max(2, self._count))\n",
        "        early = SPREAD_SECONDS\n",
        "libraries/decisions",
        f"{_SCHEDULE_TESTS}.test_calls_hardly_grow_with_the_gateways",
    ),
    Mutation(
        "the gateways have different places in the order",
        _PROXY + "store_confirmation.py",
        "            schedule.set_order(rank, count)\n",
        "            schedule.set_order(0, count)\n",
        "libraries/proxy",
        "tests.test_store_confirmation.StoreConfirmationTests"
        ".test_one_gateway_asks_before_the_others",
    ),
    Mutation(
        "a watch ends before the history is dropped",
        _PROXY + "settings.py",
        "        return min(MAX_WATCH_SECONDS, self.history_seconds * WATCH_SHARE)\n",
        "        return MAX_WATCH_SECONDS\n",
        "libraries/proxy",
        "tests.test_settings.WatchTests.test_a_watch_ends_before_the_history_is_dropped",
    ),
    Mutation(
        "an agent asks for weights that a gateway knows and its watch does not bring",
        _PROXY + "store_confirmation.py",
        "        if schedule.record_newer(now, found.changed_revision, "
        "follower.revision):\n",
        "        if False:\n",
        "libraries/proxy",
        f"{_WEIGHTS_TESTS}.test_a_change_that_the_watch_does_not_bring_is_asked_for",
    ),
    Mutation(
        "a reported change does not put off a check that is due",
        "libraries/decisions/src/bamboopier_decisions/forwarding/"
        "confirmation_schedule.py",
        "        return is_late or now - known_until >= self._max_age\n",
        "        return is_late\n",
        "libraries/decisions",
        "tests.forwarding.test_confirmation_schedule.ReportedChangeTests"
        ".test_a_reported_change_does_not_put_off_a_check_that_is_due",
    ),
    Mutation(
        "only a gateway that knows the same objects confirms a list",
        _PROXY + "store_confirmation.py",
        "    if found.fingerprint == follower.fingerprint:\n",
        "    if found.changed_revision <= follower.revision:\n",
        "libraries/proxy",
        "tests.test_store_confirmation.StoreConfirmationTests"
        ".test_a_list_with_other_objects_confirms_nothing",
    ),
    Mutation(
        "an old answer confirms no weights",
        _PROXY + "weights_confirmation.py",
        "        if self._asked is None or self._asked[0] != response.nonce:\n",
        "        if self._asked is None:\n",
        "libraries/proxy",
        f"{_WEIGHTS_TESTS}.test_other_answers_confirm_nothing",
    ),
    Mutation(
        "a failure of a version on trial is told at once",
        _REPORTS,
        "        return is_regular or has_drained or has_failed\n",
        "        return is_regular or has_drained\n",
        "libraries/decisions",
        f"{_REPORT_TESTS}.test_a_failure_of_the_version_is_told_at_once",
    ),
    Mutation(
        "a failure of a version on trial is told twice",
        _REPORTS,
        "        self._repeated = self._find_failing(evidence)\n",
        "",
        "libraries/decisions",
        f"{_REPORT_TESTS}.test_a_failure_is_told_twice",
    ),
    Mutation(
        "all counts are told in some reports",
        _REPORTS,
        "        is_full = to != self._to or self._number % FULL_EVERY == 0\n",
        "        is_full = to != self._to\n",
        "libraries/decisions",
        f"{_REPORT_TESTS}.test_a_lost_report_is_made_up_for",
    ),
    Mutation(
        "another evaluating gateway is told everything",
        _REPORTS,
        "        is_full = to != self._to or self._number % FULL_EVERY == 0\n",
        "        is_full = self._number % FULL_EVERY == 0\n",
        "libraries/decisions",
        f"{_REPORT_TESTS}.test_another_evaluating_gateway_is_told_everything",
    ),
    Mutation(
        "many gateways report rarely",
        _REPORTS,
        "max(MIN_SECONDS, gateways / REPORTS_PER_SECOND))",
        "MIN_SECONDS)",
        "libraries/decisions",
        f"{_REPORT_TESTS}.test_many_gateways_report_rarely",
    ),
    Mutation(
        "a few answers of a service are not relied on",
        _DECISIONS + "forwarding/target_capacity.py",
        "    if free == 0 and not state.service_time.is_settled:\n",
        "    if free == 0 and state.service_time.is_settled:\n",
        "libraries/decisions",
        "tests.contention.test_overload.OverloadTests"
        ".test_first_answers_mislead_a_gateway_with_few_callers",
    ),
    Mutation(
        "many gateways send at a pace",
        _DECISIONS + "forwarding/target_capacity.py",
        "        and share * (state.slots + turnover) < MAX_PACED_SLOTS\n",
        "        and share * (state.slots + turnover) < 0\n",
        "libraries/decisions",
        "tests.contention.test_overload.ManyGatewaysTests"
        ".test_many_gateways_share_what_is_carried_under_overload",
    ),
    Mutation(
        "old loads weigh little with many gateways",
        _DECISIONS + "forwarding/placement.py",
        "    load_weight = min(1.0, FEW_GATEWAYS / max(1, gateway_count)) ** 2\n",
        "    load_weight = 1.0\n",
        "libraries/decisions",
        "tests.contention.test_overload.ManyGatewaysTests"
        ".test_many_gateways_spread_what_is_carried",
    ),
    Mutation(
        "an outage is found by a call that fails after it",
        _AVAILABILITY,
        "        self._gaps = [p for p in parts if p.seconds >= MIN_OUTAGE_SECONDS]\n",
        "        self._gaps = []\n",
        "libraries/proxy",
        f"{_AVAILABILITY_TESTS}.test_an_outage_is_detected_by_a_call_that_fails_after_it",
    ),
    Mutation(
        "a call accepted from another process divides a gap",
        _AVAILABILITY,
        "[part for gap in gaps for part in gap.divide(sent_at, accepted_at)]",
        "gaps",
        "libraries/proxy",
        f"{_AVAILABILITY_TESTS}.test_a_call_accepted_from_another_process_is_no_outage",
    ),
    Mutation(
        "a failed call says nothing of the time after an accepted one",
        _AVAILABILITY,
        "        if sent_at < self.last_accepted_at:\n",
        "        if sent_at < self._resumed_at:\n",
        "libraries/proxy",
        f"{_AVAILABILITY_TESTS}.test_a_call_accepted_from_another_process_is_no_outage",
    ),
    Mutation(
        "a gap is short-lived",
        _AVAILABILITY,
        "if accepted_at - g.ended_at < MAX_CALL_SECONDS]\n",
        "if g]\n",
        "libraries/proxy",
        f"{_AVAILABILITY_TESTS}.test_gaps_are_kept_for_as_long_as_a_call_takes",
    ),
)
