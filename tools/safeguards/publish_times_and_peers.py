"""Safeguards of publish times, gateway counts, store updates and aborted requests."""

from __future__ import annotations

from mutations import Mutation

PROXY = "libraries/proxy/src/bamboopier_proxy"
OBSERVER = "tests.test_weights_observer.WeightsObserverTests"
PUBLISH_TIMES_TESTS = "tests.test_publish_times.PublishTimesTests"
ATTEMPTS = "tests.test_attempts.AttemptTests"
FOLLOWED_WEIGHTS_TESTS = "tests.test_weights_observer.FollowedWeightsTests"
GATEWAY_COUNT_TESTS = "tests.test_gateway_peers.GatewayCountTests"
FORMER_START_TESTS = "tests.test_part_relay.FormerStartTests"
FORWARDING = "libraries/decisions/src/bamboopier_decisions/forwarding"
PAUSE_TRACKER = f"{FORWARDING}/pause_tracker.py"
WEIGHT_VERSIONS = f"{FORWARDING}/weight_versions.py"

MUTATIONS = (
    Mutation(
        "a version received after a pause may be as old as the pause",
        f"{PROXY}/observers.py",
        "        earliest_arrival = self._pauses.find_earliest_arrival(now)\n",
        "        earliest_arrival = now\n",
        "libraries/proxy",
        f"{OBSERVER}.test_a_version_received_after_a_pause_may_be_as_old_as_it",
    ),
    Mutation(
        "a version found by a list may be as old as the failed watch",
        f"{PROXY}/observers.py",
        "        since = now if guessed else known_until\n",
        "        since = now\n",
        "libraries/proxy",
        f"{OBSERVER}.test_a_list_after_a_silent_watch_dates_from_its_start",
    ),
    Mutation(
        "the earliest publish time is written, not the time of receipt",
        f"{PROXY}/publish_times.py",
        "        published_at = time.time() - age\n",
        "        published_at = time.time()\n",
        "libraries/proxy",
        f"{PUBLISH_TIMES_TESTS}.test_the_earliest_time_is_written_not_that_of_receipt",
    ),
    Mutation(
        "aborting a request resets its connection to the target",
        f"{PROXY}/target_connection.py",
        '            enable_reset_on_close(self._transport.get_extra_info("socket"))\n',
        "            pass\n",
        "libraries/proxy",
        "tests.test_target_connection.AbortTests.test_aborting_a_request_resets_the_connection",
    ),
    Mutation(
        "nothing is sent after the route timeout",
        f"{PROXY}/forwarder.py",
        "            return Err(Cause.LATE)\n",
        "            pass\n",
        "libraries/proxy",
        f"{ATTEMPTS}.test_nothing_is_sent_after_the_route_timeout",
    ),
    Mutation(
        "configuration freshness is checked immediately before an attempt",
        f"{PROXY}/forwarder.py",
        "        self._check_freshness(call, now)\n",
        "",
        "libraries/proxy",
        f"{ATTEMPTS}.test_a_key_is_refused_when_the_configuration_gets_stale",
    ),
    Mutation(
        "weight expiry is checked immediately before an attempt",
        f"{PROXY}/forwarder.py",
        "        if not is_open or"
        " not self._planner.may_start(now, call, in_flight):\n",
        "        if not is_open:\n",
        "libraries/proxy",
        f"{ATTEMPTS}.test_nothing_is_sent_to_a_target_whose_weights_expired",
    ),
    Mutation(
        "a gateway's own pause does not count as silence of the others",
        f"{PROXY}/gateway_registry.py",
        "        return self._pauses.read_running_clock(read_clock())\n",
        "        return read_clock()\n",
        "libraries/proxy",
        f"{GATEWAY_COUNT_TESTS}.test_gateways_resumed_together_share_the_limit_of_a_cold_target",
    ),
    Mutation(
        "a pause not yet recorded does not count as silence of the others",
        PAUSE_TRACKER,
        "        return now - self._paused_seconds - pending\n",
        "        return now - self._paused_seconds\n",
        "libraries/proxy",
        f"{GATEWAY_COUNT_TESTS}.test_gateways_resumed_together_share_the_limit_of_a_cold_target",
    ),
    Mutation(
        "a recorded pause does not count as silence of the others",
        PAUSE_TRACKER,
        "        self._paused_seconds += gap\n",
        "        pass\n",
        "libraries/proxy",
        f"{GATEWAY_COUNT_TESTS}.test_a_pause_recorded_before_the_count_is_no_silence",
    ),
    Mutation(
        "hints are also sent to registered gateways that are silent",
        f"{PROXY}/hint_exchange.py",
        ", *silent]:\n",
        "]:\n",
        "libraries/proxy",
        f"{GATEWAY_COUNT_TESTS}.test_partitioned_gateways_rediscover_each_other",
    ),
    Mutation(
        "each of many gateways sends a cold target less than one request a second",
        f"{FORWARDING}/cold_start_limit.py",
        " and self._is_in_time_slot(\n"
        "            now, gateway_rate * TIME_SLOT_SHARE, phase\n"
        "        )\n",
        "\n",
        "libraries/decisions",
        "tests.forwarding.test_bounds.ColdStartLimitTests"
        ".test_more_gateways_than_requests_a_second_of_a_cold_target",
    ),
    Mutation(
        "a share of a cold target that is lent counts at its lender",
        f"{FORWARDING}/cold_start_limit.py",
        "        self._lent.extend([now + LOAN_SECONDS] * count)\n",
        "",
        "libraries/decisions",
        "tests.forwarding.test_bounds.ColdStartLimitTests"
        ".test_lent_shares_add_up_to_the_rate",
    ),
    Mutation(
        "a share of a cold target is used only while its lender counts it",
        f"{FORWARDING}/cold_start_limit.py",
        "        if now >= until or not self.is_cold(now):\n",
        "        if not self.is_cold(now):\n",
        "libraries/decisions",
        "tests.forwarding.test_bounds.ColdStartLimitTests.test_a_late_grant_is_not_used",
    ),
    Mutation(
        "half of a share of a cold target stays for own callers",
        f"{FORWARDING}/cold_start_limit.py",
        "per_second, gateway_count) // 2)\n",
        "per_second, gateway_count))\n",
        "libraries/decisions",
        "tests.forwarding.test_bounds.ColdStartLimitTests"
        ".test_half_of_a_share_stays_for_own_callers",
    ),
    Mutation(
        "waiting callers get idle shares of cold targets",
        f"{PROXY}/capacity_loans.py",
        "        if not wanted:\n",
        "        if True:\n",
        "libraries/proxy",
        f"{GATEWAY_COUNT_TESTS}.test_waiting_callers_get_the_idle_shares_of_a_cold_target",
    ),
    Mutation(
        "limits in tokens follow the observed speed of engines",
        f"{FORWARDING}/prefill_rate.py",
        "            self.per_second *= factor**WEIGHT\n",
        "            pass\n",
        "libraries/decisions",
        "tests.forwarding.test_load_pattern.OverloadTests"
        ".test_engines_of_any_speed_are_filled_as_far_as_callers_are_in_time",
    ),
    Mutation(
        "a gateway without the gateway list assumes the smallest share",
        f"{PROXY}/gateway_state.py",
        "        self.fleet.gateway_count, self.fleet.gateway_index ="
        " ASSUMED_GATEWAYS, None\n",
        "",
        "libraries/proxy",
        f"{GATEWAY_COUNT_TESTS}.test_a_gateway_without_the_list_sends_nothing_to_cold_targets",
    ),
    Mutation(
        "a hint without the gateway list does not set the gateway count",
        f"{PROXY}/gateway_registry.py",
        "        if self._has_list and counted != self._reported_count:\n",
        "        if counted != self._reported_count:\n",
        "libraries/proxy",
        f"{GATEWAY_COUNT_TESTS}.test_a_gateway_without_the_list_sends_nothing_to_cold_targets",
    ),
    Mutation(
        "a relayed update of a former instance of a store is ignored",
        f"{PROXY}/part_relay.py",
        "        if store.is_outdated(update):\n            return\n",
        "",
        "libraries/proxy",
        f"{FORMER_START_TESTS}.test_nothing_is_saved_soon_after_a_known_restart",
    ),
    Mutation(
        "a relayed update of an instance later by the stores' clock is applied",
        f"{FORWARDING}/part_store_index.py",
        " and update.clock_ms < self.clock_ms\n",
        "\n",
        "libraries/proxy",
        f"{FORMER_START_TESTS}.test_an_instance_later_than_the_known_one_is_accepted",
    ),
    Mutation(
        "the last response before a change bounds its age after a pause",
        f"{PROXY}/observers.py",
        "        return max(known_until, earliest_arrival)\n",
        "        return earliest_arrival\n",
        "libraries/proxy",
        f"{FOLLOWED_WEIGHTS_TESTS}.test_weights_published_after_a_pause_allow_older_ones",
    ),
    Mutation(
        "a change in a late watch response may be as old as the watch",
        f"{PROXY}/observers.py",
        "            return known_until\n",
        "            return now\n",
        "libraries/proxy",
        f"{FOLLOWED_WEIGHTS_TESTS}.test_a_late_watch_response_may_be_as_old_as_the_watch",
    ),
    Mutation(
        "a gateway that assumes only that a version may be old writes last",
        f"{PROXY}/publish_times.py",
        "    return 2 if age > TIMELY_SECONDS else 0\n",
        "    return 0\n",
        "libraries/proxy",
        "tests.test_publish_times.SharedPublishTimesTests"
        ".test_a_pause_of_one_gateway_expires_no_weights_at_others",
    ),
    Mutation(
        "a guessed publish time does not replace a known one",
        WEIGHT_VERSIONS,
        '    if recorded.guessed and known.published_at > float("-inf"):\n',
        "    if False:\n",
        "libraries/decisions",
        "tests.forwarding.test_weights.VersionTests"
        ".test_a_guess_does_not_replace_a_known_publish_time",
    ),
    Mutation(
        "a request that waits at a target until its weights expire is aborted",
        f"{PROXY}/weight_expiry_monitor.py",
        "            pending.connection.abort()\n",
        "",
        "libraries/proxy",
        "tests.test_weight_expiry_monitor.WeightExpiryMonitorTests"
        ".test_requests_not_started_in_time_are_aborted",
    ),
    Mutation(
        "a started request is not aborted when its weights expire",
        f"{PROXY}/weight_expiry_monitor.py",
        "        self._pending.discard(pending)\n\n",
        "        pass\n\n",
        "libraries/proxy",
        "tests.test_weight_expiry_monitor.WeightExpiryMonitorTests.test_started_requests_continue",
    ),
)
