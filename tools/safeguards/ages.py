"""Safeguards of what is heard late: ages, silences, and callers that have left."""

from __future__ import annotations

from mutations import Mutation

PROXY = "libraries/proxy/src/bamboopier_proxy"
OBSERVER = "tests.test_weights_observer.WeightsObserverTests"
AGES = "tests.test_publish_times.PublishTimesTests"
ATTEMPTS = "tests.test_attempts.AttemptTests"
FOLLOWED = "tests.test_weights_observer.FollowedWeightsTests"
PEERS = "tests.test_gateway_peers.GatewayCountTests"
STARTS = "tests.test_part_relay.FormerStartTests"
FORWARDING = "libraries/decisions/src/bamboopier_decisions/forwarding"
PAUSES = f"{FORWARDING}/pause_tracker.py"
WEIGHTS = f"{FORWARDING}/weight_versions.py"

MUTATIONS = (
    Mutation(
        "weights heard of after a pause may be as old as that",
        f"{PROXY}/observers.py",
        "        earliest_arrival = self._pauses.find_earliest_arrival(now)\n",
        "        earliest_arrival = now\n",
        "libraries/proxy",
        f"{OBSERVER}.test_a_version_received_after_a_pause_may_be_as_old_as_it",
    ),
    Mutation(
        "weights found by a list may be as old as the watch that failed",
        f"{PROXY}/observers.py",
        "        since = now if guessed else known_until\n",
        "        since = now\n",
        "libraries/proxy",
        f"{OBSERVER}.test_a_list_after_a_silent_watch_dates_from_its_start",
    ),
    Mutation(
        "what is written is the earliest time, not that of hearing",
        f"{PROXY}/publish_times.py",
        "        published_at = time.time() - age\n",
        "        published_at = time.time()\n",
        "libraries/proxy",
        f"{AGES}.test_the_earliest_time_is_written_not_that_of_receipt",
    ),
    Mutation(
        "a request whose caller has left is taken back by a reset",
        f"{PROXY}/target_connection.py",
        '            enable_reset_on_close(self._transport.get_extra_info("socket"))\n',
        "            pass\n",
        "libraries/proxy",
        "tests.test_target_connection.AbortTests.test_aborting_a_request_resets_the_connection",
    ),
    Mutation(
        "nothing is sent after the time of its route",
        f"{PROXY}/forwarder.py",
        "            return Err(Cause.LATE)\n",
        "            pass\n",
        "libraries/proxy",
        f"{ATTEMPTS}.test_nothing_is_sent_after_the_route_timeout",
    ),
    Mutation(
        "a key's proof is looked at right before the send",
        f"{PROXY}/forwarder.py",
        "        self._check_freshness(call, now)\n",
        "",
        "libraries/proxy",
        f"{ATTEMPTS}.test_a_key_is_refused_when_the_configuration_gets_stale",
    ),
    Mutation(
        "the time of older weights is looked at right before the send",
        f"{PROXY}/forwarder.py",
        "        if not is_open or"
        " not self._planner.may_start(now, call, in_flight):\n",
        "        if not is_open:\n",
        "libraries/proxy",
        f"{ATTEMPTS}.test_nothing_is_sent_to_a_target_whose_weights_expired",
    ),
    Mutation(
        "a gateway's own pause is no silence of the others",
        f"{PROXY}/gateway_registry.py",
        "        return self._pauses.read_running_clock(read_clock())\n",
        "        return read_clock()\n",
        "libraries/proxy",
        f"{PEERS}.test_gateways_resumed_together_share_the_limit_of_a_cold_target",
    ),
    Mutation(
        "a pause that has not been noted yet is no silence of the others",
        PAUSES,
        "        return now - self._paused_seconds - pending\n",
        "        return now - self._paused_seconds\n",
        "libraries/proxy",
        f"{PEERS}.test_gateways_resumed_together_share_the_limit_of_a_cold_target",
    ),
    Mutation(
        "a pause that was noted is no silence of the others",
        PAUSES,
        "        self._paused_seconds += gap\n",
        "        pass\n",
        "libraries/proxy",
        f"{PEERS}.test_a_pause_recorded_before_the_count_is_no_silence",
    ),
    Mutation(
        "registered gateways that are silent get hints",
        f"{PROXY}/hint_exchange.py",
        ", *silent]:\n",
        "]:\n",
        "libraries/proxy",
        f"{PEERS}.test_partitioned_gateways_rediscover_each_other",
    ),
    Mutation(
        "a cold target gets less than one a second from each of many gateways",
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
        "gateways that do not know how many they are take the smallest part",
        f"{PROXY}/gateway_state.py",
        "        self.fleet.gateway_count, self.fleet.gateway_index ="
        " ASSUMED_GATEWAYS, None\n",
        "",
        "libraries/proxy",
        f"{PEERS}.test_a_gateway_without_the_list_sends_nothing_to_cold_targets",
    ),
    Mutation(
        "a hint does not make known how many gateways there are",
        f"{PROXY}/gateway_registry.py",
        "        if self._has_list and counted != self._reported_count:\n",
        "        if counted != self._reported_count:\n",
        "libraries/proxy",
        f"{PEERS}.test_a_gateway_without_the_list_sends_nothing_to_cold_targets",
    ),
    Mutation(
        "news of a store's former start are not taken when they are handed on",
        f"{PROXY}/part_relay.py",
        "        if store.is_outdated(update):\n            return\n",
        "",
        "libraries/proxy",
        f"{STARTS}.test_nothing_is_saved_soon_after_a_known_restart",
    ),
    Mutation(
        "a start that is later by the stores' clock is taken when it is handed on",
        f"{FORWARDING}/part_store_index.py",
        " and update.clock_ms < self.clock_ms\n",
        "\n",
        "libraries/proxy",
        f"{STARTS}.test_an_instance_later_than_the_known_one_is_accepted",
    ),
    Mutation(
        "what was told before a change bounds its age after a pause",
        f"{PROXY}/observers.py",
        "        return max(known_until, earliest_arrival)\n",
        "        return earliest_arrival\n",
        "libraries/proxy",
        f"{FOLLOWED}.test_weights_published_after_a_pause_allow_older_ones",
    ),
    Mutation(
        "what a watch tells late may be as old as the watch",
        f"{PROXY}/observers.py",
        "            return known_until\n",
        "            return now\n",
        "libraries/proxy",
        f"{FOLLOWED}.test_a_late_watch_response_may_be_as_old_as_the_watch",
    ),
    Mutation(
        "who knows only that weights may be old writes last",
        f"{PROXY}/publish_times.py",
        "    return 2 if age > TIMELY_SECONDS else 0\n",
        "    return 0\n",
        "libraries/proxy",
        "tests.test_publish_times.SharedPublishTimesTests"
        ".test_a_pause_of_one_gateway_expires_no_weights_at_others",
    ),
    Mutation(
        "a guess makes no version younger than is known",
        WEIGHTS,
        '    if recorded.guessed and known.published_at > float("-inf"):\n',
        "    if False:\n",
        "libraries/decisions",
        "tests.forwarding.test_weights.VersionTests"
        ".test_a_guess_does_not_replace_a_known_publish_time",
    ),
    Mutation(
        "what waits at a target until its weights are over is taken back",
        f"{PROXY}/weight_expiry_monitor.py",
        "            pending.connection.abort()\n",
        "",
        "libraries/proxy",
        "tests.test_weight_expiry_monitor.WeightExpiryMonitorTests"
        ".test_requests_not_started_in_time_are_aborted",
    ),
    Mutation(
        "what has begun is not taken back",
        f"{PROXY}/weight_expiry_monitor.py",
        "        self._pending.discard(pending)\n\n",
        "        pass\n\n",
        "libraries/proxy",
        "tests.test_weight_expiry_monitor.WeightExpiryMonitorTests.test_started_requests_continue",
    ),
)
